// Package memnet is a network in memory, of hosts with IP addresses, whose connections behave
// as those of TCP do: bytes arrive in order after the link's delay, a connection ends by an
// orderly close or by a reset, a host without a listener refuses, and a link that is cut delivers
// nothing until it is whole again. Tests and trials run instances in it, under the time of
// testing/synctest or under the real one.
//
// # Usage
//
//	net := &memnet.Net{Delay: 500 * time.Microsecond}
//	a, b := net.Host(addrA), net.Host(addrB)
//	ln, err := b.Listen(netip.AddrPortFrom(addrB, 80))
//	c, err := a.Dial(ctx, netip.AddrPortFrom(addrB, 80), socket.Options{})
//	net.Cut(addrA, addrB, true) // one way
//	b.Kill()
package memnet

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"currantstile/clock"
	"currantstile/socket"
)

// firstPort is the first port that Dial gives to its own end of a connection.
const firstPort = 32768

// retryInterval is how often the opening of a connection is tried again while a link is cut.
const retryInterval = 50 * time.Millisecond

// way is a direction between two hosts.
type way struct {
	from, to netip.Addr
}

// Net is a network. Delay must be set before its first use.
type Net struct {
	// Delay is how long bytes take from one host to another.
	Delay time.Duration

	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
	cuts      map[way]int
	slow      map[way]time.Duration
	conns     map[*Conn]struct{}
}

// Host is a machine in a Net. Its connections and listeners end with Kill.
type Host struct {
	net  *Net
	addr netip.Addr

	mu     sync.Mutex
	port   uint16
	killed bool
	conns  map[*Conn]struct{}
	lns    map[*listener]struct{}
}

// Host returns a machine with an address. Several may have one address, as processes do that
// follow one another.
func (n *Net) Host(addr netip.Addr) *Host {
	return &Host{
		net:   n,
		addr:  addr,
		port:  firstPort,
		conns: make(map[*Conn]struct{}),
		lns:   make(map[*listener]struct{}),
	}
}

// Cut stops all bytes from one host to another, or lets them through again. Cuts add up. Bytes that
// were sent meanwhile arrive when the link is whole.
func (n *Net) Cut(from, to netip.Addr, cut bool) {
	n.mu.Lock()
	if n.cuts == nil {
		n.cuts = make(map[way]int)
	}
	w := way{
		from: from,
		to:   to,
	}
	if cut {
		n.cuts[w]++
		n.mu.Unlock()
		return
	}
	n.cuts[w]--
	n.mu.Unlock()
	n.wake(w)
}

// SetDelay adds a delay to the bytes from one host to another; 0 removes it.
func (n *Net) SetDelay(from, to netip.Addr, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.slow == nil {
		n.slow = make(map[way]time.Duration)
	}
	n.slow[way{
		from: from,
		to:   to,
	}] = d
}

// ResetConns resets the connections between two hosts for which pick returns true.
func (n *Net) ResetConns(a, b netip.Addr, pick func() bool) {
	for _, c := range n.between(a, b, pick) {
		c.fail(syscall.ECONNRESET)
		c.peer.fail(syscall.ECONNRESET)
	}
}

// SilenceConns makes the connections between two hosts for which pick returns true deliver nothing
// more; they stay open, and new ones work.
func (n *Net) SilenceConns(a, b netip.Addr, pick func() bool) {
	for _, c := range n.between(a, b, pick) {
		c.silence()
	}
}

// between returns the connections between two hosts for which pick returns true, each once.
func (n *Net) between(a, b netip.Addr, pick func() bool) []*Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []*Conn
	for c := range n.conns {
		if c.local.Addr() == a && c.remote.Addr() == b && pick() {
			list = append(list, c)
		}
	}
	return list
}

// wake lets the connections of a way look again for bytes that may arrive.
func (n *Net) wake(w way) {
	n.mu.Lock()
	var list []*Conn
	for c := range n.conns {
		if c.remote.Addr() == w.from && c.local.Addr() == w.to {
			list = append(list, c)
		}
	}
	n.mu.Unlock()
	for _, c := range list {
		c.in.signal()
	}
}

// IsCut reports whether nothing gets from one host to another.
func (n *Net) IsCut(from, to netip.Addr) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[way{
		from: from,
		to:   to,
	}] > 0
}

// delay returns how long bytes take from one host to another.
func (n *Net) delay(from, to netip.Addr) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.Delay + n.slow[way{
		from: from,
		to:   to,
	}]
}

func (n *Net) add(c *Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns == nil {
		n.conns = make(map[*Conn]struct{})
	}
	n.conns[c] = struct{}{}
}

func (n *Net) remove(c *Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// Listen implements socket.Network. Port 0 is not supported.
func (h *Host) Listen(addr netip.AddrPort) (net.Listener, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if h.killed {
		return nil, h.opError("listen", addr, syscall.ENETDOWN)
	}
	if h.net.listeners == nil {
		h.net.listeners = make(map[netip.AddrPort]*listener)
	}
	if _, ok := h.net.listeners[addr]; ok || addr.Port() == 0 {
		return nil, h.opError("listen", addr, syscall.EADDRINUSE)
	}
	l := &listener{
		host:    h,
		addr:    addr,
		backlog: make(chan *Conn, backlog),
		closed:  make(chan struct{}),
	}
	h.net.listeners[addr] = l
	h.lns[l] = struct{}{}
	return l, nil
}

func (h *Host) opError(op string, addr netip.AddrPort, err error) error {
	return &net.OpError{
		Op:   op,
		Net:  "tcp",
		Addr: net.TCPAddrFromAddrPort(addr),
		Err:  os.NewSyscallError(op, err),
	}
}

// Dial implements socket.Network. While the link is cut in either direction it waits.
func (h *Host) Dial(ctx context.Context, addr netip.AddrPort, o socket.Options) (net.Conn, error) {
	if o.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, o.Timeout)
		defer cancel()
	}
	for h.net.IsCut(h.addr, addr.Addr()) || h.net.IsCut(addr.Addr(), h.addr) {
		if !clock.Sleep(ctx, retryInterval) {
			return nil, h.opError("connect", addr, syscall.ETIMEDOUT)
		}
	}
	if !clock.Sleep(ctx, h.net.delay(h.addr, addr.Addr())) {
		return nil, h.opError("connect", addr, syscall.ETIMEDOUT)
	}
	h.net.mu.Lock()
	l := h.net.listeners[addr]
	h.net.mu.Unlock()
	h.mu.Lock()
	h.port++
	if h.port < firstPort {
		h.port = firstPort
	}
	local, killed := netip.AddrPortFrom(h.addr, h.port), h.killed
	h.mu.Unlock()
	var c *Conn
	if l != nil && !killed {
		c = newPair(h, l.host, local, addr, o)
		if !l.offer(c.peer) {
			c.discard()
			c = nil
		}
	}
	if !clock.Sleep(ctx, h.net.delay(addr.Addr(), h.addr)) {
		if c != nil {
			socket.Reset(c)
		}
		return nil, h.opError("connect", addr, syscall.ETIMEDOUT)
	}
	switch {
	case killed:
		return nil, h.opError("connect", addr, syscall.ENETDOWN)
	case c == nil:
		return nil, h.opError("connect", addr, syscall.ECONNREFUSED)
	}
	return c, nil
}

// Kill ends the host as a process ends: its listeners are gone, its connections are closed, and
// it opens no more.
func (h *Host) Kill() {
	h.mu.Lock()
	h.killed = true
	lns := make([]*listener, 0, len(h.lns))
	for l := range h.lns {
		lns = append(lns, l)
	}
	h.mu.Unlock()
	for _, l := range lns {
		_ = l.Close()
	}
	h.CloseConns()
}

// CloseConns closes the connections of the host; its listeners stay.
func (h *Host) CloseConns() {
	h.mu.Lock()
	conns := make([]*Conn, 0, len(h.conns))
	for c := range h.conns {
		conns = append(conns, c)
	}
	h.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// add registers a connection of the host. It reports false if the host was killed.
func (h *Host) add(c *Conn) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.killed {
		return false
	}
	h.conns[c] = struct{}{}
	return true
}

func (h *Host) remove(c *Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.conns, c)
}

// backlog is how many connections may wait to be accepted.
const backlog = 128

// listener implements net.Listener.
type listener struct {
	host    *Host
	addr    netip.AddrPort
	backlog chan *Conn
	closed  chan struct{}
	once    sync.Once
}

// offer puts a connection into the backlog. It reports false if the listener takes none.
func (l *listener) offer(c *Conn) bool {
	select {
	case <-l.closed:
		return false
	default:
	}
	select {
	case l.backlog <- c:
		return true
	default:
		return false
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. Connections that wait to be accepted are reset.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.host.net.mu.Lock()
		delete(l.host.net.listeners, l.addr)
		l.host.net.mu.Unlock()
		l.host.mu.Lock()
		delete(l.host.lns, l)
		l.host.mu.Unlock()
		for {
			select {
			case c := <-l.backlog:
				socket.Reset(c)
			default:
				return
			}
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(l.addr)
}
