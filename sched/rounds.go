package sched

import (
	"math"
	"slices"
	"time"
)

const (
	// nearChoices targets are asked first, and MaxChoices at most.
	nearChoices = 4
	// MaxChoices is how many targets may be asked for one request.
	MaxChoices = 8
	// fetchChoices are the targets to which an adapter that is wanted seldom is
	// brought: the weight store is what all targets share.
	fetchChoices = 1
	// widenTurns is after how many turns of asking in vain one more target may
	// fetch the adapter.
	widenTurns = 12
	// idleChoices targets are asked first whether they are idle, which is to
	// begin within idleSlack beside the reading of the prompt.
	idleChoices = 3
	idleSlack   = 60 * time.Millisecond
	// eagerShare of the objective is what the first choices may take, and
	// promptShare what any may take that counts as prompt.
	eagerShare  = 0.35
	promptShare = 0.85
	// lateShare of the time that is left is what a late answer may take to
	// begin.
	lateShare = 0.8
	// hotDemand is how many prompt tokens a second are asked for with an
	// adapter, over all instances, from which on it is brought to further
	// targets early: one and a half prompts of the deployments' sheets.
	hotDemand = 3000
	// homeShare of what a target reads is planned for one adapter at each of
	// its homes: targets are about half busy with all adapters on the
	// deployments' sheets, and prompts that come together are to begin in time.
	homeShare = 0.25
	// placeShare of a request's time may pass until no target is asked any more,
	// and giveUpShare until a question that is still open is given up.
	placeShare  = 0.5
	giveUpShare = 0.7
	// Callers leave a stream that is silent for leaveTime, leaveObjectives times
	// its objective or leavePauses times its longest prompt pause, whichever is
	// longest, also before its first event; from the platform's protocol.
	leaveTime       = 2 * time.Second
	leaveObjectives = 4
	leavePauses     = 8
	// AskPause is left between two turns of asking.
	AskPause = 60 * time.Millisecond
)

// Wish is what a request wants of the targets that may serve it.
type Wish struct {
	// Adapter is set if the request needs one, and Demand is how many prompt
	// tokens a second are asked for with it over all instances.
	Adapter bool
	Demand  float64
	// Prompt is how many tokens are to be read.
	Prompt int64
	// Objective is what is left of the time in which the first token counts as
	// prompt, and Left how long the caller still waits.
	Objective time.Duration
	Left      time.Duration
	// Turn is how often all rounds were asked in vain.
	Turn int
}

// Round is one round of asking targets in the order of the request's adapter.
type Round struct {
	// Choices is how many targets are asked, from the front of the order.
	Choices int
	// Limit is the longest time to the first token.
	Limit time.Duration
	// Fetch allows to bring the adapter from the weight store.
	Fetch bool
}

// Rounds are the rounds of asking: first for an idle one among several homes of the
// adapter, then for a quick answer where the adapter is at hand, then for a prompt one,
// then for any. An adapter that is wanted often is brought to further targets before
// those that hold it are busy, another one only to the first target of its order.
func Rounds(w Wish) []Round {
	eager := time.Duration(eagerShare * float64(w.Objective))
	prompt := time.Duration(promptShare * float64(w.Objective))
	late := time.Duration(lateShare * float64(w.Left))
	var rounds []Round
	if homes := Homes(w.Demand); homes > 1 {
		reading := time.Duration(float64(w.Prompt) / prefillRate * float64(time.Millisecond))
		rounds = append(rounds, Round{
			Choices: min(homes, idleChoices),
			Limit:   min(reading+idleSlack, eager),
		})
	}
	rounds = append(rounds, Round{
		Choices: nearChoices,
		Limit:   eager,
	})
	fetchers := fetchChoices + w.Turn/widenTurns
	if !w.Adapter || w.Demand >= hotDemand {
		fetchers = max(fetchers, nearChoices)
	} else {
		rounds = append(rounds, Round{
			Choices: nearChoices,
			Limit:   prompt,
		})
	}
	return append(rounds, Round{
		Choices: fetchers,
		Limit:   prompt,
		Fetch:   true,
	}, Round{
		Choices: MaxChoices,
		Limit:   late,
	}, Round{
		Choices: fetchers,
		Limit:   late,
		Fetch:   true,
	})
}

// Homes is how many targets an adapter needs whose requests have so many prompt
// tokens a second.
func Homes(demand float64) int {
	return max(int(math.Ceil(demand/(homeShare*prefillRate*1000))), 1)
}

// Outdated reports whether an asker that assumed so many homes should choose anew, now
// that it is told the demand: an instance is asked for most adapters too seldom to
// know it.
func Outdated(assumed int, demand float64) bool {
	return assumed > 0 && Homes(demand) >= 2*assumed
}

// Order arranges targets for one request, best first: its adapter's homes, which
// are the first of the list, begin with another one for each request and turn, so
// that they share the load; the further ones follow. The list is changed.
func Order[T any](targets []T, homes int, pick uint64, turn int) []T {
	homes = min(homes, len(targets))
	if homes < 2 {
		return targets
	}
	first := int((pick + uint64(turn)) % uint64(homes))
	rotated := append(slices.Clone(targets[first:homes]), targets[:first]...)
	copy(targets, rotated)
	return targets
}

// Leaves is when the caller of a stream that has begun to wait leaves, if nothing
// comes: by its deadline at the latest.
func Leaves(begun, until time.Time, objective, pause time.Duration) time.Time {
	leaves := begun.Add(max(leaveTime, leaveObjectives*objective, leavePauses*pause))
	if leaves.Before(until) {
		return leaves
	}
	return until
}

// GiveUp is when a request that has no place yet is refused, so that its caller has
// time to come back.
func GiveUp(begun, until time.Time) time.Time {
	return begun.Add(time.Duration(giveUpShare * float64(until.Sub(begun))))
}

// Patience is until when a request is asked for again that no target takes.
func Patience(begun, until time.Time) time.Time {
	return begun.Add(time.Duration(placeShare * float64(until.Sub(begun))))
}
