// Package proxy takes callers' HTTP requests, admits them by the configuration in
// force, sends each to a target, and hands the target's answer back whole or not
// at all. How the platform spells what requests and answers say is left to a
// Codec.
//
// # Usage
//
//	g := &proxy.Gate{Addr: addr, Codec: codec, Config: config, Limiter: limiter, Router: router, Conns: pool}
//	if err := g.Start(); err != nil {
//		return err
//	}
//	defer g.Stop(ctx)
package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"currantstile/call"
	"currantstile/config"
	"currantstile/errs"
	"currantstile/origin"
)

// Codec translates between HTTP messages and what the pipeline works with.
type Codec interface {
	// ParseRequest reads a request's head. Its error is told to the caller.
	ParseRequest(now time.Time, r *http.Request) (*call.Request, error)
	// ForwardHeader is the header of the request that goes to a target.
	ForwardHeader(c *call.Request, a call.ForwardOptions) http.Header
	// ParseResponse reads what a target's answer says of itself.
	ParseResponse(h http.Header) call.ResponseInfo
	// SetRefusalHeader writes the header of an answer of the gate's own to a request.
	SetRefusalHeader(h http.Header, c *call.Request, retryAfter time.Duration)
}

// Decision answers whether an organisation's limit admits a request. It is one of
// Within and Above.
type Decision interface {
	isDecision()
}

// Admitted admits a request.
type Admitted struct{}

// RateLimited refuses a request that the limit does not cover now.
type RateLimited struct {
	// RetryAfter is when the organisation may try again.
	RetryAfter time.Duration
}

func (Admitted) isDecision()    {}
func (RateLimited) isDecision() {}

// Limiter holds organisations to their limits.
type Limiter interface {
	// Admit takes the cost of the request of that ID from its organisation's
	// limit.
	Admit(ctx context.Context, now time.Time, id string, org *config.Organisation, cost int64) Decision
}

// Gate is the callers' interface. Its exported fields are set before Start.
type Gate struct {
	Addr  netip.AddrPort
	Codec Codec
	// Config returns the configuration in force, or nil before the first.
	Config  func() *config.Config
	Limiter Limiter
	Router  *Router
	Conns   *origin.Pool
	// ObserveRequest notes a finished request; it may be nil.
	ObserveRequest func(route, org string, e *Exchange)
	Log            log.Logger

	server   *http.Server
	bound    netip.AddrPort
	idle     idleConns
	draining atomic.Bool
	running  atomic.Int64
}

const (
	// sweepInterval is how often idle connections are looked at.
	sweepInterval = time.Second
	// maxHeaderBytes bounds a request's head whatever the configuration allows,
	// before it is in force too.
	maxHeaderBytes = 64 << 10
	// responseMargin is left of the time of a request for its answer to travel.
	responseMargin = 20 * time.Millisecond
)

// Start listens and serves in the background.
func (g *Gate) Start() error {
	ln, err := net.Listen("tcp", g.Addr.String())
	if err != nil {
		return errs.At(err, "Gate.Start", g.Addr)
	}
	g.bound = ln.Addr().(*net.TCPAddr).AddrPort()
	g.server = &http.Server{
		Handler:           g,
		ReadHeaderTimeout: config.DefaultHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         g.idle.setState,
		ErrorLog:          nil,
	}
	go func() {
		if err := g.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			g.Log.Error().Err(err).Msg("gate: listener failed")
		}
	}()
	return nil
}

// Bound returns the address that Start took.
func (g *Gate) Bound() netip.AddrPort {
	return g.bound
}

// Run closes idle connections until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			limit := config.DefaultIdleTimeout
			if c := g.Config(); c != nil {
				limit = c.Limits.IdleTimeout
			}
			g.idle.closeIdleSince(now.Add(-limit))
			g.Conns.CloseExpired(now)
		case <-ctx.Done():
			return
		}
	}
}

// Running is how many requests run now.
func (g *Gate) Running() int64 {
	return g.running.Load()
}

// Drain asks callers to leave: every answer from now on closes its connection.
func (g *Gate) Drain() {
	g.draining.Store(true)
}

// Stop accepts no more connections, closes idle ones, and waits for running
// requests until ctx ends.
func (g *Gate) Stop(ctx context.Context) error {
	g.Drain()
	err := g.server.Shutdown(ctx)
	if err != nil {
		// What still runs is cut off.
		_ = g.server.Close()
	}
	return errs.At(err, "Gate.Stop", g.bound)
}

// ServeHTTP serves one request.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.running.Add(1)
	defer g.running.Add(-1)
	now := time.Now()
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &Exchange{
		gate:  g,
		w:     w,
		start: now,
	}
	defer x.finish()
	if refusal := g.prepare(now, x, r); refusal != nil {
		x.refuse(*refusal)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.Deadline.Add(-responseMargin))
	defer cancel()
	x.serve(ctx)
}

// Refusal is an answer of the gate's own.
type Refusal struct {
	Status int
	Reason string
	// RetryAfter tells when to come back; zero says nothing.
	RetryAfter time.Duration
}

func newRefusal(status int, reason string) *Refusal {
	return &Refusal{
		Status: status,
		Reason: reason,
	}
}

// noConfigRetryAfter is when a caller of an instance without a configuration may try
// another one.
const noConfigRetryAfter = 200 * time.Millisecond

// prepare reads and admits a request. It returns nil where it may be sent.
func (g *Gate) prepare(now time.Time, x *Exchange, r *http.Request) *Refusal {
	cfg := g.Config()
	if cfg == nil {
		return &Refusal{
			Status:     http.StatusServiceUnavailable,
			Reason:     "no-configuration",
			RetryAfter: noConfigRetryAfter,
		}
	}
	c, err := g.Codec.ParseRequest(now, r)
	if err != nil {
		return newRefusal(http.StatusBadRequest, err.Error())
	}
	x.Request, x.cfg = c, cfg
	if headerBytes(r) > cfg.Limits.MaxHeaderBytes {
		return newRefusal(http.StatusRequestHeaderFieldsTooLarge, "header-too-large")
	}
	route, ok := cfg.Route(c.Host, c.Path)
	if !ok {
		return newRefusal(http.StatusNotFound, "no-route")
	}
	x.Route = route
	x.Deadline = now.Add(route.Timeout)
	if c.Deadline.IsZero() {
		c.Deadline = x.Deadline
	}
	if c.Deadline.Before(x.Deadline) {
		x.Deadline = c.Deadline
	}
	if cfg.RequiresKeys() && !route.Public {
		if x.Org, ok = cfg.OrganisationByKey(c.Key); !ok {
			return newRefusal(http.StatusUnauthorized, "unknown-key")
		}
	}
	if refusal := g.readBody(x, r); refusal != nil {
		return refusal
	}
	return g.applyRateLimit(r.Context(), x)
}

// headerBytes is the size of a request's head on the wire.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("  \r\n") + len("Host: \r\n") + len(r.Host) + len("\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(": ") + len(v) + len("\r\n")
		}
	}
	return n
}

// readBody reads the request's body whole.
func (g *Gate) readBody(x *Exchange, r *http.Request) *Refusal {
	limit := x.cfg.Limits.MaxBodyBytes
	if r.ContentLength > limit {
		return newRefusal(http.StatusRequestEntityTooLarge, "body-too-large")
	}
	if r.ContentLength == 0 {
		return nil
	}
	rc := http.NewResponseController(x.w)
	// A connection that has no deadlines is read without one.
	_ = rc.SetReadDeadline(x.Deadline)
	defer func() {
		_ = rc.SetReadDeadline(time.Time{})
	}()
	body, err := io.ReadAll(http.MaxBytesReader(x.w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return newRefusal(http.StatusRequestEntityTooLarge, "body-too-large")
	case err != nil:
		return newRefusal(http.StatusBadRequest, "body-not-read")
	}
	x.Request.Body = body
	return nil
}

func (g *Gate) applyRateLimit(ctx context.Context, x *Exchange) *Refusal {
	if x.Org == nil || x.Org.Rate <= 0 {
		return nil
	}
	cost := x.Org.Cost(x.Request.TotalTokens())
	switch v := g.Limiter.Admit(ctx, time.Now(), x.Request.ID, x.Org, cost).(type) {
	case RateLimited:
		return &Refusal{
			Status:     http.StatusTooManyRequests,
			Reason:     "above-rate",
			RetryAfter: v.RetryAfter,
		}
	default:
		return nil
	}
}
