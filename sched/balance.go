package sched

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// errorRateGain is the weight of one outcome in a target's error rate, and
	// errorRateHalfLife the time in which the rate halves without new outcomes.
	errorRateGain     = 0.2
	errorRateHalfLife = 3 * time.Second
	// errorRateCost is the load that a Balancer adds to a target that always
	// fails, as a fraction of its slots. A Target increases its expected time to
	// the first token by this factor times its error rate.
	errorRateCost = 4.0
	// remoteCost is the load added to a target in another data centre, as a
	// fraction of its slots, where targets do not state their slowdown; elsewhere
	// Crossing decides.
	remoteCost = 0.1
	// maxTieBreak bounds the random cost that breaks ties.
	maxTieBreak = 0.01
	// loadReportTTL is how long a target's own report of its load is used.
	loadReportTTL = 500 * time.Millisecond
	// refusalBackoff is how long a target that refused a request is avoided.
	refusalBackoff = 100 * time.Millisecond
)

const (
	// slowSpell is for how long a target's machine is slow at a time, as seen on the deployments whose targets
	// state their slowdown: a stated one counts in full at first and fades to the usual one at this rate.
	slowSpell = 600 * time.Millisecond
	// usualSlowdownTime is the time over which the stated slowdowns of a target are averaged.
	usualSlowdownTime = 4 * time.Second
)

// LoadReport is what a target's response states of its load.
type LoadReport struct {
	Running int
	Waiting int
	// Slowdown is how long work takes at present, as a factor of the usual time; 0 if it is not stated.
	Slowdown float64
}

// Candidate is a target that a Balancer may choose.
type Candidate struct {
	ID    string
	Slots int
	// Local is set if the target is in the data centre of the instance that
	// chooses.
	Local bool
	// Cost is what it costs to send the request there if the target is in another data centre.
	Cost CrossingCost
}

// balancerState is the state that a Balancer keeps of one target.
type balancerState struct {
	// running is the number of this instance's requests on the target.
	running int
	// reportedLoad is the load that the target reported, less this instance's
	// requests.
	reportedLoad float64
	reportedAt   time.Time
	slowdown     slowdownEstimate
	errorRate    float64
	errorRateAt  time.Time
	backoffUntil time.Time
	backoff      time.Duration
	lastSeen     time.Time
	// chosenAt is when the target was last chosen.
	chosenAt time.Time
	// turns is how long requests have taken lately as a multiple of the time of their work, and observed their
	// number; kept by a SlotPool.
	turns    float64
	observed int
}

// Balancer chooses among the targets of plain services, which have no manager. It
// is safe for concurrent use.
type Balancer struct {
	// Random returns random numbers from 0 to 1, which break ties; nil takes those of math/rand.
	Random func() float64

	mu     sync.Mutex
	states map[string]*balancerState
	// crossing decides whether requests leave the data centre, where targets state their slowdown.
	crossing Crossing
	// work is how long requests take at targets; 0 if unknown.
	work time.Duration
}

// stateOf returns the state of a target and creates it if needed. The caller holds
// mu.
func (b *Balancer) stateOf(id string) *balancerState {
	if b.states == nil {
		b.states = make(map[string]*balancerState)
	}
	s, ok := b.states[id]
	if !ok {
		s = &balancerState{}
		b.states[id] = s
	}
	return s
}

// Choose reserves a slot on the least loaded of the targets and returns its ID.
// It reports false if no target should get the request now.
func (b *Balancer) Choose(now time.Time, candidates []Candidate) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.summarize(now, candidates)
	if known.states {
		candidates = b.withinZone(now, candidates, known)
	}
	best, bestCost := -1, 0.0
	var fallback int
	fallbackCost := 0.0
	haveFallback := false
	for i, c := range candidates {
		s := b.stateOf(c.ID)
		s.lastSeen = now
		cost := s.cost(now, c)
		if known.states {
			cost = s.timeCost(now, c, known)
		}
		cost += b.tieBreak()
		if now.Before(s.backoffUntil) {
			// Used only if every target is in backoff.
			if !haveFallback || cost < fallbackCost {
				fallback, fallbackCost, haveFallback = i, cost, true
			}
			continue
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 && haveFallback {
		best = fallback
	}
	if best < 0 {
		return "", false
	}
	c := candidates[best]
	s := b.stateOf(c.ID)
	s.running++
	s.chosenAt = now
	return c.ID, true
}

// Reserve reserves a slot on a target that was chosen elsewhere.
func (b *Balancer) Reserve(now time.Time, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateOf(id)
	s.running++
	s.lastSeen = now
}

// cost returns the load of a target as a fraction of its slots, plus penalties
// for errors and distance.
func (s *balancerState) cost(now time.Time, c Candidate) float64 {
	load := float64(s.running)
	if now.Sub(s.reportedAt) < loadReportTTL {
		load += s.reportedLoad
	}
	cost := load/float64(max(c.Slots, 1)) + errorRateCost*s.currentErrorRate(now)
	if !c.Local {
		cost += remoteCost
	}
	return cost
}

// tieBreak returns a small random cost. It keeps instances that see the same loads from all choosing the same target.
// The caller holds mu.
func (b *Balancer) tieBreak() float64 {
	if b.Random != nil {
		return maxTieBreak * b.Random()
	}
	return maxTieBreak * rand.Float64()
}

// knownLoad summarizes the candidates whose load is known, for those of which nothing is.
type knownLoad struct {
	// states is set if one of the candidates states its slowdown.
	states bool
	// slowdown is the mean of their usual slowdowns, and load that of their loads as fractions of their slots.
	slowdown float64
	load     float64
}

// summarize returns what is known of the candidates. The caller holds mu.
func (b *Balancer) summarize(now time.Time, candidates []Candidate) knownLoad {
	var k knownLoad
	stated, fresh := 0, 0
	for _, c := range candidates {
		s := b.stateOf(c.ID)
		if s.slowdown.isKnown() {
			k.slowdown += s.slowdown.usual
			stated++
		}
		if now.Sub(s.reportedAt) < loadReportTTL {
			k.load += s.reportedLoad / float64(max(c.Slots, 1))
			fresh++
		}
	}
	k.states = stated > 0
	k.slowdown /= float64(max(stated, 1))
	k.load /= float64(max(fresh, 1))
	return k
}

// timeCost returns the expected time of a request at a target as a multiple of the time of its work, plus
// the penalties of cost. A target without recent reports counts as loaded and as slow as the others are on
// average: it is unknown, not idle and fast.
func (s *balancerState) timeCost(now time.Time, c Candidate, known knownLoad) float64 {
	slots := float64(max(c.Slots, 1))
	load := float64(s.running) / slots
	if now.Sub(s.reportedAt) < loadReportTTL {
		load += s.reportedLoad / slots
	} else {
		load += known.load
	}
	slowdown := known.slowdown
	if s.slowdown.isKnown() {
		slowdown = s.slowdown.at(now)
	}
	return slowdown*(1+load) + errorRateCost*s.currentErrorRate(now)
}

// withinZone returns the candidates of this data centre, or those of others if it pays to send the request there. The
// caller holds mu.
func (b *Balancer) withinZone(now time.Time, candidates []Candidate, known knownLoad) []Candidate {
	work := b.work
	if work <= 0 {
		work = initialWorkTime
	}
	o := CrossingChoice{
		// Without its objective, a request leaves only where that saves time.
		Left: math.MaxInt64,
	}
	var local, remote []Candidate
	for _, c := range candidates {
		if c.Local {
			local = append(local, c)
		} else {
			remote = append(remote, c)
		}
		s := b.stateOf(c.ID)
		if now.Before(s.backoffUntil) {
			continue
		}
		expected := time.Duration((s.timeCost(now, c, known) + b.tieBreak()) * float64(work))
		switch {
		case c.Local:
			o.HasLocal, o.Local = true, earliest(o.Local, expected)
		case !o.HasRemote || expected < o.Remote:
			o.HasRemote, o.Remote, o.Cost = true, expected, c.Cost
		}
	}
	if len(remote) == 0 || b.crossing.Decide(now, o) == CrossingNone && len(local) > 0 {
		return local
	}
	return remote
}

// RecordWork records how long a request took at a target.
func (b *Balancer) RecordWork(took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.work == 0 {
		b.work = took
	}
	b.work += time.Duration(workTimeGain * float64(took-b.work))
}

// currentErrorRate returns the fraction of requests that fail, decayed to the
// present.
func (s *balancerState) currentErrorRate(now time.Time) float64 {
	return s.errorRate / (1 + float64(now.Sub(s.errorRateAt))/float64(errorRateHalfLife))
}

// Cancel frees a slot that Choose reserved and that was not used.
func (b *Balancer) Cancel(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateOf(id)
	s.running = max(s.running-1, 0)
}

// RecordLoad records the load that a target reports about itself.
func (b *Balancer) RecordLoad(now time.Time, id string, r LoadReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateOf(id)
	s.reportedLoad = float64(max(r.Running+r.Waiting-s.running, 0))
	s.reportedAt = now
	s.slowdown.record(now, r.Slowdown)
}

// Release frees the slot that Choose reserved and records how the request ended.
func (b *Balancer) Release(now time.Time, id string, kind ProgressKind) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateOf(id)
	s.running = max(s.running-1, 0)
	failure := 0.0
	switch kind {
	case ProgressUnreachable:
		failure = 1
		s.backoff = min(max(2*s.backoff, minSuspicionPeriod), maxSuspicionPeriod)
		s.backoffUntil = now.Add(s.backoff)
	case ProgressWrongTarget:
		s.backoffUntil = now.Add(maxSuspicionPeriod)
	case ProgressNotRun:
		s.backoffUntil = now.Add(refusalBackoff)
		return
	case ProgressFailed:
		failure = 1
	default:
		s.backoff = 0
	}
	s.errorRate = s.currentErrorRate(now)*(1-errorRateGain) + failure*errorRateGain
	s.errorRateAt = now
}

// Prune removes the state of idle targets that have not been candidates since
// before.
func (b *Balancer) Prune(before time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.states {
		if s.running == 0 && s.lastSeen.Before(before) {
			delete(b.states, id)
		}
	}
}
