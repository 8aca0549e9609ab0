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

// slowManager answers asks only after a while, like a manager whose target's prompts
// are being read.
type slowManager struct {
	delay time.Duration
	// blocked answers nothing at all.
	blocked chan struct{}
}

func (s *slowManager) Ask(_ wire.AskArgs, reply *wire.AskReply) error {
	if s.blocked != nil {
		<-s.blocked
	}
	time.Sleep(s.delay)
	reply.Granted = true
	return nil
}

func (s *slowManager) Ping(_ wire.Empty, _ *wire.Empty) error {
	if s.blocked != nil {
		<-s.blocked
	}
	return nil
}

func (s *slowManager) Notes(_ wire.NotesArgs, _ *wire.Empty) error {
	return nil
}

// requestFromManager asks an instance of that service once.
func requestFromManager(t *testing.T, s *slowManager) (wire.AskReply, *Router) {
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
	p := &Placement{
		router:  r,
		manager: "entry-1",
	}
	x := call.Request{
		ID: "r1",
	}
	return r.callManager(context.Background(), r.Book.View(), p, wire.AskArgs{
		Ask: sched.AdmissionRequest{
			ID: x.ID,
		},
	}), r
}

// An instance that keeps an ask waiting is not silent, though it has nothing else to
// say to the asker.
func TestSlowAdmissionIsNotUnresponsive(t *testing.T) {
	reply, r := requestFromManager(t, &slowManager{
		delay: 3 * livenessTimeout,
	})
	require.True(t, reply.Granted)
	require.False(t, r.isUnresponsive(time.Now(), "entry-1"))
}

func TestUnresponsiveManagerIsExcluded(t *testing.T) {
	dead := make(chan struct{})
	begun := time.Now()
	reply, r := requestFromManager(t, &slowManager{
		blocked: dead,
	})
	close(dead)
	require.False(t, reply.Granted)
	require.Less(t, time.Since(begun), admissionTimeout)
	require.True(t, r.isUnresponsive(time.Now(), "entry-1"))
}
