package sched

// longPromptShare is the fraction of targets that serve the long prompts of
// popular adapters. It is about the fraction of all prompt tokens that belong to
// such prompts in the deployment data sheets. Fleets of fewer than
// minLongPromptFleet targets reserve none.
const (
	longPromptShare    = 0.1
	minLongPromptFleet = 10
	// separationFactor is how many times the tokens that a target may read during one event
	// a PrefillWindow must have grown to before long prompts are not kept apart: then the
	// targets read them in pieces.
	separationFactor = 3
)

// SeparatesLongPrompts reports whether long prompts have to be kept apart from streams on
// targets with the given PrefillWindow; 0 is an unknown one. Where targets read prompts in
// pieces, a few reserved targets would only be a bottleneck.
func (l *Limits) SeparatesLongPrompts(window int64) bool {
	return window < separationFactor*l.maxPrefillPerEvent()
}

// LongPromptTargets returns how many of the given number of targets are reserved
// for the long prompts of adapters with several replicas; these targets serve no
// other prompts of these adapters. A long prompt delays the events of all streams
// on its target, and on a reserved target it delays few streams.
func LongPromptTargets(targets int) int {
	if targets < minLongPromptFleet {
		return 0
	}
	return max(int(longPromptShare*float64(targets)+0.5), 1)
}
