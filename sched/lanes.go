package sched

// longShare of the targets take the long prompts of popular adapters: about what these
// are of all prompt tokens on the deployments' sheets. Fleets with fewer than
// minLongFleet targets keep none apart.
const (
	longPromptShare    = 0.1
	minLongPromptFleet = 10
)

// LongPromptTargets is how many of so many targets take the long prompts of adapters that
// have several homes, and nothing else of these adapters. A long prompt holds up the
// events of all streams on its target; kept apart it meets few streams.
func LongPromptTargets(targets int) int {
	if targets < minLongPromptFleet {
		return 0
	}
	return max(int(longPromptShare*float64(targets)+0.5), 1)
}
