// Package peer implements calls between instances by net/rpc over TCP. Every call
// has a deadline, and failed connections are dialled again.
//
// # Usage
//
//	s := &peer.Server{Addr: addr, Handler: handler}
//	err := s.Start()
//
//	p := &peer.Pool{}
//	err = p.Call(ctx, addr, wire.MethodStatus, wire.StatusArgs{}, &reply)
package peer

import (
	"context"
	"net"
	"net/netip"
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"currantstile/errs"
	"currantstile/socket"
	"currantstile/wire"
)

const (
	// dialTimeout limits the time to open a connection. It allows for one lost
	// packet.
	dialTimeout = 2 * time.Second
	// DefaultCallTimeout limits a call whose context has no deadline.
	DefaultCallTimeout = 2 * time.Second
)

// ErrNotSent is returned for a call that was not sent, so that it had no effect.
var ErrNotSent = errors.New("call was not sent")

// Pool keeps one connection to each peer. The zero value is ready for use.
type Pool struct {
	// Secret is the fleet's secret, with which each connection is
	// authenticated; empty disables authentication.
	Secret string
	// Observe is called with the traffic of each call, for metrics. It must be safe for
	// concurrent use; nil observes nothing.
	Observe func(Transfer)
	// Network is the network to dial in; nil is the operating system's.
	Network socket.Network
	Log     log.Logger
	// GaveUp is called for each silent connection that was replaced; it may be nil.
	GaveUp func(GivenUp)

	mu     sync.Mutex
	conns  map[netip.AddrPort]*peerConn
	closed bool
}

// peerConn manages the connection to one peer.
type peerConn struct {
	mu sync.Mutex
	// conn is the connection in use; nil if there is none.
	conn *watchedConn
	// comparedAt is when a connection was last opened to compare it with a silent one.
	comparedAt time.Time
	// timeouts counts the calls that timed out since the last reply.
	timeouts atomic.Int32
	// pending is set while a connection is being opened.
	pending *pendingDial
}

// pendingDial is a connection that is being opened. conn and err are valid once done is
// closed.
type pendingDial struct {
	done chan struct{}
	conn *watchedConn
	err  error
}

// maxConsecutiveTimeouts is the number of consecutive calls that time out before
// the connection is considered dead.
const maxConsecutiveTimeouts = 2

// recordTimeout counts a call that timed out, and closes the connection after
// maxConsecutiveTimeouts of them: the peer may be unreachable although the
// connection was never closed.
func (c *peerConn) recordTimeout(conn *watchedConn, err error) {
	if !errors.Is(err, context.DeadlineExceeded) || c.timeouts.Add(1) < maxConsecutiveTimeouts {
		return
	}
	c.timeouts.Store(0)
	c.dropOnFailure(conn, err)
}

// Call calls a method of the peer at addr and waits for the reply until ctx ends. reply is a pointer, and
// written only if the call succeeds: net/rpc may still decode a late response.
// After a timeout, the call may still take effect. A call whose connection goes silent is made once
// more on a new one if wire.IsRepeatable allows that.
func (p *Pool) Call(ctx context.Context, addr netip.AddrPort, method string, args, reply any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, DefaultCallTimeout)
		defer cancel()
	}
	c, err := p.conn(addr)
	if err != nil {
		return errs.WithPeer(err, method, addr)
	}
	for repeated := false; ; repeated = true {
		conn, err := c.connect(ctx, addr, p)
		if err != nil {
			return errs.WithPeer(errors.Wrap(ErrNotSent, err.Error()), method, addr)
		}
		decoded := reflect.New(reflect.TypeOf(reply).Elem())
		call := conn.client.Go(method, args, decoded.Interface(), make(chan *rpc.Call, 1))
		err = c.await(ctx, call, conn, addr, p)
		if err == nil {
			reflect.ValueOf(reply).Elem().Set(decoded.Elem())
		}
		if errors.Is(err, ErrReplaced) && !repeated && wire.IsRepeatable(method) {
			continue
		}
		if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
			c.recordTimeout(conn, err)
			return errs.WithPeer(err, method, addr)
		}
		c.timeouts.Store(0)
		c.dropOnFailure(conn, err)
		return errs.WithPeer(err, method, addr)
	}
}

func (p *Pool) conn(addr netip.AddrPort) (*peerConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errors.Wrap(ErrNotSent, "pool is closed")
	}
	if p.conns == nil {
		p.conns = make(map[netip.AddrPort]*peerConn)
	}
	c, ok := p.conns[addr]
	if !ok {
		c = &peerConn{}
		p.conns[addr] = c
	}
	return c, nil
}

// connect returns the connection, and dials it if there is none. Dialling continues after ctx
// has ended, so that later calls can use the connection: many peers that start at once slow down
// each other's dialling.
func (c *peerConn) connect(ctx context.Context, addr netip.AddrPort, p *Pool) (*watchedConn, error) {
	c.mu.Lock()
	if c.conn != nil {
		defer c.mu.Unlock()
		return c.conn, nil
	}
	d := c.pending
	if d == nil {
		d = &pendingDial{
			done: make(chan struct{}),
		}
		c.pending = d
		go errs.Contain(&p.Log, "Pool.dial", func() {
			c.dial(d, addr, p)
		})
	}
	c.mu.Unlock()
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dial opens the connection and wakes the callers that wait for it.
func (c *peerConn) dial(d *pendingDial, addr netip.AddrPort, p *Pool) {
	var conn *watchedConn
	// It stands after a panic.
	err := errs.New("peerConn.dial", "no connection was opened")
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.pending = nil
		if d.err = err; err == nil {
			c.conn, d.conn = conn, conn
		}
		close(d.done)
	}()
	conn, err = c.open(addr, p)
}

// open opens and authenticates a connection.
func (c *peerConn) open(addr netip.AddrPort, p *Pool) (*watchedConn, error) {
	nc, err := socket.Or(p.Network).Dial(context.Background(), addr, socket.Options{
		Timeout: dialTimeout,
	})
	if err != nil {
		return nil, err
	}
	if err := authenticate(nc, p.Secret, roleClient); err != nil {
		// The connection is unusable, and err has the cause.
		_ = nc.Close()
		return nil, err
	}
	conn := &watchedConn{
		Conn:   nc,
		ended:  c.forget,
		opened: time.Now(),
	}
	conn.client = p.newClient(addr, conn)
	return conn, nil
}

// watchedConn is a connection that reports its end, which a client keeps to itself until the
// next call fails, and that records when something was received.
type watchedConn struct {
	net.Conn
	ended  func(*watchedConn)
	client *rpc.Client
	opened time.Time
	// lastRead is how long after opened something was last received, in nanoseconds.
	lastRead atomic.Int64
	// waiting counts the calls that wait for a reply. probing is set while the connection is
	// probed, and replaced once another one has taken its place.
	waiting  atomic.Int32
	probing  atomic.Bool
	replaced atomic.Bool
}

// Read implements net.Conn.
func (w *watchedConn) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	if n > 0 {
		w.lastRead.Store(int64(time.Since(w.opened)))
	}
	if err != nil {
		w.ended(w)
	}
	return n, err
}

// forget closes a connection that has ended and removes it, so that the next call dials again.
func (c *peerConn) forget(conn *watchedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// The connection has already failed; Close only releases it.
	_ = conn.Close()
	if c.conn == conn {
		c.conn = nil
	}
}

// newClient returns a client on a connection that has been authenticated.
func (p *Pool) newClient(addr netip.AddrPort, conn net.Conn) *rpc.Client {
	if p.Observe == nil {
		return rpc.NewClient(conn)
	}
	return rpc.NewClientWithCodec(newClientCodec(addr, conn, p.Observe))
}

// dropOnFailure closes and removes a connection that failed with err. Errors
// returned by the peer itself do not affect the connection.
func (c *peerConn) dropOnFailure(conn *watchedConn, err error) {
	var remoteErr rpc.ServerError
	if err == nil || errors.As(err, &remoteErr) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		// The connection has already failed; Close only releases it.
		_ = conn.client.Close()
		c.conn = nil
	}
}

// Close closes all connections. Later calls return ErrNotSent.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.conns {
		c.mu.Lock()
		if c.conn != nil {
			_ = c.conn.client.Close()
			c.conn = nil
		}
		c.mu.Unlock()
	}
}
