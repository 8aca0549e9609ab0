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

// Where targets read long prompts in pieces, as the window that a manager reports shows,
// the prompts of a popular adapter use all of its replicas: on a deployment whose prompts are
// nearly all long, a tenth of the targets would serve half of the load.
func TestLongPromptsAreNotKeptApartWhereReadInPieces(t *testing.T) {
	const n, replicas = 40, 5
	svc := &config.Service{
		Name: "s",
		Engine: &config.Engine{
			EventTokens: 6,
		},
	}
	var targets []*fleet.Target
	for i := range n {
		targets = append(targets, &fleet.Target{
			ID: fmt.Sprint("t", i),
		})
	}
	r := &Router{}
	r.init()
	r.recordPrefillWindow("s", 40_000)
	r.recordPrefillWindow("s", 0)
	used := map[string]bool{}
	for i := range 200 {
		list, weight := r.orderTargets(&Exchange{
			Request: &call.Request{
				ID:           fmt.Sprint("r", i),
				Adapter:      "a1",
				PromptTokens: 9200,
			},
		}, svc, targets, replicas, 0)
		used[list[0].ID] = true
		require.Equal(t, replicas, weight, "the demand of long prompts is counted")
	}
	require.Len(t, used, replicas)
}
