package poison_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/poison"
)

// Guards against copies of a request that crashes targets, at six instances within 0.2 s, that are all sent before the
// first end is known.
func TestCopiesAreSentOneAtATime(t *testing.T) {
	same := poison.SameRequest(nil, "x")
	var c poison.Copies
	sent := 0
	for i := range 6 {
		if c.Take(at(time.Duration(i)*30*time.Millisecond), same, fmt.Sprint(i)) == 0 {
			sent++
		}
	}
	require.Equal(t, 1, sent)
	require.Equal(t, 500*time.Millisecond, c.Take(at(1500*time.Millisecond), same, "1"))
	require.Zero(t, c.Take(at(1900*time.Millisecond), same, "0"), "the first one renews its turn")
	require.Positive(t, c.Take(at(3800*time.Millisecond), same, "1"))
	require.Zero(t, c.Take(at(3900*time.Millisecond), same, "1"))
	require.Zero(t, c.Take(at(3900*time.Millisecond), poison.SameRequest(nil, "y"), "z"), "another request")

	c.Release(at(4*time.Second), same, "2")
	require.Positive(t, c.Take(at(4*time.Second), same, "2"), "not its turn")
	c.Release(at(4*time.Second), same, "1")
	require.Zero(t, c.Take(at(4*time.Second), same, "2"))
	c.RecordAnswered(at(5*time.Second), same)
	for i := range 6 {
		require.Zero(t, c.Take(at(6*time.Second), same, fmt.Sprint(i)), "answered")
	}
	require.Zero(t, c.Take(at(7*time.Second), same, "3"))
	require.Positive(t, c.Take(at(7*time.Second), same, "4"))
}

// Guards against turns in a fleet that has had no ends, and against none after a restart.
func TestMayHaveForgotten(t *testing.T) {
	times := func(seconds ...int) []time.Time {
		var list []time.Time
		for _, s := range seconds {
			list = append(list, at(time.Duration(s)*time.Second))
		}
		return list
	}
	for _, c := range []struct {
		name               string
		now                int
		running            time.Time
		instances, targets []time.Time
		want               bool
	}{
		{"nothing listed", 100, time.Time{}, nil, nil, true},
		{"all started together", 10, time.Time{}, times(5, 5), times(0, 1, 2), false},
		{"a target is back before a restart", 120, time.Time{}, times(100, 101), times(0, 95), true},
		{"a target is back after a restart", 120, time.Time{}, times(100, 101), times(0, 110), true},
		{"one of the instances was restarted", 120, time.Time{}, times(0, 101), times(0, 95), true},
		{"a target is back long after a restart", 220, time.Time{}, times(100, 101), times(0, 200), false},
		{"long ago", 1000, time.Time{}, times(999), times(0, 100), false},
		{"targets start with the instances, one after the other", 30, time.Time{}, times(0, 0, 0, 0), times(1, 5, 9), false},
		{"targets start before the instances, one after the other", 30, time.Time{}, times(2, 2, 2, 2), times(0, 5, 9), false},
		{"targets come and go without a restart", 60, time.Time{}, times(0, 0, 0, 0), times(0, 12, 14, 50), false},
		{"one of many instances was restarted", 60, time.Time{}, times(0, 0, 0, 0, 40), times(0, 30), false},
		{"two of many instances were restarted", 60, time.Time{}, times(0, 0, 0, 40, 41), times(0, 30), true},
		{"all instances and all targets were restarted together", 30, at(0), times(20, 20), times(18, 19, 20), true},
		{"all targets were restarted long after all instances", 60, at(0), times(20, 20), times(40, 40, 41), false},
		{"all instances were restarted and no target", 60, at(time.Second), times(20, 20), times(0, 1, 2), false},
		{"first start, recorded by an instance", 60, at(2 * time.Second), times(1, 2), times(0, 1, 4), false},
		{"targets start late and no instance was restarted", 60, at(2 * time.Second), times(1, 2), times(10, 11, 12), false},
	} {
		require.Equal(t, c.want, poison.MayHaveForgotten(at(time.Duration(c.now)*time.Second), c.running, c.instances, c.targets), c.name)
	}
}

// Guards against bounds that hold back copies for longer than ends may be forgotten, or not for as long.
func TestMayHaveForgottenAtItsBounds(t *testing.T) {
	const (
		clockError = 3 * time.Second
		returns    = 15 * time.Second
		lately     = 10 * time.Minute
		restart    = time.Minute
		step       = time.Millisecond
	)
	for _, c := range []struct {
		name string
		// now, instance and target are the present, the start of all instances and that of a target, since the
		// start of the deployment.
		now      time.Duration
		instance time.Duration
		target   time.Duration
		want     bool
	}{
		{"a target starts just within the time for returns", restart + time.Minute, restart, restart + returns - step, true},
		{"a target starts just after it", restart + time.Minute, restart, restart + returns, false},
		{"the target has started just less than ten minutes ago", restart + lately - step, restart, restart, true},
		{"ten minutes ago", restart + lately, restart, restart, false},
		{"the instances start with the deployment, as far as clocks tell", restart, clockError, restart / 4, false},
		{"the instances start just later", restart, clockError + step, clockError + step + returns - step, true},
		{"the target starts with the deployment, as far as clocks tell", 2 * restart, restart, clockError, false},
		{"the target starts just later", 2 * restart, restart, clockError + step, true},
	} {
		instances := []time.Time{at(c.instance), at(c.instance)}
		require.Equal(t, c.want, poison.MayHaveForgotten(at(c.now), at(0), instances, []time.Time{at(c.target)}), c.name)
		require.Equal(t, c.want, poison.MayHaveForgotten(at(c.now), time.Time{}, instances, []time.Time{at(0), at(c.target)}), "%s, known by a target", c.name)
	}
}

// Guards against equal requests of many callers that wait for each other or are refused on a deployment whose targets come and go while
// no instance is lost: the start of a target alone is no sign of a forgotten end.
func TestEqualRequestsPassWhileTargetsComeAndGo(t *testing.T) {
	const (
		instances = 76
		seconds   = 40
		// perSecond is the number of lookups of one register entry, over all instances.
		perSecond = 20
	)
	started := make([]time.Time, instances)
	for i := range started {
		started[i] = at(time.Duration(i) * 4 * time.Millisecond)
	}
	targets := []time.Time{at(time.Second), at(5 * time.Second), at(9 * time.Second)}
	same := poison.SameRequest(nil, "org", "GET", "/look/1")
	var c poison.Copies
	held := 0
	for i := range seconds * perSecond {
		now := at(14*time.Second + time.Duration(i)*time.Second/perSecond)
		if i%(5*perSecond) == 0 {
			// A target is replaced.
			targets[i%len(targets)] = now
		}
		if poison.MayHaveForgotten(now, started[0], started, targets) && c.Take(now, same, fmt.Sprint(i)) > 0 {
			held++
		}
	}
	require.Zero(t, held)
}
