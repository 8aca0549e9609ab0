package sched

import "time"

// recordOutcome takes in whether a run failed.
func (t *Target) recordOutcome(now time.Time, bad float64) {
	t.errorRate = t.currentErrorRate(now)*(1-errorRateGain) + bad*errorRateGain
	t.errorRateAt = now
}

// currentErrorRate is the share of runs that fail.
func (t *Target) currentErrorRate(now time.Time) float64 {
	return t.errorRate / (1 + float64(now.Sub(t.errorRateAt))/float64(errorRateHalfLife))
}

func (t *Target) markSuspected(now time.Time) {
	if now.Before(t.suspectUntil) {
		return
	}
	t.suspicionPeriod = min(max(2*t.suspicionPeriod, minSuspicionPeriod), maxSuspicionPeriod)
	t.suspectUntil = now.Add(t.suspicionPeriod)
}

// observeFirstToken corrects the pace by a first token.
func (t *Target) observeFirstToken(now time.Time, actual, expected time.Duration) {
	ratio := float64(actual+latencyNoiseFloor) / float64(expected+latencyNoiseFloor)
	pace := t.currentSlowdown(now)
	t.slowdown = min(max(pace*(1-slowdownGain+slowdownGain*ratio), minSlowdown), maxSlowdown)
	t.slowdownAt = now
}

// currentSlowdown is how many times longer than assumed the target takes.
func (t *Target) currentSlowdown(now time.Time) float64 {
	if t.slowdownAt.IsZero() || t.slowdown <= 1 {
		return t.slowdown
	}
	halves := float64(now.Sub(t.slowdownAt)) / float64(slowdownHalfLife)
	return 1 + (t.slowdown-1)/(1+halves)
}

// takeColdToken takes one request of a cold target's rate.
func (t *Target) takeColdToken(now time.Time) bool {
	if t.Limits.ColdRate <= 0 || !now.Before(t.coldUntil) {
		return true
	}
	if t.coldRefilledAt.IsZero() {
		t.coldRefilledAt = now
		t.coldTokens = 1
	}
	t.coldTokens = min(t.coldTokens+now.Sub(t.coldRefilledAt).Seconds()*t.Limits.ColdRate*coldRateShare, coldBurst)
	t.coldRefilledAt = now
	if t.coldTokens < 1 {
		return false
	}
	t.coldTokens--
	return true
}
