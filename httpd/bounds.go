package httpd

import (
	"context"
	"io"
	"net"
	"os"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	herrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/pkg/errors"

	"currantstile/accept"
	"currantstile/memory"
	"currantstile/shed"
	"currantstile/stream"
)

const (
	// bodyGrace is how long a body may take in addition to the time of its bytes at shed.MinRate, and
	// requestGrace how long a request may, until its connection is closed without a response.
	bodyGrace    = 3 * time.Second
	requestGrace = 6 * time.Second
	// maxReadBytes is how much of a body is read at once: hertz holds a piece of a chunked body twice.
	maxReadBytes = 32 << 10
	// prefetchedBytes is how much of a body hertz reads before its handler is called.
	prefetchedBytes = 8 << 10
	// closedPollInterval is the interval between checks whether all connections are closed.
	closedPollInterval = 20 * time.Millisecond
	// maxRequestTime bounds a single wait for bytes; the listener closes connections that are too slow earlier.
	maxRequestTime = 10 * time.Minute
)

// ErrBodyTooSlow is returned by ReadBody for a body that arrives at less than shed.MinRate.
var ErrBodyTooSlow = errors.New("body arrives too slowly")

// Bounds are what the connections of a server may take of the instance.
type Bounds struct {
	// Name is the name of the listener in metrics and logs.
	Name string
	// Share is the part of the descriptors of the process.
	Share float64
	// Budget bounds the memory of connections and bodies.
	Budget *memory.Budget
}

// boundedKey is the key of a connection's *accept.Conn in its context.
type boundedKey struct{}

// bound returns the listener to accept connections from.
func (s *Server) bound(ln net.Listener) net.Listener {
	if s.Bounds == nil {
		return ln
	}
	s.bounded = accept.NewListener(ln, s.Bounds.Name, accept.Limits{
		MaxConns:       accept.MaxConns(s.Bounds.Share),
		MaxFields:      accept.DefaultMaxFields,
		MaxHeaderBytes: s.MaxHeaderBytes,
		MaxBodyBytes:   int64(s.MaxBodyBytes),
		Times: shed.Limits{
			Idle:   s.IdleTimeout,
			Unused: s.ReadTimeout,
			Grace:  requestGrace,
		},
		WriteTimeout: s.WriteTimeout,
	}, s.Bounds.Budget.Conns)
	s.bounded.Log = s.Log
	return s.bounded
}

// boundOptions returns the options of hertz for bounded connections: its default network library accepts no
// other listener than its own, and bodies are read by handlers.
func (s *Server) boundOptions() []config.Option {
	if s.Bounds == nil {
		return nil
	}
	return []config.Option{
		server.WithTransport(standard.NewTransporter),
		server.WithStreamBody(true),
		server.WithDisablePreParseMultipartForm(true),
		server.WithReadTimeout(maxRequestTime),
		server.WithOnAccept(func(nc net.Conn) context.Context {
			return context.WithValue(context.Background(), boundedKey{}, nc)
		}),
	}
}

// awaitClosed waits until all bounded connections are closed, and reports whether they are before the given time.
// The standard network library of hertz itself waits for 30 s at most.
func (s *Server) awaitClosed(ctx context.Context, until time.Time) bool {
	for s.bounded.Len() > 0 {
		if ctx.Err() != nil || time.Now().After(until) {
			return false
		}
		time.Sleep(closedPollInterval)
	}
	return true
}

// Run enforces the time limits of bounded connections until ctx ends.
func (s *Server) Run(ctx context.Context) {
	if s.bounded != nil {
		s.bounded.Run(ctx)
	}
}

// Bounded returns the listener that bounds the connections; nil if there is none.
func (s *Server) Bounded() *accept.Listener {
	return s.bounded
}

// boundedOf returns the bounded connection of a request; nil if there is none.
func boundedOf(ctx context.Context) *accept.Conn {
	b, _ := ctx.Value(boundedKey{}).(*accept.Conn)
	return b
}

// trackBounded is middleware that records what a request's connection is used for. The rest of a body that its
// handler has not read is not waited for.
func trackBounded(ctx context.Context, c *app.RequestContext) {
	b := boundedOf(ctx)
	if b == nil {
		c.Next(ctx)
		return
	}
	length := c.Request.Header.ContentLength()
	// A small body was received with the header section.
	hasBody := c.Request.IsBodyStream() && (length < 0 || length > prefetchedBytes)
	if !hasBody && !b.Begin(time.Now()) {
		c.SetConnectionClose()
		c.Abort()
		return
	}
	c.Next(ctx)
	if hasBody && b.Info().State != shed.Working {
		c.SetConnectionClose()
		b.Abandon()
	}
	b.Done()
}

// Authenticate records that a request had a valid key.
func Authenticate(ctx context.Context) {
	if b := boundedOf(ctx); b != nil {
		b.Authenticate()
	}
}

// pacedBody reads a body that has to arrive at shed.MinRate.
type pacedBody struct {
	body    io.Reader
	conn    interface{ SetReadDeadline(time.Time) error }
	bounded *accept.Conn
	held    *memory.Holder
	begun   time.Time
	// left is the number of bytes that are still to come; negative if it is unknown.
	left     int64
	received int64
}

// Read implements io.Reader.
func (p *pacedBody) Read(b []byte) (int, error) {
	n := min(len(b), maxReadBytes)
	if p.left >= 0 {
		// hertz would read on into the next request.
		n = int(min(int64(n), p.left))
	}
	if n == 0 {
		return 0, io.EOF
	}
	if err := p.conn.SetReadDeadline(shed.ReceiveUntil(p.begun, bodyGrace, p.received)); err != nil {
		return 0, err
	}
	n, err := p.body.Read(b[:n])
	p.received += int64(n)
	if p.left >= 0 {
		p.left -= int64(n)
	}
	p.bounded.SetHeld(p.held.Bytes())
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, herrors.ErrTimeout) {
		err = ErrBodyTooSlow
	}
	return n, err
}

// disconnectSensor is a connection of hertz that notices its end while a request is handled.
type disconnectSensor interface {
	DetectConnectionClose()
	AbortBlockingRead()
}

// ReadBody reads the body of a request and holds its memory until release is called, which is not nil. Without
// Bounds hertz has read it. The context of the handler ends if the caller disconnects afterwards.
func (s *Server) ReadBody(ctx context.Context, c *app.RequestContext) (body []byte, release func(), err error) {
	b := boundedOf(ctx)
	if b == nil || !c.Request.IsBodyStream() {
		return c.Request.Body(), func() {}, nil
	}
	held := s.Bounds.Budget.Bodies.Holder()
	length := int64(c.Request.Header.ContentLength())
	reader := &pacedBody{
		body:    c.RequestBodyStream(),
		conn:    c.GetConn(),
		bounded: b,
		held:    &held,
		begun:   time.Now(),
		left:    max(length, -1),
	}
	body, err = stream.ReadHeld(reader, length, int64(s.MaxBodyBytes), &held)
	if err == nil && length > 0 && int64(len(body)) < length {
		err = io.ErrUnexpectedEOF
	}
	if err == nil && !b.Begin(time.Now()) {
		err = net.ErrClosed
	}
	if err != nil {
		held.Release()
		return nil, func() {}, err
	}
	sensor, ok := c.GetConn().(disconnectSensor)
	if ok {
		sensor.DetectConnectionClose()
	}
	return body, func() {
		if ok {
			sensor.AbortBlockingRead()
		}
		held.Release()
	}, nil
}
