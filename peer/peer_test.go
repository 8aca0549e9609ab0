package peer_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/peer"
	"currantstile/wire"
)

// handler answers a status, and nothing else that a test asks for.
type handler struct {
	peer.Handler
	delay time.Duration
}

// Status implements peer.Handler.
func (h *handler) Status() wire.StatusReply {
	time.Sleep(h.delay)
	return wire.StatusReply{
		ID: "entry-0",
	}
}

func start(t *testing.T, secret string, slow time.Duration) *peer.Server {
	s := &peer.Server{
		Addr:    netip.MustParseAddrPort("127.0.0.1:0"),
		Handler: &handler{delay: slow},
		Secret:  secret,
	}
	require.NoError(t, s.Start())
	t.Cleanup(func() {
		require.NoError(t, s.Stop())
	})
	return s
}

func call(addr netip.AddrPort, secret string, timeout time.Duration) (wire.StatusReply, error) {
	p := &peer.Pool{Secret: secret}
	defer p.Close()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reply wire.StatusReply
	err := p.Call(ctx, addr, wire.MethodStatus, wire.StatusArgs{}, &reply)
	return reply, err
}

// Calls need the fleet's secret on both sides.
func TestSecretIsRequiredOnBothSides(t *testing.T) {
	tests := []struct {
		server, caller string
		ok             bool
	}{
		{
			ok: true,
		},
		{
			server: "s",
			caller: "s",
			ok:     true,
		},
		{
			server: "s",
			caller: "x",
		},
		{
			server: "s",
		},
	}
	for _, tt := range tests {
		s := start(t, tt.server, 0)
		reply, err := call(s.BoundAddr(), tt.caller, 5*time.Second)
		if tt.ok {
			require.NoError(t, err)
			require.Equal(t, "entry-0", string(reply.ID))
		} else {
			require.Error(t, err)
			require.ErrorContains(t, err, s.BoundAddr().String())
		}
	}
}

// A call ends at its deadline, and one to nobody says that it was not sent.
func TestCallDeadline(t *testing.T) {
	s := start(t, "", time.Second)
	_, err := call(s.BoundAddr(), "", 50*time.Millisecond)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	gone := &peer.Server{
		Addr:    netip.MustParseAddrPort("127.0.0.1:0"),
		Handler: &handler{},
	}
	require.NoError(t, gone.Start())
	require.NoError(t, gone.Stop())
	_, err = call(gone.BoundAddr(), "", time.Second)
	require.ErrorIs(t, err, peer.ErrNotSent)
}
