package proxy

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"currantstile/call"
	"currantstile/config"
	"currantstile/fleet"
	"currantstile/sched"
)

// Long prompts must not delay the other requests of an adapter with several replicas:
// they go first to reserved targets that its other requests never use. An adapter with
// a single replica uses it for all requests.
func TestLongPromptsUseReservedTargets(t *testing.T) {
	const n, replicas = 40, 5
	svc := &config.Service{
		Engine: &config.Engine{
			EventTokens: 3,
		},
	}
	var targets []*fleet.Target
	for i := range n {
		targets = append(targets, &fleet.Target{
			ID: fmt.Sprint("t", i),
		})
	}
	first := func(id string, prompt int64, replicas int) string {
		list, _ := (&Router{}).orderTargets(&Exchange{
			Request: &call.Request{
				ID:           id,
				Adapter:      "a1",
				PromptTokens: prompt,
			},
		}, svc, targets, replicas, 0)
		return list[0].ID
	}
	long, short := map[string]bool{}, map[string]bool{}
	for i := range 200 {
		id := fmt.Sprint("r", i)
		long[first(id, 7000, replicas)] = true
		short[first(id, 2000, replicas)] = true
		require.Equal(t, first(id, 2000, 1), first(id, 7000, 1))
	}
	require.Len(t, short, replicas)
	require.Len(t, long, sched.LongPromptTargets(n))
	for id := range long {
		require.NotContains(t, short, id)
	}
}
