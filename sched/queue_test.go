package sched_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/sched"
)

// Queued prompts must count in the expected time to the first token of the
// requests behind them.
func TestQueuedPromptsDelayFirstToken(t *testing.T) {
	s := newTarget(4)
	loadAdapter(t, s, start, "m/a")
	now := start.Add(time.Second)
	for _, id := range []string{"1", "2", "3"} {
		require.IsType(t, sched.Granted{}, s.Admit(now, newRequest(id, "m/a")))
	}
	// Three prompts of 1,900 tokens and its own take 407 ms, a fourth 99 ms more.
	late := newRequest("late", "m/a")
	late.Limit = 450 * time.Millisecond
	require.IsType(t, sched.Queued{}, s.Admit(now, late))
	late.Limit = 0
	require.IsType(t, sched.Declined{}, s.Admit(now, late))
	require.IsType(t, sched.Queued{}, s.Admit(now, newRequest("first", "m/a")))
	late.Limit = 450 * time.Millisecond
	require.IsType(t, sched.Declined{}, s.Admit(now, late))
}

// The more steps an event takes, the fewer prompts may be read at once.
func TestPendingPrefillByEventSteps(t *testing.T) {
	for steps, want := range map[int]sched.Decision{
		2: sched.Granted{},
		3: sched.Queued{},
	} {
		s := newTarget(4)
		s.Limits.EventSteps = steps
		loadAdapter(t, s, start, "m/a")
		now := start.Add(time.Second)
		require.IsType(t, sched.Granted{}, s.Admit(now, newRequest("1", "m/a")))
		require.IsType(t, want, s.Admit(now, newRequest("2", "m/a")), "%d steps", steps)
	}
}
