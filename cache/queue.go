package cache

import "currantstile/model"

// Waiter is an ask in a target's queue.
type Waiter struct {
	organisation model.OrgID
	adapter      model.Adapter
	cost         float64
	startTag     float64
	seq          uint64
}

// Queue decides which waiting ask a target serves next: start-time fair queueing
// between organisations, weighted by their priority, and first come first served
// within one. An organisation that sends more waits longer itself and does not
// make the others wait. It is not safe for concurrent use.
type Queue struct {
	virtualTime float64
	lastSeq     uint64
	finishTags  map[model.OrgID]float64
	waiting     map[*Waiter]struct{}
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{
		finishTags: make(map[model.OrgID]float64),
		waiting:    make(map[*Waiter]struct{}),
	}
}

// Add adds an ask of an organisation with a weight of at least one.
func (q *Queue) Add(org model.OrgID, weight int, a model.Adapter) *Waiter {
	q.lastSeq++
	w := &Waiter{
		organisation: org,
		adapter:      a,
		cost:         1 / float64(max(weight, 1)),
		startTag:     max(q.virtualTime, q.finishTags[org]),
		seq:          q.lastSeq,
	}
	q.finishTags[org] = w.startTag + w.cost
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
	if w.startTag != other.startTag {
		return w.startTag < other.startTag
	}
	return w.seq < other.seq
}

// MarkServed takes out an ask that was served.
func (q *Queue) MarkServed(w *Waiter) {
	q.virtualTime = max(q.virtualTime, w.startTag)
	q.remove(w)
}

// Cancel takes out an ask that was not served; it costs its organisation nothing.
func (q *Queue) Cancel(w *Waiter) {
	if _, ok := q.waiting[w]; ok {
		q.finishTags[w.organisation] -= w.cost
	}
	q.remove(w)
}

func (q *Queue) remove(w *Waiter) {
	delete(q.waiting, w)
	if q.finishTags[w.organisation] <= q.virtualTime {
		delete(q.finishTags, w.organisation)
	}
}

// Len is how many asks wait.
func (q *Queue) Len() int {
	return len(q.waiting)
}
