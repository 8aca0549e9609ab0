// Package usage counts the requests that targets began to run, by organisation and by window of time, and
// decides when the report of a window is complete. It performs no I/O, and the time is an argument.
//
// A Counter counts on the monotonic clock, so that a jump of the wall clock moves no counts. The windows are
// defined in true time; the holder of the duty estimates it as the median of the clocks of all instances, and
// tells it with each collection. A Clock converts between the two.
//
// # Usage
//
//	c := usage.NewCounter(time.Now(), time.Minute)
//	c.Add(time.Now(), "org1")
//	clock := usage.NewClock(time.Now(), time.Now())
//	counts := c.Counts(clock, usage.Window{Number: 353445120, Length: 5 * time.Second})
package usage

import (
	"sync"
	"time"
)

const (
	// slotLength is the resolution of the times of events. It moves at most half of this of a window's
	// counts to the next window: 0.5 % of a window of 5 s.
	slotLength = 50 * time.Millisecond
	// minRetention is how long counts are kept at least.
	minRetention = 30 * time.Second
	// maxOrganisations bounds the organisations that are counted in one slot.
	maxOrganisations = 4096
)

// Window is a window of usage. Window k begins k lengths after the start of 1970.
type Window struct {
	Number int64
	Length time.Duration
}

// WindowAt returns the window in which a time lies.
func WindowAt(t time.Time, length time.Duration) Window {
	return Window{
		Number: t.UnixNano() / int64(length),
		Length: length,
	}
}

// Start returns the start of the window.
func (w Window) Start() time.Time {
	return time.Unix(0, w.Number*int64(w.Length))
}

// End returns the end of the window.
func (w Window) End() time.Time {
	return w.Start().Add(w.Length)
}

// Counts are numbers of requests by organisation.
type Counts map[string]int64

// Add adds other counts.
func (c Counts) Add(other Counts) {
	for org, n := range other {
		c[org] += n
	}
}

// Total returns the sum over all organisations.
func (c Counts) Total() int64 {
	total := int64(0)
	for _, n := range c {
		total += n
	}
	return total
}

// Counter counts requests. It is safe for concurrent use.
type Counter struct {
	mu    sync.Mutex
	start time.Time
	slots map[int64]Counts
	// retention is the number of slots that are kept.
	retention int64
	// prunedTo is the first slot that may be kept.
	prunedTo int64
}

// NewCounter returns a counter whose first request comes at start or later, and which keeps counts for a time: the
// length of a window and the time until its report is due, with some reserve.
func NewCounter(start time.Time, retention time.Duration) *Counter {
	return &Counter{
		start:     start,
		retention: int64(max(retention, minRetention) / slotLength),
		slots:     make(map[int64]Counts),
	}
}

// Add counts a request that a target began to run at the given time. now must have a monotonic reading.
func (c *Counter) Add(now time.Time, org string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := int64(now.Sub(c.start) / slotLength)
	slot, ok := c.slots[n]
	if !ok {
		c.prune(n)
		slot = make(Counts)
		c.slots[n] = slot
	}
	if _, ok := slot[org]; ok || len(slot) < maxOrganisations {
		slot[org]++
	}
}

// prune removes the slots that are too old at slot n. The caller holds mu.
func (c *Counter) prune(n int64) {
	oldest := n - c.retention
	for ; c.prunedTo < oldest; c.prunedTo++ {
		if len(c.slots) == 0 {
			c.prunedTo = oldest
			return
		}
		delete(c.slots, c.prunedTo)
	}
}

// Counts returns the counts of a window.
func (c *Counter) Counts(clock *Clock, w Window) Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Whole slots belong to the window in which their middle lies.
	from := nearestSlot(clock.Local(w.Start()).Sub(c.start))
	to := nearestSlot(clock.Local(w.End()).Sub(c.start))
	counts := make(Counts)
	for n := from; n < min(to, from+c.retention); n++ {
		counts.Add(c.slots[n])
	}
	return counts
}

// nearestSlot returns the slot whose start is nearest to d.
func nearestSlot(d time.Duration) int64 {
	return int64(d.Round(slotLength) / slotLength)
}
