package judge_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"currantstile/judge"
)

// Guards against requests that reach a target which has left, and are passed over because their callers
// sent them before; and against a rule that binds before the store is stable, or for a link that was cut.
func TestDrainIsJudgedByArrival(t *testing.T) {
	storeAway := judge.Disturbed{
		Time:  at(500),
		Until: at(2500).At(),
	}
	late := func(sentAt, arrivedAt, closedAt int, heldUp bool) []judge.Event {
		a := arrived(arrivedAt, "r", "t1")
		a.HeldUp = heldUp
		return []judge.Event{storeAway, judge.Closed{
			Time:   at(closedAt),
			Target: "t1",
		}, sent(sentAt, "r", judge.Safe), a, ran(arrivedAt, "r", "t1", 1)}
	}
	for _, c := range []struct {
		name   string
		events []judge.Event
		breaks int
	}{
		{
			name:   "sent and arrived late",
			events: late(7700, 7800, 5600, false),
			breaks: 1,
		},
		{
			name:   "sent before and arrived late",
			events: late(6900, 7800, 5600, false),
			breaks: 1,
		},
		{
			name:   "sent before, arrived late over a link that was cut",
			events: late(6900, 7800, 5600, true),
		},
		{
			name:   "sent late over a link that was cut",
			events: late(7700, 7800, 5600, true),
			breaks: 1,
		},
		{
			name:   "arrived in time",
			events: late(6900, 7500, 5600, false),
		},
		{
			name:   "closed before the store was stable",
			events: late(7700, 7800, 5400, false),
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, v := range judge.Judge(judge.History{
				Bounds: bounds,
				Events: c.events,
			}) {
				if v.Rule == "drain" {
					require.Len(t, v.Breaks, c.breaks)
				}
			}
		})
	}
}
