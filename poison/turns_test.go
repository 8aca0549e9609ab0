package poison_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/poison"
)

// Guards against a request that crashes targets and reaches one from each instance, in all copies that
// have waited, as soon as the hold after the second end is over.
func TestSuspectedCopiesTakeTurns(t *testing.T) {
	same := poison.SameRequest(nil, "x")
	suspected := func(since time.Duration) poison.Suspected {
		return poison.Suspected{
			Feature: same,
			Since:   since,
		}
	}
	sent := 0
	for rank := range 7 {
		var turns poison.Turns
		for copies := range 3 {
			for ms := 0; ms < 300; ms += 10 {
				since := time.Duration(ms) * time.Millisecond
				if turns.Take(at(since), string(rune('a'+copies)), suspected(since), rank) == 0 {
					sent++
					break
				}
			}
		}
	}
	require.Equal(t, 1, sent, "copies within the time in which an end becomes known")

	var turns poison.Turns
	require.Equal(t, 400*time.Millisecond, turns.Take(at(0), "a", suspected(200*time.Millisecond), 2))
	require.Zero(t, turns.Take(at(0), "a", suspected(600*time.Millisecond), 2))
	require.Zero(t, turns.Take(at(time.Second), "a", suspected(1600*time.Millisecond), 2), "asked again")
	require.Equal(t, time.Second, turns.Take(at(time.Second), "b", suspected(1600*time.Millisecond), 2))
	require.Zero(t, turns.Take(at(2*time.Second), "b", suspected(2600*time.Millisecond), 2))
}
