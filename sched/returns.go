package sched

import (
	"math"
	"sync"
	"time"
)

const (
	// returnShare is the fraction of the requests placed lately for which there is room for
	// callers that return.
	returnShare = 0.5
	// minReturnRate is the least rate of returns, in requests a second.
	minReturnRate = 0.2
	// minReturn is the shortest retry delay under overload.
	minReturn = 250 * time.Millisecond
	// honouredShare is the fraction of its remaining time up to which a caller honours a retry
	// delay; from the platform's protocol.
	honouredShare = 1.0 / 3
	// placedTimeConstant is the time constant of the rate of placed requests.
	placedTimeConstant = 3 * time.Second
	// goldenRatio spreads the retry delays of callers for whom there is no slot evenly.
	goldenRatio = 0.6180339887498949
)

// ReturnSlots spreads the callers that are refused under overload over the time in which there
// will be room for them. It is safe for concurrent use.
type ReturnSlots struct {
	mu sync.Mutex
	// next is the first slot that is not taken.
	next time.Time
	// rate is the rate of placed requests as of placedAt, in requests a second.
	rate     float64
	placedAt time.Time
	// spread is the position of the last retry delay without a slot, from 0 to 1.
	spread float64
}

// RecordPlaced counts a request that found a target.
func (s *ReturnSlots) RecordPlaced(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate = s.currentRate(now) + 1/placedTimeConstant.Seconds()
	s.placedAt = now
}

// currentRate returns the rate decayed to the present. The caller holds mu.
func (s *ReturnSlots) currentRate(now time.Time) float64 {
	return s.rate * math.Exp(-float64(now.Sub(s.placedAt))/float64(placedTimeConstant))
}

// Take returns the retry delay of a refused request whose caller waits for the given time. If all
// slots until the longest delay that the caller honours are taken, its delay is anywhere in the
// second half of that time.
func (s *ReturnSlots) Take(now time.Time, remaining time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	longest := max(time.Duration(honouredShare*float64(remaining)), minReturn)
	slot := now.Add(minReturn)
	if s.next.After(slot) {
		slot = s.next
	}
	if wait := slot.Sub(now); wait <= longest {
		rate := max(returnShare*s.currentRate(now), minReturnRate)
		s.next = slot.Add(time.Duration(float64(time.Second) / rate))
		return wait
	}
	s.spread = math.Mod(s.spread+goldenRatio, 1)
	return time.Duration((0.2 + 0.3*s.spread) * float64(longest))
}
