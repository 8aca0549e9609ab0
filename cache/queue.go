package cache

import "currantstile/model"

// Waiter is an ask in a target's queue.
type Waiter struct {
	organisation model.OrgID
	adapter      model.Adapter
	cost         float64
	start        float64
	order        uint64
}

// Queue decides which waiting ask a target serves next: start-time fair queueing
// between organisations, weighted by their priority, and first come first served
// within one. An organisation that sends more waits longer itself and does not
// make the others wait. It is not safe for concurrent use.
type Queue struct {
	virtual float64
	order   uint64
	finish  map[model.OrgID]float64
	waiting map[*Waiter]struct{}
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{
		finish:  make(map[model.OrgID]float64),
		waiting: make(map[*Waiter]struct{}),
	}
}

// Enter adds an ask of an organisation with a weight of at least one.
func (q *Queue) Enter(org model.OrgID, weight int, a model.Adapter) *Waiter {
	q.order++
	w := &Waiter{
		organisation: org,
		adapter:      a,
		cost:         1 / float64(max(weight, 1)),
		start:        max(q.virtual, q.finish[org]),
		order:        q.order,
	}
	q.finish[org] = w.start + w.cost
	q.waiting[w] = struct{}{}
	return w
}

// Next returns the ask that is to be served next among those whose adapter is
// ready, or nil.
func (q *Queue) Next(ready func(model.Adapter) bool) *Waiter {
	var best *Waiter
	for w := range q.waiting {
		if ready(w.adapter) && (best == nil || w.before(best)) {
			best = w
		}
	}
	return best
}

func (w *Waiter) before(other *Waiter) bool {
	if w.start != other.start {
		return w.start < other.start
	}
	return w.order < other.order
}

// Served takes out an ask that was served.
func (q *Queue) Served(w *Waiter) {
	q.virtual = max(q.virtual, w.start)
	q.leave(w)
}

// Left takes out an ask that was not served; it costs its organisation nothing.
func (q *Queue) Left(w *Waiter) {
	if _, ok := q.waiting[w]; ok {
		q.finish[w.organisation] -= w.cost
	}
	q.leave(w)
}

func (q *Queue) leave(w *Waiter) {
	delete(q.waiting, w)
	if q.finish[w.organisation] <= q.virtual {
		delete(q.finish, w.organisation)
	}
}

// Len is how many asks wait.
func (q *Queue) Len() int {
	return len(q.waiting)
}
