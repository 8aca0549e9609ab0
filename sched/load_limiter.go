package sched

import (
	"slices"
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
	// oldestGrantInterval is how many load slots are granted for one that goes to the
	// longest waiting load instead of the most urgent one.
	oldestGrantInterval = 4
)

// LoadLimiter limits how many adapters the managed targets of one instance load
// from the weight store at once, because each load takes longer the more of them
// run. Slots are granted to the most urgent load, in order of arrival among equals, and now
// and then to the longest waiting one. It is safe for concurrent use.
type LoadLimiter struct {
	mu    sync.Mutex
	slots int
	inUse int
	// waiting are the loads that wait, in order of arrival, and granted counts those that
	// got a slot after waiting.
	waiting []*LoadSlot
	granted int
	scale   float64
	scaleAt time.Time
}

// LoadSlot is a load slot, or the place in the queue for one.
type LoadSlot struct {
	// Granted is closed when the slot is granted.
	Granted  <-chan struct{}
	granted  chan struct{}
	priority int
}

// SetTargets sets the number of managed targets.
func (l *LoadLimiter) SetTargets(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slots = max(int(float64(n)/targetsPerLoadSlot+0.5), 1)
	l.grantSlots()
}

// grantSlots grants free load slots. The caller holds mu.
func (l *LoadLimiter) grantSlots() {
	for l.inUse < max(l.slots, 1) && len(l.waiting) > 0 {
		l.inUse++
		next := l.next()
		close(l.waiting[next].granted)
		l.waiting = slices.Delete(l.waiting, next, next+1)
		l.granted++
	}
}

// next returns the index of the waiting load that gets the next slot. The caller holds mu.
func (l *LoadLimiter) next() int {
	next := 0
	if l.granted%oldestGrantInterval == oldestGrantInterval-1 {
		return next
	}
	for i, w := range l.waiting {
		if w.priority < l.waiting[next].priority {
			next = i
		}
	}
	return next
}

// Acquire asks for a load slot for a request of the given priority; 0 is the most urgent.
// Each call must be followed by a call of Release.
func (l *LoadLimiter) Acquire(priority int) *LoadSlot {
	l.mu.Lock()
	defer l.mu.Unlock()
	granted := make(chan struct{})
	s := &LoadSlot{
		Granted:  granted,
		granted:  granted,
		priority: priority,
	}
	l.waiting = append(l.waiting, s)
	l.grantSlots()
	return s
}

// Raise makes a waiting load at least as urgent as another request that needs it.
func (l *LoadLimiter) Raise(s *LoadSlot, priority int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.priority = min(s.priority, priority)
}

// Release returns a load slot, or cancels the wait for one.
func (l *LoadLimiter) Release(s *LoadSlot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.waiting, s); i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
		return
	}
	l.inUse--
	l.grantSlots()
}

// ExpectedWait returns how long a load requested now with the given priority is expected to
// wait for a load slot.
func (l *LoadLimiter) ExpectedWait(now time.Time, priority int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	ahead := l.inUse - max(l.slots, 1) + 1
	for _, w := range l.waiting {
		if w.priority <= priority {
			ahead++
		}
	}
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
