// Package origin implements an HTTP/1.1 client for requests to targets, with its
// own connection pool. It never retries a request, reports whether any byte of a
// failed request may have been sent, and reuses a connection only if the previous
// request and response were complete and unambiguous. Messages are parsed by
// net/http, but its client is not used, because it retries requests by itself and
// does not report whether anything was sent.
//
// # Usage
//
//	p := &origin.Pool{}
//	resp, err := p.Send(ctx, origin.Request{Addr: addr, Method: "GET", URI: "/report", Host: "x"})
//	if err != nil {
//		return err // a *origin.SendError
//	}
//	defer resp.Close()
package origin

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"currantstile/memory"
	"currantstile/socket"
	"currantstile/stream"
)

const (
	// DefaultDialTimeout is the default limit for opening a connection: several
	// times the longest round trip within a region, but less than the delay that
	// one lost packet causes.
	DefaultDialTimeout = 400 * time.Millisecond
	// tcpUserTimeout is how long sent data may stay unacknowledged before the
	// connection is considered broken.
	tcpUserTimeout = 2500 * time.Millisecond
	// defaultKeepAlive is how long an idle connection is kept if the target does
	// not state a Keep-Alive timeout; keepAliveMargin is subtracted from a stated
	// timeout, to avoid reusing a connection that the target is closing.
	defaultKeepAlive = 4 * time.Second
	keepAliveMargin  = time.Second
	// maxIdlePerTarget is the maximum number of idle connections to one target.
	maxIdlePerTarget = 8
	// minIdleTime is the shortest time for which it pays to keep a connection.
	minIdleTime = 20 * time.Millisecond
	// maxInlineWrite is the size in bytes of the largest request that is written
	// before its response is read. A larger one is written concurrently, since a
	// target may respond before it has read the whole request.
	maxInlineWrite = 16 << 10
	readBufferSize = 4 << 10
	// maxRefusedIDs is the number of requests that may be refused on one connection before it
	// is closed.
	maxRefusedIDs = 16
	// maxHeadBytes bounds the head of a response, with the interim responses before it.
	maxHeadBytes = 64 << 10
	// maxStatus is the largest status of HTTP.
	maxStatus = 599
)

// ErrHeadTooLarge is the cause of a SendError if the head of a response does not end
// within its bound.
var ErrHeadTooLarge = errors.New("head of the response is too large")

// ErrStatus is the cause of a SendError if the status of a response is not one of HTTP, or 101, which no request asks for.
var ErrStatus = errors.New("response with an impossible status")

// Request is an HTTP request to a target.
type Request struct {
	// ID identifies the request: it is not sent on a connection on which it was refused
	// before. It may be empty.
	ID     string
	Addr   netip.AddrPort
	Method string
	// URI is the request target, written unmodified.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdle is the longest time for which a reused connection may have been
	// idle. 0 applies only the limits of the pool; a negative value always opens
	// a new connection.
	MaxIdle time.Duration
	// IdleShare is how many idle connections to the target this instance may keep, on average over
	// time; 0 applies only the limits of the pool.
	IdleShare float64
	// Written is called, on another goroutine, once all of a request that is larger than maxInlineWrite is
	// written; it may be nil.
	Written func()
	// Held takes the bytes of the head of the response, which its owner releases; nil is no bound.
	Held *memory.Holder
}

// SendError is the error of a request without a response.
type SendError struct {
	// MaybeSent reports whether any byte of the request may have been sent.
	MaybeSent bool
	// Connected reports whether a connection to the target was established.
	Connected bool
	Err       error
}

// Error implements error.
func (e *SendError) Error() string {
	if e.MaybeSent {
		return "no response, request may have been sent: " + e.Err.Error()
	}
	return "request not sent: " + e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *SendError) Unwrap() error {
	return e.Err
}

// conn is a pooled connection to a target.
type conn struct {
	net.Conn
	br        *bufio.Reader
	idleSince time.Time
	keepAlive time.Duration
	idleShare float64
	// refused are the IDs of the requests that were refused on the connection: the refusal
	// may come once more.
	refused []string
	// headLeft is how many bytes may still be read for a head; negative while a body is
	// read, which is passed on or bounded by its reader.
	headLeft int
	// head checks the head.
	head stream.HeadCheck
	// held takes the bytes of the head.
	held *memory.Holder
	// lastRead is when something was last received; nil if nothing was. longestGap is the longest time
	// between two reads of the present response, in nanoseconds.
	lastRead   atomic.Pointer[time.Time]
	longestGap atomic.Int64
}

// recordRead records that something was received.
func (c *conn) recordRead(now time.Time) {
	if last := c.lastRead.Swap(&now); last != nil && c.headLeft < 0 {
		c.longestGap.Store(max(c.longestGap.Load(), int64(now.Sub(*last))))
	}
}

// Read implements io.Reader. It bounds the bytes of a head: a target that sends bytes
// without end would otherwise fill the memory.
func (c *conn) Read(b []byte) (int, error) {
	if c.headLeft == 0 {
		return 0, ErrHeadTooLarge
	}
	if c.headLeft > 0 && len(b) > c.headLeft {
		b = b[:c.headLeft]
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.recordRead(time.Now())
	}
	if c.headLeft > 0 {
		c.headLeft -= n
		c.head.Add(b[:n])
		if !c.held.Grow(int64(n)) {
			return n, memory.ErrNoRoom
		}
	}
	return n, err
}

// reset closes the connection with a TCP reset and discards unsent data, so that a
// cancelled request does not reach the target later.
func (c *conn) reset() {
	socket.Reset(c.Conn)
}

// Pool sends requests and keeps idle connections to targets. The zero value is
// ready for use.
type Pool struct {
	// DialTimeout limits the opening of a connection; 0 means DefaultDialTimeout.
	DialTimeout time.Duration
	// Network is the network to dial in; nil is the operating system's.
	Network socket.Network
	Log     log.Logger
	// Answers bounds the answers to orders that are held; nil is no bound.
	Answers *memory.Pool

	mu          sync.Mutex
	idle        map[netip.AddrPort]*idleList
	openedConns int64
	silentConns int64
	// silentAt is when a connection was last found silent, and struckAt when one was shortly after another.
	silentAt time.Time
	struckAt time.Time
}

// OpenedConns returns the number of connections opened so far.
func (p *Pool) OpenedConns() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openedConns
}

// Response is a response whose head has been read. The caller reads the body and
// must call Close.
type Response struct {
	*http.Response
	pool *Pool
	conn *conn
	addr netip.AddrPort
	// stop cancels the reset of the connection at the end of ctx. It returns false
	// if the reset has already begun.
	stop    func() bool
	watcher *watcher
	// writeDone receives the result of writing the request.
	writeDone <-chan error
	body      *eofReader
	closed    bool
	id        string
	reused    bool
}

// Send sends a request and reads the head of the response. Its errors are of type
// *SendError. The connection is reset when ctx ends before Response.Close is called.
func (p *Pool) Send(ctx context.Context, r Request) (*Response, error) {
	c, err := p.get(ctx, r)
	if err != nil {
		return nil, &SendError{
			Err: err,
		}
	}
	stop := context.AfterFunc(ctx, c.reset)
	w := p.watch(c, r.Addr)
	writeDone := make(chan error, 1)
	head, body, written := encodeHead(r), r.Body, r.Written
	// While the answer is awaited, only the writer holds the body.
	r.Body = nil
	if len(head)+len(body) > maxInlineWrite {
		go w.writeTo(writeDone, written, head, body)
	} else {
		writeDone <- w.write(head, body)
	}
	req := &http.Request{
		Method: r.Method,
	}
	c.head.Reset()
	c.headLeft, c.held = maxHeadBytes, r.Held
	resp, err := readResponse(c.br, req)
	c.headLeft, c.held = -1, nil
	if err == nil {
		err = c.head.Err()
	}
	if err != nil {
		stop()
		silent := w.stop()
		_ = c.Close()
		switch {
		case ctx.Err() != nil:
			err = ctx.Err()
		case silent:
			err = ErrSilent
		}
		return nil, &SendError{
			MaybeSent: true,
			Connected: true,
			Err:       err,
		}
	}
	reader := &eofReader{
		ReadCloser: resp.Body,
		eof:        resp.Body == http.NoBody,
	}
	resp.Body = reader
	return &Response{
		Response:  resp,
		id:        r.ID,
		reused:    !c.idleSince.IsZero(),
		body:      reader,
		pool:      p,
		conn:      c,
		addr:      r.Addr,
		stop:      stop,
		watcher:   w,
		writeDone: writeDone,
	}, nil
}

// readResponse reads the head of the final response and skips interim (1xx)
// responses.
func readResponse(br *bufio.Reader, req *http.Request) (*http.Response, error) {
	const maxInterim = 5
	for range maxInterim {
		resp, err := http.ReadResponse(br, req)
		if err != nil {
			return nil, err
		}
		// No request asks for another protocol.
		if resp.StatusCode < http.StatusContinue || resp.StatusCode == http.StatusSwitchingProtocols || resp.StatusCode > maxStatus {
			return nil, errors.Wrapf(ErrStatus, "status %03d", resp.StatusCode)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, errors.New("too many interim (1xx) responses from target")
}

// get returns an idle connection to the target that may be reused, or opens a new one.
func (p *Pool) get(ctx context.Context, r Request) (*conn, error) {
	now := time.Now()
	for r.MaxIdle >= 0 {
		c := p.popIdle(now, r.Addr, r.ID)
		if c == nil {
			break
		}
		idle := now.Sub(c.idleSince)
		if idle < c.keepAlive && (r.MaxIdle == 0 || idle <= r.MaxIdle) && socket.IsIdle(c.Conn) {
			c.idleShare = r.IdleShare
			return c, nil
		}
		_ = c.Close()
	}
	nc, err := p.dial(ctx, r.Addr)
	if err != nil {
		return nil, err
	}
	return newConn(nc, r.IdleShare), nil
}

// newConn returns a connection that has just been opened.
func newConn(nc net.Conn, idleShare float64) *conn {
	c := &conn{
		Conn:      nc,
		idleShare: idleShare,
		headLeft:  -1,
	}
	c.br = bufio.NewReaderSize(c, readBufferSize)
	return c
}

// dial opens a connection.
func (p *Pool) dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	c, err := socket.Or(p.Network).Dial(ctx, addr, socket.Options{
		Timeout:     p.dialTimeout(),
		UserTimeout: tcpUserTimeout,
		// The targets' idle timeouts and UserTimeout detect broken connections.
		NoProbes: true,
	})
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openedConns++
	p.listOf(addr).connectedAt = time.Now()
	return c, nil
}

// Refuses reports whether connections to an address are refused: the machine answers, but
// no process listens there. It opens a connection and closes it again.
func (p *Pool) Refuses(ctx context.Context, addr netip.AddrPort) bool {
	c, err := p.dial(ctx, addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = c.Close()
	return false
}

func (p *Pool) dialTimeout() time.Duration {
	if p.DialTimeout == 0 {
		return DefaultDialTimeout
	}
	return p.DialTimeout
}

// Abort resets the connection, so that a pending read of the body fails. It may be called
// while the body is being read.
func (r *Response) Abort() {
	r.conn.reset()
}

// WentSilent ends the watch of the connection and reports whether it was given up because it was silent.
func (r *Response) WentSilent() bool {
	return r.watcher != nil && r.watcher.stop()
}

// Reused reports whether the connection was used before, so that what came may belong to an
// earlier request.
func (r *Response) Reused() bool {
	return r.reused
}

// RecordRefused records that the response refuses the request. A target may write a refusal once
// more, which could be taken for that of the same request when it is sent again.
func (r *Response) RecordRefused() {
	r.conn.refused = append(r.conn.refused, r.id)
	if len(r.conn.refused) > maxRefusedIDs {
		r.Response.Close = true
	}
}

// Close finishes the response. The connection is returned to the pool only if the
// request was written completely, the body was read to its end, no bytes follow
// it, ctx of Send has not ended, and the target did not ask to close the
// connection. Otherwise it is closed.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	interrupted := !r.stop()
	interrupted = r.WentSilent() || interrupted
	requestWritten := false
	select {
	case err := <-r.writeDone:
		requestWritten = err == nil
	default:
	}
	if interrupted || !requestWritten || r.Response.Close || r.conn.br.Buffered() > 0 || !r.body.eof {
		_ = r.conn.Close()
		return
	}
	r.conn.keepAlive = keepAliveTimeout(r.Header)
	r.pool.release(r.addr, r.conn)
}

// eofReader records whether a body has been read to its end.
type eofReader struct {
	io.ReadCloser
	eof bool
}

// Read implements io.Reader.
func (e *eofReader) Read(b []byte) (int, error) {
	n, err := e.ReadCloser.Read(b)
	e.eof = e.eof || err == io.EOF
	return n, err
}

// keepAliveTimeout returns how long a connection may be idle, from the Keep-Alive
// header of a response.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); name == "timeout" && err == nil {
			return time.Duration(n)*time.Second - keepAliveMargin
		}
	}
	return defaultKeepAlive
}
