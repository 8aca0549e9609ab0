package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"currantstile/accept"
	"currantstile/shed"
)

// callerState is what a caller's connection is used for.
type callerState int

const (
	// callerIdle means that no byte of a request has been received since the last answer.
	callerIdle callerState = iota
	// callerReceiving means that a request is being received.
	callerReceiving
	// callerServing means that a request is being handled: an answer is owed.
	callerServing
	// callerClosed means that the connection was closed while no answer was owed.
	callerClosed
)

// String returns the state's name for logs.
func (s callerState) String() string {
	return [...]string{"idle", "receiving", "serving", "closed"}[s]
}

// callerConn is a connection of a caller. net/http calls a connection idle until the head of its next
// request is parsed, so that one which is closed as idle may already have a request that is handled
// afterwards. Here closing and the begin of a request exclude one another.
type callerConn struct {
	net.Conn
	mu    sync.Mutex
	state callerState
	// since is when the connection got into its state.
	since time.Time
	// used is set once a request was handled.
	used bool
	// ahead is set if the first byte of the next request was received while an answer was owed.
	ahead bool
}

// callerConnKey is the key of a request's *callerConn in its context.
type callerConnKey struct{}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.recordRead(time.Now(), len(b))
	}
	return n, err
}

// recordRead records that bytes were received into a buffer of the given size. While a request is handled,
// net/http reads the first byte of the next one into a buffer of one byte, and bodies into larger ones.
func (c *callerConn) recordRead(now time.Time, size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.state == callerIdle:
		c.state, c.since = callerReceiving, now
	case c.state == callerServing && size == 1:
		c.ahead = true
	}
}

// CloseWrite implements the method that net/http calls before it closes a connection whose request it
// has not read to its end.
func (c *callerConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// finish records that the answer of a request was returned.
func (c *callerConn) finish(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != callerServing {
		return
	}
	c.state, c.since = callerIdle, now
	bounded := c.bounded()
	if bounded != nil {
		bounded.SetState(now, shed.Idle)
	}
	if c.ahead {
		c.state = callerReceiving
		if bounded != nil {
			bounded.SetState(now, shed.Receiving)
		}
	}
}

// bounded returns the connection as that of the listener that bounds it; nil if there is none.
func (c *callerConn) bounded() *accept.Conn {
	b, _ := c.Conn.(*accept.Conn)
	return b
}

// begin records that a request is handled from now on. It reports false if the connection was closed,
// so that no answer could be returned.
func (c *callerConn) begin(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == callerClosed {
		return false
	}
	c.state, c.since, c.used, c.ahead = callerServing, now, true, false
	return true
}

// closeIdle closes the connection if no answer is owed and if it has waited since before the limit of
// its state. It reports whether it did.
func (c *callerConn) closeIdle(now time.Time, l waitLimits) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := l.idle
	switch {
	case c.state == callerServing || c.state == callerClosed:
		return false
	case c.state == callerReceiving:
		limit = l.receiving
	case !c.used:
		limit = max(l.idle, l.unused)
	}
	if now.Sub(c.since) < limit {
		return false
	}
	c.state, c.since = callerClosed, now
	// The error is ignored: the caller opens a new connection.
	_ = c.Close()
	return true
}

// waitLimits are the longest times for which connections wait.
type waitLimits struct {
	// idle is the limit after an answer, unused the one before the first request, receiving the one
	// for the head of a request.
	idle, unused, receiving time.Duration
}

// callerConns are the open connections of callers that a listener of listen has accepted.
type callerConns struct {
	mu    sync.Mutex
	conns map[*callerConn]struct{}
	// changed receives a value after a connection was closed or became idle.
	changed chan struct{}
}

// callerListener accepts connections of callers.
type callerListener struct {
	net.Listener
	conns *callerConns
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{
		Conn:  nc,
		since: time.Now(),
	}
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	l.conns.conns[c] = struct{}{}
	return c, nil
}

// listen returns a listener whose connections are tracked.
func (s *callerConns) listen(ln net.Listener) net.Listener {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = make(map[*callerConn]struct{})
	s.changed = make(chan struct{}, 1)
	return &callerListener{
		Listener: ln,
		conns:    s,
	}
}

// setState is the ConnState hook of the HTTP server.
func (s *callerConns) setState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.finish(time.Now())
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	default:
		return
	}
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// connContext is the ConnContext hook of the HTTP server.
func connContext(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, nc)
}

// closeIdle closes the connections on which no answer is owed and that have waited for longer than the
// limits, and returns the addresses of their callers.
func (s *callerConns) closeIdle(now time.Time, l waitLimits) []string {
	var closed []string
	for _, c := range s.all() {
		if c.closeIdle(now, l) {
			closed = append(closed, c.RemoteAddr().String())
		}
	}
	return closed
}

// all returns the open connections.
func (s *callerConns) all() []*callerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*callerConn, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	return all
}

// countByState returns the number of open connections by the names of their states.
func (s *callerConns) countByState() map[string]int {
	counts := make(map[string]int)
	for _, c := range s.all() {
		c.mu.Lock()
		counts[c.state.String()]++
		c.mu.Unlock()
	}
	return counts
}

// closeCheckInterval is how often a stopping instance looks for connections that have waited for too
// long.
const closeCheckInterval = 50 * time.Millisecond

// closeAll closes each connection once no answer is owed on it, and waits until all are closed or ctx
// ends. It reports whether all are closed.
func (s *callerConns) closeAll(ctx context.Context, l waitLimits) bool {
	t := time.NewTicker(closeCheckInterval)
	defer t.Stop()
	for {
		s.closeIdle(time.Now(), l)
		if len(s.all()) == 0 {
			return true
		}
		select {
		case <-s.changed:
		case <-t.C:
		case <-ctx.Done():
			return false
		}
	}
}
