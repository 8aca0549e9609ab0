package cache

import "time"

// Figures of the weight store, which all loads of a fleet share.
const (
	// PermitsInFlight is how many loads run at full speed at once.
	PermitsInFlight = 8
	// PermitInterval is the mean time between two loads.
	PermitInterval = 250 * time.Millisecond
	// PermitBurst is how many loads may start at once after a pause.
	PermitBurst = 4
	// PermitTime is after what time a load counts as over if nobody has said so.
	PermitTime = 30 * time.Second
)

// PermitID names one load.
type PermitID uint64

// Permits hands out the loads that a fleet may make. It is not safe for
// concurrent use.
type Permits struct {
	last     PermitID
	inFlight map[PermitID]time.Time
	// saved is how many loads may start now, at a moment.
	saved float64
	at    time.Time
}

// NewPermits returns a set of which all may be handed out.
func NewPermits() *Permits {
	return &Permits{
		inFlight: make(map[PermitID]time.Time),
		saved:    PermitBurst,
	}
}

// Take hands out one load, or says how long to wait before asking again.
func (p *Permits) Take(now time.Time) (id PermitID, wait time.Duration, ok bool) {
	for id, expires := range p.inFlight {
		if !now.Before(expires) {
			delete(p.inFlight, id)
		}
	}
	if elapsed := now.Sub(p.at); elapsed > 0 && !p.at.IsZero() {
		p.saved = min(p.saved+float64(elapsed)/float64(PermitInterval), PermitBurst)
	}
	p.at = now
	switch {
	case len(p.inFlight) >= PermitsInFlight:
		return 0, PermitInterval, false
	case p.saved < 1:
		return 0, time.Duration((1 - p.saved) * float64(PermitInterval)), false
	}
	p.saved--
	p.last++
	p.inFlight[p.last] = now.Add(PermitTime)
	return p.last, 0, true
}

// Done takes in that a load is over.
func (p *Permits) Done(id PermitID) {
	delete(p.inFlight, id)
}
