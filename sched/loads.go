package sched

import (
	"sync"
	"time"
)

const (
	// targetsPerLoadSlot is for how many managed targets one adapter may be on its
	// way from the weight store at once. All managers together then load about
	// as many as travel at full speed on today's deployments.
	targetsPerLoadSlot = 2.25
	// maxLoadScale bounds how much longer than at full speed a load is expected to
	// take, and scaleGain is the weight of one observation.
	maxLoadScale  = 8.0
	loadScaleGain = 0.3
	// loadScaleHalfLife is the time in which a deviation halves without observations.
	loadScaleHalfLife = 2 * time.Second
)

// LoadLimiter decides when the managed targets of one instance may fetch adapters from
// the weight store: a few at once, since each takes longer the more are on their
// way, and the first come is served first. It is safe for concurrent use.
type LoadLimiter struct {
	mu      sync.Mutex
	slots   int
	inUse   int
	waiting []chan struct{}
	scale   float64
	scaleAt time.Time
}

// SetTargets sets how many targets are managed.
func (l *LoadLimiter) SetTargets(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slots = max(int(float64(n)/targetsPerLoadSlot+0.5), 1)
	l.grantSlots()
}

// grantSlots lets the first that wait begin. The caller holds mu.
func (l *LoadLimiter) grantSlots() {
	for l.inUse < max(l.slots, 1) && len(l.waiting) > 0 {
		l.inUse++
		close(l.waiting[0])
		l.waiting = l.waiting[1:]
	}
}

// Acquire returns a channel that is closed when a load may begin. Each Enter is
// ended by Leave.
func (l *LoadLimiter) Acquire() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	ch := make(chan struct{})
	l.waiting = append(l.waiting, ch)
	l.grantSlots()
	return ch
}

// Release ends a load, or the wait for one.
func (l *LoadLimiter) Release(ch <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, w := range l.waiting {
		if (<-chan struct{})(w) == ch {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return
		}
	}
	l.inUse--
	l.grantSlots()
}

// ExpectedWait is how long a load that is asked for now is expected to wait before it
// begins.
func (l *LoadLimiter) ExpectedWait(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	ahead := l.inUse + len(l.waiting) - max(l.slots, 1) + 1
	if ahead <= 0 {
		return 0
	}
	each := float64(storeLoadTime) * l.currentScale(now) / float64(max(l.slots, 1))
	return time.Duration(float64(ahead) * each)
}

// ExpectedLoadTime is how long a load from the weight store is expected to take.
func (l *LoadLimiter) ExpectedLoadTime(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(float64(storeLoadTime) * l.currentScale(now))
}

func (l *LoadLimiter) currentScale(now time.Time) float64 {
	if l.scale <= 1 {
		return 1
	}
	return 1 + (l.scale-1)/(1+float64(now.Sub(l.scaleAt))/float64(loadScaleHalfLife))
}

// ObserveLoadTime takes in that a load was not over after a time.
func (l *LoadLimiter) ObserveLoadTime(now time.Time, atLeast time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := float64(atLeast) / float64(storeLoadTime)
	scale := l.currentScale(now)
	if seen > scale {
		l.scale = min(scale+loadScaleGain*(seen-scale)+loadScaleGain, maxLoadScale)
		l.scaleAt = now
	}
}
