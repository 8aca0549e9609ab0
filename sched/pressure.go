package sched

import (
	"sync"
	"time"
)

const (
	// delayWindow is the time over which a target's least queueing delay counts as its standing
	// one: a queue that empties within it is no overload.
	delayWindow = 400 * time.Millisecond
	// pressureTTL is how long a report of a target's standing delay counts, and minReports how
	// many targets must have reported before there can be an overload.
	pressureTTL = time.Second
	minReports  = 3
	// overloadDelay is the fraction of an objective from which a standing delay counts as
	// overload, overloadShare the fraction of targets that begins it, and recoveredShare the
	// one below which it ends.
	overloadDelay  = 0.2
	overloadShare  = 0.5
	recoveredShare = 0.3
	// recoveryTime is how long the targets must have recovered before the overload ends: late
	// requests and callers that return must not bring it back.
	recoveryTime = 2 * time.Second
	// refusalTimeConstant is the time constant of the fraction of requests that no target
	// admitted at first, which counts while too few managers have reported; refusedShare is the fraction
	// that is an overload.
	refusalTimeConstant = 2 * time.Second
	// minRefusalWeight and maxRefusalWeight bound the weight of one request in that fraction: a
	// few requests are no overload, however far apart they are.
	minRefusalWeight = 0.02
	maxRefusalWeight = 0.1
	refusedShare     = 0.5
)

// standingDelay is the least queueing delay of a target over a window that has passed and the
// one that has begun.
type standingDelay struct {
	since   time.Time
	current time.Duration
	last    time.Duration
}

// record adds a delay and returns the standing one.
func (s *standingDelay) record(now time.Time, d time.Duration) time.Duration {
	switch passed := now.Sub(s.since); {
	case s.since.IsZero() || passed >= 2*delayWindow:
		// Nothing is known about the window that has passed.
		s.since, s.current, s.last = now, d, 0
	case passed >= delayWindow:
		s.since, s.current, s.last = now, d, s.current
	default:
		s.current = min(s.current, d)
	}
	return min(s.current, s.last)
}

// Pressure is what an instance knows about the load of a service's targets from the replies of
// their managers. It is safe for concurrent use.
type Pressure struct {
	mu      sync.Mutex
	reports map[string]pressureReport
	// objective is the shortest one of the requests.
	objective time.Duration
	// overloaded is the present state, and busyAt when the targets were last not recovered.
	overloaded bool
	busyAt     time.Time
	// failed is the fraction of this instance's requests that found no target at first, as of
	// failedAt.
	failed   float64
	failedAt time.Time
}

type pressureReport struct {
	delay time.Duration
	at    time.Time
}

// Record records the standing delay that a target's manager reported.
func (p *Pressure) Record(now time.Time, target string, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reports == nil {
		p.reports = make(map[string]pressureReport)
	}
	p.reports[target] = pressureReport{
		delay: delay,
		at:    now,
	}
}

// RecordPlacement records whether the targets whose managers replied admitted a request in its first
// attempt.
func (p *Pressure) RecordPlacement(now time.Time, placed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	failure := 1.0
	if placed {
		failure = 0
	}
	passed := now.Sub(p.failedAt)
	if p.failedAt.IsZero() {
		passed = 0
	}
	weight := min(max(float64(passed)/float64(refusalTimeConstant), minRefusalWeight), maxRefusalWeight)
	p.failed += weight * (failure - p.failed)
	p.failedAt = now
}

// Overloaded reports whether the targets' standing delays leave too little of the objective. The
// shortest objective of the requests counts for all of them, so that they see the same state.
func (p *Pressure) Overloaded(now time.Time, objective time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.objective == 0 || objective < p.objective {
		p.objective = objective
	}
	reporting, long := 0, 0
	for target, r := range p.reports {
		if now.Sub(r.at) > pressureTTL {
			delete(p.reports, target)
			continue
		}
		reporting++
		if float64(r.delay) > overloadDelay*float64(p.objective) {
			long++
		}
	}
	share := float64(long) / float64(max(reporting, 1))
	if reporting < minReports {
		share = 0
		if p.failed > refusedShare && now.Sub(p.failedAt) < refusalTimeConstant {
			share = 1
		}
	}
	switch {
	case share >= overloadShare:
		p.overloaded, p.busyAt = true, now
	case share >= recoveredShare:
		p.busyAt = now
	case now.Sub(p.busyAt) >= recoveryTime:
		p.overloaded = false
	}
	return p.overloaded
}
