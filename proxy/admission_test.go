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

// slowManager grants admission requests after a delay, like a manager that waits for
// the prefill of earlier prompts on its target.
type slowManager struct {
	delay time.Duration
	// blocked makes all calls block until it is closed, unless it is nil.
	blocked chan struct{}
}

func (s *slowManager) Ask(_ wire.AdmissionArgs, reply *wire.AdmissionReply) error {
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

func (s *slowManager) Notes(_ wire.ProgressArgs, _ *wire.Empty) error {
	return nil
}

// requestFromManager starts a peer server with the service and sends it one admission
// request.
func requestFromManager(t *testing.T, s *slowManager) (wire.AdmissionReply, *Router) {
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
		Self:     "entry-0",
		Registry: fleet.NewRegistry(),
		Peers:    &peer.Pool{},
	}
	r.init()
	t.Cleanup(r.Peers.Close)
	r.Registry.SetInstance(fleet.Instance{
		Name:  "entry-1",
		Peers: server.BoundAddr(),
	})
	r.Registry.Publish()
	p := &Placement{
		router:  r,
		manager: "entry-1",
	}
	x := call.Request{
		ID: "r1",
	}
	return r.callManager(context.Background(), r.Registry.View(), p, wire.AdmissionArgs{
		Ask: sched.AdmissionRequest{
			ID: x.ID,
		},
	}), r
}

// An instance that delays an admission request for longer than livenessTimeout but
// answers pings must not be treated as unresponsive.
func TestSlowAdmissionIsNotUnresponsive(t *testing.T) {
	reply, r := requestFromManager(t, &slowManager{
		delay: 3 * livenessTimeout,
	})
	require.True(t, reply.Granted)
	require.False(t, r.isUnresponsive(time.Now(), r.Registry.View(), "entry-1"))
}

// A manager that answers neither admission requests nor pings must be abandoned
// before admissionTimeout, and its targets skipped.
func TestUnresponsiveManagerIsExcluded(t *testing.T) {
	blocked := make(chan struct{})
	start := time.Now()
	reply, r := requestFromManager(t, &slowManager{
		blocked: blocked,
	})
	close(blocked)
	require.False(t, reply.Granted)
	require.Less(t, time.Since(start), admissionTimeout)
	require.True(t, r.isUnresponsive(time.Now(), r.Registry.View(), "entry-1"))
}

// Guards against the targets of a manager that are skipped although it has restarted since it
// did not respond.
func TestRestartedManagerIsAskedAtOnce(t *testing.T) {
	r := &Router{
		Registry: fleet.NewRegistry(),
	}
	r.init()
	in := fleet.Instance{
		Name:    "entry-1",
		Started: 1,
	}
	r.Registry.SetInstance(in)
	r.Registry.Publish()
	now := time.Now()
	r.markUnresponsive(now, in)
	require.True(t, r.isUnresponsive(now, r.Registry.View(), "entry-1"))
	r.Registry.RemoveInstance("entry-1")
	r.Registry.Publish()
	require.True(t, r.isUnresponsive(now, r.Registry.View(), "entry-1"), "stopped")
	in.Started = 2
	r.Registry.SetInstance(in)
	r.Registry.Publish()
	require.False(t, r.isUnresponsive(now, r.Registry.View(), "entry-1"), "restarted")
	r.markUnresponsive(now, in)
	require.False(t, r.isUnresponsive(now.Add(managerBackoff), r.Registry.View(), "entry-1"), "later")
}
