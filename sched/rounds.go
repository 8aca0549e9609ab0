package sched

import (
	"math"
	"slices"
	"time"
)

const (
	// initialTargets targets are asked first, and MaxChoices at most.
	initialTargets = 4
	// MaxTargets is how many targets may be asked for one request.
	MaxTargets = 8
	// fetchTargets are the targets to which an adapter that is wanted seldom is
	// brought: the weight store is what all targets share.
	fetchTargets = 1
	// attemptsPerFetchTarget is after how many turns of asking in vain one more target may
	// fetch the adapter.
	attemptsPerFetchTarget = 12
	// idleTargets targets are asked first whether they are idle, which is to
	// begin within idleSlack beside the reading of the prompt.
	idleTargets = 3
	idleSlack   = 60 * time.Millisecond
	// earlyShare of the objective is what the first choices may take, and
	// promptShare what any may take that counts as prompt.
	earlyShare  = 0.35
	onTimeShare = 0.85
	// lateShare of the time that is left is what a late answer may take to
	// begin.
	lateShare = 0.8
	// hotDemand is how many prompt tokens a second are asked for with an
	// adapter, over all instances, from which on it is brought to further
	// targets early: one and a half prompts of the deployments' sheets.
	hotDemand = 3000
	// replicaShare of what a target reads is planned for one adapter at each of
	// its homes: targets are about half busy with all adapters on the
	// deployments' sheets, and prompts that come together are to begin in time.
	replicaShare = 0.25
	// retryDeadlineShare of a request's time may pass until no target is asked any more,
	// and giveUpShare until a question that is still open is given up.
	retryDeadlineShare     = 0.5
	admissionDeadlineShare = 0.7
	// Callers leave a stream that is silent for leaveTime, leaveObjectives times
	// its objective or leavePauses times its longest prompt pause, whichever is
	// longest, also before its first event; from the platform's protocol.
	minDisconnectTime    = 2 * time.Second
	disconnectObjectives = 4
	disconnectGaps       = 8
	// AttemptInterval is left between two turns of asking.
	AttemptInterval = 60 * time.Millisecond
)

// PlacementParams is what a request wants of the targets that may serve it.
type PlacementParams struct {
	// NeedsAdapter is set if the request needs one, and Demand is how many prompt
	// tokens a second are asked for with it over all instances.
	NeedsAdapter bool
	Demand       float64
	// PromptTokens is how many tokens are to be read.
	PromptTokens int64
	// Objective is what is left of the time in which the first token counts as
	// prompt, and Left how long the caller still waits.
	Objective time.Duration
	Remaining time.Duration
	// Attempt is how often all rounds were asked in vain.
	Attempt int
}

// PlacementRound is one round of asking targets in the order of the request's adapter.
type PlacementRound struct {
	// MaxTargets is how many targets are asked, from the front of the order.
	MaxTargets int
	// Limit is the longest time to the first token.
	Limit time.Duration
	// AllowFetch allows to bring the adapter from the weight store.
	AllowFetch bool
}

// PlacementRounds are the rounds of asking: first for an idle one among several homes of the
// adapter, then for a quick answer where the adapter is at hand, then for a prompt one,
// then for any. An adapter that is wanted often is brought to further targets before
// those that hold it are busy, another one only to the first target of its order.
func PlacementRounds(w PlacementParams) []PlacementRound {
	eager := time.Duration(earlyShare * float64(w.Objective))
	prompt := time.Duration(onTimeShare * float64(w.Objective))
	late := time.Duration(lateShare * float64(w.Remaining))
	var rounds []PlacementRound
	if homes := Replicas(w.Demand); homes > 1 {
		reading := time.Duration(float64(w.PromptTokens) / prefillRate * float64(time.Millisecond))
		rounds = append(rounds, PlacementRound{
			MaxTargets: min(homes, idleTargets),
			Limit:      min(reading+idleSlack, eager),
		})
	}
	rounds = append(rounds, PlacementRound{
		MaxTargets: initialTargets,
		Limit:      eager,
	})
	fetchers := fetchTargets + w.Attempt/attemptsPerFetchTarget
	if !w.NeedsAdapter || w.Demand >= hotDemand {
		fetchers = max(fetchers, initialTargets)
	} else {
		rounds = append(rounds, PlacementRound{
			MaxTargets: initialTargets,
			Limit:      prompt,
		})
	}
	return append(rounds, PlacementRound{
		MaxTargets: fetchers,
		Limit:      prompt,
		AllowFetch: true,
	}, PlacementRound{
		MaxTargets: MaxTargets,
		Limit:      late,
	}, PlacementRound{
		MaxTargets: fetchers,
		Limit:      late,
		AllowFetch: true,
	})
}

// Replicas is how many targets an adapter needs whose requests have so many prompt
// tokens a second.
func Replicas(demand float64) int {
	return max(int(math.Ceil(demand/(replicaShare*prefillRate*1000))), 1)
}

// ReplicasOutdated reports whether an asker that assumed so many homes should choose anew, now
// that it is told the demand: an instance is asked for most adapters too seldom to
// know it.
func ReplicasOutdated(assumed int, demand float64) bool {
	return assumed > 0 && Replicas(demand) >= 2*assumed
}

// OrderTargets arranges targets for one request, best first: its adapter's homes, which
// are the first of the list, begin with another one for each request and turn, so
// that they share the load; the further ones follow. The list is changed.
func OrderTargets[T any](targets []T, homes int, pick uint64, turn int) []T {
	homes = min(homes, len(targets))
	if homes < 2 {
		return targets
	}
	first := int((pick + uint64(turn)) % uint64(homes))
	rotated := append(slices.Clone(targets[first:homes]), targets[:first]...)
	copy(targets, rotated)
	return targets
}

// DisconnectTime is when the caller of a stream that has begun to wait leaves, if nothing
// comes: by its deadline at the latest.
func DisconnectTime(begun, until time.Time, objective, pause time.Duration) time.Time {
	leaves := begun.Add(max(minDisconnectTime, disconnectObjectives*objective, disconnectGaps*pause))
	if leaves.Before(until) {
		return leaves
	}
	return until
}

// AdmissionDeadline is when a request that has no place yet is refused, so that its caller has
// time to come back.
func AdmissionDeadline(begun, until time.Time) time.Time {
	return begun.Add(time.Duration(admissionDeadlineShare * float64(until.Sub(begun))))
}

// RetryDeadline is until when a request is asked for again that no target takes.
func RetryDeadline(begun, until time.Time) time.Time {
	return begun.Add(time.Duration(retryDeadlineShare * float64(until.Sub(begun))))
}
