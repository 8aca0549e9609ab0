// Package rest is the one HTTP client of the project. It never repeats a
// request by itself, can be cancelled at any moment, and tells whether a failed
// request can have reached the other side.
//
// It builds on net/http and not on hertz's client: that one sends GET, PUT and
// DELETE again when a pooled connection turns out to be closed, whatever its
// retry settings say, and cannot be cancelled while it waits for a response's
// header. Either would make "not run" a guess.
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
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"currantstile/errs"
)

// MaxResponseBytes bounds an answer that is read into memory.
const MaxResponseBytes = 16 << 20

const idleConnTimeout = 60 * time.Second

// Request is one HTTP request.
type Request struct {
	Method string
	Addr   netip.AddrPort
	// Path holds the query as well.
	Path   string
	Header http.Header
	Body   []byte
	// FreshConn sends on a connection of its own, so that a connection which
	// the other side has closed meanwhile is never mistaken for a failed
	// request.
	FreshConn bool
}

// SendError is a request that brought no answer.
type SendError struct {
	// MaybeSent reports whether any byte of the request can have left; when
	// false, the other side has seen nothing of it.
	MaybeSent bool
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

// MaybeSent reports whether the request behind err can have reached the other
// side. An error of another kind counts as sent.
func MaybeSent(err error) bool {
	var e *SendError
	return !errors.As(err, &e) || e.MaybeSent
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	pooled   *http.Client
	unpooled *http.Client
}

// NewClient returns a client that gives up on connecting after dialTimeout and
// keeps at most idlePerHost idle connections to each address.
func NewClient(dialTimeout time.Duration, idlePerHost int) *Client {
	return &Client{
		pooled:   newHTTPClient(dialTimeout, idlePerHost, false),
		unpooled: newHTTPClient(dialTimeout, idlePerHost, true),
	}
}

func newHTTPClient(dialTimeout time.Duration, idlePerHost int, fresh bool) *http.Client {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
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

// nonRewindableBody hides the body's type, so that net/http cannot rewind and repeat it.
type nonRewindableBody struct {
	io.Reader
}

// Close implements io.Closer.
func (nonRewindableBody) Close() error {
	return nil
}

// Send sends the request once and returns the answer's header with its body
// still to be read and closed. A failure is a *SendError.
func (c *Client) Send(ctx context.Context, r Request) (*http.Response, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			sent.Store(true)
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
		return nil, &SendError{
			MaybeSent: sent.Load(),
			Err:       errs.WithPeer(err, "Client.Send", r.Addr),
		}
	}
	return resp, nil
}

func newHTTPRequest(ctx context.Context, r Request) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Addr.String()+r.Path, nil)
	if err != nil {
		return nil, err
	}
	for name, values := range r.Header {
		req.Header[name] = values
	}
	// A body that net/http cannot rewind switches off its own repeats. It stands
	// in requests without a body too: net/http finds out that it is empty.
	req.Body = nonRewindableBody{
		Reader: bytes.NewReader(r.Body),
	}
	req.ContentLength = int64(len(r.Body))
	return req, nil
}

// Response is an answer read whole.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Exchange sends the request and reads the whole answer. A failure is a
// *SendError.
func (c *Client) Exchange(ctx context.Context, r Request) (Response, error) {
	resp, err := c.Send(ctx, r)
	if err != nil {
		return Response{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponseBytes))
	if err != nil {
		return Response{}, &SendError{
			MaybeSent: true,
			Err:       errs.WithPeer(err, "Client.Exchange", r.Addr),
		}
	}
	return Response{
		Status: resp.StatusCode,
		Header: resp.Header,
		Body:   body,
	}, nil
}

// ExchangeJSON sends in as JSON (nothing where it is nil) and, for a status
// below 300, reads the answer into out unless that is nil.
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
	a, err := c.Exchange(ctx, r)
	if err != nil || a.Status >= http.StatusMultipleChoices || out == nil {
		return a, err
	}
	if err := json.Unmarshal(a.Body, out); err != nil {
		return a, &SendError{
			MaybeSent: true,
			Err:       errs.WithPeer(err, "Client.ExchangeJSON", r.Addr),
		}
	}
	return a, nil
}
