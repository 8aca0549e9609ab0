package demo

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"currantstile/errs"
)

// link is a TCP forwarder in front of an instance's peer address. It can be blocked
// to simulate a network partition.
type link struct {
	listener net.Listener
	upstream netip.AddrPort

	// forwardedBytes counts the bytes read from both sides.
	forwardedBytes atomic.Int64

	mu      sync.Mutex
	blocked bool
	conns   map[net.Conn]struct{}
}

func newLink() (*link, error) {
	ln, err := net.Listen("tcp", loopbackAddr.String())
	if err != nil {
		return nil, errs.WithPeer(err, "newLink", loopbackAddr)
	}
	return &link{
		listener: ln,
		conns:    make(map[net.Conn]struct{}),
	}, nil
}

func (l *link) addr() netip.AddrPort {
	return l.listener.Addr().(*net.TCPAddr).AddrPort()
}

// serve accepts connections in the background and forwards them to an address,
// until stop is called.
func (l *link) serve(to netip.AddrPort) {
	l.upstream = to
	go func() {
		for {
			c, err := l.listener.Accept()
			if err != nil {
				return
			}
			go l.forward(c)
		}
	}()
}

func (l *link) forward(c net.Conn) {
	defer l.closeConn(c)
	if !l.track(c) {
		return
	}
	up, err := net.Dial("tcp", l.upstream.String())
	if err != nil {
		return
	}
	defer l.closeConn(up)
	if !l.track(up) {
		return
	}
	go func() {
		defer l.closeConn(c)
		l.copy(c, up)
	}()
	l.copy(up, c)
}

// copy forwards one direction until a read or write fails.
func (l *link) copy(to io.Writer, from io.Reader) {
	buf := make([]byte, copyBufferSize)
	for {
		n, err := from.Read(buf)
		l.forwardedBytes.Add(int64(n))
		if _, writeErr := to.Write(buf[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

const copyBufferSize = 16 << 10

// track registers a connection. It returns false if the link is blocked.
func (l *link) track(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.blocked {
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

func (l *link) closeConn(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	_ = c.Close()
}

// setBlocked blocks the link and closes its connections, or unblocks it.
func (l *link) setBlocked(blocked bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.blocked = blocked
	if !blocked {
		return
	}
	for c := range l.conns {
		_ = c.Close()
	}
}

func (l *link) stop() {
	_ = l.listener.Close()
	l.setBlocked(true)
}
