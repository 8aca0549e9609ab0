package sched

import "time"

// recordOutcome updates the error rate by one run: failure is 1 for a failed run
// and 0 for a successful one.
func (t *Target) recordOutcome(now time.Time, failure float64) {
	t.errorRate = t.currentErrorRate(now)*(1-errorRateGain) + failure*errorRateGain
	t.errorRateAt = now
}

// currentErrorRate returns the fraction of runs that fail, decayed to the
// present.
func (t *Target) currentErrorRate(now time.Time) float64 {
	return t.errorRate / (1 + float64(now.Sub(t.errorRateAt))/float64(errorRateHalfLife))
}

// markSuspected declines all requests for a while, because the target could not be
// reached. The period doubles with each failure, up to maxSuspicionPeriod, until a
// request succeeds.
func (t *Target) markSuspected(now time.Time) {
	if now.Before(t.suspectUntil) {
		return
	}
	t.suspicionPeriod = min(max(2*t.suspicionPeriod, minSuspicionPeriod), maxSuspicionPeriod)
	t.suspectUntil = now.Add(t.suspicionPeriod)
}

// observeFirstToken updates the slowdown factor from the actual and the expected
// time to a first token.
func (t *Target) observeFirstToken(now time.Time, actual, expected time.Duration) {
	ratio := float64(actual+latencyNoiseFloor) / float64(expected+latencyNoiseFloor)
	current := t.currentSlowdown(now)
	t.slowdown = min(max(current*(1-slowdownGain+slowdownGain*ratio), minSlowdown), maxSlowdown)
	t.slowdownAt = now
}

// currentSlowdown returns the factor by which the target is slower than assumed;
// less than 1 means faster. Only a factor above 1 decays over time.
func (t *Target) currentSlowdown(now time.Time) float64 {
	if t.slowdownAt.IsZero() || t.slowdown <= 1 {
		return t.slowdown
	}
	halfLives := float64(now.Sub(t.slowdownAt)) / float64(slowdownHalfLife)
	return 1 + (t.slowdown-1)/(1+halfLives)
}

// takeColdToken takes one token from the bucket that limits the rate of a cold
// target, and reports whether there was one. A target that is not cold has no
// limit.
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
