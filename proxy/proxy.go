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
	// Call reads a request's head. Its error is told to the caller.
	Call(now time.Time, r *http.Request) (*call.Call, error)
	// Forward is the header of the request that goes to a target.
	Forward(c *call.Call, a call.Addressing) http.Header
	// Answer reads what a target's answer says of itself.
	Answer(h http.Header) call.Answer
	// Refusal writes the header of an answer of the gate's own to a request.
	Refusal(h http.Header, c *call.Call, retryAfter time.Duration)
}

// Verdict answers whether an organisation's limit admits a request. It is one of
// Within and Above.
type Verdict interface {
	verdict()
}

// Within admits a request.
type Within struct{}

// Above refuses a request that the limit does not cover now.
type Above struct {
	// After is when the organisation may try again.
	After time.Duration
}

func (Within) verdict() {}
func (Above) verdict()  {}

// Limiter holds organisations to their limits.
type Limiter interface {
	// Admit takes the cost of the request of that ID from its organisation's
	// limit.
	Admit(ctx context.Context, now time.Time, id string, org *config.Organisation, cost int64) Verdict
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
	// Count notes a finished request; it may be nil.
	Count func(route, org string, e *Exchange)
	Log   log.Logger

	server   *http.Server
	bound    netip.AddrPort
	idle     idleConns
	draining atomic.Bool
	running  atomic.Int64
}

const (
	// sweepTime is how often idle connections are looked at.
	sweepTime = time.Second
	// maxHeaderBytes bounds a request's head whatever the configuration allows,
	// before it is in force too.
	maxHeaderBytes = 64 << 10
	// timeoutMargin is left of the time of a request for its answer to travel.
	timeoutMargin = 20 * time.Millisecond
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
		ConnState:         g.idle.note,
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
	t := time.NewTicker(sweepTime)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			limit := config.DefaultIdleTimeout
			if c := g.Config(); c != nil {
				limit = c.Limits.IdleTimeout
			}
			g.idle.closeSince(now.Add(-limit))
			g.Conns.Sweep(now)
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
		begun: now,
	}
	defer x.finish()
	if refusal := g.prepare(now, x, r); refusal != nil {
		x.refuse(*refusal)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.Until.Add(-timeoutMargin))
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

func refusal(status int, reason string) *Refusal {
	return &Refusal{
		Status: status,
		Reason: reason,
	}
}

// noConfigRetry is when a caller of an instance without a configuration may try
// another one.
const noConfigRetry = 200 * time.Millisecond

// prepare reads and admits a request. It returns nil where it may be sent.
func (g *Gate) prepare(now time.Time, x *Exchange, r *http.Request) *Refusal {
	cfg := g.Config()
	if cfg == nil {
		return &Refusal{
			Status:     http.StatusServiceUnavailable,
			Reason:     "no-configuration",
			RetryAfter: noConfigRetry,
		}
	}
	c, err := g.Codec.Call(now, r)
	if err != nil {
		return refusal(http.StatusBadRequest, err.Error())
	}
	x.Call, x.cfg = c, cfg
	if headerBytes(r) > cfg.Limits.MaxHeaderBytes {
		return refusal(http.StatusRequestHeaderFieldsTooLarge, "header-too-large")
	}
	route, ok := cfg.Route(c.Host, c.Path)
	if !ok {
		return refusal(http.StatusNotFound, "no-route")
	}
	x.Route = route
	x.Until = now.Add(route.Timeout)
	if c.Deadline.IsZero() {
		c.Deadline = x.Until
	}
	if c.Deadline.Before(x.Until) {
		x.Until = c.Deadline
	}
	if cfg.RequiresKeys() && !route.Public {
		if x.Org, ok = cfg.OrganisationByKey(c.Key); !ok {
			return refusal(http.StatusUnauthorized, "unknown-key")
		}
	}
	if refusal := g.readBody(x, r); refusal != nil {
		return refusal
	}
	return g.admit(r.Context(), x)
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
		return refusal(http.StatusRequestEntityTooLarge, "body-too-large")
	}
	if r.ContentLength == 0 {
		return nil
	}
	rc := http.NewResponseController(x.w)
	// A connection that has no deadlines is read without one.
	_ = rc.SetReadDeadline(x.Until)
	defer func() {
		_ = rc.SetReadDeadline(time.Time{})
	}()
	body, err := io.ReadAll(http.MaxBytesReader(x.w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refusal(http.StatusRequestEntityTooLarge, "body-too-large")
	case err != nil:
		return refusal(http.StatusBadRequest, "body-not-read")
	}
	x.Call.Body = body
	return nil
}

func (g *Gate) admit(ctx context.Context, x *Exchange) *Refusal {
	if x.Org == nil || x.Org.Rate <= 0 {
		return nil
	}
	cost := x.Org.Cost(x.Call.Tokens())
	switch v := g.Limiter.Admit(ctx, time.Now(), x.Call.ID, x.Org, cost).(type) {
	case Above:
		return &Refusal{
			Status:     http.StatusTooManyRequests,
			Reason:     "above-rate",
			RetryAfter: v.After,
		}
	default:
		return nil
	}
}
