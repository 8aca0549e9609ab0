package sched_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/sched"
)

// Prompts that wait count in the time to the first token of those that come after them.
func TestWaitingPromptsCount(t *testing.T) {
	s := target(4)
	hold(t, s, start, "m/a")
	now := start.Add(time.Second)
	for _, id := range []string{"1", "2", "3"} {
		require.IsType(t, sched.Granted{}, s.Ask(now, ask(id, "m/a")))
	}
	// Three prompts of 1,900 tokens and its own take 407 ms, a fourth 99 ms more.
	late := ask("late", "m/a")
	late.Limit = 450 * time.Millisecond
	require.IsType(t, sched.Wait{}, s.Ask(now, late))
	late.Limit = 0
	require.IsType(t, sched.Declined{}, s.Ask(now, late))
	require.IsType(t, sched.Wait{}, s.Ask(now, ask("first", "m/a")))
	late.Limit = 450 * time.Millisecond
	require.IsType(t, sched.Declined{}, s.Ask(now, late))
}

// Where an event takes more steps, fewer prompts are read at once.
func TestUnreadPromptsByEventSteps(t *testing.T) {
	for steps, want := range map[int]sched.Decision{
		2: sched.Granted{},
		3: sched.Wait{},
	} {
		s := target(4)
		s.Limits.EventSteps = steps
		hold(t, s, start, "m/a")
		now := start.Add(time.Second)
		require.IsType(t, sched.Granted{}, s.Ask(now, ask("1", "m/a")))
		require.IsType(t, want, s.Ask(now, ask("2", "m/a")), "%d steps", steps)
	}
}
