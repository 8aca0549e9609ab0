package accept

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"currantstile/memory"
	"currantstile/shed"
)

const (
	// writePiece is how much of a response has to be read in each WriteTimeout.
	writePiece = 64 << 10
	// fieldBytes is the memory that a parsed field takes beside its bytes.
	fieldBytes = 128
	// headStep is the step in which memory is taken for a header section.
	headStep = 4 << 10
)

// Refusals that are written to connections whose header section is not read to its end.
const (
	refuseFields = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	refuseBody   = "HTTP/1.1 413 Request Entity Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	refuseRoom   = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// refuseTime bounds the writing of a refusal.
	refuseTime = 100 * time.Millisecond
	// discardTime and discardBytes bound what is read of a request that is not needed.
	discardTime  = 200 * time.Millisecond
	discardBytes = 256 << 10
)

// Conn is a bounded connection.
type Conn struct {
	net.Conn
	listener *Listener
	// blockedSince is when the write in progress began, in nanoseconds since 1970; 0 is none.
	blockedSince atomic.Int64
	// writeUntil is the write deadline, for one writer at a time.
	writeUntil time.Time

	mu     sync.Mutex
	info   shed.Conn
	held   memory.Holder
	closed bool
	// onClose is called once the connection is closed; nil calls nothing.
	onClose func()
	// done is set once the handler of the last request has returned; its response may still be written.
	done bool
	// abandoned is set once what the peer still sends is not needed.
	abandoned bool
	// framing follows the requests that are received.
	framing framing
	// headHeld is the memory that the header section may take without taking more.
	headHeld int64
}

// Info returns what is known of the connection.
func (c *Conn) Info() shed.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	info := c.info
	if since := c.blockedSince.Load(); since != 0 {
		info.BlockedSince = time.Unix(0, since)
	}
	return info
}

// hold takes n bytes of memory more and reports whether they fit.
func (c *Conn) hold(n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || !c.held.Grow(n) {
		return false
	}
	c.info.Held += n
	return true
}

// SetHeld records the bytes that a request takes beside the buffers of the connection.
func (c *Conn) SetHeld(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.info.Held = connBytes + c.headHeld + n
}

// SetState records what the connection is used for from now on.
func (c *Conn) SetState(now time.Time, s shed.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.info.State == s {
		return
	}
	if s == shed.Idle {
		c.framing.resetPeak()
		c.headHeld = 0
		c.held.Set(min(c.held.Bytes(), connBytes))
		c.info.Held, c.info.Received = connBytes, 0
	}
	c.info.State, c.info.Since = s, now
}

// Begin records that a request was received completely. It reports false if the connection was closed before.
func (c *Conn) Begin(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.info.State, c.info.Since, c.info.Used, c.done = shed.Working, now, true, false
	return true
}

// Authenticate records that a request on the connection had a valid key.
func (c *Conn) Authenticate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.info.Authenticated = true
}

// Done records that the handler of a request has returned. The connection is idle from the next Read on.
func (c *Conn) Done() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.done = true
}

// Abandon records that the rest of a request is not needed: it is discarded for a moment, so that the peer
// gets the response, and then the connection ends.
func (c *Conn) Abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandoned = true
}

// beginRead is called before each Read. It reports false if the connection is abandoned.
func (c *Conn) beginRead(now time.Time) bool {
	c.mu.Lock()
	done, abandoned := c.done, c.abandoned
	c.done = false
	c.mu.Unlock()
	if done && !abandoned {
		c.SetState(now, shed.Idle)
	}
	return !abandoned
}

// discard reads what the peer still sends, within bounds.
func (c *Conn) discard(b []byte) {
	// Without a deadline nothing is read.
	if err := c.Conn.SetReadDeadline(time.Now().Add(discardTime)); err != nil {
		return
	}
	for left := discardBytes; left > 0; {
		n, err := c.Conn.Read(b)
		if err != nil {
			return
		}
		left -= n
	}
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	if !c.beginRead(time.Now()) {
		c.discard(b)
		return 0, io.EOF
	}
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	if refusal, kind := c.received(time.Now(), b[:n]); refusal != "" {
		c.listener.count(kind)
		// The peer may have gone.
		_ = c.Conn.SetWriteDeadline(time.Now().Add(refuseTime))
		_, _ = io.WriteString(c.Conn, refusal)
		_ = c.CloseWrite()
		c.discard(b)
		_ = c.Close()
		return 0, io.EOF
	}
	return n, err
}

// received counts received bytes. It returns the refusal and its kind if a bound is exceeded.
func (c *Conn) received(now time.Time, b []byte) (refusal, kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return "", ""
	}
	if c.info.State == shed.Idle {
		c.info.State, c.info.Since = shed.Receiving, now
	}
	c.info.Received += int64(len(b))
	if c.listener.Limits.Messages {
		return "", ""
	}
	c.framing.advance(b)
	if c.info.State != shed.Receiving {
		// A response is owed, so the next request is refused afterwards.
		return "", ""
	}
	if c.framing.refusal != "" {
		return c.framing.refusal, c.framing.kind
	}
	need := c.framing.peak
	if need <= c.headHeld {
		return "", ""
	}
	// The first headStep is part of connBytes.
	step := (need-c.headHeld)/headStep*headStep + headStep
	if c.headHeld == 0 {
		step -= headStep
	}
	if !c.held.Grow(step) {
		return refuseRoom, KindFull
	}
	c.headHeld = need/headStep*headStep + headStep
	c.info.Held += step
	return "", ""
}

// Write implements net.Conn. The peer has to read each piece in time.
func (c *Conn) Write(b []byte) (int, error) {
	timeout := c.listener.writeTimeout()
	if timeout <= 0 {
		return c.Conn.Write(b)
	}
	written := 0
	defer c.blockedSince.Store(0)
	for {
		now := time.Now()
		c.blockedSince.Store(now.UnixNano())
		if err := c.extendWrite(now, timeout); err != nil {
			return written, err
		}
		piece := b[written:min(written+writePiece, len(b))]
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil {
			var e net.Error
			if errors.As(err, &e) && e.Timeout() {
				c.listener.count(KindUnread)
			}
			return written, err
		}
		if written == len(b) {
			return written, nil
		}
	}
}

// extendWrite gives the next piece at least the timeout, and at most a quarter more: a stream of small events does
// not set a deadline for each.
func (c *Conn) extendWrite(now time.Time, timeout time.Duration) error {
	if c.writeUntil.Sub(now) >= timeout {
		return nil
	}
	c.writeUntil = now.Add(timeout + timeout/4)
	return c.Conn.SetWriteDeadline(c.writeUntil)
}

// SetWriteDeadline implements net.Conn. Write sets the deadline of each piece.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	if c.listener.writeTimeout() > 0 {
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the writing side, as net/http does before it closes a connection whose request it has not
// read to its end.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// closeUnless closes the connection unless its state has changed, and counts it. It reports whether the
// connection is closed.
func (c *Conn) closeUnless(s shed.State, kind string) bool {
	c.mu.Lock()
	if c.info.State != s && !c.closed {
		c.mu.Unlock()
		return false
	}
	closed := c.release()
	c.mu.Unlock()
	closed()
	c.listener.count(kind)
	c.listener.remove(c)
	// The connection has ended either way.
	_ = c.Conn.Close()
	return true
}

// OnClose sets what is called when the connection is closed on this side; it is called at once if it was.
func (c *Conn) OnClose(f func()) {
	c.mu.Lock()
	closed := c.closed
	c.onClose = f
	c.mu.Unlock()
	if closed {
		f()
	}
}

// release gives back the memory of the connection and returns what is to be called then. c.mu is held.
func (c *Conn) release() func() {
	if c.closed {
		return func() {}
	}
	c.closed = true
	c.held.Release()
	if c.onClose == nil {
		return func() {}
	}
	return c.onClose
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	closed := c.release()
	c.mu.Unlock()
	closed()
	c.listener.remove(c)
	return c.Conn.Close()
}

// SetState is the ConnState hook of an HTTP server whose handlers read no bodies. A request counts as received
// once its header section was.
func SetState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.SetState(time.Now(), shed.Idle)
	case http.StateActive:
		c.SetState(time.Now(), shed.Receiving)
	}
}
