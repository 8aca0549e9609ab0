package cache

import "time"

// Limits of the weight store, which all loads of a fleet share.
const (
	// MaxConcurrentLoads is how many concurrent loads run at full speed.
	MaxConcurrentLoads = 8
	// PermitInterval is the mean time between the starts of two loads.
	PermitInterval = 250 * time.Millisecond
	// PermitBurst is how many loads may start at once after an idle period.
	PermitBurst = 4
	// PermitTTL is the time after which a permit expires if it is not released.
	PermitTTL = 30 * time.Second
)

// PermitID identifies the permit of one load.
type PermitID uint64

// LoadLimiter issues the permits for a fleet's loads from the weight store. It
// limits both their number in flight and, by a token bucket, their rate. It is not
// safe for concurrent use.
type LoadLimiter struct {
	lastID   PermitID
	inFlight map[PermitID]time.Time
	// tokens is the level of the token bucket at refilledAt.
	tokens     float64
	refilledAt time.Time
}

// NewLoadLimiter returns a limiter with a full token bucket and no loads in flight.
func NewLoadLimiter() *LoadLimiter {
	return &LoadLimiter{
		inFlight: make(map[PermitID]time.Time),
		tokens:   PermitBurst,
	}
}

// Acquire issues one permit, or returns how long to wait before the next try.
func (l *LoadLimiter) Acquire(now time.Time) (id PermitID, wait time.Duration, ok bool) {
	for id, expires := range l.inFlight {
		if !now.Before(expires) {
			delete(l.inFlight, id)
		}
	}
	if elapsed := now.Sub(l.refilledAt); elapsed > 0 && !l.refilledAt.IsZero() {
		l.tokens = min(l.tokens+float64(elapsed)/float64(PermitInterval), PermitBurst)
	}
	l.refilledAt = now
	switch {
	case len(l.inFlight) >= MaxConcurrentLoads:
		return 0, PermitInterval, false
	case l.tokens < 1:
		return 0, time.Duration((1 - l.tokens) * float64(PermitInterval)), false
	}
	l.tokens--
	l.lastID++
	l.inFlight[l.lastID] = now.Add(PermitTTL)
	return l.lastID, 0, true
}

// Release returns a permit whose load has ended.
func (l *LoadLimiter) Release(id PermitID) {
	delete(l.inFlight, id)
}
