// Package socket is the network through which an instance listens and dials. System is the
// operating system's; tests and trials put another one in its place.
//
// # Usage
//
//	n := socket.Or(settings.Network)
//	ln, err := n.Listen(addr)
//	c, err := n.Dial(ctx, addr, socket.Options{Timeout: time.Second})
//	if socket.IsIdle(c) {
//		// open, and nothing unread
//	}
//	socket.Reset(c)
package socket

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Options are the options of a connection. The zero value has the system's defaults.
type Options struct {
	// Timeout limits the time to open the connection.
	Timeout time.Duration
	// UserTimeout is how long sent data may stay unacknowledged before the connection is
	// considered broken.
	UserTimeout time.Duration
	// NoProbes turns keep-alive probes off.
	NoProbes bool
	// ProbeInterval is the time between keep-alive probes, and after the last bytes received until the
	// first one; maxLostProbes without an answer break the connection. 0 means the system's defaults.
	ProbeInterval time.Duration
}

// maxLostProbes is how many keep-alive probes may stay unanswered.
const maxLostProbes = 2

// Network opens and accepts connections.
type Network interface {
	// Listen listens on addr.
	Listen(addr netip.AddrPort) (net.Listener, error)
	// Dial opens a connection to addr.
	Dial(ctx context.Context, addr netip.AddrPort, o Options) (net.Conn, error)
}

// Or returns n, or the network of the operating system if n is nil.
func Or(n Network) Network {
	if n == nil {
		return System{}
	}
	return n
}

// System is the network of the operating system.
type System struct{}

// Listen implements Network.
func (System) Listen(addr netip.AddrPort) (net.Listener, error) {
	return net.Listen("tcp", addr.String())
}

// Dial implements Network.
func (System) Dial(ctx context.Context, addr netip.AddrPort, o Options) (net.Conn, error) {
	d := net.Dialer{
		Timeout: o.Timeout,
	}
	if o.NoProbes {
		d.KeepAlive = -1
	}
	if o.ProbeInterval > 0 {
		d.KeepAliveConfig = net.KeepAliveConfig{
			Enable:   true,
			Idle:     o.ProbeInterval,
			Interval: o.ProbeInterval,
			Count:    maxLostProbes,
		}
	}
	if o.UserTimeout > 0 {
		d.Control = func(_, _ string, rc syscall.RawConn) error {
			return rc.Control(func(fd uintptr) {
				// Best effort: without the option a broken connection is only detected later.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(o.UserTimeout.Milliseconds()))
			})
		}
	}
	c, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	return &tcpConn{
		systemConn: c.(*net.TCPConn),
	}, nil
}

// lingerer is a connection whose end can be made a reset.
type lingerer interface {
	SetLinger(sec int) error
}

// Reset closes a connection with a reset and discards unsent data.
func Reset(c net.Conn) {
	if l, ok := c.(lingerer); ok {
		// SetLinger fails only on a broken connection, which has no data left to discard.
		_ = l.SetLinger(0)
	}
	// A connection that can't be closed has ended.
	_ = c.Close()
}

// prober is a connection that knows whether it is open and has nothing unread.
type prober interface {
	IsIdle() bool
}

// IsIdle reports whether a connection on which nothing is expected is still open and has no
// unread data.
func IsIdle(c net.Conn) bool {
	if p, ok := c.(prober); ok {
		return p.IsIdle()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// acknowledger is a connection that knows whether its peer has what was written.
type acknowledger interface {
	HasUnacknowledged() bool
}

// HasUnacknowledged reports whether bytes were written to a connection that the peer's system has not
// acknowledged. It reports false if that is not known.
func HasUnacknowledged(c net.Conn) bool {
	if a, ok := c.(acknowledger); ok {
		return a.HasUnacknowledged()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	info, err := tcpInfo(sc)
	return err == nil && info.Unacked > 0
}
