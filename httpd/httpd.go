// Package httpd runs a hertz server with the limits that every listener of the
// project shares, and tells the address that it really took.
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
//	fmt.Println(s.Bound())
package httpd

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/route"

	"currantstile/errs"
)

// Limits that apply where a Server sets none.
const (
	DefaultMaxBodyBytes   = 4 << 20
	DefaultMaxHeaderBytes = 32 << 10
	DefaultReadTimeout    = 10 * time.Second
	DefaultIdleTimeout    = 2 * time.Minute
	DefaultWriteTimeout   = 10 * time.Second
	startTimeout          = 5 * time.Second
	startPollInterval     = time.Millisecond
	// idleCloseDelay lets answers that were just given leave before idle connections
	// are closed.
	idleCloseDelay = 200 * time.Millisecond
)

func init() {
	// Hertz logs each route and each dropped connection; the parts of the
	// project log what matters themselves.
	hlog.SetLevel(hlog.LevelFatal)
}

// Server is one HTTP listener. Its fields are set before Start.
type Server struct {
	// Addr is where to listen; port 0 takes a free one.
	Addr netip.AddrPort
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int
	// MaxHeaderBytes bounds a request's header.
	MaxHeaderBytes int
	// ReadTimeout bounds the reading of one request.
	ReadTimeout time.Duration
	// IdleTimeout closes a connection that sends no request.
	IdleTimeout time.Duration
	// WriteTimeout bounds one write to a caller that does not read.
	WriteTimeout time.Duration
	// ShutdownTimeout bounds how long Stop waits for running requests.
	ShutdownTimeout time.Duration
	// Routes registers the handlers.
	Routes func(*route.Engine)

	hertz     *server.Hertz
	conns     connSet
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

// Start listens and serves in the background.
func (s *Server) Start() error {
	s.setDefaults()
	ln, err := net.Listen("tcp", s.Addr.String())
	if err != nil {
		return errs.WithPeer(err, "Server.Start", s.Addr)
	}
	s.boundAddr = ln.Addr().(*net.TCPAddr).AddrPort()
	s.hertz = server.New(
		server.WithListener(ln),
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
	)
	s.hertz.Engine.Use(trackBusy)
	s.Routes(s.hertz.Engine)
	s.done = make(chan error, 1)
	go func() {
		s.done <- s.hertz.Engine.Run()
	}()
	return s.awaitRunning()
}

// awaitRunning waits until the server can be shut down, which hertz refuses
// before its event loop runs.
func (s *Server) awaitRunning() error {
	for deadline := time.Now().Add(startTimeout); !s.hertz.Engine.IsRunning(); time.Sleep(startPollInterval) {
		if time.Now().After(deadline) {
			return errs.WithPeer(context.DeadlineExceeded, "Server.Start", s.boundAddr)
		}
	}
	return nil
}

// BoundAddr returns the address that Start took.
func (s *Server) BoundAddr() netip.AddrPort {
	return s.boundAddr
}

// Kill closes the listener and all connections at once.
func (s *Server) Kill() {
	// The connections are closed below, so that there is nothing to wait for.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = s.hertz.Engine.Shutdown(ctx)
	s.conns.closeAll()
}

// Stop accepts no more connections, closes the idle ones, waits for running
// requests up to the shutdown timeout, and closes the listener.
func (s *Server) Stop(ctx context.Context) error {
	timer := time.AfterFunc(idleCloseDelay, s.conns.closeIdleSince(time.Now()))
	defer timer.Stop()
	err := s.hertz.Engine.Shutdown(ctx)
	return errs.WithPeer(err, "Server.Stop", s.boundAddr)
}
