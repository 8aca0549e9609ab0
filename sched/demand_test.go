package sched_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/sched"
)

func TestDemand(t *testing.T) {
	var d sched.Demand
	rate := 0.0
	now := start
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		rate = d.Add(now, "hot", 2000)
	}
	require.InDelta(t, 20_000, rate, 2000)
	require.Equal(t, rate, d.Rate(now, "hot"))
	require.Zero(t, d.Rate(now, "unknown"))
	require.Less(t, d.Rate(now.Add(time.Hour), "hot"), 1.0)
}

// A target that has just begun to receive requests for an adapter underestimates
// its demand. Its estimate must not replace a higher one at once.
func TestLowerDemandEstimateIsDeferred(t *testing.T) {
	var d sched.Demand
	d.Merge(start, "hot", 30_000)
	d.Merge(start, "hot", 400)
	require.InDelta(t, 30_000, d.Rate(start, "hot"), 1)
	d.Merge(start, "hot", 40_000)
	require.InDelta(t, 40_000, d.Rate(start, "hot"), 1)
	later := start.Add(time.Minute)
	d.Merge(later, "hot", 400)
	require.InDelta(t, 400, d.Rate(later, "hot"), 1)
}

func TestReplicas(t *testing.T) {
	require.Equal(t, 1, sched.Replicas(0))
	require.Equal(t, 1, sched.Replicas(4000))
	require.Equal(t, 2, sched.Replicas(5000))
	require.Greater(t, sched.Replicas(230_000), 20)
	require.False(t, sched.ReplicasOutdated(1, 4000))
	require.True(t, sched.ReplicasOutdated(1, 5000))
	require.False(t, sched.ReplicasOutdated(3, 5000))
	require.False(t, sched.ReplicasOutdated(0, 230_000), "an admission request that is not counted does not make the sender choose again")
}

// A request must not be held for longer than its caller waits, which for streams
// is less than the deadline.
func TestDisconnectTime(t *testing.T) {
	tests := []struct {
		name      string
		until     time.Duration
		objective time.Duration
		gap       time.Duration
		want      time.Duration
	}{
		{
			name:      "by the objective",
			until:     15 * time.Second,
			objective: time.Second,
			gap:       400 * time.Millisecond,
			want:      4 * time.Second,
		},
		{
			name:      "by the event gap",
			until:     15 * time.Second,
			objective: 100 * time.Millisecond,
			gap:       500 * time.Millisecond,
			want:      4 * time.Second,
		},
		{
			name:  "minimum time",
			until: 15 * time.Second,
			want:  2 * time.Second,
		},
		{
			name:      "by the deadline",
			until:     3 * time.Second,
			objective: time.Second,
			want:      3 * time.Second,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			disconnect := sched.DisconnectTime(start, start.Add(tt.until), tt.objective, tt.gap)
			require.Equal(t, tt.want, disconnect.Sub(start))
			require.True(t, sched.AdmissionDeadline(start, disconnect).Before(disconnect))
		})
	}
}

func TestLongPromptTargets(t *testing.T) {
	require.Zero(t, sched.LongPromptTargets(4), "a small fleet reserves no targets")
	require.Equal(t, 2, sched.LongPromptTargets(18))
	require.Equal(t, 14, sched.LongPromptTargets(140))
	l := sched.Limits{
		EventSteps: 3,
		MaxGap:     400 * time.Millisecond,
	}
	require.False(t, l.IsLongPrompt(6000))
	require.True(t, l.IsLongPrompt(7000))
}

// Each replica of an adapter must come first for its share of the requests, while
// the targets after the replicas keep their order.
func TestOrderTargets(t *testing.T) {
	firstCounts := map[int]int{}
	for pick := range uint64(300) {
		list := sched.OrderTargets([]int{0, 1, 2, 3, 4}, 3, pick, 0)
		require.Equal(t, []int{3, 4}, list[3:])
		require.ElementsMatch(t, []int{0, 1, 2}, list[:3])
		firstCounts[list[0]]++
	}
	require.Equal(t, map[int]int{0: 100, 1: 100, 2: 100}, firstCounts)
	require.NotEqual(t, sched.OrderTargets([]int{0, 1, 2}, 3, 7, 0), sched.OrderTargets([]int{0, 1, 2}, 3, 7, 1))
	require.Equal(t, []int{0, 1, 2}, sched.OrderTargets([]int{0, 1, 2}, 1, 7, 0))
	require.Len(t, sched.OrderTargets([]int{0, 1}, 9, 7, 0), 2)
}
