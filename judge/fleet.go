package judge

import (
	"slices"
	"time"
)

// decideLost: a request that a sound instance has passed on to a sound target is answered, also
// while the instance is stopped in order.
func decideLost(x *index, v *Verdict) {
	var lost []Break
	x.each(func(r *request) {
		s := r.first()
		if !r.isPlain() || len(r.runs) == 0 {
			return
		}
		a := r.answers[0]
		planned, other := x.disturbances(s.Instance, s.At(), a.At())
		// Late answers, targets that ended or did not answer soundly excuse it.
		if other || x.storeDisturbed(s.At(), a.At()) && s.Kind.Streaming() || a.isLate(s) || !x.targetsAreSound(r, a.At()) {
			return
		}
		v.Exercised++
		if a.Status != 0 && a.Whole {
			return
		}
		b := Break{
			At:       a.At(),
			Text:     r.id + " was passed on and its connection ended without a whole answer",
			Requests: []string{r.id},
		}
		if planned {
			v.Breaks = append(v.Breaks, b)
			return
		}
		lost = append(lost, b)
	})
	if len(lost) > maxLost {
		v.Breaks = append(v.Breaks, lost...)
	}
}

// isPlain reports whether a request is proper, was sent once, and its caller waited for the answer.
func (r *request) isPlain() bool {
	s := r.first()
	return s.Proper && !s.Crashes && len(r.sent) == 1 && len(r.left) == 0 && len(r.answers) == 1
}

// isLate reports whether most of the time of a request was over when it was answered.
func (a Answered) isLate(s Sent) bool {
	took := a.At() - s.At()
	return took > s.Deadline*7/10 || took > s.Timeout*7/10
}

// disturbances reports whether an instance was stopped in order, and whether it was disturbed in
// another way, between two times or shortly before.
func (x *index) disturbances(instance string, from, until time.Duration) (planned, other bool) {
	for _, d := range x.disturbed {
		if d.Instance != instance || d.At() > until || d.Until < from-x.Bounds.StableWindow {
			continue
		}
		if d.Planned {
			planned = true
		} else {
			other = true
		}
	}
	return planned, other
}

// storeDisturbed reports whether the store was disturbed between two times or shortly before.
func (x *index) storeDisturbed(from, until time.Duration) bool {
	return slices.ContainsFunc(x.disturbed, func(d Disturbed) bool {
		return d.Instance == "" && d.At() <= until && d.Until >= from-x.Bounds.StableWindow
	})
}

// targetsAreSound reports whether each target that ran a request lives and answered it soundly.
func (x *index) targetsAreSound(r *request, at time.Duration) bool {
	for _, run := range r.runs {
		if x.endedBy(run.Target, at+time.Second) {
			return false
		}
		if !slices.ContainsFunc(r.replies, func(p Replied) bool {
			return p.Run == run.Run && p.Whole && !p.Garbled && p.ResponseID == r.id
		}) {
			return false
		}
	}
	return true
}

// decideDrain: a target that leaves by the store gets no requests.
func decideDrain(x *index, v *Verdict) {
	for _, e := range x.Events {
		if c, ok := e.(Closed); ok && c.Target != "" {
			decideClosed(x, v, c, x.Bounds.DrainTimeout, func(a Arrived) bool {
				return a.Target == c.Target
			})
		}
	}
}

// decideEvacuated: the targets of a data centre that is closed get no requests.
func decideEvacuated(x *index, v *Verdict) {
	for _, e := range x.Events {
		if c, ok := e.(Closed); ok && c.Zone != "" {
			decideClosed(x, v, c, x.Bounds.Evacuation, func(a Arrived) bool {
				return x.started[a.Target].Zone == c.Zone
			})
		}
	}
}

// decideClosed decides about the requests for targets that were closed.
func decideClosed(x *index, v *Verdict, c Closed, bound time.Duration, concerns func(Arrived) bool) {
	if c.Until == 0 || c.Until > c.At()+bound {
		v.Exercised++
	}
	x.each(func(r *request) {
		for _, a := range r.arrivals {
			late := r.first().At() >= c.At()+bound || a.At() >= c.At()+bound && !a.HeldUp
			if !concerns(a) || !late || c.Until > 0 && a.At() > c.Until || !x.isSound(a.Instance, c.At(), a.At()) {
				continue
			}
			if !slices.ContainsFunc(r.runs, func(run Ran) bool { return run.Target == a.Target }) {
				continue
			}
			v.add(a.At(), []string{r.id}, "%s reached %s, which was closed at %.3f s", r.id, a.Target, c.At().Seconds())
		}
	})
}

// decideLeaving: a target that said to an instance that it leaves gets no later requests from it.
func decideLeaving(x *index, v *Verdict) {
	type noticed struct {
		target, instance string
	}
	first := make(map[noticed]time.Duration)
	for _, e := range x.Events {
		p, ok := e.(Replied)
		if !ok || !p.Leaving || p.ResponseID != p.ID || !x.wasAwaited(p) {
			continue
		}
		k := noticed{
			target:   p.Target,
			instance: p.Instance,
		}
		if _, ok := first[k]; !ok {
			first[k] = p.At()
			v.Exercised++
		}
	}
	x.each(func(r *request) {
		for _, a := range r.arrivals {
			at, ok := first[noticed{
				target:   a.Target,
				instance: a.Instance,
			}]
			if !ok || a.Misdirected || r.first().At() < at+x.Bounds.DrainTimeout || x.forgot(a.Instance, at, a.At()) {
				continue
			}
			v.add(a.At(), []string{r.id}, "%s reached %s from %s, which knew from its answer at %.3f s that it leaves", r.id, a.Target, a.Instance, at.Seconds())
		}
	})
}

// decideOne: one instance at a time orders a target, with a fence that never falls.
func decideOne(x *index, v *Verdict) {
	type state struct {
		fence  uint64
		holder string
	}
	last := make(map[string]state)
	for _, e := range x.Events {
		o, ok := e.(Ordered)
		if !ok || !o.Accepted {
			continue
		}
		v.Exercised++
		s := last[o.Target]
		switch {
		case o.Fence < s.fence:
			v.add(o.At(), nil, "%s accepted an order with fence %d after %d", o.Target, o.Fence, s.fence)
		case o.Fence == s.fence && s.holder != "" && s.holder != o.Instance:
			v.add(o.At(), nil, "%s and %s ordered %s with fence %d", s.holder, o.Instance, o.Target, o.Fence)
		}
		last[o.Target] = state{
			fence:  o.Fence,
			holder: o.Instance,
		}
	}
}

// decidePlaces: no target is ordered to hold more adapters than it has places.
func decidePlaces(x *index, v *Verdict) {
	for _, e := range x.Events {
		if l, ok := e.(Loaded); ok {
			v.Exercised++
			if l.Count > l.Places {
				v.add(l.At(), nil, "%s holds %d adapters in %d places", l.Target, l.Count, l.Places)
			}
		}
	}
}

// pushesBack reports whether a target of a service wants no requests at a time, or has said that it
// leaves and has not ended.
func (x *index) pushesBack(service string, at time.Duration) bool {
	for _, r := range x.requests {
		for _, p := range r.replies {
			if p.At() > at || x.started[p.Target].Service != service {
				continue
			}
			if at < p.At()+p.RetryAfter || p.Leaving && !x.endedBy(p.Target, at) {
				return true
			}
		}
	}
	return false
}

// decideRecover: once all disturbances are over, the fleet serves again.
func decideRecover(x *index, v *Verdict) {
	var last time.Duration
	for _, d := range x.disturbed {
		last = max(last, d.Until)
	}
	from := last + x.Bounds.Recovery
	sent, served := 0, 0
	var ids []string
	x.each(func(r *request) {
		s := r.first()
		if s.At() < from || !s.Proper || s.Crashes || x.pushesBack(s.Service, s.At()) {
			return
		}
		sent++
		if slices.ContainsFunc(r.answers, func(a Answered) bool { return isSuccess(a.Status) && a.Whole }) {
			served++
		} else {
			ids = append(ids, r.id)
		}
	})
	if sent < minServed {
		return
	}
	v.Exercised = sent
	if float64(served) < servedShare*float64(sent) {
		v.add(from, ids[:min(len(ids), 3)], "%d of %d requests were served %v after the last disturbance", served, sent, x.Bounds.Recovery)
	}
}
