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

// startColdFleet starts a small fleet whose engines have no adapters loaded and the
// given number of adapter slots.
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

// Adapters are loaded on demand and evicted for others without aborting a running
// request.
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

// A failed load is retried on the same or another target. All loads of the first
// engine fail here.
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

// An engine that restarts without adapters is loaded again, and requests succeed.
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

// Orders whose responses are lost, executed or not, neither abort running requests
// nor make later requests fail. Half of the orders lose their response here.
func TestLostOrderResponses(t *testing.T) {
	f := startColdFleet(t, 1)
	for _, e := range f.Engines {
		e.SetFaults(sims.Faults{DropOrderResponse: 0.5})
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
