package sched

import (
	"sync"
	"time"
)

const (
	// targetsPerLoadSlot is the number of managed targets per concurrent load
	// from the weight store. All managers together then run about as many loads
	// as the present deployments transfer at full speed.
	targetsPerLoadSlot = 2.25
	// maxLoadScale limits the factor by which a load is expected to take longer
	// than at full speed, and loadScaleGain is the weight of one observation.
	maxLoadScale  = 8.0
	loadScaleGain = 0.3
	// loadScaleHalfLife is the time in which a deviation halves without
	// observations.
	loadScaleHalfLife = 2 * time.Second
)

// LoadLimiter limits how many adapters the managed targets of one instance load
// from the weight store at once, because each load takes longer the more of them
// run. Slots are granted in order of arrival. It is safe for concurrent use.
type LoadLimiter struct {
	mu      sync.Mutex
	slots   int
	inUse   int
	waiting []chan struct{}
	scale   float64
	scaleAt time.Time
}

// SetTargets sets the number of managed targets.
func (l *LoadLimiter) SetTargets(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slots = max(int(float64(n)/targetsPerLoadSlot+0.5), 1)
	l.grantSlots()
}

// grantSlots grants free load slots to the longest waiting callers. The caller
// holds mu.
func (l *LoadLimiter) grantSlots() {
	for l.inUse < max(l.slots, 1) && len(l.waiting) > 0 {
		l.inUse++
		close(l.waiting[0])
		l.waiting = l.waiting[1:]
	}
}

// Acquire returns a channel that is closed when a load slot is granted. Each call
// must be followed by a call of Release.
func (l *LoadLimiter) Acquire() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	ch := make(chan struct{})
	l.waiting = append(l.waiting, ch)
	l.grantSlots()
	return ch
}

// Release returns a load slot, or cancels the wait for one.
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

// ExpectedWait returns how long a load requested now is expected to wait for a
// load slot.
func (l *LoadLimiter) ExpectedWait(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	ahead := l.inUse + len(l.waiting) - max(l.slots, 1) + 1
	if ahead <= 0 {
		return 0
	}
	perSlot := float64(storeLoadTime) * l.currentScale(now) / float64(max(l.slots, 1))
	return time.Duration(float64(ahead) * perSlot)
}

// ExpectedLoadTime returns how long a load from the weight store is expected to
// take.
func (l *LoadLimiter) ExpectedLoadTime(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(float64(storeLoadTime) * l.currentScale(now))
}

// currentScale returns the factor by which a load takes longer than at full speed,
// decayed to the present. The caller holds mu.
func (l *LoadLimiter) currentScale(now time.Time) float64 {
	if l.scale <= 1 {
		return 1
	}
	return 1 + (l.scale-1)/(1+float64(now.Sub(l.scaleAt))/float64(loadScaleHalfLife))
}

// ObserveLoadTime records that a load was still in progress after the given time.
// An observation shorter than the expected time has no effect.
func (l *LoadLimiter) ObserveLoadTime(now time.Time, atLeast time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	observed := float64(atLeast) / float64(storeLoadTime)
	scale := l.currentScale(now)
	if observed > scale {
		l.scale = min(scale+loadScaleGain*(observed-scale)+loadScaleGain, maxLoadScale)
		l.scaleAt = now
	}
}
