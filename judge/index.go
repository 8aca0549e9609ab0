package judge

import (
	"slices"
	"time"
)

// request is all that is known of one request.
type request struct {
	id       string
	sent     []Sent
	answers  []Answered
	left     []Left
	arrivals []Arrived
	runs     []Ran
	replies  []Replied
}

// first returns the request as it was sent first.
func (r *request) first() Sent {
	return r.sent[0]
}

// index is a history in order, with its requests.
type index struct {
	History
	requests  map[string]*request
	ids       []string
	disturbed []Disturbed
	ended     map[string]TargetEnded
	started   map[string]TargetStarted
}

func newIndex(h History) *index {
	events := slices.Clone(h.Events)
	slices.SortStableFunc(events, func(a, b Event) int {
		return int(a.At() - b.At())
	})
	x := &index{
		History: History{
			Bounds: h.Bounds,
			Events: events,
			Length: h.Length,
		},
		requests: make(map[string]*request),
		ended:    make(map[string]TargetEnded),
		started:  make(map[string]TargetStarted),
	}
	for _, e := range events {
		if e, ok := e.(TargetEnded); ok {
			x.ended[e.Target] = e
		}
	}
	for _, e := range events {
		switch e := e.(type) {
		case Sent:
			r := x.request(e.ID)
			r.sent = append(r.sent, e)
		case Answered:
			r := x.request(e.ID)
			r.answers = append(r.answers, e)
		case Left:
			r := x.request(e.ID)
			r.left = append(r.left, e)
		case Arrived:
			r := x.request(e.ID)
			r.arrivals = append(r.arrivals, e)
		case Ran:
			r := x.request(e.ID)
			r.runs = append(r.runs, e)
		case Replied:
			r := x.request(e.ID)
			// An end that comes with that of a process whose port stays open can't be distinguished from
			// one that is meant.
			e.Whole = e.Whole || e.ToEnd && x.endedUnseen(e.Target)
			r.replies = append(r.replies, e)
		case Disturbed:
			x.disturbed = append(x.disturbed, e)
		case TargetStarted:
			x.started[e.Target] = e
		}
	}
	return x
}

func (x *index) request(id string) *request {
	r, ok := x.requests[id]
	if !ok {
		r = &request{
			id: id,
		}
		x.requests[id] = r
		x.ids = append(x.ids, id)
	}
	return r
}

// each calls f for each request that was sent, in order.
func (x *index) each(f func(r *request)) {
	for _, id := range x.ids {
		if r := x.requests[id]; len(r.sent) > 0 {
			f(r)
		}
	}
}

// isSound reports whether an instance, and the store, were undisturbed from a stable window before
// from until until.
func (x *index) isSound(instance string, from, until time.Duration) bool {
	from -= x.Bounds.StableWindow
	return !slices.ContainsFunc(x.disturbed, func(d Disturbed) bool {
		return (d.Instance == instance || d.Instance == "") && d.At() <= until && d.Until >= from
	})
}

// isUndisturbed is isSound without regard to the store.
func (x *index) isUndisturbed(instance string, from, until time.Duration) bool {
	from -= x.Bounds.StableWindow
	return !slices.ContainsFunc(x.disturbed, func(d Disturbed) bool {
		return d.Instance == instance && d.At() <= until && d.Until >= from
	})
}

// forgot reports whether an instance was restarted or cut off between two times.
func (x *index) forgot(instance string, from, until time.Duration) bool {
	return slices.ContainsFunc(x.disturbed, func(d Disturbed) bool {
		return d.Instance == instance && d.At() <= until && d.Until >= from
	})
}

// wasAwaited reports whether an instance still waited for a target's answer when it was written.
func (x *index) wasAwaited(p Replied) bool {
	r := x.requests[p.ID]
	if p.HeldUp || r == nil || len(r.sent) == 0 {
		return false
	}
	over := len(r.sent)
	for _, a := range r.answers {
		if a.At() < p.At() {
			over--
		}
	}
	for _, l := range r.left {
		if l.At() < p.At() {
			over--
		}
	}
	return over > 0
}

// endedUnseen reports whether a target's process ended and its port stayed open.
func (x *index) endedUnseen(target string) bool {
	e, ok := x.ended[target]
	return ok && e.PortOpen > 0
}

// endedBy reports whether a target had ended by a time.
func (x *index) endedBy(target string, at time.Duration) bool {
	e, ok := x.ended[target]
	return ok && e.At() <= at
}
