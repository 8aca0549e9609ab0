package replay

import (
	"container/heap"
	"time"
)

// event is something that happens at a time.
type event struct {
	at  time.Time
	seq int
	do  func(now time.Time)
}

// eventQueue orders events by time, and by their order of scheduling at the same time.
type eventQueue []event

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simClock runs events in order of their simulated time.
type simClock struct {
	queue eventQueue
	seq   int
}

// at schedules an event.
func (c *simClock) at(t time.Time, do func(now time.Time)) {
	c.seq++
	heap.Push(&c.queue, event{
		at:  t,
		seq: c.seq,
		do:  do,
	})
}

// run runs the events until none is left or the time is over.
func (c *simClock) run(until time.Time) {
	for len(c.queue) > 0 {
		e := heap.Pop(&c.queue).(event)
		if e.at.After(until) {
			return
		}
		e.do(e.at)
	}
}
