package peer

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/socket"
	"currantstile/wire"
)

// panickingNetwork panics when a connection is opened for the first time.
type panickingNetwork struct {
	dials atomic.Int32
}

func (n *panickingNetwork) Listen(addr netip.AddrPort) (net.Listener, error) {
	return socket.Or(nil).Listen(addr)
}

func (n *panickingNetwork) Dial(ctx context.Context, addr netip.AddrPort, o socket.Options) (net.Conn, error) {
	if n.dials.Add(1) == 1 {
		panic("planted")
	}
	return socket.Or(nil).Dial(ctx, addr, o)
}

// Guards against a panic while a connection is opened that ends the process, or leaves all later calls
// to that instance waiting for it.
func TestPanicWhileDialingFailsOneCall(t *testing.T) {
	s := &Server{
		Addr:    netip.MustParseAddrPort("127.0.0.1:0"),
		Handler: statusHandler{},
	}
	require.NoError(t, s.Start())
	defer func() {
		require.NoError(t, s.Stop())
	}()
	p := &Pool{
		Network: &panickingNetwork{},
	}
	defer p.Close()
	call := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		var reply wire.StatusReply
		return p.Call(ctx, s.BoundAddr(), wire.MethodStatus, wire.StatusArgs{}, &reply)
	}
	require.ErrorContains(t, call(), "no connection was opened")
	require.NoError(t, call())
}
