package loader_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"currantstile/demo"
	"currantstile/itest"
	"currantstile/sims"
)

func completionBody(f *demo.Fleet, org, n int) string {
	return fmt.Sprintf(`{"model":%q,"prompt":"x","max_tokens":4,"stream":true}`, demo.Adapter(f.Profile.Orgs[org], n))
}

// startColdFleet is a small fleet whose engines hold nothing and have few slots.
func startColdFleet(t *testing.T, slots int) *demo.Fleet {
	p := itest.SmallProfile()
	p.Engine.Slots = slots
	f := &demo.Fleet{
		Profile: p,
		Seed:    1,
		Cold:    true,
	}
	require.NoError(t, f.Start(context.Background()))
	t.Cleanup(func() {
		require.NoError(t, f.Stop(context.Background()))
	})
	return f
}

// Adapters are loaded when they are asked for, and evicted for others, without
// a request cut off.
func TestLoadAndEvict(t *testing.T) {
	f := startColdFleet(t, 1)
	for n := range 4 {
		a := itest.Send(t, f, n%2, f.Keys["alpha"], itest.Completion(completionBody(f, 0, n)))
		require.Equal(t, http.StatusOK, a.Status, "%s", a.Body)
		require.Contains(t, string(a.Body), "[DONE]")
	}
	for _, e := range f.Engines {
		require.Zero(t, e.State().EvictedRunning)
	}
}

// A load that fails is tried again, here or on another target.
func TestLoadFailureIsRetried(t *testing.T) {
	f := startColdFleet(t, 4)
	f.Engines[0].SetFaults(sims.Faults{FailLoads: 1})
	for n := range 4 {
		a := itest.Send(t, f, 0, f.Keys["alpha"], itest.Completion(completionBody(f, 0, n)))
		require.Equal(t, http.StatusOK, a.Status, "%s", a.Body)
	}
	require.Empty(t, f.Engines[0].State().Adapters)
	require.Len(t, f.Engines[1].State().Adapters, 4)
}

// An engine that restarts empty is loaded anew; requests go on.
func TestReloadAfterEngineRestart(t *testing.T) {
	f := startColdFleet(t, 4)
	send := func() {
		a := itest.Send(t, f, 0, f.Keys["alpha"], itest.Completion(completionBody(f, 0, 0)))
		require.Equal(t, http.StatusOK, a.Status, "%s", a.Body)
		require.Contains(t, string(a.Body), "[DONE]")
	}
	send()
	for _, e := range f.Engines {
		e.SetFaults(sims.Faults{Crash: true})
	}
	send()
}

// Orders whose answers are lost, whatever they did, cut off no request and stop
// no service.
func TestLostOrderResponses(t *testing.T) {
	f := startColdFleet(t, 1)
	for _, e := range f.Engines {
		e.SetFaults(sims.Faults{DropOrders: 0.5})
	}
	for n := range 6 {
		a := itest.Send(t, f, n%2, f.Keys["alpha"], itest.Completion(completionBody(f, 0, n%4)))
		require.Equal(t, http.StatusOK, a.Status, "%s", a.Body)
		require.Contains(t, string(a.Body), "[DONE]")
	}
	for _, e := range f.Engines {
		require.Zero(t, e.State().EvictedRunning)
	}
}
