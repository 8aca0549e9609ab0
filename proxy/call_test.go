package proxy

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/call"
	"currantstile/fleet"
	"currantstile/peer"
	"currantstile/sched"
	"currantstile/wire"
)

// heldService answers asks only after a while, like a manager whose target's prompts
// are being read.
type heldService struct {
	hold time.Duration
	// dead answers nothing at all.
	dead chan struct{}
}

func (s *heldService) Ask(_ wire.AskArgs, reply *wire.AskReply) error {
	if s.dead != nil {
		<-s.dead
	}
	time.Sleep(s.hold)
	reply.Granted = true
	return nil
}

func (s *heldService) Ping(_ wire.Empty, _ *wire.Empty) error {
	if s.dead != nil {
		<-s.dead
	}
	return nil
}

func (s *heldService) Notes(_ wire.NotesArgs, _ *wire.Empty) error {
	return nil
}

// askHeld asks an instance of that service once.
func askHeld(t *testing.T, s *heldService) (wire.AskReply, *Router) {
	server := &peer.Server{
		Addr: netip.MustParseAddrPort("127.0.0.1:0"),
		Services: map[string]any{
			wire.ServiceSched: s,
		},
	}
	require.NoError(t, server.Start())
	t.Cleanup(func() {
		require.NoError(t, server.Stop())
	})
	r := &Router{
		Self:  "entry-0",
		Book:  fleet.NewRegistry(),
		Peers: &peer.Pool{},
	}
	r.init()
	t.Cleanup(r.Peers.Close)
	r.Book.SetInstance(fleet.Instance{
		Name:  "entry-1",
		Peers: server.Bound(),
	})
	r.Book.Publish()
	p := &Place{
		router:  r,
		manager: "entry-1",
	}
	x := call.Call{
		ID: "r1",
	}
	return r.call(context.Background(), r.Book.View(), p, wire.AskArgs{
		Ask: sched.AdmissionRequest{
			ID: x.ID,
		},
	}), r
}

// An instance that keeps an ask waiting is not silent, though it has nothing else to
// say to the asker.
func TestWaitingAskIsNoSilence(t *testing.T) {
	reply, r := askHeld(t, &heldService{
		hold: 3 * aliveTime,
	})
	require.True(t, reply.Granted)
	require.False(t, r.isSilent(time.Now(), "entry-1"))
}

func TestSilentManagerIsLeftOut(t *testing.T) {
	dead := make(chan struct{})
	begun := time.Now()
	reply, r := askHeld(t, &heldService{
		dead: dead,
	})
	close(dead)
	require.False(t, reply.Granted)
	require.Less(t, time.Since(begun), askTimeout)
	require.True(t, r.isSilent(time.Now(), "entry-1"))
}
