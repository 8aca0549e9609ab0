package drill

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// rareOdds is one in how many days has each of the things that the other draws bring about too
	// seldom for the rules that concern them.
	rareOdds = 3
	// pressedColdTime is for how long callers press targets of which one is cold.
	pressedColdTime = coldTime + time.Second
	// minEvacuation is how long a data centre is closed at least: longer than the bound of its rule.
	minEvacuation = 8 * time.Second
	// quietEnd is the end of a day in which no instance and no call of the store is disturbed: longer than
	// the bound for recovery.
	quietEnd = 15 * time.Second
	// crashingPart is the part of prompts that requests share which end targets.
	crashingPart = "bad0"
	// maxSlowRuns is how many requests have runs that outlast the time limit of their route.
	maxSlowRuns = 8
)

// drawRare draws cold targets that callers press, data centres that are closed for long, runs that outlast
// their time limit, requests that end targets, and quiet ends. It has random numbers of its own, so that it does not alter what else a
// seed draws.
func (d *Day) drawRare(rng *rand.Rand) {
	if d.Length < 2*quietEnd {
		return
	}
	if rng.IntN(rareOdds) == 0 {
		d.drawColdTarget(rng)
	}
	if rng.IntN(rareOdds) == 0 {
		d.drawEvacuation(rng)
	}
	if rng.IntN(rareOdds) == 0 {
		d.drawSlowRuns(rng)
	}
	if rng.IntN(rareOdds) == 0 && !slices.ContainsFunc(d.Requests, func(r Request) bool { return r.Part == crashingPart }) {
		d.drawCrashes(rng)
	}
	if rng.IntN(rareOdds) == 0 {
		d.endQuietly()
	}
}

// drawColdTarget draws a target that returns cold while callers press its service.
func (d *Day) drawColdTarget(rng *rand.Rand) {
	f := Fault{
		At:   time.Duration(rng.Int64N(int64(d.Length - soundEnd - pressedColdTime - time.Second))).Round(time.Millisecond),
		For:  time.Duration(100+rng.IntN(900)) * time.Millisecond,
		Kind: "target-cold",
		Who:  rng.IntN(maxTargets),
	}
	d.Faults = append(d.Faults, f)
	f.At, f.For = f.At+f.For, pressedColdTime
	d.press(rng, f)
}

// drawEvacuation draws a data centre that is closed for longer than its targets may get requests.
func (d *Day) drawEvacuation(rng *rand.Rand) {
	length := minEvacuation + time.Duration(rng.IntN(4000))*time.Millisecond
	d.Faults = append(d.Faults, Fault{
		At:   time.Duration(rng.Int64N(int64(d.Length - soundEnd - length))).Round(time.Millisecond),
		For:  length,
		Kind: "data-centre-closed",
		Who:  rng.IntN(maxTargets),
	})
}

// drawSlowRuns draws requests whose runs outlast the time limit of their route, of callers that wait longer.
func (d *Day) drawSlowRuns(rng *rand.Rand) {
	for range 2 + rng.IntN(maxSlowRuns-1) {
		r := Request{
			ID:       fmt.Sprintf("s%d-%08x", len(d.Requests), rng.Uint32()),
			At:       time.Duration(rng.Int64N(int64(d.Length - 2*soundEnd))).Round(time.Millisecond),
			Instance: rng.IntN(d.Instances),
			Route:    []string{"look", "book"}[rng.IntN(2)],
			Key:      alwaysKey,
			Path:     "slow",
			Timeout:  soundEnd,
		}
		d.Requests = append(d.Requests, r)
		d.Replies = append(d.Replies, Reply{
			Request: r.ID,
			Delay:   soundEnd,
		})
	}
}

// endQuietly removes what disturbs instances or the store, ends targets or limits them in the last part of
// the day.
func (d *Day) endQuietly() {
	from := d.Length - quietEnd
	quiet := slices.Concat(instanceFaults(), storeFaults(), targetFaults(), silenceFaults(), limitFaults(), operatorFaults(), outageFaults())
	late := make(map[string]bool)
	for _, r := range d.Requests {
		late[r.ID] = r.At > from
	}
	d.Replies = slices.DeleteFunc(d.Replies, func(r Reply) bool {
		return late[r.Request] && slices.ContainsFunc(r.Mutations, func(m Mutation) bool { return m.Op == "crash" })
	})
	d.Faults = slices.DeleteFunc(d.Faults, func(f Fault) bool {
		return f.At+f.For+grace > from && slices.ContainsFunc(quiet, func(k faultKind) bool { return k.name == f.Kind })
	})
	d.Requests = slices.DeleteFunc(d.Requests, func(r Request) bool {
		return r.At > from && strings.HasPrefix(r.Path, "press")
	})
}
