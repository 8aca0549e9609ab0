package httpd

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"

	"currantstile/accept"
	"currantstile/shed"
)

// connSet tracks the open connections and which of them are idle. Hertz keeps a
// goroutine reading from each idle connection and counts it as busy on shutdown, so
// that without this tracking a shutdown would wait for the idle timeout.
type connSet struct {
	mu    sync.Mutex
	conns map[*trackedConn]struct{}
}

// trackedConn is one open connection.
type trackedConn struct {
	conn network.Conn
	// bounded is the connection if the listener bounds it, else nil.
	bounded *accept.Conn
	mu      sync.Mutex
	busy    bool
	// closed is set once the connection was closed as idle.
	closed bool
	// lastChange is the time at which the connection last became busy or idle.
	lastChange time.Time
}

type trackedConnKey struct{}

// track registers a new connection and removes it when ctx, which lives as long as
// the connection, is done.
func (s *connSet) track(ctx context.Context, conn network.Conn) context.Context {
	t := &trackedConn{
		conn:       conn,
		bounded:    boundedOf(ctx),
		lastChange: time.Now(),
	}
	s.mu.Lock()
	if s.conns == nil {
		s.conns = make(map[*trackedConn]struct{})
	}
	s.conns[t] = struct{}{}
	s.mu.Unlock()
	remove := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, t)
	}
	if b := t.bounded; b != nil {
		// The context of hertz's standard network library ends never.
		b.OnClose(remove)
	} else {
		context.AfterFunc(ctx, remove)
	}
	return context.WithValue(ctx, trackedConnKey{}, t)
}

// trackBusy is middleware that marks a request's connection as busy while the
// request is handled. A request whose connection was closed while it was being read is
// not handled, as its answer could not be returned.
func trackBusy(ctx context.Context, c *app.RequestContext) {
	if t, ok := ctx.Value(trackedConnKey{}).(*trackedConn); ok {
		if !t.setBusy(true) {
			c.SetConnectionClose()
			c.Abort()
			return
		}
		defer t.setBusy(false)
	}
	c.Next(ctx)
}

// setBusy reports false if the connection was closed.
func (t *trackedConn) setBusy(busy bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy = busy
	t.lastChange = time.Now()
	return !t.closed
}

// closeIfIdleSince closes the connection if it has been idle from the given time until now.
func (t *trackedConn) closeIfIdleSince(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.busy || t.lastChange.After(at) {
		return
	}
	if t.bounded != nil && t.bounded.Info().State == shed.Receiving {
		// The listener bounds how long that takes.
		return
	}
	t.closed = true
	// The connection is idle, so an error because it is already closed can be ignored.
	_ = t.conn.Close()
}

// closeIdleSince returns a function that closes the connections that have been idle
// since the given time. Hertz closes the others after their response.
func (s *connSet) closeIdleSince(at time.Time) func() {
	return func() {
		for _, t := range s.all() {
			t.closeIfIdleSince(at)
		}
	}
}

// all returns the open connections.
func (s *connSet) all() []*trackedConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

// closeAll closes every connection, idle or busy.
func (s *connSet) closeAll() {
	for _, t := range s.all() {
		_ = t.conn.Close()
	}
}
