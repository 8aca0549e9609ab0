// Package rest is the HTTP client used throughout the project. It never retries a
// request, can be cancelled at any time, and reports whether a failed request may
// have reached the server.
//
// It is based on net/http instead of hertz's client, which sends GET, PUT and DELETE
// again when a pooled connection turns out to be closed, whatever its retry settings,
// and cannot be cancelled while it waits for a response header. Either would make
// the outcome "not run" unreliable.
//
// # Usage
//
//	c := rest.NewClient(2*time.Second, 64)
//	resp, err := c.Send(ctx, rest.Request{Method: http.MethodGet, Addr: addr, Path: "/state"})
//	if err != nil {
//		return err // a *rest.SendError
//	}
//	defer resp.Body.Close()
package rest

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"currantstile/errs"
	"currantstile/memory"
	"currantstile/socket"
	"currantstile/stream"
)

// MaxResponseBytes is the largest response body that Exchange reads, in bytes.
const MaxResponseBytes = 16 << 20

// ErrTooLarge is the cause of the error for a response body over MaxResponseBytes.
var ErrTooLarge = stream.ErrTooLarge

// ErrStatus is the cause of a SendError if the status of a response is not one of HTTP, or 101, which no request asks for.
var ErrStatus = errors.New("response with an impossible status")

// idleConnTimeout is how long an idle connection is kept for reuse.
const idleConnTimeout = 60 * time.Second

// probeInterval is how often the system probes a connection on which nothing is received, as while a
// watch waits: one that has gone silent is found broken after about three times that.
const probeInterval = time.Second

// maxStatus is the largest status of HTTP.
const maxStatus = 599

// Request is one HTTP request.
type Request struct {
	Method string
	Addr   netip.AddrPort
	// Path includes the query.
	Path   string
	Header http.Header
	Body   []byte
	// FreshConn sends the request on a new connection, so that a pooled connection
	// that the server has closed in the meantime is not mistaken for a failed
	// request.
	FreshConn bool
	// Held takes the bytes of the response, which its owner releases. Without it they are taken from
	// Client.Answers while the response is read.
	Held *memory.Holder
}

// SendError is the error of a request that got no complete, valid response.
type SendError struct {
	// MaybeSent reports whether any byte of the request may have been sent; if it is
	// false, the server has received nothing of the request.
	MaybeSent bool
	Err       error
}

// Error implements error.
func (e *SendError) Error() string {
	if e.MaybeSent {
		return "no valid response: " + e.Err.Error()
	}
	return "request not sent: " + e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *SendError) Unwrap() error {
	return e.Err
}

// MaybeSent reports whether the request that failed with err may have reached the
// server. It returns true for an error that is not a *SendError.
func MaybeSent(err error) bool {
	var e *SendError
	return !errors.As(err, &e) || e.MaybeSent
}

// Client sends HTTP requests. It is safe for concurrent use.
type Client struct {
	// Answers bounds the answers that are held; nil is no bound. It must be set before the first call.
	Answers  *memory.Pool
	pooled   *http.Client
	unpooled *http.Client
}

// NewClient returns a client that limits connecting to dialTimeout and keeps at most
// idlePerHost idle connections to each address. It does not follow redirects.
func NewClient(dialTimeout time.Duration, idlePerHost int) *Client {
	return NewClientIn(nil, dialTimeout, idlePerHost)
}

// NewClientIn is NewClient for a network; nil is the operating system's.
func NewClientIn(n socket.Network, dialTimeout time.Duration, idlePerHost int) *Client {
	return &Client{
		pooled:   newHTTPClient(n, dialTimeout, idlePerHost, false),
		unpooled: newHTTPClient(n, dialTimeout, idlePerHost, true),
	}
}

func newHTTPClient(n socket.Network, dialTimeout time.Duration, idlePerHost int, fresh bool) *http.Client {
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		addr, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, err
		}
		c, err := socket.Or(n).Dial(ctx, addr, socket.Options{
			Timeout:       dialTimeout,
			ProbeInterval: probeInterval,
		})
		if err != nil {
			return nil, err
		}
		return &checkedConn{
			Conn: c,
		}, nil
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: idlePerHost,
			IdleConnTimeout:     idleConnTimeout,
			DisableKeepAlives:   fresh,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// checkedConn is a connection that checks the heads of responses.
type checkedConn struct {
	net.Conn

	mu   sync.Mutex
	head stream.HeadCheck
}

// Read implements net.Conn.
func (c *checkedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.Add(b[:n])
	return n, err
}

// beginHead prepares the connection for the response to the next request.
func (c *checkedConn) beginHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.Reset()
}

// headErr returns what is wrong with the head that was read, or nil.
func (c *checkedConn) headErr() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.Err()
}

// nonRewindableBody hides the type of the reader, so that net/http cannot rewind the
// body and retry the request.
type nonRewindableBody struct {
	io.Reader
}

// Close implements io.Closer.
func (nonRewindableBody) Close() error {
	return nil
}

// Send sends the request once and returns as soon as the response header is read. The
// caller must close the response body. Errors are of type *SendError.
func (c *Client) Send(ctx context.Context, r Request) (*http.Response, error) {
	var used atomic.Pointer[checkedConn]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c := info.Conn.(*checkedConn)
			c.beginHead()
			used.Store(c)
		},
	}
	req, err := newHTTPRequest(httptrace.WithClientTrace(ctx, trace), r)
	if err != nil {
		return nil, &SendError{
			Err: errs.WithPeer(err, "Client.Send", r.Addr),
		}
	}
	client := c.pooled
	if r.FreshConn {
		client = c.unpooled
	}
	resp, err := client.Do(req)
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			// The connection may be silent for good, and others of the pool with it.
			c.pooled.CloseIdleConnections()
		}
		return nil, &SendError{
			MaybeSent: used.Load() != nil,
			Err:       errs.WithPeer(err, "Client.Send", r.Addr),
		}
	}
	conn := used.Load()
	if err := checkHead(resp, conn); err != nil {
		// What follows on the connection can't be relied on either. Errors of closing leave it unused as well.
		_ = resp.Body.Close()
		_ = conn.Close()
		return nil, &SendError{
			MaybeSent: true,
			Err:       errs.WithPeer(err, "Client.Send", r.Addr),
		}
	}
	return resp, nil
}

// checkHead returns what is wrong with the head of a response from a connection, or nil.
func checkHead(resp *http.Response, c *checkedConn) error {
	// net/http passes interim responses over, but not a switch of protocols, which no request asks for.
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		return errors.Wrapf(ErrStatus, "status %03d", resp.StatusCode)
	}
	return c.headErr()
}

func newHTTPRequest(ctx context.Context, r Request) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Addr.String()+r.Path, nil)
	if err != nil {
		return nil, err
	}
	for name, values := range r.Header {
		req.Header[name] = values
	}
	// A body that net/http cannot rewind disables its automatic retries. It is also set
	// in requests without a body, where net/http detects that it is empty.
	req.Body = nonRewindableBody{
		Reader: bytes.NewReader(r.Body),
	}
	req.ContentLength = int64(len(r.Body))
	return req, nil
}

// Response is an HTTP response with its body in memory.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Framing is how the end of Body was marked. A body that ends with its connection may be
	// incomplete if the server ended with it.
	Framing stream.Framing
}

// Exchange sends the request once and reads the response body, up to
// MaxResponseBytes. Errors are of type *SendError.
func (c *Client) Exchange(ctx context.Context, r Request) (Response, error) {
	resp, err := c.Send(ctx, r)
	if err != nil {
		return Response{}, err
	}
	defer resp.Body.Close()
	held := r.Held
	if held == nil {
		own := c.Answers.Holder()
		defer own.Release()
		held = &own
	}
	body, err := stream.ReadHeld(resp.Body, resp.ContentLength, MaxResponseBytes, held)
	if err != nil {
		return Response{}, &SendError{
			MaybeSent: true,
			Err:       errs.WithPeer(err, "Client.Exchange", r.Addr),
		}
	}
	return Response{
		Status:  resp.StatusCode,
		Header:  resp.Header,
		Body:    body,
		Framing: stream.FramingOf(resp),
	}, nil
}

// ExchangeJSON works as Exchange with in, unless it is nil, encoded as JSON in the
// request body. For a status below 300 it decodes the response body into out, unless
// that is nil.
func (c *Client) ExchangeJSON(ctx context.Context, r Request, in, out any) (Response, error) {
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return Response{}, &SendError{
				Err: errs.WithOp(err, "Client.ExchangeJSON"),
			}
		}
		r.Body = body
	}
	resp, err := c.Exchange(ctx, r)
	if err != nil || resp.Status >= http.StatusMultipleChoices || out == nil {
		return resp, err
	}
	if err := json.Unmarshal(resp.Body, out); err != nil {
		return resp, &SendError{
			MaybeSent: true,
			Err:       errs.WithPeer(err, "Client.ExchangeJSON", r.Addr),
		}
	}
	return resp, nil
}
