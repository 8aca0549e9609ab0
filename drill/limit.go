package drill

import (
	"fmt"
	"math/rand/v2"
	"time"

	"currantstile/clock"
)

const (
	// minLimitTime is how long a target names a limit at least, and limitTimeRange how much longer at
	// most. A limit that is in force for less decides nothing.
	minLimitTime   = 7 * time.Second
	limitTimeRange = 8 * time.Second
	// pressRate is how many more requests a second callers send while a target names a limit.
	pressRate = 40
	// maxLimits is how many limits are drawn for a day at most.
	maxLimits = 3
)

// limits are the rate limits that targets name, in requests a second.
var limits = []string{"0.5", "1", "1.3", "2", "2", "4", "0", "soon", "-1"}

// limitFaults are rate limits that targets name; drawLimits alone draws them, so that they do not alter
// what else a seed draws.
func limitFaults() []faultKind {
	return []faultKind{
		{
			name: "target-limits",
			play: (*player).limitTargets,
		},
		{
			name: "service-limits",
			play: (*player).limitTargets,
		},
	}
}

// drawLimits draws targets that name rate limits.
func (d *Day) drawLimits(rng *rand.Rand) {
	room := d.Length - soundEnd - minLimitTime
	if room <= 0 {
		return
	}
	for range rng.IntN(maxLimits + 1) {
		at := time.Duration(rng.Int64N(int64(room))).Round(time.Millisecond)
		f := Fault{
			At:   at,
			For:  min(minLimitTime+time.Duration(rng.Int64N(int64(limitTimeRange))), d.Length-soundEnd-at).Round(time.Millisecond),
			Kind: []string{"target-limits", "target-limits", "service-limits"}[rng.IntN(3)],
			Who:  rng.IntN(maxTargets),
			How:  limits[rng.IntN(len(limits))],
		}
		d.Faults = append(d.Faults, f)
		if rng.IntN(2) == 0 {
			d.press(rng, f)
		}
	}
}

// press draws requests of callers that press while targets name limits.
func (d *Day) press(rng *rand.Rand, f Fault) {
	route := []string{"look", "long"}[rng.IntN(2)]
	for at := f.At; at < f.At+f.For; at += time.Duration(rng.ExpFloat64() / pressRate * float64(time.Second)) {
		d.Requests = append(d.Requests, Request{
			ID:       fmt.Sprintf("l%d-%08x", len(d.Requests), rng.Uint32()),
			At:       at.Round(time.Millisecond),
			Instance: rng.IntN(d.Instances),
			Route:    route,
			Key:      alwaysKey,
			Adapter:  rng.IntN(3),
			Path:     "press",
			Timeout:  2 * time.Second,
		})
	}
}

// limitTargets lets one target, or all of its service, name a limit. It may name another one meanwhile.
func (p *player) limitTargets(f Fault, rng *rand.Rand) {
	set := func(limit string) {
		for _, x := range p.processes(f, f.Kind == "service-limits") {
			x.set(func() { x.limit = limit })
		}
	}
	set(f.How)
	if rng.IntN(3) == 0 {
		clock.Sleep(p.ctx, f.For/2)
		set(limits[rng.IntN(len(limits))])
		clock.Sleep(p.ctx, f.For/2)
	} else {
		clock.Sleep(p.ctx, f.For)
	}
	set("")
}

// currentLimit returns the rate limit that the process names.
func (x *process) currentLimit() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.limit
}
