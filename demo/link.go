package demo

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"currantstile/errs"
)

// link is a TCP forwarder in front of an instance's peers' address, which can be
// cut.
type link struct {
	ln net.Listener
	to netip.AddrPort

	// bytes counts what was forwarded in both directions.
	bytes atomic.Int64

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]struct{}
}

func newLink() (*link, error) {
	ln, err := net.Listen("tcp", loopback.String())
	if err != nil {
		return nil, errs.WithPeer(err, "newLink", loopback)
	}
	return &link{
		ln:    ln,
		conns: make(map[net.Conn]struct{}),
	}, nil
}

func (l *link) addr() netip.AddrPort {
	return l.ln.Addr().(*net.TCPAddr).AddrPort()
}

// serve forwards to an address until stop.
func (l *link) serve(to netip.AddrPort) {
	l.to = to
	go func() {
		for {
			c, err := l.ln.Accept()
			if err != nil {
				return
			}
			go l.forward(c)
		}
	}()
}

func (l *link) forward(c net.Conn) {
	defer l.forget(c)
	if !l.keep(c) {
		return
	}
	up, err := net.Dial("tcp", l.to.String())
	if err != nil {
		return
	}
	defer l.forget(up)
	if !l.keep(up) {
		return
	}
	go func() {
		defer l.forget(c)
		l.copy(c, up)
	}()
	l.copy(up, c)
}

// copy forwards one direction until either side closes.
func (l *link) copy(to io.Writer, from io.Reader) {
	buf := make([]byte, copyBytes)
	for {
		n, err := from.Read(buf)
		l.bytes.Add(int64(n))
		if _, writeErr := to.Write(buf[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

const copyBytes = 16 << 10

// keep takes in a connection, unless the link is cut.
func (l *link) keep(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

func (l *link) forget(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	_ = c.Close()
}

// setCut cuts the link, or mends it.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if !cut {
		return
	}
	for c := range l.conns {
		_ = c.Close()
	}
}

func (l *link) stop() {
	_ = l.ln.Close()
	l.setCut(true)
}
