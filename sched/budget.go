package sched

import (
	"sync"
	"time"
)

// Budget bounds how often the requests for a service are sent again, over all
// instances together: each instance has its part of the fixed allowance, and the
// ratio of its own requests. It is safe for concurrent use.
type Budget struct {
	// Ratio is how many repeats there may be for each request, Window the time
	// over which both are counted, and Slack the fixed allowance of the fleet.
	Ratio  float64
	Window time.Duration
	Slack  float64
	// Since is when this process started. The one before it may have used its
	// part of the allowance up, so that the part grows over the first window.
	Since time.Time

	mu       sync.Mutex
	services map[string]*counts
}

// budgetCells is into how many parts the window is divided, and budgetShare how
// much of the budget is used.
const (
	budgetCells = 10
	budgetShare = 0.8
)

// counts are one service's requests and repeats in the cells of a window.
type counts struct {
	cell     int64
	requests [budgetCells]float64
	repeats  [budgetCells]float64
}

func (c *counts) turn(cell int64) {
	for n := min(cell-c.cell, budgetCells); n > 0; n-- {
		i := (cell - n + 1) % budgetCells
		c.requests[i], c.repeats[i] = 0, 0
	}
	c.cell = max(c.cell, cell)
}

func (b *Budget) counts(now time.Time, service string) *counts {
	if b.services == nil {
		b.services = make(map[string]*counts)
	}
	c, ok := b.services[service]
	if !ok {
		c = &counts{}
		b.services[service] = c
	}
	c.turn(now.UnixNano() / int64(b.Window/budgetCells))
	return c
}

// Request counts a new request for a service.
func (b *Budget) Request(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(now, service)
	c.requests[c.cell%budgetCells]++
}

// Repeat takes one repeat, and reports whether there was one left for one of so
// many instances.
func (b *Budget) Repeat(now time.Time, service string, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(now, service)
	requests, repeats := 0.0, 0.0
	for i := range budgetCells {
		requests += c.requests[i]
		repeats += c.repeats[i]
	}
	grown := min(float64(now.Sub(b.Since))/float64(b.Window), 1)
	if repeats+1 > budgetShare*(b.Ratio*requests+grown*b.Slack/float64(max(instances, 1))) {
		return false
	}
	c.repeats[c.cell%budgetCells]++
	return true
}
