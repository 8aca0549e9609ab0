// Package httpd runs a hertz server with the limits shared by all listeners of the
// project and reports the address that the listener is bound to.
//
// # Usage
//
//	s := &httpd.Server{
//		Addr:   netip.MustParseAddrPort("127.0.0.1:0"),
//		Routes: func(e *route.Engine) { e.GET("/status", status) },
//	}
//	if err := s.Start(); err != nil {
//		return err
//	}
//	defer s.Stop(ctx)
//	fmt.Println(s.BoundAddr())
package httpd

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/route"
	"github.com/phuslu/log"

	"currantstile/accept"
	"currantstile/errs"
)

// Defaults for the fields of Server that are zero; that of ShutdownTimeout is
// DefaultReadTimeout.
const (
	DefaultMaxBodyBytes   = 4 << 20
	DefaultMaxHeaderBytes = 32 << 10
	DefaultReadTimeout    = 10 * time.Second
	DefaultIdleTimeout    = 2 * time.Minute
	DefaultWriteTimeout   = 10 * time.Second
	startTimeout          = 5 * time.Second
	startPollInterval     = time.Millisecond
	// idleCloseDelay is the time between the start of a shutdown and the closing of
	// idle connections, so that responses written just before it are delivered.
	idleCloseDelay = 200 * time.Millisecond
)

func init() {
	// Hertz logs each route and each dropped connection; the packages of the
	// project log the relevant events themselves.
	hlog.SetLevel(hlog.LevelFatal)
}

// Server is an HTTP server on one listener. Its exported fields must be set before
// Start.
type Server struct {
	// Addr is the listen address; port 0 selects a free port.
	Addr netip.AddrPort
	// MaxBodyBytes limits the size of a request body.
	MaxBodyBytes int
	// MaxHeaderBytes limits the size of a request header.
	MaxHeaderBytes int
	// ReadTimeout limits the time to read one request.
	ReadTimeout time.Duration
	// IdleTimeout is the time after which a connection without a request is closed.
	IdleTimeout time.Duration
	// WriteTimeout limits the time of one write to a caller that does not read.
	WriteTimeout time.Duration
	// ShutdownTimeout limits how long Stop waits for running requests.
	ShutdownTimeout time.Duration
	// Bounds are what the connections may take; nil is no bound beside the limits above.
	Bounds *Bounds
	// Routes registers the handlers on the engine.
	Routes func(*route.Engine)
	Log    log.Logger

	hertz     *server.Hertz
	conns     connSet
	bounded   *accept.Listener
	boundAddr netip.AddrPort
	done      chan error
}

func (s *Server) setDefaults() {
	if s.MaxBodyBytes == 0 {
		s.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if s.MaxHeaderBytes == 0 {
		s.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	if s.ReadTimeout == 0 {
		s.ReadTimeout = DefaultReadTimeout
	}
	if s.IdleTimeout == 0 {
		s.IdleTimeout = DefaultIdleTimeout
	}
	if s.WriteTimeout == 0 {
		s.WriteTimeout = DefaultWriteTimeout
	}
	if s.ShutdownTimeout == 0 {
		s.ShutdownTimeout = DefaultReadTimeout
	}
}

// Start listens on Addr and serves in the background. It returns once the server can
// be shut down.
func (s *Server) Start() error {
	s.setDefaults()
	ln, err := net.Listen("tcp", s.Addr.String())
	if err != nil {
		return errs.WithPeer(err, "Server.Start", s.Addr)
	}
	s.boundAddr = ln.Addr().(*net.TCPAddr).AddrPort()
	options := []config.Option{
		server.WithListener(s.bound(ln)),
		server.WithMaxRequestBodySize(s.MaxBodyBytes),
		server.WithMaxHeaderBytes(s.MaxHeaderBytes),
		server.WithReadTimeout(s.ReadTimeout),
		server.WithIdleTimeout(s.IdleTimeout),
		server.WithKeepAliveTimeout(s.IdleTimeout),
		server.WithWriteTimeout(s.WriteTimeout),
		server.WithExitWaitTime(s.ShutdownTimeout),
		server.WithSenseClientDisconnection(true),
		server.WithDisablePrintRoute(true),
		server.WithOnConnect(s.conns.track),
	}
	s.hertz = server.New(append(options, s.boundOptions()...)...)
	s.hertz.Engine.Use(trackBusy, trackBounded, s.recoverPanic)
	s.Routes(s.hertz.Engine)
	s.done = make(chan error, 1)
	go func() {
		s.done <- s.hertz.Engine.Run()
	}()
	return s.awaitRunning()
}

// recoverPanic is middleware that answers a request whose handler panicked. A stream is cut off: hertz
// would end it as if it were complete.
func (s *Server) recoverPanic(ctx context.Context, c *app.RequestContext) {
	defer func() {
		if v := recover(); v != nil {
			s.Log.Error().Str("path", string(c.Path())).Str("panic", fmt.Sprint(v)).Str("stack", string(debug.Stack())).Msg("httpd: handler panicked")
			if c.Response.GetHijackWriter() != nil {
				panic(v)
			}
			c.SetConnectionClose()
			c.AbortWithStatus(consts.StatusInternalServerError)
		}
	}()
	c.Next(ctx)
}

// awaitRunning waits until the event loop of hertz runs, because hertz rejects a
// shutdown before that. It fails after startTimeout.
func (s *Server) awaitRunning() error {
	for deadline := time.Now().Add(startTimeout); !s.hertz.Engine.IsRunning(); time.Sleep(startPollInterval) {
		if time.Now().After(deadline) {
			return errs.WithPeer(context.DeadlineExceeded, "Server.Start", s.boundAddr)
		}
	}
	return nil
}

// BoundAddr returns the address that the listener is bound to. It is valid after
// Start.
func (s *Server) BoundAddr() netip.AddrPort {
	return s.boundAddr
}

// Kill closes the listener and all connections at once.
func (s *Server) Kill() {
	// A cancelled context keeps Shutdown from waiting for the connections, which are
	// closed below.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = s.hertz.Engine.Shutdown(ctx)
	s.conns.closeAll()
}

// Stop shuts the server down gracefully: it accepts no more connections, closes the
// idle ones, waits up to ShutdownTimeout for running requests, and closes the
// listener.
func (s *Server) Stop(ctx context.Context) error {
	timer := time.AfterFunc(idleCloseDelay, s.conns.closeIdleSince(time.Now()))
	defer timer.Stop()
	until := time.Now().Add(s.ShutdownTimeout)
	err := s.hertz.Engine.Shutdown(ctx)
	if err != nil && s.bounded != nil && s.awaitClosed(ctx, until) {
		err = nil
	}
	return errs.WithPeer(err, "Server.Stop", s.boundAddr)
}
