package proxy

import (
	"slices"
	"sync"
	"time"

	"currantstile/fleet"
	"currantstile/sched"
)

// CrossingCount counts what was sent to another data centre.
type CrossingCount struct {
	Requests int64
	// Bytes is the size of the bodies of requests and responses.
	Bytes int64
}

// crossings counts the requests that left the data centre, by reason.
type crossings struct {
	mu     sync.Mutex
	counts map[sched.CrossingReason]CrossingCount
}

func (c *crossings) add(reason sched.CrossingReason, requests, bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[sched.CrossingReason]CrossingCount)
	}
	n := c.counts[reason]
	n.Requests += requests
	n.Bytes += bytes
	c.counts[reason] = n
}

// EachCrossing calls visit for each reason for which requests have left the data centre.
func (r *Router) EachCrossing(visit func(reason sched.CrossingReason, n CrossingCount)) {
	r.crossings.mu.Lock()
	defer r.crossings.mu.Unlock()
	for reason, n := range r.crossings.counts {
		visit(reason, n)
	}
}

// crossingCost returns what it costs to send a request of a size to another data centre.
func (r *Router) crossingCost(bytes int64) sched.CrossingCost {
	return sched.CrossingCost{
		RoundTrip: sched.RoundTrip,
		Bytes:     bytes,
		PerMiB:    r.BytePrice,
	}
}

// isRemote reports whether a target is in another data centre.
func (r *Router) isRemote(t *fleet.Target) bool {
	return t.Zone != "" && t.Zone != r.Zone
}

// crossingAlone returns why an instance that chose by itself among targets chose one in another data centre; empty if
// it is not.
func (r *Router) crossingAlone(chosen *fleet.Target, targets []*fleet.Target) sched.CrossingReason {
	switch {
	case !r.isRemote(chosen):
		return sched.CrossingNone
	case slices.ContainsFunc(targets, func(t *fleet.Target) bool {
		return !r.isRemote(t)
	}):
		return sched.CrossingAlone
	default:
		return sched.CrossingOnly
	}
}

// crossingReason returns why the target is in another data centre; empty if it is not.
func (p *Placement) crossingReason() sched.CrossingReason {
	switch {
	case p.router == nil || !p.router.isRemote(&p.Target):
		return sched.CrossingNone
	case p.crossing != sched.CrossingNone:
		return p.crossing
	case p.manager != "":
		return sched.CrossingAdapter
	default:
		return sched.CrossingAlone
	}
}

// countCrossing counts an attempt to send a request with a body of a size, if it leaves the data centre.
func (p *Placement) countCrossing(bytes int64) {
	if reason := p.crossingReason(); reason != sched.CrossingNone {
		p.router.crossings.add(reason, 1, bytes)
	}
}

// countCrossingBytes counts bytes of a response from another data centre.
func (p *Placement) countCrossingBytes(bytes int) {
	if reason := p.crossingReason(); reason != sched.CrossingNone {
		p.router.crossings.add(reason, 0, int64(bytes))
	}
}

// crossingTime returns what it costs, as time, that a target is in another data centre.
func (r *Router) crossingTime(x *Exchange, t *fleet.Target) time.Duration {
	if !r.isRemote(t) {
		return 0
	}
	return r.crossingCost(x.held.body.size()).Time()
}

// zoneChoices is how many times as many targets as needed an adapter's replicas are chosen from to spread them over
// the data centres.
const zoneChoices = 4

// adapterTargets returns the first n targets in the order of an adapter. Where bytes between data centres have a price,
// they are spread over the data centres.
func (r *Router) adapterTargets(key string, targets []*fleet.Target, n int, keep func(**fleet.Target) bool) []*fleet.Target {
	if r.BytePrice <= 0 {
		return topTargets(key, targets, n, keep)
	}
	list := sched.SpreadOverZones(topTargets(key, targets, zoneChoices*n, keep), func(t *fleet.Target) string {
		return t.Zone
	})
	return list[:min(n, len(list))]
}

// orderByZone arranges the targets of an adapter for one request; see sched.OrderTargets. Where bytes between data
// centres have a price, the replicas of the own one come first.
func (r *Router) orderByZone(targets []*fleet.Target, replicas int, pick uint64, attempt int) []*fleet.Target {
	ordered := sched.OrderTargets(targets, replicas, pick, attempt)
	if r.BytePrice > 0 {
		sched.PreferLocal(ordered, replicas, func(t *fleet.Target) bool {
			return !r.isRemote(t)
		})
	}
	return ordered
}
