package send_test

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"currantstile/commit"
	"currantstile/engine"
	"currantstile/member"
	"currantstile/model"
	"currantstile/rest"
	"currantstile/send"
	"currantstile/sims"
)

func newSender(services ...netip.AddrPort) *send.Sender {
	v := &member.View{}
	for i, addr := range services {
		v.Services = append(v.Services, model.Member{
			ID:      "desk-" + string(rune('a'+i)),
			Service: "desk",
			Addr:    addr,
			State:   model.StateLive,
		})
	}
	return &send.Sender{
		View: commit.EmptyView,
		Members: func() *member.View {
			return v
		},
		Engines: &engine.Client{HTTP: rest.NewClient(time.Second, 4)},
		Log:     log.Logger{Level: log.PanicLevel},
	}
}

func startService(t *testing.T, f sims.Faults) *sims.ServiceServer {
	s := &sims.ServiceServer{
		Addr: netip.MustParseAddrPort("127.0.0.1:0"),
		Name: "desk",
	}
	require.NoError(t, s.Start())
	s.SetFaults(f)
	return s
}

func serve(s *send.Sender, repeatable bool, deadline time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	_, err := s.Serve(ctx, send.ServiceRequest{
		Service:    "desk",
		Repeatable: repeatable,
		Call: engine.ServiceCall{
			RequestID: "r-1",
			Method:    http.MethodPost,
			Path:      "/",
			Header:    http.Header{"Idempotency-Key": {"k"}},
		},
	})
	return err
}

// Guards against reporting a request as not run after an attempt that may have run. It comes about
// when the service drops its response and no target can be reached for the retry; the outcome must
// then be unknown.
func TestServeUnknownThenUnreachable(t *testing.T) {
	s := startService(t, sims.Faults{DropResponse: 1})
	go func() {
		for len(s.Received()) == 0 {
			time.Sleep(time.Millisecond)
		}
		_ = s.Stop(context.Background())
	}()
	err := serve(newSender(s.BoundAddr()), true, time.Second)
	require.Error(t, err)
	require.IsType(t, model.Unknown{}, engine.OutcomeOf(err), "%s", err)
	require.NotErrorIs(t, err, send.ErrDeadline, "ErrDeadline is reported to callers as not run")
	require.NotErrorIs(t, err, send.ErrNoTarget)
	require.Equal(t, 1, s.Runs()["k"])
}

// Guards against repeating a request that is not repeatable after its response was lost, and
// against more than one retry of a repeatable request.
func TestServeLostResponse(t *testing.T) {
	for _, repeatable := range []bool{false, true} {
		s := startService(t, sims.Faults{DropResponse: 1})
		err := serve(newSender(s.BoundAddr()), repeatable, 5*time.Second)
		require.IsType(t, model.Unknown{}, engine.OutcomeOf(err), "%s", err)
		want := 1
		if repeatable {
			want = 2
		}
		require.Equal(t, want, s.Runs()["k"])
		require.NoError(t, s.Stop(context.Background()))
	}
}

// Guards against failing a request that is not repeatable when one target refuses it. A refusal
// proves that the request did not run, so it must be sent to another target.
func TestServeRefused(t *testing.T) {
	refusing := startService(t, sims.Faults{Refuse: 1})
	working := startService(t, sims.Faults{})
	for range 4 {
		require.NoError(t, serve(newSender(refusing.BoundAddr(), working.BoundAddr()), false, 5*time.Second))
	}
	require.Empty(t, refusing.Runs())
	require.Equal(t, 4, working.Runs()["k"])
	require.ErrorIs(t, serve(newSender(), false, time.Second), send.ErrNoTarget)
	require.NoError(t, refusing.Stop(context.Background()))
	require.NoError(t, working.Stop(context.Background()))
}
