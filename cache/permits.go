package cache

import "time"

// Figures of the weight store, which all loads of a fleet share.
const (
	// MaxConcurrentLoads is how many loads run at full speed at once.
	MaxConcurrentLoads = 8
	// PermitInterval is the mean time between two loads.
	PermitInterval = 250 * time.Millisecond
	// PermitBurst is how many loads may start at once after a pause.
	PermitBurst = 4
	// PermitTTL is after what time a load counts as over if nobody has said so.
	PermitTTL = 30 * time.Second
)

// PermitID names one load.
type PermitID uint64

// LoadLimiter hands out the loads that a fleet may make. It is not safe for
// concurrent use.
type LoadLimiter struct {
	lastID   PermitID
	inFlight map[PermitID]time.Time
	// tokens is how many loads may start now, at a moment.
	tokens     float64
	refilledAt time.Time
}

// NewLoadLimiter returns a set of which all may be handed out.
func NewLoadLimiter() *LoadLimiter {
	return &LoadLimiter{
		inFlight: make(map[PermitID]time.Time),
		tokens:   PermitBurst,
	}
}

// Acquire hands out one load, or says how long to wait before asking again.
func (p *LoadLimiter) Acquire(now time.Time) (id PermitID, wait time.Duration, ok bool) {
	for id, expires := range p.inFlight {
		if !now.Before(expires) {
			delete(p.inFlight, id)
		}
	}
	if elapsed := now.Sub(p.refilledAt); elapsed > 0 && !p.refilledAt.IsZero() {
		p.tokens = min(p.tokens+float64(elapsed)/float64(PermitInterval), PermitBurst)
	}
	p.refilledAt = now
	switch {
	case len(p.inFlight) >= MaxConcurrentLoads:
		return 0, PermitInterval, false
	case p.tokens < 1:
		return 0, time.Duration((1 - p.tokens) * float64(PermitInterval)), false
	}
	p.tokens--
	p.lastID++
	p.inFlight[p.lastID] = now.Add(PermitTTL)
	return p.lastID, 0, true
}

// Release takes in that a load is over.
func (p *LoadLimiter) Release(id PermitID) {
	delete(p.inFlight, id)
}
