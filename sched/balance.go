package sched

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// errorRateGain is the weight of one outcome in a target's share of failures,
	// and troubleLife the time in which the share halves without new outcomes.
	errorRateGain     = 0.2
	errorRateHalfLife = 3 * time.Second
	// errorRateCost is how much load a target that fails always counts as, in
	// shares of its slots.
	errorRateCost = 4.0
	// remoteCost is what another data centre counts as, in shares of slots.
	remoteCost = 0.1
	// loadReportTTL is how long a target's word about its load counts.
	loadReportTTL = 500 * time.Millisecond
	// refusalBackoff is for how long a target that turned a request away is left alone.
	refusalBackoff = 100 * time.Millisecond
)

// Candidate is a target among which a Balancer chooses.
type Candidate struct {
	ID    string
	Slots int
	// Local targets stand in the chooser's own data centre.
	Local bool
	// ColdRate is what a cold target bears of this chooser's requests a second;
	// Cold is set while it is.
	Cold     bool
	ColdRate float64
}

// serverState is what a Balancer knows of a target.
type serverState struct {
	running int
	// reportedLoad is the target's own load, without this chooser's requests.
	reportedLoad   float64
	reportedAt     time.Time
	errorRate      float64
	errorRateAt    time.Time
	backoffUntil   time.Time
	backoff        time.Duration
	coldTokens     float64
	coldRefilledAt time.Time
	lastSeen       time.Time
}

// Balancer chooses among the targets of plain services, which need no manager.
// It is safe for concurrent use.
type Balancer struct {
	mu      sync.Mutex
	servers map[string]*serverState
}

func (b *Balancer) server(id string) *serverState {
	if b.servers == nil {
		b.servers = make(map[string]*serverState)
	}
	s, ok := b.servers[id]
	if !ok {
		s = &serverState{}
		b.servers[id] = s
	}
	return s
}

// Choose takes a place at the least loaded of the targets. It reports false
// where none should get the request now.
func (b *Balancer) Choose(now time.Time, choices []Candidate) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	best, bestCost := -1, 0.0
	var spare int
	spareCost := 0.0
	haveSpare := false
	for i, c := range choices {
		s := b.server(c.ID)
		s.lastSeen = now
		cost := s.cost(now, c)
		if c.Cold && !s.hasColdToken(now, c.ColdRate) {
			continue
		}
		if now.Before(s.backoffUntil) {
			// Better than none, if all are shunned.
			if !haveSpare || cost < spareCost {
				spare, spareCost, haveSpare = i, cost, true
			}
			continue
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 && haveSpare {
		best = spare
	}
	if best < 0 {
		return "", false
	}
	c := choices[best]
	s := b.server(c.ID)
	s.running++
	if c.Cold {
		s.coldTokens--
	}
	return c.ID, true
}

// cost is how much a target is loaded, in shares of its slots.
func (s *serverState) cost(now time.Time, c Candidate) float64 {
	load := float64(s.running)
	if now.Sub(s.reportedAt) < loadReportTTL {
		load += s.reportedLoad
	}
	cost := load/float64(max(c.Slots, 1)) + errorRateCost*s.currentErrorRate(now)
	if !c.Local {
		cost += remoteCost
	}
	// Equal targets are told apart by chance, so that instances which see the
	// same do not all choose the same one.
	return cost + 0.01*rand.Float64()
}

func (s *serverState) currentErrorRate(now time.Time) float64 {
	return s.errorRate / (1 + float64(now.Sub(s.errorRateAt))/float64(errorRateHalfLife))
}

func (s *serverState) hasColdToken(now time.Time, rate float64) bool {
	if s.coldRefilledAt.IsZero() {
		s.coldRefilledAt = now
		s.coldTokens = 1
	}
	s.coldTokens = min(s.coldTokens+now.Sub(s.coldRefilledAt).Seconds()*rate*coldRateShare, coldBurst)
	s.coldRefilledAt = now
	return s.coldTokens >= 1
}

// RecordLoad takes in a target's own word about its load.
func (b *Balancer) RecordLoad(now time.Time, id string, running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.server(id)
	s.reportedLoad = float64(max(running+waiting-s.running, 0))
	s.reportedAt = now
}

// Release gives a place back and takes in how the request ended.
func (b *Balancer) Release(now time.Time, id string, kind ProgressKind) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.server(id)
	s.running = max(s.running-1, 0)
	bad := 0.0
	switch kind {
	case ProgressUnreachable:
		bad = 1
		s.backoff = min(max(2*s.backoff, minSuspicionPeriod), maxSuspicionPeriod)
		s.backoffUntil = now.Add(s.backoff)
	case ProgressWrongTarget:
		s.backoffUntil = now.Add(maxSuspicionPeriod)
	case ProgressNotRun:
		s.backoffUntil = now.Add(refusalBackoff)
		return
	case ProgressFailed:
		bad = 1
	default:
		s.backoff = 0
	}
	s.errorRate = s.currentErrorRate(now)*(1-errorRateGain) + bad*errorRateGain
	s.errorRateAt = now
}

// Prune drops what is known of targets that have not been seen since a time.
func (b *Balancer) Prune(before time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.servers {
		if s.running == 0 && s.lastSeen.Before(before) {
			delete(b.servers, id)
		}
	}
}
