package judge

import (
	"net/http"
	"slices"
	"time"
)

// inTouch reports whether an instance is in touch at a time, so that it must have met a change of an
// earlier time, and by how much the bound for that is stretched: a store that rejects some instances, or
// has dropped its history, excuses no instance that another one can tell what is new.
func (x *index) inTouch(instance string, changed, at time.Duration) (stretch time.Duration, ok bool) {
	window := at - x.Bounds.StableWindow
	for _, d := range x.disturbed {
		switch {
		case d.At() > at:
		case d.Stretches:
			if d.Until >= changed-x.Bounds.StableWindow {
				stretch = x.Bounds.MaxStretch
			}
		case d.Until >= window && (d.Instance == instance || d.Instance == ""):
			return 0, false
		}
	}
	if stretch > 0 && !x.anyUndisturbed(window, at) {
		return 0, false
	}
	return stretch, true
}

// anyUndisturbed reports whether there is an instance that nothing disturbed between two times.
func (x *index) anyUndisturbed(from, until time.Duration) bool {
	disturbed := make(map[string]bool)
	for _, d := range x.disturbed {
		if d.At() <= until && d.Until >= from {
			disturbed[d.Instance] = true
		}
	}
	for _, id := range x.ids {
		for _, s := range x.requests[id].sent {
			if !disturbed[s.Instance] {
				return true
			}
		}
	}
	return false
}

// isLate reports whether a request that was sent at a time must meet a change that the store
// acknowledged at another.
func (x *index) isLate(instance string, changed, sent time.Duration) bool {
	stretch, ok := x.inTouch(instance, changed, sent)
	return ok && sent >= changed+x.Bounds.ApplyTimeout+stretch
}

// keyChange is a key that a configuration added or withdrew.
type keyChange struct {
	at    time.Duration
	added bool
}

// keyChanges returns the changes of each key in order.
func (x *index) keyChanges() map[string][]keyChange {
	changes := make(map[string][]keyChange)
	for _, e := range x.Events {
		c, ok := e.(Configured)
		if !ok {
			continue
		}
		for _, key := range c.Withdrawn {
			changes[key] = append(changes[key], keyChange{
				at: c.At(),
			})
		}
		for _, key := range c.Added {
			changes[key] = append(changes[key], keyChange{
				at:    c.At(),
				added: true,
			})
		}
	}
	return changes
}

// lastBefore returns the last change before a time, and whether another one follows until a
// second time.
func lastBefore(changes []keyChange, at, until time.Duration) (last keyChange, ok, changesAgain bool) {
	for _, c := range changes {
		switch {
		case c.at <= at:
			last, ok = c, true
		case c.at <= until:
			changesAgain = true
		}
	}
	return last, ok, changesAgain
}

// isDenied reports whether an answer is a denial by the instance.
func (a Answered) isDenied() bool {
	switch a.Status {
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		return !a.Signed
	default:
		return false
	}
}

// decideInForce: a key that a configuration added is accepted in time, and not denied again by a
// process that has accepted it.
func decideInForce(x *index, v *Verdict) {
	type process struct {
		instance, key string
	}
	accepted := make(map[process]time.Duration)
	changes := x.keyChanges()
	x.each(func(r *request) {
		s := r.first()
		if len(r.answers) == 0 || len(r.sent) != 1 {
			return
		}
		a := r.answers[0]
		last, ok, again := lastBefore(changes[s.Key], s.At(), a.At())
		if !ok || again || !last.added {
			return
		}
		p := process{
			instance: s.Instance,
			key:      s.Key,
		}
		if a.Signed {
			if _, known := accepted[p]; !known {
				accepted[p] = a.At()
			}
		}
		if x.isLate(s.Instance, last.at, s.At()) {
			v.Exercised++
			if a.isDenied() {
				v.add(a.At(), []string{r.id}, "%s was denied by %s with %d, its key was added at %.3f s", r.id, s.Instance, a.Status, last.at.Seconds())
				return
			}
		}
		since, known := accepted[p]
		if known && since >= last.at && s.At() > since+x.Bounds.RollbackSlack && !x.hasEnded(s.Instance, since, a.At()) {
			v.Exercised++
			if a.isDenied() {
				v.add(a.At(), []string{r.id}, "%s was denied by %s, which had accepted its key at %.3f s", r.id, s.Instance, since.Seconds())
			}
		}
	})
}

// decideWithdrawn: a key that was withdrawn is not accepted.
func decideWithdrawn(x *index, v *Verdict) {
	changes := x.keyChanges()
	x.each(func(r *request) {
		s := r.first()
		last, ok, _ := lastBefore(changes[s.Key], s.At(), s.At())
		if !ok || last.added || !x.isLate(s.Instance, last.at, s.At()) {
			return
		}
		v.Exercised++
		if len(r.runs) > 0 {
			v.add(r.runs[0].At(), []string{r.id}, "%s ran with a key that was withdrawn", r.id)
		}
	})
}

// hasEnded reports whether an instance's process ended between two times.
func (x *index) hasEnded(instance string, from, until time.Duration) bool {
	return slices.ContainsFunc(x.disturbed, func(d Disturbed) bool {
		return d.Instance == instance && d.Ends && d.At() <= until && d.Until >= from
	})
}
