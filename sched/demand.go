package sched

import (
	"math"
	"sync"
	"time"
)

const (
	// demandTimeConstant is the time over which the demand for an adapter is forgotten.
	demandTimeConstant = 6 * time.Second
	// maxDemandEntries bounds for how many adapters demand is known; beyond it the
	// least wanted are dropped.
	maxDemandEntries = 4096
	// minKeptDemand is the rate, in tokens a second, below which one is dropped.
	minKeptDemand = 100
)

// Demand estimates how many prompt tokens a second are asked for with each
// adapter. It is safe for concurrent use.
type Demand struct {
	mu    sync.Mutex
	rates map[string]*demandRate
}

type demandRate struct {
	tokensPerSecond float64
	updatedAt       time.Time
}

func (r *demandRate) current(now time.Time) float64 {
	return r.tokensPerSecond * math.Exp(-float64(now.Sub(r.updatedAt))/float64(demandTimeConstant))
}

// Add counts a request's tokens and returns the adapter's tokens a second.
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

// Merge takes in what another instance knows of an adapter's demand. An estimate
// that is lower than the one kept counts only once that one has faded: a target
// that has just begun to be asked knows too little.
func (d *Demand) Merge(now time.Time, adapter string, perSecond float64) {
	if perSecond <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.rates == nil {
		d.rates = make(map[string]*demandRate)
	}
	r, ok := d.rates[adapter]
	switch {
	case ok && r.current(now) >= perSecond:
		return
	case !ok:
		d.evict(now)
		r = &demandRate{}
		d.rates[adapter] = r
	}
	r.tokensPerSecond, r.updatedAt = perSecond, now
}

// Rate is how many tokens a second are asked for with an adapter.
func (d *Demand) Rate(now time.Time, adapter string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.rates[adapter]
	if !ok {
		return 0
	}
	return r.current(now)
}

// evict drops what is hardly asked for any more. The caller holds mu.
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
