package sched

import (
	"cmp"
	"slices"
	"time"
)

const (
	// RoundTrip is how long a message to another data centre and its reply take unless a longer time was
	// observed: they are 0.5 to 1.4 ms apart one way.
	RoundTrip = 2 * time.Millisecond
	// leaveShare is the share of the expected time in the other data centre by which a request must be served
	// earlier there, beyond its cost, before requests begin to leave.
	leaveShare = 0.25
	// returnDelay is for how long leaving must not have paid before requests stop leaving.
	returnDelay = 500 * time.Millisecond
	// linkGain is the weight of one observation of the time that a link adds, and linkHalfLife the time in which
	// it fades without observations, so that a link that was slow is tried again.
	linkGain     = 0.1
	linkHalfLife = 5 * time.Second
	// maxCutPeriod bounds for how long a link that failed is not used.
	maxCutPeriod = 4 * time.Second
)

// CrossingCost is what it costs to send one request to another data centre.
type CrossingCost struct {
	// RoundTrip is the time that the way takes.
	RoundTrip time.Duration
	// Bytes is how many bytes the request and its response move, and PerMiB the time that it is worth not to move
	// 1 MiB; 0 if bytes have no price.
	Bytes  int64
	PerMiB time.Duration
}

// Time returns the cost as the time by which a request must be served earlier to make up for it.
func (c CrossingCost) Time() time.Duration {
	return c.RoundTrip + time.Duration(float64(c.Bytes)/(1<<20)*float64(c.PerMiB))
}

// CrossingReason is why a request leaves its data centre. Its values are values of a metric label.
type CrossingReason string

// Reasons to leave a data centre.
const (
	// CrossingNone means that the request stays.
	CrossingNone CrossingReason = ""
	// CrossingOnly means that no target of the own data centre may be sent the request.
	CrossingOnly CrossingReason = "only"
	// CrossingLate means that the request would miss its objective in its own data centre.
	CrossingLate CrossingReason = "late"
	// CrossingSooner means that the expected response is so much earlier that it is worth the cost.
	CrossingSooner CrossingReason = "sooner"
	// CrossingAdapter means that the adapter's targets are elsewhere.
	CrossingAdapter CrossingReason = "adapter"
	// CrossingAlone means that an instance chose by itself, without the instance that grants slots.
	CrossingAlone CrossingReason = "alone"
)

// CrossingChoice is what is known when a request may leave its data centre.
type CrossingChoice struct {
	// HasLocal and HasRemote report whether there are targets for the request in its own and in other data
	// centres; Local and Remote are the times in which they are expected to serve it, without the way.
	HasLocal  bool
	HasRemote bool
	Local     time.Duration
	Remote    time.Duration
	Cost      CrossingCost
	// Left is the time in which the request is on time.
	Left time.Duration
}

// Crossing decides whether requests of one data centre leave it. Its state keeps them from leaving and returning
// with each change of the load. The zero value is ready for use; it is not safe for concurrent use.
type Crossing struct {
	leaving bool
	paidAt  time.Time
}

// Decide returns why a request should leave, or CrossingNone. Service comes before cost: a request that would be
// late leaves whatever it costs, if it is on time elsewhere.
func (c *Crossing) Decide(now time.Time, o CrossingChoice) CrossingReason {
	switch {
	case !o.HasRemote:
		return CrossingNone
	case !o.HasLocal:
		return CrossingOnly
	case o.Local > o.Left && o.Remote+o.Cost.RoundTrip <= o.Left:
		return CrossingLate
	}
	margin := time.Duration(leaveShare * float64(o.Remote))
	if c.leaving {
		margin = 0
	}
	if o.Local-o.Remote-o.Cost.Time() > margin {
		c.leaving, c.paidAt = true, now
		return CrossingSooner
	}
	if c.leaving && now.Sub(c.paidAt) > returnDelay {
		c.leaving = false
	}
	return CrossingNone
}

// link is the way from one data centre to another, as the requests that were sent over it show.
type link struct {
	// extra is how much longer they took than those that stayed.
	extra      time.Duration
	observedAt time.Time
	// cutUntil is until when the link is not used, and period for how long it was not used last.
	cutUntil time.Time
	period   time.Duration
}

// observe records by how much a request over the link took longer than one that stays.
func (l *link) observe(now time.Time, extra time.Duration) {
	current := l.roundTrip(now)
	l.extra = current + time.Duration(linkGain*float64(extra-current))
	l.observedAt = now
	l.period = 0
}

// fail records that a target could not be reached over the link. The target may serve its own data centre.
func (l *link) fail(now time.Time) {
	if now.Before(l.cutUntil) {
		return
	}
	l.period = min(max(2*l.period, minSuspicionPeriod), maxCutPeriod)
	l.cutUntil = now.Add(l.period)
}

// roundTrip returns the time that the link is expected to take.
func (l *link) roundTrip(now time.Time) time.Duration {
	if l.extra <= RoundTrip {
		return RoundTrip
	}
	halfLives := float64(now.Sub(l.observedAt)) / float64(linkHalfLife)
	return RoundTrip + time.Duration(float64(l.extra-RoundTrip)/(1+halfLives))
}

// SpreadOverZones arranges targets so that the first ones are in different data centres: an adapter with several
// replicas, which are the first of its order, then has one in each. The order within a data centre stays, and does not
// depend on the instance.
func SpreadOverZones[T any](targets []T, zone func(T) string) []T {
	type ranked struct {
		target T
		rank   int
	}
	seen := make(map[string]int)
	list := make([]ranked, 0, len(targets))
	for _, t := range targets {
		z := zone(t)
		list = append(list, ranked{
			target: t,
			rank:   seen[z],
		})
		seen[z]++
	}
	slices.SortStableFunc(list, func(a, b ranked) int {
		return cmp.Compare(a.rank, b.rank)
	})
	spread := make([]T, 0, len(targets))
	for _, r := range list {
		spread = append(spread, r.target)
	}
	return spread
}

// PreferLocal moves the replicas of the own data centre, which are among the first of the list, ahead of the others. The
// list is modified in place. Managers admit a request in the first round only if their target is idle, so that it leaves
// its data centre where that is too busy.
func PreferLocal[T any](targets []T, replicas int, isLocal func(T) bool) {
	rank := func(t T) int {
		if isLocal(t) {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(targets[:min(replicas, len(targets))], func(a, b T) int {
		return cmp.Compare(rank(a), rank(b))
	})
}
