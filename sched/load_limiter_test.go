package sched_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/sched"
)

// replayLoads replays loads of 250 ms each through one load slot: forty of low priority at
// once, as after a shift of demand, then an urgent one each half second for ten seconds. It
// returns the longest wait of an urgent load, and how many of the others were loaded in that
// time.
func replayLoads(urgent, other int) (time.Duration, int) {
	const loadTime, step, duration = 250 * time.Millisecond, 250 * time.Millisecond, 10 * time.Second
	type load struct {
		slot   *sched.LoadSlot
		at     time.Duration
		urgent bool
	}
	var l sched.LoadLimiter
	l.SetTargets(2)
	var waiting []load
	var running *sched.LoadSlot
	longest, others := time.Duration(0), 0
	for now := time.Duration(0); now < duration; now += step {
		if now == 0 {
			for range 40 {
				waiting = append(waiting, load{
					slot: l.Acquire(other),
				})
			}
		} else if now%(2*loadTime) == 0 {
			waiting = append(waiting, load{
				slot:   l.Acquire(urgent),
				at:     now,
				urgent: true,
			})
		}
		if running != nil {
			l.Release(running)
			running = nil
		}
		left := waiting[:0]
		for _, w := range waiting {
			select {
			case <-w.slot.Granted:
				running = w.slot
				if w.urgent {
					longest = max(longest, now-w.at)
				} else {
					others++
				}
			default:
				left = append(left, w)
			}
		}
		waiting = left
	}
	for _, w := range waiting {
		if w.urgent {
			longest = max(longest, duration-w.at)
		}
	}
	return longest, others
}

// Guards against urgent requests whose adapters wait behind a queue of less urgent ones, and
// against less urgent ones that never get a load slot.
func TestUrgentLoadsComeFirst(t *testing.T) {
	longest, others := replayLoads(0, 2)
	require.LessOrEqual(t, longest, 500*time.Millisecond)
	require.GreaterOrEqual(t, others, 10, "a fourth of the loads")
	longest, _ = replayLoads(2, 2)
	require.Greater(t, longest, 5*time.Second, "in order of arrival")
}

// Guards against an urgent request that waits for a fetch which a less urgent one began.
func TestSharedFetchIsAsUrgentAsItsMostUrgentRequest(t *testing.T) {
	var l sched.LoadLimiter
	l.SetTargets(2)
	running := l.Acquire(0)
	other, shared := l.Acquire(2), l.Acquire(2)
	l.Raise(shared, 0)
	require.Less(t, l.ExpectedWait(start, 0), l.ExpectedWait(start, 2))
	l.Release(running)
	<-shared.Granted
	l.Release(shared)
	<-other.Granted
}
