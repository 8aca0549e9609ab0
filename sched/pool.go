package sched

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// poolDepth is how many requests beyond its slots a target is sent, so that it has one at hand while the end
	// of another is reported; a report takes about as long as a twentieth of the work.
	poolDepth = 1
	// poolWaitShare is the share of a request's objective for which it may wait for a slot; the rest is for its
	// work at a target that is slow for a moment.
	poolWaitShare = 0.5
	// probedErrorRate is the error rate from which a target is sent one request each probeInterval only: one that
	// answers errors at once always has free slots and would fail all requests that find the others busy.
	probedErrorRate = 0.4
	probeInterval   = 250 * time.Millisecond
	// workTimeGain is the weight of one observation of the time that a request holds its slot, and
	// initialWorkTime what is assumed before.
	workTimeGain    = 0.05
	initialWorkTime = 50 * time.Millisecond
	// turnsGain is the weight of one observation of the delay at a target, and minTurns how many are needed before
	// its stated load is doubted: when the delay is less than credibleDelay of what that load means.
	turnsGain     = 0.1
	minTurns      = 5
	credibleDelay = 0.5
	// leastUrgentTurn is how many slots are granted for one that the least urgent of the requests that wait get.
	leastUrgentTurn = 8
	// arrivalTime is the time over which the rate of requests is averaged.
	arrivalTime = time.Second
	// poolReturnShare is the least share of the slots' rate at which refused callers are told to return.
	poolReturnShare = 0.1
	// minReturnDelay and maxReturnDelay bound the retry delays of refused requests.
	minReturnDelay = 50 * time.Millisecond
	maxReturnDelay = 2 * time.Second
)

// PoolActive reports whether one instance grants the slots of a plain service on behalf of all instances. With few
// instances each has responses recent enough to choose by itself; with more instances than slots, each sends a
// target less than one request in the time in which all of its slots are used anew.
func PoolActive(instances, slots int) bool {
	return slots > 0 && instances > slots
}

// SlotTarget is a target of a SlotPool.
type SlotTarget struct {
	ID    string
	Zone  string
	Slots int
}

// SlotRequest asks for a slot of a target.
type SlotRequest struct {
	ID string
	// Zone is the data centre of the instance that sends the request.
	Zone string
	// Priority is that of the request; 0 is the most urgent.
	Priority int
	// Objective is what is left of the time in which the response is wanted, and Left that until the deadline.
	Objective time.Duration
	Left      time.Duration
	// Targets are the targets that the request may be sent to.
	Targets []string
	// Bytes is the size of the request, and PerMiB the price of bytes between data centres; see CrossingCost.
	Bytes  int64
	PerMiB time.Duration
}

// SlotDecision is the decision on a SlotRequest. It is one of SlotGranted and SlotRefused; a request without one
// waits.
type SlotDecision interface {
	isSlotDecision()
}

// SlotGranted means that the request may be sent to a target.
type SlotGranted struct {
	Target string
	// Crossing is why the target is in another data centre; empty if it is not.
	Crossing CrossingReason
}

// SlotRefused means that no slot is expected to be free early enough.
type SlotRefused struct {
	// RetryAfter is when a retry is worthwhile. Callers that are refused together return one after the other.
	RetryAfter time.Duration
}

func (SlotGranted) isSlotDecision() {}
func (SlotRefused) isSlotDecision() {}

// SlotResult is the decision on the request with the given ID.
type SlotResult struct {
	ID       string
	Decision SlotDecision
}

// slotWaiter is a request that waits for a slot.
type slotWaiter struct {
	SlotRequest
	seq    int
	latest time.Time
	expiry time.Time
}

// slotGrant is a slot in use.
type slotGrant struct {
	target    string
	crossing  linkKey
	grantedAt time.Time
	expiry    time.Time
	slowdown  float64
}

// linkKey is the direction between two data centres; the zero value is none.
type linkKey struct {
	from string
	to   string
}

// SlotPool grants the slots of a plain service's targets to the requests of all instances, by priority. It
// is the state of the one instance that does so, which loses it when it ends: another one begins with what the
// targets report. It is not safe for concurrent use.
type SlotPool struct {
	// Random is that of a Balancer.
	Random func() float64

	balancer Balancer
	targets  []SlotTarget
	waiting  []*slotWaiter
	grants   map[string]*slotGrant
	lastSeq  int
	// turn counts the slots granted while requests wait.
	turn int
	// workTime is how long a request holds a slot of a target that is not slow.
	workTime time.Duration
	// arrivals is the rate of requests in requests a second.
	arrivals   float64
	arrivedAt  time.Time
	lastReturn time.Time
	prunedAt   time.Time
	// crossings are the decisions by the data centre that requests leave, and links the ways between them.
	crossings map[string]*Crossing
	links     map[linkKey]*link
}

// poolRetention is how long the state of a target that no longer takes requests is kept.
const poolRetention = 30 * time.Second

// SetTargets sets the targets that take requests.
func (p *SlotPool) SetTargets(now time.Time, targets []SlotTarget) {
	p.targets = targets
	p.balancer.Random = p.Random
	if now.Sub(p.prunedAt) > poolRetention {
		p.prunedAt = now
		p.balancer.Prune(now.Add(-poolRetention))
	}
}

// Request adds a request, which waits until Dispatch returns the decision on it. A request that is repeated is
// decided anew; a slot that it has got is given back.
func (p *SlotPool) Request(now time.Time, r SlotRequest) {
	p.Withdraw(r.ID)
	if g, ok := p.grants[r.ID]; ok {
		p.balancer.Cancel(g.target)
		delete(p.grants, r.ID)
	}
	p.countArrival(now)
	p.lastSeq++
	p.waiting = append(p.waiting, &slotWaiter{
		SlotRequest: r,
		seq:         p.lastSeq,
		latest:      now.Add(time.Duration(poolWaitShare * float64(r.Objective))),
		expiry:      now.Add(r.Left),
	})
}

// Withdraw removes a request that waits and whose caller has gone.
func (p *SlotPool) Withdraw(id string) {
	p.waiting = slices.DeleteFunc(p.waiting, func(w *slotWaiter) bool {
		return w.ID == id
	})
}

// Release gives a slot back and records how the request ended, and the load that the target stated; nil if none.
func (p *SlotPool) Release(now time.Time, id string, kind ProgressKind, load *LoadReport) {
	g, ok := p.grants[id]
	if !ok {
		return
	}
	delete(p.grants, id)
	if kind == ProgressEnded {
		p.observeTurns(g.target, float64(now.Sub(g.grantedAt))/g.slowdown/float64(p.work()))
	}
	if load != nil {
		p.balancer.RecordLoad(now, g.target, p.credibleLoad(g.target, *load))
	}
	crosses := g.crossing != linkKey{}
	if crosses && kind == ProgressUnreachable {
		// The link may have failed, and the target may serve its own data centre.
		p.link(g.crossing.from, g.crossing.to).fail(now)
		p.balancer.Cancel(g.target)
		return
	}
	p.balancer.Release(now, g.target, kind)
	if kind != ProgressEnded {
		return
	}
	observed := time.Duration(float64(now.Sub(g.grantedAt)) / g.slowdown)
	if crosses {
		p.link(g.crossing.from, g.crossing.to).observe(now, observed-p.work())
		return
	}
	p.workTime = p.work() + time.Duration(workTimeGain*float64(observed-p.work()))
}

// observeTurns records how long a request took as a multiple of the time of its work.
func (p *SlotPool) observeTurns(target string, turns float64) {
	s := p.balancer.stateOf(target)
	s.turns += (turns - s.turns) * max(turnsGain, 1/float64(s.observed+1))
	s.observed++
}

// credibleLoad returns the load that a target stated, without the requests of others if they would have delayed those
// that this pool sent for longer than was observed. A target that misstates its load would be sent next to nothing.
func (p *SlotPool) credibleLoad(target string, load LoadReport) LoadReport {
	s := p.balancer.stateOf(target)
	slots := 1
	for _, t := range p.targets {
		if t.ID == target {
			slots = max(t.Slots, 1)
		}
	}
	queue := float64(load.Running + load.Waiting - slots)
	if queue > poolDepth && s.observed >= minTurns && s.turns < 1+credibleDelay*queue/float64(slots) {
		load.Running, load.Waiting = min(load.Running, s.running), 0
	}
	return load
}

// Waiting returns the number of requests that wait.
func (p *SlotPool) Waiting() int {
	return len(p.waiting)
}

// Dispatch grants the free slots to the requests that wait, and refuses those that would wait too long.
func (p *SlotPool) Dispatch(now time.Time) []SlotResult {
	p.expire(now)
	var results []SlotResult
	var kept []*slotWaiter
	rate := p.rate(now)
	p.advanceLeastUrgent()
	free := p.anyFree(now)
	for _, w := range p.waiting {
		var g SlotGranted
		granted := false
		if free {
			g, granted = p.choose(now, w)
		}
		if granted {
			p.grant(now, w, g)
			free = p.anyFree(now)
			if len(p.waiting) > 1 {
				p.turn++
			}
			results = append(results, SlotResult{
				ID:       w.ID,
				Decision: g,
			})
			continue
		}
		wait := p.wait(kept, w, rate)
		if now.Add(wait).After(w.latest) {
			results = append(results, SlotResult{
				ID: w.ID,
				Decision: SlotRefused{
					RetryAfter: p.returnDelay(now, wait, rate),
				},
			})
			continue
		}
		kept = append(kept, w)
	}
	p.waiting = kept
	return results
}

// advanceLeastUrgent moves the first of the least urgent requests to the front for each leastUrgentTurn-th slot that is
// granted while requests wait, so that they are not refused altogether while more urgent ones take all slots.
func (p *SlotPool) advanceLeastUrgent() {
	slices.SortFunc(p.waiting, func(a, b *slotWaiter) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.seq, b.seq))
	})
	if p.turn%leastUrgentTurn != leastUrgentTurn-1 || len(p.waiting) == 0 {
		return
	}
	least := p.waiting[len(p.waiting)-1].Priority
	i := slices.IndexFunc(p.waiting, func(w *slotWaiter) bool {
		return w.Priority == least
	})
	w := p.waiting[i]
	p.waiting = slices.Insert(slices.Delete(p.waiting, i, i+1), 0, w)
}

// wait returns how long a request is expected to wait behind others: behind all that are as urgent, or for the turns of
// the least urgent ones.
func (p *SlotPool) wait(ahead []*slotWaiter, w *slotWaiter, rate float64) time.Duration {
	turns := float64(len(ahead) + 1)
	same := 1
	for _, o := range ahead {
		if o.Priority == w.Priority {
			same++
		}
	}
	turns = min(turns, float64(same*leastUrgentTurn))
	return time.Duration(turns / rate * float64(time.Second))
}

// grant records a slot that choose has reserved.
func (p *SlotPool) grant(now time.Time, w *slotWaiter, d SlotGranted) {
	if p.grants == nil {
		p.grants = make(map[string]*slotGrant)
	}
	g := &slotGrant{
		target:    d.Target,
		grantedAt: now,
		expiry:    w.expiry,
		slowdown:  p.slowdown(now, d.Target),
	}
	if d.Crossing != CrossingNone {
		g.crossing.from = w.Zone
		for _, t := range p.targets {
			if t.ID == d.Target {
				g.crossing.to = t.Zone
			}
		}
	}
	p.grants[w.ID] = g
}

// expire frees the slots whose requests have passed their deadlines: their instances have ended or are cut off.
func (p *SlotPool) expire(now time.Time) {
	for id, g := range p.grants {
		if now.After(g.expiry) {
			p.balancer.Cancel(g.target)
			delete(p.grants, id)
		}
	}
}

// rate returns how many requests a second the targets that work are expected to serve.
func (p *SlotPool) rate(now time.Time) float64 {
	rate := 0.0
	for _, t := range p.targets {
		rate += p.targetRate(now, t)
	}
	return max(rate, 1)
}

// countArrival updates the rate of requests.
func (p *SlotPool) countArrival(now time.Time) {
	elapsed := max(now.Sub(p.arrivedAt), 0)
	p.arrivals = p.arrivals*math.Exp(-float64(elapsed)/float64(arrivalTime)) + 1/arrivalTime.Seconds()
	p.arrivedAt = now
}

// returnDelay returns when the caller of a refused request should return: after those that wait and those that
// were refused before it, at the rate that new requests leave unused.
func (p *SlotPool) returnDelay(now time.Time, wait time.Duration, rate float64) time.Duration {
	spacing := time.Duration(float64(time.Second) / max(rate-p.arrivals, poolReturnShare*rate))
	turn := now.Add(max(wait, minReturnDelay))
	if next := p.lastReturn.Add(spacing); next.After(turn) {
		turn = next
	}
	if latest := now.Add(maxReturnDelay); turn.After(latest) {
		turn = latest
	}
	p.lastReturn = turn
	return turn.Sub(now)
}
