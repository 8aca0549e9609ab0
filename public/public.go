// Package public is the HTTP API for callers: OpenAI-style completions on model
// adapters, and plain services under /svc/ROUTE/.
//
// # Usage
//
//	s := &public.Server{
//		Addr:   addr,
//		View:   follower.View,
//		Quota:  ledger,
//		Sender: sender,
//		Stats:  metric.NewSet(),
//	}
//	if err := s.Start(); err != nil {
//		return err
//	}
//	defer s.Stop(ctx)
package public

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	hroute "github.com/cloudwego/hertz/pkg/route"
	"github.com/phuslu/log"

	"currantstile/accept"
	"currantstile/commit"
	"currantstile/dedup"
	"currantstile/httpd"
	"currantstile/memory"
	"currantstile/metric"
	"currantstile/model"
	"currantstile/quota"
	"currantstile/send"
)

// Server serves the callers' API of one instance. Its exported fields must be set
// before Start.
type Server struct {
	Addr   netip.AddrPort
	Self   model.InstanceID
	View   func() *commit.View
	Quota  *quota.Ledger
	Claims *dedup.Claims
	// Borrow borrows from other instances according to an organisation's borrow plan.
	// If it is nil, the organisation is limited to this instance's own share.
	Borrow func(context.Context, model.OrgID, quota.Limits, quota.BorrowPlan)
	Sender *send.Sender
	Stats  *metric.Set
	Log    log.Logger
	// Ready reports whether this instance can admit requests. If it is nil, the health
	// check does not depend on it.
	Ready func() bool
	// Stale reports whether this instance may lack the current configuration, so that
	// it must reject all requests. If it is nil, this is not checked.
	Stale func() bool
	// Budget bounds the memory of connections and bodies; nil is no bound on connections either.
	Budget *memory.Budget
	// MaxBodyBytes limits the size of a request body.
	MaxBodyBytes int
	// WriteTimeout limits the time of one write to a caller that does not read.
	WriteTimeout time.Duration
	// ShutdownTimeout limits how long Stop waits for running requests.
	ShutdownTimeout time.Duration

	http       httpd.Server
	running    atomic.Int64
	draining   atomic.Bool
	requestIDs requestIDGenerator
}

// Start listens on Addr and serves in the background.
func (s *Server) Start() error {
	s.requestIDs.init(string(s.Self))
	s.http = httpd.Server{
		Addr:            s.Addr,
		MaxBodyBytes:    s.MaxBodyBytes,
		WriteTimeout:    s.WriteTimeout,
		ShutdownTimeout: s.ShutdownTimeout,
		Routes:          s.routes,
		Log:             s.Log,
	}
	if s.Budget != nil {
		s.http.Bounds = &httpd.Bounds{
			Name:   "callers",
			Share:  accept.CallerShare,
			Budget: s.Budget,
		}
	}
	return s.http.Start()
}

// Run enforces the time limits of connections until ctx ends.
func (s *Server) Run(ctx context.Context) {
	s.http.Run(ctx)
}

// Bounded returns the listener that bounds the connections; nil if there is none.
func (s *Server) Bounded() *accept.Listener {
	return s.http.Bounded()
}

// BoundAddr returns the address that the listener is bound to. It is valid after
// Start.
func (s *Server) BoundAddr() netip.AddrPort {
	return s.http.BoundAddr()
}

// Running returns the number of requests in progress.
func (s *Server) Running() int64 {
	return s.running.Load()
}

// Drain rejects new requests from now on; requests in progress continue.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// Stop drains the server, waits up to ShutdownTimeout for requests in progress, and
// closes the listener.
func (s *Server) Stop(ctx context.Context) error {
	s.Drain()
	return s.http.Stop(ctx)
}

// Kill closes the listener and all connections at once.
func (s *Server) Kill() {
	s.http.Kill()
}

func (s *Server) routes(e *hroute.Engine) {
	e.POST("/v1/completions", s.wrapHandler(s.handleGenerate))
	e.POST("/v1/chat/completions", s.wrapHandler(s.handleGenerate))
	e.GET("/v1/models", s.wrapHandler(s.handleModels))
	e.Any("/svc/:route", s.wrapHandler(s.handleService))
	e.Any("/svc/:route/*rest", s.wrapHandler(s.handleService))
	e.GET("/healthz", s.handleHealth)
	e.NoRoute(s.wrapHandler(s.handleNoRoute))
}

// wrapHandler returns a handler that assigns a request id, counts the request while it
// is in progress, and rejects it if the instance is draining or stale.
func (s *Server) wrapHandler(handle func(context.Context, *app.RequestContext, *exchange)) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		x := &exchange{
			id:    s.requestIDs.next(),
			start: time.Now(),
		}
		c.Response.Header.Set(headerRequestID, x.id)
		s.running.Add(1)
		defer s.running.Add(-1)
		if s.draining.Load() {
			c.SetConnectionClose()
			x.writeError(c, errDraining)
			return
		}
		if s.Stale != nil && s.Stale() {
			x.writeError(c, errStale)
			return
		}
		handle(ctx, c, x)
	}
}

// handleHealth reports to the platform's load balancer whether this instance accepts
// requests.
func (s *Server) handleHealth(_ context.Context, c *app.RequestContext) {
	x := &exchange{}
	if s.draining.Load() {
		x.writeError(c, errDraining)
		return
	}
	if s.View().Revision() == 0 {
		x.writeError(c, errNoConfiguration)
		return
	}
	if s.Stale != nil && s.Stale() {
		x.writeError(c, errStale)
		return
	}
	if s.Ready != nil && !s.Ready() {
		x.writeError(c, errNoShare)
	}
}

func (s *Server) handleNoRoute(_ context.Context, c *app.RequestContext, x *exchange) {
	x.writeError(c, errNoRoute)
}
