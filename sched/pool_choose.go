package sched

import (
	"slices"
	"time"
)

// choose selects a target with a free slot for a request, or none if the request should wait.
func (p *SlotPool) choose(now time.Time, w *slotWaiter) (SlotGranted, bool) {
	var local, remote []Candidate
	trips := make(map[string]time.Duration)
	hasLocal, localRate := false, 0.0
	o := CrossingChoice{
		Cost: CrossingCost{
			Bytes:  w.Bytes,
			PerMiB: w.PerMiB,
		},
		Left: w.latest.Sub(now) + p.work(),
	}
	for _, t := range p.targets {
		if !slices.Contains(w.Targets, t.ID) {
			continue
		}
		c := Candidate{
			ID:    t.ID,
			Slots: t.Slots,
			Local: true,
		}
		expected := p.expected(now, t)
		if t.Zone == w.Zone {
			hasLocal = hasLocal || p.isUsable(now, t)
			localRate += p.targetRate(now, t)
			if p.hasFree(now, t) {
				local = append(local, c)
				o.Local = earliest(o.Local, expected)
			}
			continue
		}
		l := p.link(w.Zone, t.Zone)
		if now.Before(l.cutUntil) || !p.hasFree(now, t) {
			continue
		}
		remote = append(remote, c)
		trips[t.ID] = l.roundTrip(now)
		o.Remote = earliest(o.Remote, expected)
		o.Cost.RoundTrip = earliest(o.Cost.RoundTrip, l.roundTrip(now))
	}
	o.HasLocal, o.HasRemote = hasLocal, len(remote) > 0
	if len(local) == 0 && hasLocal {
		o.Local = p.work() + time.Duration(float64(p.waitingAhead(w)+1)/max(localRate, 1)*float64(time.Second))
	}
	if p.crossings[w.Zone] == nil {
		if p.crossings == nil {
			p.crossings = make(map[string]*Crossing)
		}
		p.crossings[w.Zone] = &Crossing{}
	}
	reason := p.crossings[w.Zone].Decide(now, o)
	if reason != CrossingNone {
		local = slices.DeleteFunc(remote, func(c Candidate) bool {
			return trips[c.ID] > o.Cost.RoundTrip+RoundTrip
		})
	}
	if len(local) == 0 {
		return SlotGranted{}, false
	}
	id, ok := p.balancer.Choose(now, local)
	return SlotGranted{
		Target:   id,
		Crossing: reason,
	}, ok
}

// earliest returns the lesser of two times, of which the first may be unset.
func earliest(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}

// waitingAhead returns how many requests of the same data centre wait ahead of a request.
func (p *SlotPool) waitingAhead(w *slotWaiter) int {
	n := 0
	for _, o := range p.waiting {
		if o == w {
			break
		}
		if _, granted := p.grants[o.ID]; o.Zone == w.Zone && !granted {
			n++
		}
	}
	return n
}

// link returns the way between two data centres.
func (p *SlotPool) link(from, to string) *link {
	if p.links == nil {
		p.links = make(map[linkKey]*link)
	}
	key := linkKey{
		from: from,
		to:   to,
	}
	l, ok := p.links[key]
	if !ok {
		l = &link{}
		p.links[key] = l
	}
	return l
}

// work returns how long a request holds a slot of a target that is not slow.
func (p *SlotPool) work() time.Duration {
	if p.workTime == 0 {
		return initialWorkTime
	}
	return p.workTime
}

// slowdown returns the slowdown of a target expected at present.
func (p *SlotPool) slowdown(now time.Time, id string) float64 {
	return p.balancer.stateOf(id).slowdown.factor(now)
}

// expected returns how long a target is expected to take for another request. One that states to be faster than
// usual counts as usual: it may misreport, and no request should leave its data centre for that.
func (p *SlotPool) expected(now time.Time, t SlotTarget) time.Duration {
	s := p.balancer.stateOf(t.ID)
	turns := max(1, float64(s.running+1)/float64(max(t.Slots, 1)))
	failures := 1 + errorRateCost*s.currentErrorRate(now)
	return time.Duration(float64(p.work()) * max(p.slowdown(now, t.ID), 1) * turns * failures)
}

// isUsable reports whether a target serves requests, although it may be full.
func (p *SlotPool) isUsable(now time.Time, t SlotTarget) bool {
	s := p.balancer.stateOf(t.ID)
	return !now.Before(s.backoffUntil) && s.currentErrorRate(now) <= probedErrorRate
}

// targetRate returns how many requests a second a target is expected to serve.
func (p *SlotPool) targetRate(now time.Time, t SlotTarget) float64 {
	if !p.isUsable(now, t) {
		return 0
	}
	return float64(t.Slots) / (p.work().Seconds() * p.slowdown(now, t.ID))
}

// anyFree reports whether a target may be sent another request now.
func (p *SlotPool) anyFree(now time.Time) bool {
	return slices.ContainsFunc(p.targets, func(t SlotTarget) bool {
		return p.hasFree(now, t)
	})
}

// hasFree reports whether a target may be sent another request now.
func (p *SlotPool) hasFree(now time.Time, t SlotTarget) bool {
	s := p.balancer.stateOf(t.ID)
	if now.Before(s.backoffUntil) && !p.allInBackoff(now) {
		return false
	}
	if (now.Before(s.backoffUntil) || s.currentErrorRate(now) > probedErrorRate) && now.Sub(s.chosenAt) < probeInterval {
		return false
	}
	load := float64(s.running)
	if now.Sub(s.reportedAt) < loadReportTTL {
		load += s.reportedLoad
	}
	return load < float64(t.Slots+poolDepth)
}

// allInBackoff reports whether every target has refused or failed requests recently, so that none is better.
func (p *SlotPool) allInBackoff(now time.Time) bool {
	return !slices.ContainsFunc(p.targets, func(t SlotTarget) bool {
		return !now.Before(p.balancer.stateOf(t.ID).backoffUntil)
	})
}
