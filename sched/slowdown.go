package sched

import (
	"math"
	"time"
)

// slowdownEstimate is what the responses of a target stated of its slowdown. It changes many times a second, so
// that a statement says less with its age.
type slowdownEstimate struct {
	// last is the latest statement, and usual the average of all.
	last   float64
	lastAt time.Time
	usual  float64
}

// isKnown reports whether the target has ever stated its slowdown.
func (e *slowdownEstimate) isKnown() bool {
	return !e.lastAt.IsZero()
}

// record records a statement; 0 is none.
func (e *slowdownEstimate) record(now time.Time, slowdown float64) {
	if slowdown <= 0 {
		return
	}
	if !e.isKnown() {
		e.usual = 1
	}
	// Weighed by the time since the last one, so that many responses during a spell do not make it usual.
	weight := 1 - math.Exp(-float64(max(now.Sub(e.lastAt), 0))/float64(usualSlowdownTime))
	if !e.isKnown() {
		weight = 0
	}
	e.usual += weight * (slowdown - e.usual)
	e.last, e.lastAt = slowdown, now
}

// at returns the slowdown expected at present.
func (e *slowdownEstimate) at(now time.Time) float64 {
	left := math.Exp(-float64(max(now.Sub(e.lastAt), 0)) / float64(slowSpell))
	return e.usual + (e.last-e.usual)*left
}

// factor returns the slowdown expected at present, or 1 if the target has never stated one.
func (e *slowdownEstimate) factor(now time.Time) float64 {
	if !e.isKnown() {
		return 1
	}
	return e.at(now)
}
