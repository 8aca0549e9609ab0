package sched

import (
	"math"
	"time"
)

const (
	// valueRatio is by how much an answer is assumed to be worth less per step of priority; the
	// configuration does not state values. The deployment data sheets have 0.5 and 0.65.
	valueRatio = 0.5
	// lateValue is what a late answer is assumed to be worth as a fraction of one on time; the
	// deployment data sheets have 0.12 to 0.46.
	lateValue = 0.2
	// chanceSpread is the fraction of the objective by which a first token may come earlier or
	// later than expected.
	chanceSpread = 0.15
	// costExponent dampens the effect of a prompt's length on the score, so that the longest
	// prompts of a kind are not starved.
	costExponent = 0.5
	// stepShare is the part of a batch step that one token of one output costs the others on
	// the target.
	stepShare = 0.02
	// idleDelay is the queueing delay up to which a target has room for requests that cannot
	// meet their objective.
	idleDelay = 50 * time.Millisecond
)

// ChanceOnTime returns the probability that a first token expected after a time comes within the
// time left for it, for a request with the given objective.
func ChanceOnTime(expected, left, objective time.Duration) float64 {
	spread := chanceSpread * float64(objective)
	if left <= 0 || spread <= 0 {
		return 0
	}
	return min(max(0.5+float64(left-expected)/(2*spread), 0), 1)
}

// Score orders requests that compete for the time of a target, the highest first: what an answer
// is worth to the caller, for each part of the target's time that it takes. chance is the
// probability that it is on time.
func Score(priority int, chance float64, prompt, output int64) float64 {
	value := math.Pow(valueRatio, float64(priority)) * (chance + lateValue*(1-chance))
	cost := float64(max(prompt, 1))/prefillRate + stepShare*float64(output)*float64(stepTime)/float64(time.Millisecond)
	return value / math.Pow(cost, costExponent)
}

// onTimeLeft returns how much time is left for a first token on time.
func (a *AdmissionRequest) onTimeLeft() time.Duration {
	return a.Objective - a.Spent
}

// competes reports whether the request is ordered by its score: its sender sees an overload, and
// states its objective.
func (a *AdmissionRequest) competes() bool {
	return a.Overload && a.Objective > 0
}

// score returns the score of a request on this target. The requests queued ahead of it do not
// count, because their order is what the score decides.
func (t *Target) score(now time.Time, a *AdmissionRequest) float64 {
	if a.Floor {
		return Score(a.Priority, 1, a.Prompt, a.Output)
	}
	chance := ChanceOnTime(max(t.prefillEnd.Sub(now), 0)+t.prefillTime(now, a.Prompt)+stepTime, a.onTimeLeft(), a.Objective)
	return Score(a.Priority, chance, a.Prompt, a.Output) / max(a.Excess, 1)
}

// tooLate returns why a request is declined whose first token is expected after a time: it accepts
// no such time, or it competes with others and leaves its place to them, because it cannot be on
// time here and the target is not idle. It returns "" if neither holds.
func (t *Target) tooLate(now time.Time, a *AdmissionRequest, expected time.Duration) Reason {
	switch {
	case expected > a.Limit:
		return ReasonSlow
	case a.competes() && !a.Floor && expected > a.onTimeLeft() && t.queueingDelay(now) > idleDelay:
		return ReasonYields
	default:
		return ""
	}
}

// queueingDelay returns how long a prompt that arrives now waits for the prompts before it.
func (t *Target) queueingDelay(now time.Time) time.Duration {
	queued := int64(0)
	for _, w := range t.waiting {
		if !now.After(w.expiresAt) {
			queued += w.prompt
		}
	}
	return max(t.prefillEnd.Sub(now), 0) + t.prefillTime(now, queued)
}
