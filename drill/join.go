package drill

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"currantstile/clock"
)

const (
	// joinOdds is one in how many days has instances that are added.
	joinOdds = 4
	// firstJoin is when instances are added at the earliest, joinRange for how long from then on, and
	// joinGap how far apart they are.
	firstJoin = 4 * time.Second
	joinRange = 5 * time.Second
	joinGap   = 500 * time.Millisecond
	// cutBefore is how long before them another is cut off at most; minJoinCut and joinCutRange say for
	// how long.
	cutBefore    = time.Second
	minJoinCut   = 4 * time.Second
	joinCutRange = 7 * time.Second
	// joinRate is the limit of the organisation on such a day, in tokens a second. It asks for hotFactor
	// times as much for hotTime.
	joinRate  = 600
	hotFactor = 2.5
	hotTime   = 11 * time.Second
)

// joinFaults are instances that are added, and one that is cut off meanwhile; drawJoins alone draws them, so
// that they do not alter what else a seed draws.
func joinFaults() []faultKind {
	return []faultKind{
		{
			name: "instance-added",
			play: func(p *player, f Fault, _ *rand.Rand) {
				m := p.instance(f)
				m.mu.Lock()
				m.away = false
				m.mu.Unlock()
				p.restartInstance(m)
			},
		},
		{
			name: "instance-alone",
			hows: []string{"store", "store-and-instances"},
			play: (*player).leaveAlone,
		},
	}
}

// drawJoins draws a day whose instances are added while another is cut off from the store, or from the
// others too, and the organisation asks for more than its limit.
func (d *Day) drawJoins(rng *rand.Rand) {
	if d.Length < firstJoin+joinRange+hotTime+soundEnd || d.Instances < 2 || rng.IntN(joinOdds) != 0 {
		return
	}
	d.Rate = joinRate
	first := 1 + rng.IntN(1+rng.IntN(d.Instances-1))
	at := firstJoin + time.Duration(rng.Int64N(int64(joinRange))).Round(time.Millisecond)
	for i := first; i < d.Instances; i++ {
		d.Faults = append(d.Faults, Fault{
			At:   at + time.Duration(rng.Int64N(int64(joinGap))).Round(time.Millisecond),
			Kind: "instance-added",
			Who:  i,
		})
	}
	d.Faults = append(d.Faults, Fault{
		At:   at - time.Duration(rng.Int64N(int64(cutBefore))).Round(time.Millisecond),
		For:  (minJoinCut + time.Duration(rng.Int64N(int64(joinCutRange)))).Round(time.Millisecond),
		Kind: "instance-alone",
		Who:  rng.IntN(first),
		How:  joinFaults()[1].hows[rng.IntN(2)],
	})
	d.heat(rng, at)
}

// heat draws requests of an organisation that asks for more than its limit.
func (d *Day) heat(rng *rand.Rand, from time.Duration) {
	perS := hotFactor * float64(d.Rate) / plainCost
	for at := from; at < from+hotTime; at += time.Duration(rng.ExpFloat64() / perS * float64(time.Second)) {
		d.Requests = append(d.Requests, Request{
			ID:       fmt.Sprintf("h%d-%08x", len(d.Requests), rng.Uint32()),
			At:       at.Round(time.Millisecond),
			Instance: rng.IntN(d.Instances),
			Route:    "look",
			Key:      alwaysKey,
			Path:     "hot",
			Timeout:  2 * time.Second,
		})
	}
}

// leaveAlone cuts an instance off from the store, and from the other instances if the variant says so.
func (p *player) leaveAlone(f Fault, _ *rand.Rand) {
	m := p.instance(f)
	p.disturb(f, m.name, false, false)
	others := []netip.Addr{p.storeAddr.Addr()}
	if f.How != "store" {
		others = append(others, p.peersOf("instances")...)
	}
	set := func(cut bool) {
		for _, o := range others {
			if o != m.addr {
				p.net.Cut(m.addr, o, cut)
				p.net.Cut(o, m.addr, cut)
			}
		}
	}
	set(true)
	clock.Sleep(p.ctx, f.For)
	set(false)
}

// startFirst starts the process of an instance that is there from the beginning.
func (p *player) startFirst(ctx context.Context, m *machine) bool {
	m.away = slices.ContainsFunc(p.day.Faults, func(f Fault) bool {
		return f.Kind == "instance-added" && f.Who%p.day.Instances == m.number
	})
	return m.away || p.startInstance(ctx, m)
}

// firstInstances returns the instances that are there from the beginning.
func (p *player) firstInstances() []*machine {
	return slices.DeleteFunc(slices.Clone(p.instances), func(m *machine) bool {
		return m.away
	})
}
