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
	demandKept = 0.05
)

// Demand estimates how often each adapter is asked for. It is safe for concurrent
// use.
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

// Add counts a request and returns the adapter's requests a second.
func (d *Demand) Add(now time.Time, adapter string) float64 {
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
	r.perSecond = r.now(now) + 1/demandTime.Seconds()
	r.at = now
	return r.perSecond
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
