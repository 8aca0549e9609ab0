// Package origin sends single requests to targets over connections of its own. It
// never repeats a request, reports whether any byte of it can have left, and
// uses a connection again only if nothing about the last answer was in doubt.
// Messages are parsed by net/http; its client is not used, because it would
// repeat requests by itself and hide what was sent.
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
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// DefaultDialTimeout bounds the opening of a connection: several times the
	// longest round trip within a region, and one lost packet less.
	DefaultDialTimeout = 400 * time.Millisecond
	// tcpUserTimeout is how long sent bytes may stay unacknowledged before a
	// connection counts as broken.
	tcpUserTimeout = 2500 * time.Millisecond
	// defaultKeepAlive is how long an idle connection is kept where the target states no
	// time, and keepMargin is left of the time that it states.
	defaultKeepAlive = 4 * time.Second
	keepAliveMargin  = time.Second
	// maxIdlePerTarget bounds the idle connections to one target.
	maxIdlePerTarget = 8
	// maxInlineWrite is the largest request that is written before its answer is
	// read; a longer one is written meanwhile, since a target may answer early.
	maxInlineWrite = 16 << 10
	readBufferSize = 4 << 10
)

// Request is one request to one target.
type Request struct {
	Addr   netip.AddrPort
	Method string
	// URI is written as it is.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdle is the longest time for which a connection may have been idle; 0
	// takes the pool's own bound, a negative one opens a new connection.
	MaxIdle time.Duration
}

// SendError is a request that brought no answer.
type SendError struct {
	// MaybeSent reports whether any byte of the request can have left.
	MaybeSent bool
	// Connected reports whether the target accepted a connection.
	Connected bool
	Err       error
}

// Error implements error.
func (e *SendError) Error() string {
	if e.MaybeSent {
		return "no answer: " + e.Err.Error()
	}
	return "not sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error {
	return e.Err
}

// conn is a connection to a target.
type conn struct {
	net.Conn
	br        *bufio.Reader
	idleSince time.Time
	keepAlive time.Duration
}

// reset closes the connection at once, and drops what has not left yet: a request
// that nobody waits for any more must not arrive later.
func (c *conn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		// A connection that is broken already has nothing left to drop.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// Pool keeps idle connections to targets. The zero value is ready for use.
type Pool struct {
	// DialTimeout bounds the opening of a connection; DefaultDialTimeout if zero.
	DialTimeout time.Duration

	mu          sync.Mutex
	idle        map[netip.AddrPort][]*conn
	openedConns int64
}

// OpenedConns is how many connections were opened so far.
func (p *Pool) OpenedConns() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openedConns
}

// Response is an answer whose body is still to be read. Close ends it.
type Response struct {
	*http.Response
	pool      *Pool
	conn      *conn
	addr      netip.AddrPort
	stop      func() bool
	writeDone <-chan error
	body      *eofReader
	closed    bool
}

// Send sends a request and reads the head of its answer. A failure is a
// *SendError. When ctx ends, the connection is closed.
func (p *Pool) Send(ctx context.Context, r Request) (*Response, error) {
	c, err := p.get(ctx, r)
	if err != nil {
		return nil, &SendError{
			Err: err,
		}
	}
	stop := context.AfterFunc(ctx, c.reset)
	wrote := make(chan error, 1)
	head := encodeRequest(r)
	if len(head) > maxInlineWrite {
		go func() {
			_, err := c.Write(head)
			wrote <- err
		}()
	} else {
		_, err := c.Write(head)
		wrote <- err
	}
	req := &http.Request{
		Method: r.Method,
	}
	resp, err := readResponse(c.br, req)
	if err != nil {
		stop()
		_ = c.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &SendError{
			MaybeSent: true,
			Connected: true,
			Err:       err,
		}
	}
	body := &eofReader{
		ReadCloser: resp.Body,
		eof:        resp.Body == http.NoBody,
	}
	resp.Body = body
	return &Response{
		Response:  resp,
		body:      body,
		pool:      p,
		conn:      c,
		addr:      r.Addr,
		stop:      stop,
		writeDone: wrote,
	}, nil
}

// readResponse reads an answer's head, passing over interim ones.
func readResponse(br *bufio.Reader, req *http.Request) (*http.Response, error) {
	const maxInterim = 5
	for range maxInterim {
		resp, err := http.ReadResponse(br, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, errors.New("too many interim answers")
}

// encodeRequest is the request as it is written.
func encodeRequest(r Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

func (p *Pool) get(ctx context.Context, r Request) (*conn, error) {
	now := time.Now()
	for r.MaxIdle >= 0 {
		c := p.popIdle(r.Addr)
		if c == nil {
			break
		}
		idle := now.Sub(c.idleSince)
		if idle < c.keepAlive && (r.MaxIdle == 0 || idle <= r.MaxIdle) && isReusable(c.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
	d := net.Dialer{
		Timeout: p.dialTimeout(),
		// The targets' own time-outs and the user time-out below stand for
		// keep-alive probes.
		KeepAlive: -1,
		Control: func(_, _ string, rc syscall.RawConn) error {
			return rc.Control(func(fd uintptr) {
				// A system without the option only notices silence later.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
			})
		},
	}
	nc, err := d.DialContext(ctx, "tcp", r.Addr.String())
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.openedConns++
	p.mu.Unlock()
	return &conn{
		Conn: nc,
		br:   bufio.NewReaderSize(nc, readBufferSize),
	}, nil
}

func (p *Pool) dialTimeout() time.Duration {
	if p.DialTimeout == 0 {
		return DefaultDialTimeout
	}
	return p.DialTimeout
}

func (p *Pool) popIdle(addr netip.AddrPort) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

// isReusable reports whether an idle connection is open and has nothing to be read.
func isReusable(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
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

// Close ends the answer. Its connection is used again only if the body was read
// to its end, nothing came after it, the request was written whole, and the
// target did not ask for the connection to be closed.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	interrupted := !r.stop()
	written := false
	select {
	case err := <-r.writeDone:
		written = err == nil
	default:
	}
	if interrupted || !written || r.Response.Close || r.conn.br.Buffered() > 0 || !r.body.eof {
		_ = r.conn.Close()
		return
	}
	r.conn.keepAlive = keepAliveTimeout(r.Header)
	r.conn.idleSince = time.Now()
	r.pool.putIdle(r.addr, r.conn)
}

// eofReader notes when a body has come to its end.
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

func (p *Pool) putIdle(addr netip.AddrPort, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[netip.AddrPort][]*conn)
	}
	list := p.idle[addr]
	if len(list) >= maxIdlePerTarget {
		_ = list[0].Close()
		list = list[1:]
	}
	p.idle[addr] = append(list, c)
}

// CloseExpired closes the connections that have been idle for too long.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) < c.keepAlive {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = kept
	}
}

// keepAliveTimeout is how long a connection may be idle by what the target states.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); name == "timeout" && err == nil {
			return time.Duration(n)*time.Second - keepAliveMargin
		}
	}
	return defaultKeepAlive
}
