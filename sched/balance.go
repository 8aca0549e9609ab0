package sched

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// troubleGain is the weight of one outcome in a target's share of failures,
	// and troubleLife the time in which the share halves without new outcomes.
	troubleGain = 0.2
	troubleLife = 3 * time.Second
	// troubleCost is how much load a target that fails always counts as, in
	// shares of its slots.
	troubleCost = 4.0
	// farCost is what another data centre counts as, in shares of slots.
	farCost = 0.1
	// loadLife is how long a target's word about its load counts.
	loadLife = 500 * time.Millisecond
	// shedTime is for how long a target that turned a request away is left alone.
	shedTime = 100 * time.Millisecond
)

// Choice is a target among which a Balancer chooses.
type Choice struct {
	ID    string
	Slots int
	// Near targets stand in the chooser's own data centre.
	Near bool
	// ColdRate is what a cold target bears of this chooser's requests a second;
	// Cold is set while it is.
	Cold     bool
	ColdRate float64
}

// server is what a Balancer knows of a target.
type server struct {
	running int
	// told is the target's own load, without this chooser's requests.
	told      float64
	toldAt    time.Time
	trouble   float64
	troubleAt time.Time
	shunUntil time.Time
	shun      time.Duration
	coldLevel float64
	coldAt    time.Time
	seen      time.Time
}

// Balancer chooses among the targets of plain services, which need no manager.
// It is safe for concurrent use.
type Balancer struct {
	mu      sync.Mutex
	servers map[string]*server
}

func (b *Balancer) server(id string) *server {
	if b.servers == nil {
		b.servers = make(map[string]*server)
	}
	s, ok := b.servers[id]
	if !ok {
		s = &server{}
		b.servers[id] = s
	}
	return s
}

// Choose takes a place at the least loaded of the targets. It reports false
// where none should get the request now.
func (b *Balancer) Choose(now time.Time, choices []Choice) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	best, bestCost := -1, 0.0
	var spare int
	spareCost := 0.0
	haveSpare := false
	for i, c := range choices {
		s := b.server(c.ID)
		s.seen = now
		cost := s.cost(now, c)
		if c.Cold && !s.coldFree(now, c.ColdRate) {
			continue
		}
		if now.Before(s.shunUntil) {
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
		s.coldLevel--
	}
	return c.ID, true
}

// cost is how much a target is loaded, in shares of its slots.
func (s *server) cost(now time.Time, c Choice) float64 {
	load := float64(s.running)
	if now.Sub(s.toldAt) < loadLife {
		load += s.told
	}
	cost := load/float64(max(c.Slots, 1)) + troubleCost*s.troubleNow(now)
	if !c.Near {
		cost += farCost
	}
	// Equal targets are told apart by chance, so that instances which see the
	// same do not all choose the same one.
	return cost + 0.01*rand.Float64()
}

func (s *server) troubleNow(now time.Time) float64 {
	return s.trouble / (1 + float64(now.Sub(s.troubleAt))/float64(troubleLife))
}

func (s *server) coldFree(now time.Time, rate float64) bool {
	if s.coldAt.IsZero() {
		s.coldAt = now
		s.coldLevel = 1
	}
	s.coldLevel = min(s.coldLevel+now.Sub(s.coldAt).Seconds()*rate*coldShare, coldBurst)
	s.coldAt = now
	return s.coldLevel >= 1
}

// Told takes in a target's own word about its load.
func (b *Balancer) Told(now time.Time, id string, running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.server(id)
	s.told = float64(max(running+waiting-s.running, 0))
	s.toldAt = now
}

// Done gives a place back and takes in how the request ended.
func (b *Balancer) Done(now time.Time, id string, kind NoteKind) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.server(id)
	s.running = max(s.running-1, 0)
	bad := 0.0
	switch kind {
	case NoteUnreachable:
		bad = 1
		s.shun = min(max(2*s.shun, minSuspicion), maxSuspicion)
		s.shunUntil = now.Add(s.shun)
	case NoteMisdirected:
		s.shunUntil = now.Add(maxSuspicion)
	case NoteNotRun:
		s.shunUntil = now.Add(shedTime)
		return
	case NoteFailed:
		bad = 1
	default:
		s.shun = 0
	}
	s.trouble = s.troubleNow(now)*(1-troubleGain) + bad*troubleGain
	s.troubleAt = now
}

// Forget drops what is known of targets that have not been seen since a time.
func (b *Balancer) Forget(before time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.servers {
		if s.running == 0 && s.seen.Before(before) {
			delete(b.servers, id)
		}
	}
}
