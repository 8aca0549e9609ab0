package replay

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantstile/route"
	"currantstile/sched"
)

const (
	// updateDelay is how long a progress update takes to its manager, and callDelay an
	// admission request there and back.
	updateDelay = 10 * time.Millisecond
	callDelay   = 2 * time.Millisecond
	// queuePoll is how often a request that waits at a manager is decided again.
	queuePoll = 15 * time.Millisecond
	// maxAdmissionWait is how long a manager keeps an admission request.
	maxAdmissionWait = 2400 * time.Millisecond
	// maxLoadRetries is how often a request is sent again to a target that is still
	// loading its adapter.
	maxLoadRetries = 4
	// retryDelay is the Retry-After of a refusal, and callerRetries how often a caller
	// comes back after one.
	retryDelay    = 300 * time.Millisecond
	callerRetries = 1
	// retryShare is the fraction of its remaining time up to which a caller honours a
	// Retry-After.
	retryShare = 1.0 / 3
	// dialTimeout is how long a connection to an unreachable target is tried, and maxDials
	// how often one request is sent to such targets.
	dialTimeout = 400 * time.Millisecond
	maxDials    = 3
	// livenessTimeout is how long a manager that does not answer is waited for, and
	// managerBackoff how long its targets are skipped then.
	livenessTimeout = 300 * time.Millisecond
	managerBackoff  = 700 * time.Millisecond
)

// request is a caller's request.
type request struct {
	id      string
	class   *Class
	org     string
	adapter string
	prompt  int64
	output  int
	// arrived is the first arrival, tried that of this attempt of the caller.
	arrived time.Time
	tried   time.Time
	retries int
	loads   int
	dials   int
	run     *run
	ended   bool
	// contender is how its entry sees it, and waited for how long its caller had waited.
	contender sched.Contender
	waited    time.Duration
	// fetches is how many loads from the weight store it caused.
	fetches int
	// first is the time to the first token, from the first arrival.
	first time.Duration
}

// entry is what an instance knows that takes requests.
type entry struct {
	shedder *sched.Shedder
	waited  sched.Waited
	// deaf is set while it gets no reports of the managers' queues.
	deaf bool
}

// newEntry returns an entry with the rules of a policy.
func newEntry(p Policy) *entry {
	e := &entry{
		shedder: sched.NewShedder(),
	}
	if rule, ok := p.Overload.(OverloadByScore); ok {
		if rule.NoFloors {
			e.shedder.Floors = nil
		}
		if rule.NoHeat {
			e.shedder.Heat = nil
		}
		if rule.FixedRetry {
			e.shedder.Returns = nil
		}
	}
	return e
}

// entryOf returns the instance that took a request; a caller that returns reaches another one.
func (s *sim) entryOf(q *request) *entry {
	return s.entries[(xxhash.Sum64String(q.id)+uint64(q.retries))%uint64(len(s.entries))]
}

// arrive counts a request at its entry.
func (s *sim) arrive(now time.Time, q *request) {
	e := s.entryOf(q)
	q.waited = e.waited.Add(now, q.class.Name, q.org, q.arrived.Add(q.class.Deadline).Sub(now))
	if rule, ok := s.policy.Overload.(OverloadByScore); ok && rule.IgnoreWaited {
		q.waited = 0
	}
	q.contender = sched.Contender{
		Priority:     q.class.Priority,
		Organisation: q.org,
		Prompt:       q.prompt,
		Objective:    q.class.Objective,
	}
	e.shedder.Arrive(now, &q.contender)
}

// contest returns how a request competes.
func (s *sim) contest(now time.Time, q *request) sched.Contest {
	if _, ok := s.policy.Overload.(OverloadByScore); !ok {
		return sched.Contest{}
	}
	return s.entryOf(q).shedder.Contest(now, &q.contender)
}

// spent returns how much of the objective has passed, as far as the entry knows.
func (q *request) spent(now time.Time) time.Duration {
	return q.waited + now.Sub(q.tried)
}

// deadline returns when the caller leaves if it has received nothing.
func (q *request) deadline() time.Time {
	return sched.DisconnectTime(q.tried, q.arrived.Add(q.class.Deadline), q.class.Objective, q.class.MaxGap)
}

// place looks for a target, as an entry does.
func (s *sim) place(now time.Time, q *request, attempt int) {
	if q.ended {
		return
	}
	if attempt == 0 {
		s.arrive(now, q)
	}
	contest := s.contest(now, q)
	objective := q.class.Objective - now.Sub(q.tried)
	if contest.Overload {
		objective = q.class.Objective - q.spent(now)
	}
	demand := s.demand.Rate(now, q.adapter)
	replicas := sched.Replicas(demand)
	ordered := sched.OrderTargets(route.TopBy(q.adapter, s.targets, func(t **target) string {
		return (*t).id
	}, max(sched.MaxTargets, replicas), func(t **target) bool {
		return !(*t).down
	}), replicas, xxhash.Sum64String(q.id), attempt)
	p := &placement{
		sim:      s,
		req:      q,
		contest:  contest,
		ordered:  ordered,
		attempt:  attempt,
		expected: make(map[*target]time.Duration),
		rounds: sched.PlacementRounds(sched.PlacementParams{
			NeedsAdapter: true,
			Demand:       demand,
			PromptTokens: q.prompt,
			Objective:    objective,
			Remaining:    q.deadline().Sub(now),
			Attempt:      attempt,
			Overload:     contest.Overload,
			Floor:        contest.Floor,
		}),
	}
	p.next(now)
}

// placement is one attempt to place a request.
type placement struct {
	sim      *sim
	req      *request
	contest  sched.Contest
	ordered  []*target
	rounds   []sched.PlacementRound
	expected map[*target]time.Duration
	attempt  int
	// choices are the targets of the present round, of which those before index were asked.
	choices []*target
	index   int
}

// next asks the next target, and ends the attempt after the last one.
func (p *placement) next(now time.Time) {
	for len(p.rounds) > 0 {
		round := p.rounds[0]
		if p.choices == nil {
			p.choices = p.ordered
			if _, soonest := p.sim.policy.Fetch.(FetchSoonest); soonest && round.AllowFetch {
				p.choices = sched.FetchOrder(p.ordered, func(t *target) (time.Duration, bool) {
					return p.expected[t], p.expected[t] > 0
				})
			}
		}
		for p.index < min(round.MaxTargets, len(p.choices)) {
			t := p.choices[p.index]
			p.index++
			if now.Before(t.manager.skipUntil) {
				p.expected[t] = 0
				continue
			}
			if e, known := p.expected[t]; known && (e == 0 || e > round.Limit) {
				continue
			}
			p.sim.clock.at(now.Add(callDelay), func(now time.Time) {
				p.ask(now, t, round)
			})
			return
		}
		p.rounds, p.choices, p.index = p.rounds[1:], nil, 0
	}
	q := p.req
	shedder := p.sim.entryOf(q).shedder
	shedder.Declined(now, &q.contender)
	if p.contest.Overload && shedder.Refuse(now, &q.contender) {
		p.sim.refuse(now, q, shedder.RetryAfter(now, q.arrived.Add(q.class.Deadline).Sub(now), retryDelay))
		return
	}
	again := now.Add(sched.AttemptInterval)
	if !again.Before(sched.RetryDeadline(q.tried, q.deadline())) {
		shedder.Refused(now, &q.contender)
		p.sim.refuse(now, q, retryDelay)
		return
	}
	p.sim.clock.at(again, func(now time.Time) {
		p.sim.place(now, q, p.attempt+1)
	})
}

// ask requests admission from a target's manager.
func (p *placement) ask(now time.Time, t *target, round sched.PlacementRound) {
	q := p.req
	a := &admission{
		placement: p,
		target:    t,
		start:     now,
		limit:     round.Limit,
		left:      q.deadline().Sub(now),
		ask: sched.AdmissionRequest{
			ID:        fmt.Sprintf("%s/%d/%s", q.id, q.retries, t.id),
			Model:     "m",
			Adapter:   q.adapter,
			Prompt:    q.prompt,
			Output:    int64(q.output),
			Priority:  q.class.Priority,
			Objective: q.class.Objective,
			Spent:     q.spent(now),
			Excess:    p.contest.Excess,
			Overload:  p.contest.Overload,
			Floor:     p.contest.Floor,
			NoFetch:   !round.AllowFetch,
		},
	}
	p.sim.result.Admissions++
	if now.Before(t.manager.frozenUntil) {
		p.sim.clock.at(now.Add(livenessTimeout), func(now time.Time) {
			t.manager.skipUntil = now.Add(managerBackoff)
			p.expected[t] = 0
			p.next(now)
		})
		return
	}
	a.decide(now)
}

// admission is an admission request at a manager.
type admission struct {
	placement *placement
	target    *target
	start     time.Time
	limit     time.Duration
	left      time.Duration
	ask       sched.AdmissionRequest
}

// decide takes the target's decision, and waits where it requires that.
func (a *admission) decide(now time.Time) {
	p, t := a.placement, a.target
	if p.req.ended || now.After(sched.AdmissionDeadline(p.req.tried, p.req.deadline())) {
		p.sim.refuse(now, p.req, retryDelay)
		return
	}
	if t.down || now.Sub(a.start) > maxAdmissionWait {
		p.expected[t] = 0
		p.next(now)
		return
	}
	a.ask.Limit, a.ask.Left = a.limit-now.Sub(a.start), a.left-now.Sub(a.start)
	a.ask.Spent = p.req.spent(now)
	if e := p.sim.entryOf(p.req); !e.deaf {
		e.shedder.Pressure.Record(now, t.id, t.state.StandingDelay(now))
	}
	switch d := t.state.Admit(now, a.ask).(type) {
	case sched.Granted:
		p.sim.entryOf(p.req).shedder.Placed(now, &p.req.contender)
		if now.Add(d.Expected).Sub(p.req.arrived) > p.req.class.Objective {
			p.sim.result.GrantedLate++
		}
		p.sim.clock.at(now.Add(d.After), func(now time.Time) {
			p.sim.send(now, p.req, t, a.ask.ID)
		})
	case sched.Declined:
		if (d.Reason == sched.ReasonFetchRequired || d.Reason == sched.ReasonAdapterSlots) && t == p.ordered[0] {
			p.req.contender.NeedsLoad = true
		}
		p.expected[t] = d.Expected
		p.next(now)
	case sched.Load:
		if !t.order(now, d) {
			p.expected[t] = 0
			p.next(now)
			return
		}
		a.decide(now)
	case sched.LoadSlotRequired:
		t.manager.fetch(now, a)
	default:
		p.sim.clock.at(now.Add(queuePoll), a.decide)
	}
}

// order carries out a decision to load, and reports whether the target was reached.
func (t *target) order(now time.Time, d sched.Load) bool {
	if t.cut {
		t.state.CancelOrder(d.Unload)
		t.state.RecordLoadFailed(d.Adapter)
		return false
	}
	if d.Unload != "" {
		t.unload(d.Unload)
		t.state.RecordUnloaded(d.Unload)
	}
	t.load(now, d.Adapter)
	t.state.RecordLoaded(now, d.Adapter, d.Version)
	return true
}

// manager is an instance that manages targets.
type manager struct {
	sim     *sim
	limiter sched.LoadLimiter
	// waiting are the fetches that wait for a load slot.
	waiting []*fetch
	// frozenUntil is until when it answers nothing, and skipUntil until when the entries skip
	// its targets.
	frozenUntil time.Time
	skipUntil   time.Time
}

// fetch is an adapter that waits for a load slot.
type fetch struct {
	slot *sched.LoadSlot
	// first is the admission request that caused it, and others are those that joined.
	first  *admission
	others []*admission
}

// fetch waits for a load slot, then loads the adapter.
func (m *manager) fetch(now time.Time, a *admission) {
	priority := a.ask.Priority
	if _, arrival := m.sim.policy.Slots.(SlotByArrival); arrival {
		priority = 0
	}
	if f, ok := a.target.pending[a.ask.Adapter]; ok {
		m.limiter.Raise(f.slot, priority)
		f.others = append(f.others, a)
		return
	}
	f := &fetch{
		slot:  m.limiter.Acquire(priority),
		first: a,
	}
	a.target.pending[a.ask.Adapter] = f
	m.waiting = append(m.waiting, f)
	m.grant(now)
}

// grant continues the fetches whose slots have been granted.
func (m *manager) grant(now time.Time) {
	var granted []*fetch
	kept := m.waiting[:0]
	for _, f := range m.waiting {
		select {
		case <-f.slot.Granted:
			granted = append(granted, f)
		default:
			kept = append(kept, f)
		}
	}
	m.waiting = kept
	for _, f := range granted {
		m.start(now, f)
	}
}

// start begins the load of a fetch that has a slot.
func (m *manager) start(now time.Time, f *fetch) {
	t, adapter := f.first.target, f.first.ask.Adapter
	delete(t.pending, adapter)
	ask := f.first.ask
	ask.Turn, ask.Limit = true, ask.Left
	ask.Spent = f.first.placement.req.spent(now)
	declined := false
	if !t.down {
		switch d := t.state.Admit(now, ask).(type) {
		case sched.Load:
			if declined = !t.order(now, d); declined {
				f.first.placement.expected[t] = 0
			} else {
				f.first.placement.req.fetches++
			}
		case sched.Declined:
			declined = true
			f.first.placement.expected[t] = d.Expected
		}
	}
	release := now
	if ready, ok := t.state.ReadyAt(adapter); ok && ready.After(now) {
		release = ready
	}
	m.sim.clock.at(release, func(now time.Time) {
		m.limiter.Release(f.slot)
		m.grant(now)
	})
	if declined {
		f.first.placement.next(now)
	} else {
		f.first.decide(now)
	}
	for _, a := range f.others {
		m.sim.clock.at(now.Add(callDelay), a.decide)
	}
}

// targetName returns the ID of a target.
func targetName(i int) string {
	return strings.ReplaceAll(fmt.Sprintf("t%3d", i), " ", "0")
}
