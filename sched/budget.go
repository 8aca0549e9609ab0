package sched

import (
	"sync"
	"time"
)

// RetryBudget bounds how often the requests for a service are sent again, over all
// instances together: each instance has its part of the fixed allowance, and the
// ratio of its own requests. It is safe for concurrent use.
type RetryBudget struct {
	// Ratio is how many repeats there may be for each request, Window the time
	// over which both are counted, and Slack the fixed allowance of the fleet.
	Ratio  float64
	Window time.Duration
	Slack  float64
	// StartedAt is when this process started. The one before it may have used its
	// part of the allowance up, so that the part grows over the first window.
	StartedAt time.Time

	mu       sync.Mutex
	services map[string]*windowCounts
}

// budgetCells is into how many parts the window is divided, and budgetShare how
// much of the budget is used.
const (
	budgetBuckets = 10
	budgetShare   = 0.8
)

// windowCounts are one service's requests and repeats in the cells of a window.
type windowCounts struct {
	bucket   int64
	requests [budgetBuckets]float64
	retries  [budgetBuckets]float64
}

func (c *windowCounts) advance(cell int64) {
	for n := min(cell-c.bucket, budgetBuckets); n > 0; n-- {
		i := (cell - n + 1) % budgetBuckets
		c.requests[i], c.retries[i] = 0, 0
	}
	c.bucket = max(c.bucket, cell)
}

func (b *RetryBudget) serviceCounts(now time.Time, service string) *windowCounts {
	if b.services == nil {
		b.services = make(map[string]*windowCounts)
	}
	c, ok := b.services[service]
	if !ok {
		c = &windowCounts{}
		b.services[service] = c
	}
	c.advance(now.UnixNano() / int64(b.Window/budgetBuckets))
	return c
}

// RecordRequest counts a new request for a service.
func (b *RetryBudget) RecordRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.serviceCounts(now, service)
	c.requests[c.bucket%budgetBuckets]++
}

// TakeRetry takes one repeat, and reports whether there was one left for one of so
// many instances.
func (b *RetryBudget) TakeRetry(now time.Time, service string, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.serviceCounts(now, service)
	requests, repeats := 0.0, 0.0
	for i := range budgetBuckets {
		requests += c.requests[i]
		repeats += c.retries[i]
	}
	grown := min(float64(now.Sub(b.StartedAt))/float64(b.Window), 1)
	if repeats+1 > budgetShare*(b.Ratio*requests+grown*b.Slack/float64(max(instances, 1))) {
		return false
	}
	c.retries[c.bucket%budgetBuckets]++
	return true
}
