package sched

import "time"

// Limits describes the capacity of a target.
type Limits struct {
	// Slots is how many requests can run at once, MemoryTokens the memory
	// available to them in tokens, and AdapterSlots how many adapters fit.
	Slots        int
	MemoryTokens int64
	AdapterSlots int
	// ColdRate is how many requests a second a cold target accepts; 0 means no
	// limit.
	ColdRate float64
	// EventSteps is the number of batch steps per stream event, and MaxGap the
	// longest gap between events that is within the objective. The defaults apply
	// where they are zero.
	EventSteps int
	MaxGap     time.Duration
}

// Defaults of Limits, from the deployment data sheets.
const (
	defaultEventSteps = 2
	defaultMaxGap     = 400 * time.Millisecond
)

// IsLongPrompt reports whether reading a prompt of this many tokens alone delays
// the events of all streams on a target beyond the objective.
func (l *Limits) IsLongPrompt(prompt int64) bool {
	return prompt > l.maxPrefillPerEvent()
}

// maxPrefillPerEvent returns how many prompt tokens a target may read during the
// steps of one event while the gap before the event stays within the objective.
func (l *Limits) maxPrefillPerEvent() int64 {
	reading := l.gapOrDefault() - time.Duration(l.stepsOrDefault())*stepTime
	return int64(prefillGapShare * prefillRate * float64(reading) / float64(time.Millisecond))
}

// maxPendingPrefill returns how many prompt tokens may be in transit to a target
// or being read there at once; a single longer prompt is allowed too. When a
// prompt has been read, the next one arrives one step later, so during the n
// steps of one event the target reads this many tokens n-1 times.
func (l *Limits) maxPendingPrefill() int64 {
	return l.maxPrefillPerEvent() / int64(max(l.stepsOrDefault()-1, 1))
}

func (l *Limits) stepsOrDefault() int {
	if l.EventSteps > 0 {
		return l.EventSteps
	}
	return defaultEventSteps
}

func (l *Limits) gapOrDefault() time.Duration {
	if l.MaxGap > 0 {
		return l.MaxGap
	}
	return defaultMaxGap
}
