// Package accept bounds what the connections that a listener accepts take of an instance: their number, the
// memory of their buffers, the fields and bytes of header sections, and how long their peers may neither send
// nor read. Package shed decides which connection is closed.
//
// # Usage
//
//	l := accept.NewListener(ln, accept.Limits{MaxConns: 100, MaxFields: 512}, budget.Conns)
//	go l.Run(ctx)
//	s := http.Server{ConnState: accept.SetState}
//	s.Serve(l)
package accept

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"currantstile/errs"
	"currantstile/memory"
	"currantstile/shed"
)

const (
	// DefaultMaxFields is how many lines a header section may have. Within the default size of a header section
	// this leaves 32 bytes for a field.
	DefaultMaxFields = 512
	// DefaultWriteTimeout is how long the peer may take for each writePiece of a response.
	DefaultWriteTimeout = 15 * time.Second
	// connBytes is the memory of an open connection: its goroutine and the buffers of the HTTP server.
	connBytes = 16 << 10
	// sampleSize is how many connections are compared to find the one to close, so that a flood of new ones
	// does not take the time of a comparison of all of them for each.
	sampleSize = 512
	// retryDelay is the delay after a failed accept, as when the process has no descriptor left.
	retryDelay = 20 * time.Millisecond
	// sweepInterval is how often connections are checked for their time limits.
	sweepInterval = 250 * time.Millisecond
	// logInterval is the shortest time between two log lines about refusals.
	logInterval = 10 * time.Second
)

// Limits are the bounds of a listener. A bound that is zero is not enforced.
type Limits struct {
	// MaxConns is how many connections may be open at once.
	MaxConns int
	// MaxFields and MaxHeaderBytes bound a header section.
	MaxFields, MaxHeaderBytes int
	// MaxBodyBytes bounds the announced length of a body.
	MaxBodyBytes int64
	// Times are the time limits that Run enforces.
	Times shed.Limits
	// WriteTimeout is how long the peer may take for each writePiece of a response.
	WriteTimeout time.Duration
	// Messages is set for a listener of another protocol than HTTP, whose header sections are not parsed.
	Messages bool
}

// Kinds of refusals, as in the metrics and logs.
const (
	// KindShed is a connection that was closed in favour of another one.
	KindShed = "closed-for-another"
	// KindFull is a new connection that was closed as no other one could be.
	KindFull = "no-connection-free"
	// KindSlow is a connection that exceeded a time limit.
	KindSlow = "too-slow"
	// KindUnread is a connection whose peer did not read its response.
	KindUnread = "response-not-read"
	// KindFields is a header section with too many fields or bytes.
	KindFields = "header-too-large"
	// KindBody is a request whose announced body is too large.
	KindBody = "body-too-large"
)

// Listener accepts bounded connections. Its exported fields must be set before Accept is called.
type Listener struct {
	net.Listener
	Name   string
	Limits Limits
	// Pool bounds the memory of the connections; nil is no bound.
	Pool *memory.Pool
	Log  log.Logger

	// longerWrite is the limit of SetWriteTimeout.
	longerWrite atomic.Int64

	mu     sync.Mutex
	conns  map[*Conn]struct{}
	counts map[string]int64
	// logged are the counts at loggedAt, the time of the last log line.
	logged   map[string]int64
	loggedAt time.Time
}

// NewListener returns a listener that bounds the connections of another one.
func NewListener(ln net.Listener, name string, limits Limits, pool *memory.Pool) *Listener {
	return &Listener{
		Listener: ln,
		Name:     name,
		Limits:   limits,
		Pool:     pool,
		conns:    make(map[*Conn]struct{}),
		counts:   make(map[string]int64),
		logged:   make(map[string]int64),
	}
}

// SetWriteTimeout raises Limits.WriteTimeout, if it is set, to at least d.
func (l *Listener) SetWriteTimeout(d time.Duration) {
	l.longerWrite.Store(int64(d))
}

// writeTimeout returns how long the peer may take for each writePiece; 0 is no limit.
func (l *Listener) writeTimeout() time.Duration {
	if l.Limits.WriteTimeout <= 0 {
		return 0
	}
	return max(l.Limits.WriteTimeout, time.Duration(l.longerWrite.Load()))
}

// Accept implements net.Listener. It fails only if the listener is closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil {
			l.count(KindFull)
			l.closeFirst(time.Now())
			time.Sleep(retryDelay)
			continue
		}
		if c, ok := l.admit(time.Now(), nc); ok {
			return c, nil
		}
		l.count(KindFull)
		// The connection was not used.
		_ = nc.Close()
	}
}

// admit makes room for a connection. It reports false if there is none.
func (l *Listener) admit(now time.Time, nc net.Conn) (*Conn, bool) {
	c := &Conn{
		Conn:     nc,
		listener: l,
		info: shed.Conn{
			Since: now,
		},
		held: l.Pool.Holder(),
		framing: framing{
			limits: l.Limits,
		},
	}
	for l.Limits.MaxConns > 0 && l.Len() >= l.Limits.MaxConns {
		if !l.closeFirst(now) {
			return nil, false
		}
	}
	for !c.hold(connBytes) {
		if !l.closeFirst(now) {
			return nil, false
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, true
}

// closeFirst closes the connection that shed.First names, and reports whether there is one.
func (l *Listener) closeFirst(now time.Time) bool {
	for {
		conns, infos := l.sample()
		i, ok := shed.First(now, infos)
		if !ok {
			return false
		}
		// It may have changed since: then another one is chosen.
		if conns[i].closeUnless(infos[i].State, KindShed) {
			return true
		}
	}
}

// sample returns up to sampleSize open connections, in random order.
func (l *Listener) sample() ([]*Conn, []shed.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*Conn, 0, min(len(l.conns), sampleSize))
	for c := range l.conns {
		if len(conns) == cap(conns) {
			break
		}
		conns = append(conns, c)
	}
	infos := make([]shed.Conn, 0, len(conns))
	for _, c := range conns {
		infos = append(infos, c.Info())
	}
	return conns, infos
}

// Len returns the number of open connections.
func (l *Listener) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// EachCount calls visit with the number of refusals of each kind.
func (l *Listener) EachCount(visit func(kind string, count int64)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for kind, n := range l.counts {
		visit(kind, n)
	}
}

func (l *Listener) count(kind string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[kind]++
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// Run closes connections that exceed their time limits, and logs refusals, until ctx ends.
func (l *Listener) Run(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			errs.Contain(&l.Log, "Listener.Run", func() {
				l.closeOverdue(now)
				l.logCounts(now)
			})
		case <-ctx.Done():
			return
		}
	}
}

// closeOverdue closes the connections that exceed their time limits.
func (l *Listener) closeOverdue(now time.Time) {
	l.mu.Lock()
	all := make([]*Conn, 0, len(l.conns))
	for c := range l.conns {
		all = append(all, c)
	}
	l.mu.Unlock()
	for _, c := range all {
		if info := c.Info(); shed.IsOverdue(now, info, l.Limits.Times) {
			c.closeUnless(info.State, KindSlow)
		}
	}
}

// logCounts logs the refusals since the last line, if there are any.
func (l *Listener) logCounts(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.loggedAt) < logInterval {
		return
	}
	line := l.Log.Warn().Str("listener", l.Name).Int("open", len(l.conns))
	changed := false
	for kind, n := range l.counts {
		if n > l.logged[kind] {
			changed = true
			line.Int64(kind, n-l.logged[kind])
			l.logged[kind] = n
		}
	}
	if !changed {
		line.Discard()
		return
	}
	l.loggedAt = now
	line.Msg("accept: connections refused or closed")
}

// fallbackDescriptors is the number of descriptors that is assumed if the limit can't be read.
const fallbackDescriptors = 1024

// MaxDescriptors returns how many descriptors the process may have open.
func MaxDescriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return fallbackDescriptors
	}
	return int(min(limit.Cur, 1<<20))
}

// Shares of the descriptors of a process. The rest is for targets, the store and connections to other instances.
const (
	// CallerShare is the share of the listener for callers, and PeerShare that for other instances, of which
	// each holds one connection.
	CallerShare = 0.4
	PeerShare   = 0.2
	// SmallShare is the share of each listener for the platform and the operators.
	SmallShare = 1.0 / 32
	// minConns is the least bound on the connections of a listener.
	minConns = 16
)

// MaxConns returns the bound on the connections of a listener with a share of the descriptors of the process.
func MaxConns(share float64) int {
	return max(int(share*float64(MaxDescriptors())), minConns)
}
