package sched

import (
	"math"
	"sync"
	"time"
)

const (
	// demandTime is the time over which the demand for an adapter is forgotten.
	demandTime = 6 * time.Second
	// maxDemands bounds for how many adapters demand is known; beyond it the
	// least wanted are dropped.
	maxDemands = 4096
	// demandKept is the rate, in tokens a second, below which one is dropped.
	demandKept = 100
)

// Demand estimates how many prompt tokens a second are asked for with each
// adapter. It is safe for concurrent use.
type Demand struct {
	mu    sync.Mutex
	rates map[string]*rate
}

type rate struct {
	perSecond float64
	at        time.Time
}

func (r *rate) now(now time.Time) float64 {
	return r.perSecond * math.Exp(-float64(now.Sub(r.at))/float64(demandTime))
}

// Add counts a request's tokens and returns the adapter's tokens a second.
func (d *Demand) Add(now time.Time, adapter string, tokens float64) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.rates == nil {
		d.rates = make(map[string]*rate)
	}
	r, ok := d.rates[adapter]
	if !ok {
		d.trim(now)
		r = &rate{
			at: now,
		}
		d.rates[adapter] = r
	}
	r.perSecond = r.now(now) + tokens/demandTime.Seconds()
	r.at = now
	return r.perSecond
}

// Told takes in what another instance knows of an adapter's demand. An estimate
// that is lower than the one kept counts only once that one has faded: a target
// that has just begun to be asked knows too little.
func (d *Demand) Told(now time.Time, adapter string, perSecond float64) {
	if perSecond <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.rates == nil {
		d.rates = make(map[string]*rate)
	}
	r, ok := d.rates[adapter]
	switch {
	case ok && r.now(now) >= perSecond:
		return
	case !ok:
		d.trim(now)
		r = &rate{}
		d.rates[adapter] = r
	}
	r.perSecond, r.at = perSecond, now
}

// Rate is how many tokens a second are asked for with an adapter.
func (d *Demand) Rate(now time.Time, adapter string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.rates[adapter]
	if !ok {
		return 0
	}
	return r.now(now)
}

// trim drops what is hardly asked for any more. The caller holds mu.
func (d *Demand) trim(now time.Time) {
	if len(d.rates) < maxDemands {
		return
	}
	for a, r := range d.rates {
		if r.now(now) < demandKept {
			delete(d.rates, a)
		}
	}
	if len(d.rates) >= maxDemands {
		clear(d.rates)
	}
}
