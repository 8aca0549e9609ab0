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

// Long reports whether the reading of a prompt alone holds up the events of all streams
// on a target for longer than is prompt.
func (l *Limits) Long(prompt int64) bool {
	return prompt > l.eventTokens()
}

// eventTokens is how many prompt tokens a target may read in the steps of one event,
// so that the pause before the event counts as prompt.
func (l *Limits) eventTokens() int64 {
	reading := l.gap() - time.Duration(l.steps())*stepTime
	return int64(unreadShare * prefillRate * float64(reading) / float64(time.Millisecond))
}

// unread is how many prompt tokens may be on their way to a target or read there at
// once, but for a single longer prompt. Whenever a prompt has been read the next one
// comes one step later, so that in the steps of one event the target reads this many
// once less often than there are steps.
func (l *Limits) unread() int64 {
	return l.eventTokens() / int64(max(l.steps()-1, 1))
}

func (l *Limits) steps() int {
	if l.EventSteps > 0 {
		return l.EventSteps
	}
	return defaultEventSteps
}

func (l *Limits) gap() time.Duration {
	if l.MaxGap > 0 {
		return l.MaxGap
	}
	return defaultMaxGap
}
