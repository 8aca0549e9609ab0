package cache

import "currantstile/model"

// Waiter is a pin request in a target's queue.
type Waiter struct {
	organisation model.OrgID
	adapter      model.Adapter
	cost         float64
	startTag     float64
	seq          uint64
}

// Queue orders the pin requests that wait for a target. It uses start-time fair
// queueing between organisations, weighted by their priority, and is first come,
// first served within an organisation: one that sends more requests delays its own
// requests and not those of others. It is not safe for concurrent use.
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

// Add queues a request of an organisation. Weights below one count as one.
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

// Next returns the request to serve next among those whose adapter is ready, or nil
// if there is none.
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

// MarkServed removes a request that was served.
func (q *Queue) MarkServed(w *Waiter) {
	q.virtualTime = max(q.virtualTime, w.startTag)
	q.remove(w)
}

// Cancel removes a request that was not served, if it is still queued, and refunds
// its cost to the organisation.
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

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	return len(q.waiting)
}
