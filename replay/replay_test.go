package replay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// mean returns the mean worth of a pattern over some seeds, and the mean number of loads.
func mean(t *testing.T, pattern, policy string) (float64, float64) {
	const seeds = 2
	worth, loads := 0.0, 0.0
	for seed := range uint64(seeds) {
		r := Run(Experiment{
			Pattern: patternNamed(t, pattern),
			Policy:  policyNamed(t, policy),
			Seed:    seed,
		})
		worth += r.Worth() / seeds
		loads += float64(r.Loads) / seeds
	}
	return worth, loads
}

func patternNamed(t *testing.T, name string) Pattern {
	for _, p := range Patterns() {
		if p.Name == name {
			return p
		}
	}
	t.Fatalf("no pattern %s", name)
	return Pattern{}
}

func policyNamed(t *testing.T, name string) Policy {
	for _, p := range Policies() {
		if p.Name == name {
			return p
		}
	}
	t.Fatalf("no policy %s", name)
	return Policy{}
}

// Guards against requests that an experiment loses or counts twice, and against results that do
// not repeat.
func TestEveryRequestEndsOnce(t *testing.T) {
	for _, p := range Patterns() {
		t.Run(p.Name, func(t *testing.T) {
			p.Duration = 18 * time.Second
			e := Experiment{
				Pattern: p,
				Policy:  Policies()[0],
				Seed:    7,
			}
			r := Run(e)
			for _, c := range r.Classes {
				require.NotZero(t, c.Asked)
				require.Equal(t, c.Asked, c.OnTime+c.Late+c.Refused+c.Failed+c.Left, c.Class.Name)
			}
			require.Equal(t, r, Run(e))
		})
	}
}

// Guards against a target that loads an adapter although its queue is long: replays long
// prompts at targets that read them in pieces.
func TestFetchSoonestServesLongPrompts(t *testing.T) {
	before, loadsBefore := mean(t, "long", "fetch-first")
	after, loads := mean(t, "long", "in-force")
	t.Logf("worth %.3f before, %.3f after; loads %.0f and %.0f", before, after, loadsBefore, loads)
	require.Greater(t, after, before)
	require.Less(t, loads, 1.1*loadsBefore)
}

// Guards against urgent requests behind the fetches of others: replays a burst of bulk requests
// with a shift of the popular adapters.
func TestSlotsByPriorityServeUrgentRequests(t *testing.T) {
	before, _ := mean(t, "burst", "slots-by-arrival")
	after, _ := mean(t, "burst", "in-force")
	t.Logf("worth %.3f before, %.3f after", before, after)
	require.Greater(t, after, before)
}
