package drill

import (
	"math/rand/v2"
	"time"
)

const (
	// stableWindow is how long after a disturbance the rules with a bound hold again.
	stableWindow = 3 * time.Second
	// leaveOdds is one in how many days has targets that leave after an outage of the store.
	leaveOdds = 2
	// minOutage is the shortest of these outages: each instance notices it.
	minOutage = 1500 * time.Millisecond
	// minLeaveDelay and maxLeaveDelay bound how long after the outage a target leaves.
	minLeaveDelay = 300 * time.Millisecond
	maxLeaveDelay = 4 * time.Second
	// boundTime is the part of a stable time in which what an instance has still not noticed shows.
	boundTime = 500 * time.Millisecond
	// maxLeaves is how many targets leave after one outage.
	maxLeaves = 3
)

// drawLeaves draws an outage of the store, and targets that leave some time after it by the deletion of
// their entries: soon, when a deleted entry may be one that expired in the outage, or just after the store
// is stable again, when the rules bind. It has random numbers of its own, so that it does not alter what
// else a seed draws.
func (d *Day) drawLeaves(rng *rand.Rand) {
	room := d.Length - soundEnd - maxFaultTime - maxLeaveDelay
	if room <= 0 || rng.IntN(leaveOdds) != 0 {
		return
	}
	outage := Fault{
		At:   time.Duration(rng.Int64N(int64(room))).Round(time.Millisecond),
		For:  minOutage + time.Duration(rng.Int64N((maxFaultTime-minOutage).Milliseconds()))*time.Millisecond,
		Kind: "store-away",
		How:  []string{"503", "reset", "silent"}[rng.IntN(3)],
	}
	d.Faults = append(d.Faults, outage)
	for range 1 + rng.IntN(maxLeaves) {
		from, span := minLeaveDelay, maxLeaveDelay-minLeaveDelay
		if rng.IntN(2) == 0 {
			from, span = stableWindow, boundTime
		}
		d.Faults = append(d.Faults, Fault{
			At:   outage.At + outage.For + from + time.Duration(rng.Int64N(span.Milliseconds()))*time.Millisecond,
			For:  time.Duration(rng.IntN(1000)) * time.Millisecond,
			Kind: "target-drains",
			Who:  rng.IntN(maxTargets),
			How:  "removed",
		})
	}
}
