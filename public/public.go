// Package public is the interface to callers: OpenAI-style completions on model
// adapters, and plain services under /svc/ROUTE/.
//
// # Usage
//
//	s := &public.Server{
//		Addr:   addr,
//		View:   follower.View,
//		Ledger: ledger,
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

	"currantstile/commit"
	"currantstile/dedup"
	"currantstile/httpd"
	"currantstile/metric"
	"currantstile/model"
	"currantstile/quota"
	"currantstile/send"
)

// Server is the callers' interface of one instance. Its exported fields are set
// before Start.
type Server struct {
	Addr   netip.AddrPort
	Self   model.InstanceID
	View   func() *commit.View
	Quota  *quota.Ledger
	Claims *dedup.Claims
	// Gather asks other instances for what an organisation wants. It may be nil,
	// where this instance's own share is all there is.
	Gather func(context.Context, model.OrgID, quota.Limits, quota.BorrowPlan)
	Sender *send.Sender
	Stats  *metric.Set
	Log    log.Logger
	// Ready reports whether this instance can admit requests; it may be nil.
	Ready func() bool
	// Stale reports whether this instance cannot know the configuration in force,
	// so that it must not admit anything; it may be nil.
	Stale func() bool
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int
	// WriteTimeout bounds one write to a caller that does not read.
	WriteTimeout time.Duration
	// ShutdownTimeout bounds how long Stop waits for running requests.
	ShutdownTimeout time.Duration

	http     httpd.Server
	running  atomic.Int64
	draining atomic.Bool
	ids      idSource
}

// Start serves in the background.
func (s *Server) Start() error {
	s.ids.init(string(s.Self))
	s.http = httpd.Server{
		Addr:            s.Addr,
		MaxBodyBytes:    s.MaxBodyBytes,
		WriteTimeout:    s.WriteTimeout,
		ShutdownTimeout: s.ShutdownTimeout,
		Routes:          s.routes,
	}
	return s.http.Start()
}

// Bound returns the address that Start took.
func (s *Server) Bound() netip.AddrPort {
	return s.http.Bound()
}

// Running is how many requests run now.
func (s *Server) Running() int64 {
	return s.running.Load()
}

// Drain refuses new requests from now on; those that run go on.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// Stop closes the listener once the running requests have ended.
func (s *Server) Stop(ctx context.Context) error {
	s.Drain()
	return s.http.Stop(ctx)
}

// Kill closes the listener and all connections at once.
func (s *Server) Kill() {
	s.http.Kill()
}

func (s *Server) routes(e *hroute.Engine) {
	e.POST("/v1/completions", s.counted(s.handleGenerate))
	e.POST("/v1/chat/completions", s.counted(s.handleGenerate))
	e.GET("/v1/models", s.counted(s.handleModels))
	e.Any("/svc/:route", s.counted(s.handleService))
	e.Any("/svc/:route/*rest", s.counted(s.handleService))
	e.GET("/healthz", s.handleHealth)
	e.NoRoute(s.counted(s.handleNoRoute))
}

// counted gives a request its id, counts it while it runs, and refuses it while
// the instance drains.
func (s *Server) counted(handle func(context.Context, *app.RequestContext, *exchange)) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		x := &exchange{
			id:    s.ids.next(),
			begun: time.Now(),
		}
		c.Response.Header.Set(headerRequestID, x.id)
		s.running.Add(1)
		defer s.running.Add(-1)
		if s.draining.Load() {
			c.SetConnectionClose()
			x.refuse(c, errDraining)
			return
		}
		if s.Stale != nil && s.Stale() {
			x.refuse(c, errStale)
			return
		}
		handle(ctx, c, x)
	}
}

// handleHealth tells the platform's balancer whether to send requests here.
func (s *Server) handleHealth(_ context.Context, c *app.RequestContext) {
	x := &exchange{}
	if s.draining.Load() {
		x.refuse(c, errDraining)
		return
	}
	if s.View().Revision() == 0 {
		x.refuse(c, errNoConfiguration)
		return
	}
	if s.Stale != nil && s.Stale() {
		x.refuse(c, errStale)
		return
	}
	if s.Ready != nil && !s.Ready() {
		x.refuse(c, errNoShare)
	}
}

func (s *Server) handleNoRoute(_ context.Context, c *app.RequestContext, x *exchange) {
	x.refuse(c, errNoRoute)
}
