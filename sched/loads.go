package sched

import (
	"sync"
	"time"
)

const (
	// targetsPerLoad is for how many managed targets one adapter may be on its
	// way from the weight store at once. All managers together then load about
	// as many as travel at full speed on today's deployments.
	targetsPerLoad = 2.25
	// maxScale bounds how much longer than at full speed a load is expected to
	// take, and scaleGain is the weight of one observation.
	maxScale  = 8.0
	scaleGain = 0.3
	// scaleLife is the time in which a deviation halves without observations.
	scaleLife = 2 * time.Second
)

// Loads decides when the managed targets of one instance may fetch adapters from
// the weight store: a few at once, since each takes longer the more are on their
// way, and the first come is served first. It is safe for concurrent use.
type Loads struct {
	mu      sync.Mutex
	permits int
	taken   int
	waiting []chan struct{}
	scale   float64
	scaleAt time.Time
}

// SetTargets sets how many targets are managed.
func (l *Loads) SetTargets(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.permits = max(int(float64(n)/targetsPerLoad+0.5), 1)
	l.admit()
}

// admit lets the first that wait begin. The caller holds mu.
func (l *Loads) admit() {
	for l.taken < max(l.permits, 1) && len(l.waiting) > 0 {
		l.taken++
		close(l.waiting[0])
		l.waiting = l.waiting[1:]
	}
}

// Enter returns a channel that is closed when a load may begin. Each Enter is
// ended by Leave.
func (l *Loads) Enter() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	ch := make(chan struct{})
	l.waiting = append(l.waiting, ch)
	l.admit()
	return ch
}

// Leave ends a load, or the wait for one.
func (l *Loads) Leave(ch <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, w := range l.waiting {
		if (<-chan struct{})(w) == ch {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return
		}
	}
	l.taken--
	l.admit()
}

// Wait is how long a load that is asked for now is expected to wait before it
// begins.
func (l *Loads) Wait(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	ahead := l.taken + len(l.waiting) - max(l.permits, 1) + 1
	if ahead <= 0 {
		return 0
	}
	each := float64(freshLoad) * l.scaleNow(now) / float64(max(l.permits, 1))
	return time.Duration(float64(ahead) * each)
}

// Time is how long a load from the weight store is expected to take.
func (l *Loads) Time(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(float64(freshLoad) * l.scaleNow(now))
}

func (l *Loads) scaleNow(now time.Time) float64 {
	if l.scale <= 1 {
		return 1
	}
	return 1 + (l.scale-1)/(1+float64(now.Sub(l.scaleAt))/float64(scaleLife))
}

// Took takes in that a load was not over after a time.
func (l *Loads) Took(now time.Time, atLeast time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := float64(atLeast) / float64(freshLoad)
	scale := l.scaleNow(now)
	if seen > scale {
		l.scale = min(scale+scaleGain*(seen-scale)+scaleGain, maxScale)
		l.scaleAt = now
	}
}
