package sched

import (
	"math"
	"slices"
	"time"
)

const (
	// initialTargets is how many targets get an admission request in the early
	// rounds.
	initialTargets = 4
	// MaxTargets is how many targets get an admission request in one attempt at
	// most.
	MaxTargets = 8
	// fetchTargets is how many targets may load an adapter with little demand
	// from the weight store, whose bandwidth all targets share.
	fetchTargets = 1
	// attemptsPerFetchTarget is the number of failed attempts after which one
	// more target may load the adapter from the weight store.
	attemptsPerFetchTarget = 12
	// fetchSlack is by how much another target must be expected to return the first token
	// earlier than the first of the order to load an adapter in its place.
	fetchSlack = 60 * time.Millisecond
	// idleTargets is how many targets get an admission request in a first round
	// that only an idle target satisfies: one expected to return the first token
	// within idleSlack plus the time to read the prompt.
	idleTargets = 3
	idleSlack   = 60 * time.Millisecond
	// earlyShare is the fraction of the objective that the early rounds allow for
	// the first token, and onTimeShare the fraction that any round within the
	// objective allows.
	earlyShare  = 0.35
	onTimeShare = 0.85
	// lateShare is the fraction of the remaining time that the last rounds allow
	// until the first token, once the objective cannot be met.
	lateShare = 0.8
	// hotDemand is the demand for an adapter, in prompt tokens a second over all
	// instances, from which it is loaded on further targets early. It corresponds
	// to one and a half prompts a second of the deployment data sheets.
	hotDemand = 3000
	// replicaShare is the fraction of a target's prefill rate that is planned for
	// one adapter on each of its replicas. In the deployment data sheets all
	// adapters together keep targets about half busy, and prompts that arrive
	// together must still start on time.
	replicaShare = 0.25
	// retryDeadlineShare is the fraction of a request's time after which no new
	// attempt is made, and admissionDeadlineShare the fraction after which a
	// pending admission request is abandoned.
	retryDeadlineShare     = 0.5
	admissionDeadlineShare = 0.7
	// Callers disconnect from a silent stream, also before its first event, after
	// the longest of minDisconnectTime, disconnectObjectives times its objective
	// and disconnectGaps times its longest gap within the objective. The values
	// come from the platform's protocol.
	minDisconnectTime    = 2 * time.Second
	disconnectObjectives = 4
	disconnectGaps       = 8
	// AttemptInterval is the pause between two attempts.
	AttemptInterval = 60 * time.Millisecond
)

// PlacementParams describes what a request requires of the targets that may serve
// it.
type PlacementParams struct {
	// NeedsAdapter is set if the request needs an adapter, and Demand is the
	// demand for that adapter in prompt tokens a second over all instances.
	NeedsAdapter bool
	Demand       float64
	// PromptTokens is the length of the prompt.
	PromptTokens int64
	// Objective is the time left in which the first token is on time, and
	// Remaining how much longer the caller waits.
	Objective time.Duration
	Remaining time.Duration
	// Attempt is the number of earlier attempts, each of which tried all rounds
	// without success.
	Attempt int
	// Overload is set while there are more requests than the targets can answer on time.
	Overload bool
	// Floor is set under overload if the request belongs to a group that is served too seldom.
	Floor bool
}

// PlacementRound is one round of requesting admission from targets in the
// preference order of the request's adapter.
type PlacementRound struct {
	// MaxTargets is how many targets get an admission request, from the front of
	// the order.
	MaxTargets int
	// Limit is the longest accepted time to the first token.
	Limit time.Duration
	// AllowFetch allows the target to load the adapter from the weight store.
	AllowFetch bool
}

// PlacementRounds returns the rounds of one attempt. They look for an idle target
// if the adapter has several replicas, then for an early first token, then for one
// on time, then for any. An adapter with high demand may be fetched from the weight
// store by the first initialTargets targets of its order as soon as none of them can
// return the first token early. Any other adapter may be fetched only by the first
// target, and by one more after every attemptsPerFetchTarget attempts.
func PlacementRounds(p PlacementParams) []PlacementRound {
	early := time.Duration(earlyShare * float64(p.Objective))
	onTime := time.Duration(onTimeShare * float64(p.Objective))
	late := time.Duration(lateShare * float64(p.Remaining))
	var rounds []PlacementRound
	if replicas := Replicas(p.Demand); replicas > 1 {
		prefill := time.Duration(float64(p.PromptTokens) / prefillRate * float64(time.Millisecond))
		rounds = append(rounds, PlacementRound{
			MaxTargets: min(replicas, idleTargets),
			Limit:      min(prefill+idleSlack, early),
		})
	}
	rounds = append(rounds, PlacementRound{
		MaxTargets: initialTargets,
		Limit:      early,
	})
	maxFetch := fetchTargets + p.Attempt/attemptsPerFetchTarget
	if !p.NeedsAdapter || p.Demand >= hotDemand {
		maxFetch = max(maxFetch, initialTargets)
	} else {
		rounds = append(rounds, PlacementRound{
			MaxTargets: initialTargets,
			Limit:      onTime,
		})
	}
	lateRounds := []PlacementRound{
		{
			MaxTargets: MaxTargets,
			Limit:      late,
		},
		{
			MaxTargets: maxFetch,
			Limit:      late,
			AllowFetch: true,
		},
	}
	if p.Overload && p.Objective <= 0 {
		return lateRounds
	}
	rounds = append(rounds, PlacementRound{
		MaxTargets: maxFetch,
		Limit:      onTime,
		AllowFetch: true,
	})
	if p.Overload && !p.Floor {
		return rounds
	}
	return append(rounds, lateRounds...)
}

// FetchOrder arranges the targets of an adapter that none of them holds for the round in
// which one may load it. The first targets of the order are compared by the time to the first
// token that they expect, and one that would be faster than the first by more than fetchSlack
// takes its place: an order by hashes alone leaves half of the targets idle while others
// queue prompts. Targets without an estimate keep their place, because they may hold the
// adapter. The list is not modified.
func FetchOrder[T any](targets []T, expected func(T) (time.Duration, bool)) []T {
	best := 0
	for i := range min(initialTargets, len(targets)) {
		e, ok := expected(targets[i])
		if !ok {
			return targets
		}
		if b, _ := expected(targets[best]); i > 0 && e+fetchSlack < b {
			best = i
		}
	}
	if best == 0 {
		return targets
	}
	ordered := slices.Clone(targets)
	ordered[0], ordered[best] = ordered[best], ordered[0]
	return ordered
}

// Replicas returns how many targets an adapter needs at a demand given in prompt
// tokens per second.
func Replicas(demand float64) int {
	return max(int(math.Ceil(demand/(replicaShare*prefillRate*1000))), 1)
}

// ReplicasOutdated reports whether a sender that assumed the given number of
// replicas should choose a target again, given the demand that the manager
// reports. Each instance receives too few requests for most adapters to estimate
// their demand itself.
func ReplicasOutdated(assumed int, demand float64) bool {
	return assumed > 0 && Replicas(demand) >= 2*assumed
}

// OrderTargets arranges targets for one request, best first. The adapter's
// replicas, which are the first of the list, are rotated by pick and attempt so
// that they share the load; the other targets keep their order. The list is
// modified in place.
func OrderTargets[T any](targets []T, replicas int, pick uint64, attempt int) []T {
	replicas = min(replicas, len(targets))
	if replicas < 2 {
		return targets
	}
	first := int((pick + uint64(attempt)) % uint64(replicas))
	rotated := append(slices.Clone(targets[first:replicas]), targets[:first]...)
	copy(targets, rotated)
	return targets
}

// DisconnectTime returns when the caller of a stream that has waited since start
// disconnects if it receives nothing, at the latest at its deadline.
func DisconnectTime(start, deadline time.Time, objective, gap time.Duration) time.Time {
	disconnect := start.Add(DisconnectWait(objective, gap))
	if disconnect.Before(deadline) {
		return disconnect
	}
	return deadline
}

// DisconnectWait returns how long the caller of a stream waits for an event before it
// disconnects.
func DisconnectWait(objective, gap time.Duration) time.Duration {
	return max(minDisconnectTime, disconnectObjectives*objective, disconnectGaps*gap)
}

// AdmissionDeadline returns when a request that has not been admitted is refused,
// early enough for its caller to try again.
func AdmissionDeadline(start, deadline time.Time) time.Time {
	return start.Add(time.Duration(admissionDeadlineShare * float64(deadline.Sub(start))))
}

// RetryDeadline returns until when new attempts are made for a request that no
// target admits.
func RetryDeadline(start, deadline time.Time) time.Time {
	return start.Add(time.Duration(retryDeadlineShare * float64(deadline.Sub(start))))
}
