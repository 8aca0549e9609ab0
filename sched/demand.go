package sched

import (
	"math"
	"sync"
	"time"
)

const (
	// demandTimeConstant is the time constant of the decay of a demand estimate.
	demandTimeConstant = 6 * time.Second
	// maxDemandEntries limits the number of demand estimates. When it is reached,
	// those below minKeptDemand are evicted, or all if there are none.
	maxDemandEntries = 4096
	// minKeptDemand is the rate, in tokens a second, from which an estimate is kept
	// when others are evicted.
	minKeptDemand = 100
)

// Demand estimates the requested prompt tokens per second of each adapter. A
// manager keeps one estimate per adapter and target. It is safe for concurrent use.
type Demand struct {
	mu    sync.Mutex
	rates map[string]*demandRate
}

// demandRate is a demand estimate as of updatedAt.
type demandRate struct {
	tokensPerSecond float64
	updatedAt       time.Time
}

// current returns the rate decayed to the present.
func (r *demandRate) current(now time.Time) float64 {
	return r.tokensPerSecond * math.Exp(-float64(now.Sub(r.updatedAt))/float64(demandTimeConstant))
}

// Add counts a request's tokens and returns the adapter's rate in tokens per
// second.
func (d *Demand) Add(now time.Time, adapter string, tokens float64) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.rates == nil {
		d.rates = make(map[string]*demandRate)
	}
	r, ok := d.rates[adapter]
	if !ok {
		d.evict(now)
		r = &demandRate{
			updatedAt: now,
		}
		d.rates[adapter] = r
	}
	r.tokensPerSecond = r.current(now) + tokens/demandTimeConstant.Seconds()
	r.updatedAt = now
	return r.tokensPerSecond
}

// Merge records another instance's estimate of an adapter's demand. An estimate
// lower than the current one is ignored until the current one has decayed below
// it, because a target that has just begun to receive requests underestimates the
// demand.
func (d *Demand) Merge(now time.Time, adapter string, tokensPerSecond float64) {
	if tokensPerSecond <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.rates == nil {
		d.rates = make(map[string]*demandRate)
	}
	r, ok := d.rates[adapter]
	switch {
	case ok && r.current(now) >= tokensPerSecond:
		return
	case !ok:
		d.evict(now)
		r = &demandRate{}
		d.rates[adapter] = r
	}
	r.tokensPerSecond, r.updatedAt = tokensPerSecond, now
}

// Rate returns the requested tokens per second of an adapter.
func (d *Demand) Rate(now time.Time, adapter string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.rates[adapter]
	if !ok {
		return 0
	}
	return r.current(now)
}

// evict removes the estimates of adapters with little demand once the table is
// full, or all of them if that frees no entry. The caller holds mu.
func (d *Demand) evict(now time.Time) {
	if len(d.rates) < maxDemandEntries {
		return
	}
	for a, r := range d.rates {
		if r.current(now) < minKeptDemand {
			delete(d.rates, a)
		}
	}
	if len(d.rates) >= maxDemandEntries {
		clear(d.rates)
	}
}
