package memnet

import (
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"currantstile/socket"
)

// window is how many bytes may be on their way or unread in one direction.
const window = 256 << 10

// Conn is one end of a connection. It implements net.Conn.
type Conn struct {
	host          *Host
	local, remote netip.AddrPort
	peer          *Conn
	// in is what arrives at this end.
	in *half
	// userTimeout is how long written bytes may stay on their way, and probeInterval the time between
	// keep-alive probes; 0 means for good and none.
	userTimeout   time.Duration
	probeInterval time.Duration
	// silent is set at both ends once nothing is delivered any more.
	silent atomic.Bool
	// unacknowledged is set once bytes were written while nothing arrived at one of the ends.
	unacknowledged atomic.Bool

	mu            sync.Mutex
	closed        bool
	linger        int
	writeClosed   bool
	readDeadline  deadline
	writeDeadline deadline
}

// segment is bytes, or the end of a direction, with the time of their arrival.
type segment struct {
	at   time.Time
	data []byte
	// end is io.EOF or the error of a reset.
	end error
}

// half is one direction of a connection.
type half struct {
	mu       sync.Mutex
	segments []segment
	size     int
	// err ends the direction at once: the end was closed or reset by its own side.
	err error
	// gone is set when the receiving end is closed: whoever writes is reset.
	gone bool
	// changed is closed and replaced with each change.
	changed chan struct{}
}

func newHalf() *half {
	return &half{
		changed: make(chan struct{}),
	}
}

// signal wakes those that wait for a change.
func (h *half) signal() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.signalLocked()
}

func (h *half) signalLocked() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// deadline is the deadline of one direction; changed is closed and replaced when it is set.
type deadline struct {
	at      time.Time
	changed chan struct{}
}

// newPair returns a connection, at its dialling end.
func newPair(from, to *Host, local, remote netip.AddrPort, o socket.Options) *Conn {
	a := newConn(from, local, remote)
	b := newConn(to, remote, local)
	a.peer, b.peer, a.userTimeout, a.probeInterval = b, a, o.UserTimeout, o.ProbeInterval
	for _, c := range []*Conn{a, b} {
		c.host.net.add(c)
		if !c.host.add(c) {
			c.fail(syscall.ECONNRESET)
			c.peer.fail(syscall.ECONNRESET)
		}
	}
	return a
}

func newConn(h *Host, local, remote netip.AddrPort) *Conn {
	return &Conn{
		host:   h,
		local:  local,
		remote: remote,
		in:     newHalf(),
		linger: -1,
		readDeadline: deadline{
			changed: make(chan struct{}),
		},
		writeDeadline: deadline{
			changed: make(chan struct{}),
		},
	}
}

// discard removes a connection that was never opened.
func (c *Conn) discard() {
	for _, e := range []*Conn{c, c.peer} {
		e.host.remove(e)
		e.host.net.remove(e)
	}
}

// isCutFrom reports whether nothing arrives at this end.
func (c *Conn) isCutFrom() bool {
	return c.silent.Load() || c.host.net.IsCut(c.remote.Addr(), c.local.Addr())
}

// silence makes the connection deliver nothing more in either direction.
func (c *Conn) silence() {
	for _, e := range []*Conn{c, c.peer} {
		e.silent.Store(true)
		if e.probeInterval > 0 {
			time.AfterFunc(3*e.probeInterval, func() { e.fail(syscall.ETIMEDOUT) })
		}
	}
}

// opError returns the error of an operation on the connection.
func (c *Conn) opError(op string, err error) error {
	if err == io.EOF {
		return err
	}
	return &net.OpError{
		Op:     op,
		Net:    "tcp",
		Source: c.LocalAddr(),
		Addr:   c.RemoteAddr(),
		Err:    err,
	}
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	for {
		n, wait, err := c.in.take(b, time.Now(), c.isCutFrom())
		if n > 0 || err != nil {
			if n > 0 {
				return n, nil
			}
			return 0, c.opError("read", err)
		}
		if err := wait.until(c, &c.readDeadline); err != nil {
			return 0, c.opError("read", err)
		}
	}
}

// pause is what a read or write waits for.
type pause struct {
	// changed is the channel of the half; arrival is when its first segment arrives, zero if
	// that is not known.
	changed chan struct{}
	arrival time.Time
}

// until waits for a change, an arrival or a deadline.
func (p pause) until(c *Conn, d *deadline) error {
	c.mu.Lock()
	at, moved := d.at, d.changed
	c.mu.Unlock()
	var timer *time.Timer
	var expired <-chan time.Time
	wake := p.arrival
	if !at.IsZero() && (wake.IsZero() || at.Before(wake)) {
		wake = at
	}
	now := time.Now()
	if !at.IsZero() && !now.Before(at) {
		return os.ErrDeadlineExceeded
	}
	if !wake.IsZero() {
		timer = time.NewTimer(wake.Sub(now))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-p.changed:
	case <-moved:
	case <-expired:
	}
	return nil
}

// take moves bytes that have arrived into b. Without any it returns what to wait for.
func (h *half) take(b []byte, now time.Time, cut bool) (int, pause, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.err != nil {
		return 0, pause{}, h.err
	}
	if len(b) == 0 {
		return 0, pause{}, nil
	}
	wait := pause{
		changed: h.changed,
	}
	if cut || len(h.segments) == 0 {
		return 0, wait, nil
	}
	if first := h.segments[0]; now.Before(first.at) {
		wait.arrival = first.at
		return 0, wait, nil
	}
	n := 0
	for len(h.segments) > 0 && n < len(b) && !now.Before(h.segments[0].at) {
		s := &h.segments[0]
		if s.end != nil {
			if n > 0 {
				break
			}
			return 0, pause{}, s.end
		}
		k := copy(b[n:], s.data)
		n += k
		if s.data = s.data[k:]; len(s.data) == 0 {
			h.segments = h.segments[1:]
		}
	}
	h.size -= n
	h.signalLocked()
	return n, pause{}, nil
}

// Write implements net.Conn. It waits while the window is full.
func (c *Conn) Write(b []byte) (int, error) {
	sent := 0
	for {
		n, changed, err := c.put(b[sent:])
		sent += n
		if err != nil {
			return sent, c.opError("write", err)
		}
		if sent == len(b) {
			c.watchDelivery()
			return sent, nil
		}
		wait := pause{
			changed: changed,
		}
		if err := wait.until(c, &c.writeDeadline); err != nil {
			return sent, c.opError("write", err)
		}
	}
}

// put sends as many bytes as the window has room for.
func (c *Conn) put(b []byte) (int, chan struct{}, error) {
	c.mu.Lock()
	closed := c.closed || c.writeClosed
	c.mu.Unlock()
	if closed {
		return 0, nil, net.ErrClosed
	}
	c.in.mu.Lock()
	err := c.in.err
	if err == nil && len(c.in.segments) > 0 {
		if last := c.in.segments[len(c.in.segments)-1]; last.end != nil && last.end != io.EOF && !time.Now().Before(last.at) {
			err = syscall.EPIPE
		}
	}
	c.in.mu.Unlock()
	if err != nil {
		return 0, nil, err
	}
	out := c.peer.in
	out.mu.Lock()
	if out.gone {
		out.mu.Unlock()
		c.bounce()
		return len(b), nil, nil
	}
	defer out.mu.Unlock()
	n := min(len(b), window-out.size)
	if n > 0 {
		out.segments = append(out.segments, segment{
			at:   c.arrival(out),
			data: append([]byte(nil), b[:n]...),
		})
		out.size += n
		out.signalLocked()
	}
	return n, out.changed, nil
}

// arrival returns when a segment that is sent now arrives; segments stay in order. The caller
// holds the half's lock.
func (c *Conn) arrival(out *half) time.Time {
	at := time.Now().Add(c.host.net.delay(c.local.Addr(), c.remote.Addr()))
	if n := len(out.segments); n > 0 && out.segments[n-1].at.After(at) {
		at = out.segments[n-1].at
	}
	return at
}

// bounce answers bytes to a closed end with a reset.
func (c *Conn) bounce() {
	at := time.Now().Add(c.host.net.delay(c.local.Addr(), c.remote.Addr()) + c.host.net.delay(c.remote.Addr(), c.local.Addr()))
	c.in.end(at, syscall.ECONNRESET)
}

// end adds the end of a direction.
func (h *half) end(at time.Time, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.segments); n > 0 && h.segments[n-1].at.After(at) {
		at = h.segments[n-1].at
	}
	h.segments = append(h.segments, segment{
		at:  at,
		end: err,
	})
	h.signalLocked()
}

// watchDelivery fails the connection if what was written is still on its way after the user
// timeout.
func (c *Conn) watchDelivery() {
	if c.isCutFrom() || c.peer.isCutFrom() {
		c.unacknowledged.Store(true)
	}
	if c.userTimeout <= 0 || !c.peer.isCutFrom() {
		return
	}
	time.AfterFunc(c.userTimeout, func() {
		if c.peer.isCutFrom() {
			c.fail(syscall.ETIMEDOUT)
		}
	})
}

// HasUnacknowledged reports whether bytes were written of which the other end knows nothing, or this end does
// not know that it does.
func (c *Conn) HasUnacknowledged() bool {
	return c.unacknowledged.Load() && (c.isCutFrom() || c.peer.isCutFrom())
}

// fail ends this end of the connection at once.
func (c *Conn) fail(err error) {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	if c.in.err == nil {
		c.in.err = err
		c.in.signalLocked()
	}
}

// CloseWrite ends the direction from this end.
func (c *Conn) CloseWrite() error {
	c.mu.Lock()
	if c.closed || c.writeClosed {
		c.mu.Unlock()
		return net.ErrClosed
	}
	c.writeClosed = true
	c.mu.Unlock()
	c.peer.in.mu.Lock()
	at := c.arrival(c.peer.in)
	c.peer.in.mu.Unlock()
	c.peer.in.end(at, io.EOF)
	return nil
}

// SetLinger makes the close of the connection a reset if sec is 0.
func (c *Conn) SetLinger(sec int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.linger = sec
	return nil
}

// Close implements net.Conn. With unread bytes, or after SetLinger(0), the other end is reset.
func (c *Conn) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return net.ErrClosed
	}
	c.closed = true
	reset, ended := c.linger == 0, c.writeClosed
	c.mu.Unlock()
	c.in.mu.Lock()
	now := time.Now()
	for _, s := range c.in.segments {
		reset = reset || len(s.data) > 0 && !now.Before(s.at)
	}
	c.in.gone, c.in.segments, c.in.size = true, nil, 0
	if c.in.err == nil {
		c.in.err = net.ErrClosed
	}
	c.in.signalLocked()
	c.in.mu.Unlock()
	end := error(io.EOF)
	if reset {
		end = syscall.ECONNRESET
	}
	if reset || !ended {
		c.peer.in.mu.Lock()
		at := c.arrival(c.peer.in)
		c.peer.in.mu.Unlock()
		c.peer.in.end(at, end)
	}
	c.host.remove(c)
	c.host.net.remove(c)
	return nil
}

// IsIdle reports whether the connection is open and has nothing unread.
func (c *Conn) IsIdle() bool {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	if c.in.err != nil {
		return false
	}
	now := time.Now()
	return len(c.in.segments) == 0 || now.Before(c.in.segments[0].at) || c.isCutFrom()
}

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr {
	return net.TCPAddrFromAddrPort(c.local)
}

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr {
	return net.TCPAddrFromAddrPort(c.remote)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline.set(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline.set(t)
	return nil
}

func (d *deadline) set(t time.Time) {
	d.at = t
	close(d.changed)
	d.changed = make(chan struct{})
}
