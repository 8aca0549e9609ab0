package peer

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"currantstile/accept"
	"currantstile/errs"
	"currantstile/memory"
	"currantstile/shed"
	"currantstile/socket"
	"currantstile/wire"
)

// Handler handles calls from other instances. Its methods must be safe for
// concurrent use.
type Handler interface {
	Acquire(args wire.AcquireArgs) wire.AcquireReply
	Renew(args wire.RenewArgs) wire.RenewReply
	AdapterLost(args wire.AdapterLostArgs)
	Status() wire.StatusReply
	Borrow(args wire.BorrowArgs) wire.BorrowReply
	Recall(args wire.RecallArgs) wire.RecallReply
	UpdateLoans(args wire.UpdateLoansArgs) wire.UpdateLoansReply
	Holds(args wire.HoldsArgs) wire.HoldsReply
	LoadPermit() wire.LoadPermitReply
	ReleasePermit(args wire.ReleasePermitArgs)
	Config(args wire.ConfigArgs) wire.ConfigReply
}

// Server accepts calls from other instances. Its fields must be set before Start.
type Server struct {
	Addr netip.AddrPort
	// Handler handles the methods of service wire.ServicePeer; if nil, the
	// service is not registered.
	Handler Handler
	// Secret is the fleet's secret; if empty, anyone who can reach Addr may
	// call.
	Secret string
	// Services holds additional net/rpc receivers by service name.
	Services map[string]any
	// Network is the network to listen in; nil is the operating system's.
	Network socket.Network
	// MaxConns bounds the open connections; 0 is no bound.
	MaxConns int
	// Messages bounds the memory of messages that are being received; nil is no bound.
	Messages *memory.Pool
	Log      log.Logger

	ln     *accept.Listener
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// service adapts a Handler to the method signatures that net/rpc requires.
type service struct {
	handler Handler
}

// Acquire serves wire.MethodAcquire.
func (s *service) Acquire(args wire.AcquireArgs, reply *wire.AcquireReply) (err error) {
	defer errs.Recover("service.Acquire", &err)
	*reply = s.handler.Acquire(args)
	return nil
}

// Renew serves wire.MethodRenew.
func (s *service) Renew(args wire.RenewArgs, reply *wire.RenewReply) (err error) {
	defer errs.Recover("service.Renew", &err)
	*reply = s.handler.Renew(args)
	return nil
}

// Lost serves wire.MethodAdapterLost.
func (s *service) Lost(args wire.AdapterLostArgs, _ *wire.Empty) (err error) {
	defer errs.Recover("service.Lost", &err)
	s.handler.AdapterLost(args)
	return nil
}

// Status serves wire.MethodStatus.
func (s *service) Status(_ wire.StatusArgs, reply *wire.StatusReply) (err error) {
	defer errs.Recover("service.Status", &err)
	*reply = s.handler.Status()
	return nil
}

// Borrow serves wire.MethodBorrow.
func (s *service) Borrow(args wire.BorrowArgs, reply *wire.BorrowReply) (err error) {
	defer errs.Recover("service.Borrow", &err)
	*reply = s.handler.Borrow(args)
	return nil
}

// Recall serves wire.MethodRecall.
func (s *service) Recall(args wire.RecallArgs, reply *wire.RecallReply) (err error) {
	defer errs.Recover("service.Recall", &err)
	*reply = s.handler.Recall(args)
	return nil
}

// Loans serves wire.MethodUpdateLoans.
func (s *service) Loans(args wire.UpdateLoansArgs, reply *wire.UpdateLoansReply) (err error) {
	defer errs.Recover("service.Loans", &err)
	*reply = s.handler.UpdateLoans(args)
	return nil
}

// Holds serves wire.MethodHolds.
func (s *service) Holds(args wire.HoldsArgs, reply *wire.HoldsReply) (err error) {
	defer errs.Recover("service.Holds", &err)
	*reply = s.handler.Holds(args)
	return nil
}

// Permit serves wire.MethodLoadPermit.
func (s *service) Permit(_ wire.LoadPermitArgs, reply *wire.LoadPermitReply) (err error) {
	defer errs.Recover("service.Permit", &err)
	*reply = s.handler.LoadPermit()
	return nil
}

// Done serves wire.MethodReleasePermit.
func (s *service) Done(args wire.ReleasePermitArgs, _ *wire.Empty) (err error) {
	defer errs.Recover("service.Done", &err)
	s.handler.ReleasePermit(args)
	return nil
}

// Config serves wire.MethodConfig.
func (s *service) Config(args wire.ConfigArgs, reply *wire.ConfigReply) (err error) {
	defer errs.Recover("service.Config", &err)
	*reply = s.handler.Config(args)
	return nil
}

// Start listens on Addr and serves connections in the background.
func (s *Server) Start() error {
	ln, err := socket.Or(s.Network).Listen(s.Addr)
	if err != nil {
		return errs.WithPeer(err, "Server.Start", s.Addr)
	}
	s.ln = accept.NewListener(ln, "instances", accept.Limits{
		MaxConns: s.MaxConns,
		Messages: true,
		// Between messages a connection counts as working, so this bounds the time of the first one.
		Times: shed.Limits{
			Idle:  firstMessageTimeout,
			Grace: firstMessageTimeout,
		},
	}, nil)
	s.ln.Log = s.Log
	s.conns = make(map[net.Conn]struct{})
	r := rpc.NewServer()
	receivers := map[string]any{
		linkService: link{},
	}
	if s.Handler != nil {
		receivers[wire.ServicePeer] = &service{
			handler: s.Handler,
		}
	}
	maps.Copy(receivers, s.Services)
	for name, receiver := range receivers {
		if err := r.RegisterName(name, receiver); err != nil {
			return errs.WithOp(err, "Server.Start")
		}
	}
	go s.accept(r)
	return nil
}

// BoundAddr returns the address on which the server listens, with the actual port.
func (s *Server) BoundAddr() netip.AddrPort {
	return s.ln.Addr().(*net.TCPAddr).AddrPort()
}

// Run closes connections on which no message comes, and logs refusals, until ctx ends.
func (s *Server) Run(ctx context.Context) {
	s.ln.Run(ctx)
}

// Bounded returns the listener that bounds the connections. It is valid after Start.
func (s *Server) Bounded() *accept.Listener {
	return s.ln
}

// firstMessageTimeout is how long a new connection may take to its first request. Instances send one at once.
const firstMessageTimeout = 10 * time.Second

// acceptRetryDelay is the delay after a failed accept, as when the process has no descriptor left.
const acceptRetryDelay = 50 * time.Millisecond

// accept serves new connections until Stop is called.
func (s *Server) accept(r *rpc.Server) {
	for {
		c, err := s.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.Log.Error().Err(err).Msg("peer: accepting a connection failed; trying again")
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !s.add(c) {
			_ = c.Close()
			return
		}
		go errs.Contain(&s.Log, "Server.serve", func() {
			defer s.remove(c)
			// The other instance opens a new connection after a panic.
			defer c.Close()
			if err := authenticate(c, s.Secret, roleServer); err != nil {
				return
			}
			r.ServeCodec(newServerCodec(c, s.Messages.Holder()))
		})
	}
}

// add registers a connection to be closed by Stop. It reports false after Stop.
func (s *Server) add(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) remove(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Stop closes the listener and all connections. It does not wait for calls in
// progress.
func (s *Server) Stop() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close()
	}
	return errs.WithOp(s.ln.Close(), "Server.Stop")
}
