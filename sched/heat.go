package sched

import (
	"math"
	"sync"
	"time"
)

const (
	// heatRecent and heatUsual are the time constants of an organisation's rate now and of its
	// usual one.
	heatRecent = 2 * time.Second
	heatUsual  = 30 * time.Second
	// hotExcess is by how many times an organisation exceeds its usual rate before it counts as
	// hot, and hotCount the number of requests beyond that which may be chance.
	hotExcess = 2.5
	hotCount  = 3
	// maxHeatEntries limits the number of organisations. When it is reached, all are evicted.
	maxHeatEntries = 4096
)

// Heat finds organisations that send far more than they usually do. It is safe for concurrent
// use.
type Heat struct {
	mu    sync.Mutex
	rates map[string]*heatRate
}

// heatRate is a rate over two periods, in requests a second, as of at.
type heatRate struct {
	recent float64
	usual  float64
	since  time.Time
	at     time.Time
}

// Add counts a request of an organisation, and returns by how many times the organisation exceeds
// its usual rate; 1 if it does not, or may do so by chance.
func (h *Heat) Add(now time.Time, organisation string) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.rates == nil || len(h.rates) >= maxHeatEntries {
		h.rates = make(map[string]*heatRate)
	}
	r, ok := h.rates[organisation]
	if !ok {
		r = &heatRate{
			since: now,
			at:    now,
		}
		h.rates[organisation] = r
	}
	// The usual rate is taken before this request, and over no more time than there was.
	passed := float64(now.Sub(r.at))
	r.recent *= math.Exp(-passed / float64(heatRecent))
	r.usual *= math.Exp(-passed / float64(heatUsual))
	r.at = now
	observed := 1 - math.Exp(-float64(now.Sub(r.since))/float64(heatUsual))
	usual := r.usual
	r.recent += 1 / heatRecent.Seconds()
	r.usual += 1 / heatUsual.Seconds()
	if now.Sub(r.since) < 2*heatRecent {
		return 1
	}
	usual /= observed
	if r.recent < hotExcess*usual+hotCount/heatRecent.Seconds() {
		return 1
	}
	return r.recent / max(usual, 1/heatUsual.Seconds())
}
