package sched

import "time"

// Limits is what a target bears.
type Limits struct {
	// Slots is how many requests run at once, MemoryTokens their memory, and
	// AdapterSlots how many adapters there is room for.
	Slots        int
	MemoryTokens int64
	AdapterSlots int
	// ColdRate is how many requests a second a cold target bears; 0 is no bound.
	ColdRate float64
	// EventSteps is how many steps of the batch one event of a stream takes, and
	// MaxGap the longest pause between events that counts as prompt; without
	// them the defaults hold.
	EventSteps int
	MaxGap     time.Duration
}

// Defaults of Limits, from the deployments' sheets.
const (
	defaultEventSteps = 2
	defaultMaxGap     = 400 * time.Millisecond
)

// IsLongPrompt reports whether the reading of a prompt alone holds up the events of all streams
// on a target for longer than is prompt.
func (l *Limits) IsLongPrompt(prompt int64) bool {
	return prompt > l.maxPrefillPerEvent()
}

// maxPrefillPerEvent is how many prompt tokens a target may read in the steps of one event,
// so that the pause before the event counts as prompt.
func (l *Limits) maxPrefillPerEvent() int64 {
	reading := l.gapOrDefault() - time.Duration(l.stepsOrDefault())*stepTime
	return int64(prefillGapShare * prefillRate * float64(reading) / float64(time.Millisecond))
}

// maxPendingPrefill is how many prompt tokens may be on their way to a target or read there at
// once, but for a single longer prompt. Whenever a prompt has been read the next one
// comes one step later, so that in the steps of one event the target reads this many
// once less often than there are steps.
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
