package judge_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/judge"
)

// Guards against a request whose target and caller lose their connections at once, without an answer,
// and which no rule counts (incident LOST): the target's answer was cut off too, so that rule lost
// excuses it.
func TestUnanswered(t *testing.T) {
	stopped := func(planned bool) judge.Event {
		return judge.Disturbed{
			Time:     at(4000),
			Until:    8 * time.Second,
			Instance: "entry-0",
			Planned:  planned,
		}
	}
	// cut is a request that arrived at a target, if reached, and whose connection ended.
	cut := func(id string, reached, kept bool) []judge.Event {
		s := sent(5000, id, judge.Unsafe)
		s.Kept = kept
		events := []judge.Event{s}
		if reached {
			events = append(events, arrived(5010, id, "t1"))
		}
		return append(events, judge.Answered{
			Time: at(5011),
			ID:   id,
		})
	}
	keptCut := func(n int) []judge.Event {
		return repeat(n, func(i int) []judge.Event {
			return cut(fmt.Sprint("r", i), false, true)
		})
	}
	for _, c := range []struct {
		name   string
		events []judge.Event
		want   int
	}{
		{
			name:   "while stopping",
			events: append(cut("r", true, false), stopped(true)),
			want:   1,
		},
		{
			name:   "while nothing disturbs the instance",
			events: cut("r", true, true),
			want:   1,
		},
		{
			name:   "while its instance is killed",
			events: append(cut("r", true, false), stopped(false)),
		},
		{
			name:   "not passed on, over a new connection",
			events: append(cut("r", false, false), stopped(true)),
		},
		{
			name:   "three kept connections",
			events: keptCut(3),
		},
		{
			name:   "four kept connections",
			events: append(keptCut(4), stopped(true)),
			want:   4,
		},
	} {
		for _, v := range judge.Judge(judge.History{
			Bounds: bounds,
			Events: c.events,
			Length: 20 * time.Second,
		}) {
			switch v.Rule {
			case "unanswered":
				require.Len(t, v.Breaks, c.want, c.name)
			case "lost":
				require.Empty(t, v.Breaks, c.name)
			}
		}
	}
}

// ruleCase is a history that breaks a rule, and one just inside.
type ruleCase struct {
	rule   string
	name   string
	broken []judge.Event
	kept   []judge.Event
}

// lostCases are the cases of TestRules about lost answers.
func lostCases() []ruleCase {
	cut := func(planned bool) []judge.Event {
		return append(change(served(4000, "r", judge.Safe), func(a *judge.Answered) {
			a.Status, a.Whole = 0, false
		}), judge.Disturbed{
			Time:     at(4000),
			Until:    8 * time.Second,
			Instance: "entry-0",
			Planned:  planned,
		})
	}
	return []ruleCase{
		{
			rule:   "lost",
			name:   "cut by an orderly stop",
			broken: cut(true),
			kept:   cut(false),
		},
		{
			rule:   "unanswered",
			name:   "cut by an orderly stop",
			broken: cut(true),
			kept:   cut(false),
		},
	}
}
