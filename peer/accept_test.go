package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/socket"
	"currantstile/wire"
)

// fewDescriptors is a network whose first Accept fails, as when a process has no descriptor left.
type fewDescriptors struct {
	socket.System
}

func (n fewDescriptors) Listen(addr netip.AddrPort) (net.Listener, error) {
	ln, err := n.System.Listen(addr)
	return &failingListener{
		Listener: ln,
	}, err
}

type failingListener struct {
	net.Listener
	once sync.Once
}

func (l *failingListener) Accept() (net.Conn, error) {
	var err error
	l.once.Do(func() {
		err = &net.OpError{
			Op:  "accept",
			Err: syscall.EMFILE,
		}
	})
	if err != nil {
		return nil, err
	}
	return l.Listener.Accept()
}

// Guards against an instance that other instances cannot reach after it ran out of descriptors once.
func TestServerAcceptsAfterAFailedAccept(t *testing.T) {
	s := &Server{
		Addr:    netip.MustParseAddrPort("127.0.0.1:0"),
		Handler: statusHandler{},
		Network: fewDescriptors{},
	}
	require.NoError(t, s.Start())
	defer func() {
		_ = s.Stop()
	}()
	p := &Pool{}
	defer p.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var reply wire.StatusReply
	require.NoError(t, p.Call(ctx, s.BoundAddr(), wire.MethodStatus, wire.StatusArgs{}, &reply))
}
