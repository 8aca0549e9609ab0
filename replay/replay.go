package replay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"currantstile/sched"
)

// Experiment is one play of a pattern with a policy.
type Experiment struct {
	Pattern Pattern
	Policy  Policy
	Seed    uint64
}

// sim is the state of an experiment.
type sim struct {
	clock    simClock
	fleet    *Fleet
	policy   Policy
	targets  []*target
	managers []*manager
	store    weightStore
	demand   sched.Demand
	result   *Result
}

// simStart is the simulated time at which experiments begin.
var simStart = time.Unix(1_000_000, 0)

// settleTime is how long an experiment goes on after its last arrival.
const settleTime = 20 * time.Second

// Run plays an experiment.
func Run(e Experiment) *Result {
	p := &e.Pattern
	s := &sim{
		fleet:  &p.Fleet,
		policy: e.Policy,
		result: newResult(p.Classes),
	}
	s.store = weightStore{
		clock:   &s.clock,
		fleet:   s.fleet,
		updated: simStart,
	}
	s.addTargets(p.Classes)
	for i, a := range p.arrivals(rand.New(rand.NewPCG(e.Seed, 1))) {
		q := &request{
			id:      fmt.Sprintf("r%d", i),
			class:   &p.Classes[a.class],
			adapter: a.adapter,
			prompt:  a.prompt,
			output:  a.output,
			arrived: simStart.Add(a.at),
			tried:   simStart.Add(a.at),
		}
		s.clock.at(q.arrived, func(now time.Time) {
			s.result.of(q).Asked++
			s.demand.Add(now, q.adapter, float64(q.prompt))
			s.leaveAt(q)
			s.place(now, q, 0)
		})
	}
	s.disturb(p.Disturbances, rand.New(rand.NewPCG(e.Seed, 2)))
	s.clock.run(simStart.Add(p.Duration + settleTime))
	s.result.Loads = s.store.loads
	return s.result
}

// addTargets adds the targets and their managers.
func (s *sim) addTargets(classes []Class) {
	for range s.fleet.Managers {
		s.managers = append(s.managers, &manager{
			sim: s,
		})
	}
	window := &sched.PrefillWindow{}
	gap := classes[0].MaxGap
	for _, c := range classes {
		gap = min(gap, c.MaxGap)
	}
	count := make(map[*manager]int)
	for i := range s.fleet.Targets {
		m := s.managers[i%len(s.managers)]
		count[m]++
		t := &target{
			sim:     s,
			id:      targetName(i),
			manager: m,
			held:    make(map[string]bool),
			pending: make(map[string]*fetch),
			slow:    1,
			state: sched.NewTarget(targetName(i), sched.Limits{
				Slots:        s.fleet.Requests,
				MemoryTokens: s.fleet.MemoryTokens,
				AdapterSlots: s.fleet.AdapterSlots,
				EventSteps:   s.fleet.EventTokens,
				MaxGap:       gap,
			}),
		}
		t.state.Models = []string{"m"}
		t.state.LoadLimiter = &m.limiter
		t.state.PrefillWindow = window
		s.targets = append(s.targets, t)
	}
	for m, n := range count {
		m.limiter.SetTargets(n)
	}
}

// disturb schedules the changes of the fleet.
func (s *sim) disturb(list []Disturbance, rng *rand.Rand) {
	for _, d := range list {
		switch d := d.(type) {
		case SlowTargets:
			for _, i := range rng.Perm(len(s.targets))[:d.Count] {
				s.during(d.At, d.For, func(time.Time) {
					s.targets[i].slow = d.Factor
				}, func(time.Time) {
					s.targets[i].slow = 1
				})
			}
		case Crash:
			for _, i := range rng.Perm(len(s.targets))[:d.Count] {
				s.during(d.At, d.For, s.targets[i].crash, func(time.Time) {
					t := s.targets[i]
					t.down = false
					// Its manager learns of the new process and starts again.
					state := sched.NewTarget(t.id, t.state.Limits)
					state.Models, state.LoadLimiter, state.PrefillWindow = t.state.Models, t.state.LoadLimiter, t.state.PrefillWindow
					t.state = state
				})
			}
		}
	}
}

// during schedules the begin and the end of a disturbance.
func (s *sim) during(at, duration time.Duration, begin, end func(now time.Time)) {
	s.clock.at(simStart.Add(at), begin)
	s.clock.at(simStart.Add(at+duration), end)
}

// leaveAt makes the caller leave if it has received nothing by its deadline.
func (s *sim) leaveAt(q *request) {
	tried := q.tried
	s.clock.at(q.deadline(), func(time.Time) {
		if q.ended || q.first > 0 || q.tried != tried {
			return
		}
		s.end(q)
		s.result.of(q).Left++
		if q.run != nil {
			q.run.cancelled = true
		}
	})
}

// end ends a request.
func (s *sim) end(q *request) {
	q.ended = true
}

// refuse refuses a request that has not run; its caller comes back or gives it up.
func (s *sim) refuse(now time.Time, q *request) {
	if q.ended {
		return
	}
	if again := now.Add(retryDelay); q.retries < callerRetries && again.Before(q.arrived.Add(q.class.Deadline)) {
		q.retries++
		s.result.of(q).Returned++
		s.clock.at(again, func(now time.Time) {
			q.tried = now
			s.leaveAt(q)
			s.place(now, q, 0)
		})
		return
	}
	s.end(q)
	s.result.of(q).Refused++
}

// send sends a granted request to its target.
func (s *sim) send(now time.Time, q *request, t *target, grant string) {
	r := &run{
		req:       q,
		grant:     grant,
		sentAt:    now,
		unread:    q.prompt,
		left:      q.output,
		lastEvent: now,
	}
	if !q.ended && t.start(now, r) {
		q.run = r
		return
	}
	kind := sched.ProgressWrongTarget
	if q.ended {
		kind = sched.ProgressNotRun
	}
	if t.down {
		kind = sched.ProgressUnreachable
	}
	s.report(now, t, r, kind, 0)
	if q.loads++; q.loads > maxLoadRetries {
		s.refuse(now, q)
		return
	}
	s.clock.at(now.Add(callDelay), func(now time.Time) {
		s.place(now, q, 0)
	})
}

// report sends a progress update to the target's manager.
func (s *sim) report(now time.Time, t *target, r *run, kind sched.ProgressKind, elapsed time.Duration) {
	state := t.state
	s.clock.at(now.Add(updateDelay), func(now time.Time) {
		state.RecordProgress(now, sched.ProgressUpdate{
			ID:       r.grant,
			Kind:     kind,
			Elapsed:  elapsed,
			MaxPause: r.maxPause,
		})
	})
}

// firstToken records the first token of an answer.
func (s *sim) firstToken(now time.Time, t *target, r *run) {
	r.lastEvent = now
	if r.cancelled {
		s.report(now, t, r, sched.ProgressCancelled, 0)
		return
	}
	r.req.first = now.Sub(r.req.arrived)
	s.report(now, t, r, sched.ProgressFirstToken, now.Sub(r.sentAt))
}

// complete records the end of an answer.
func (s *sim) complete(now time.Time, t *target, r *run) {
	s.report(now, t, r, sched.ProgressEnded, 0)
	if r.req.ended {
		return
	}
	s.end(r.req)
	c := s.result.of(r.req)
	c.first = append(c.first, r.req.first)
	if r.req.first <= r.req.class.Objective && r.maxPause <= r.req.class.MaxGap {
		c.OnTime++
	} else {
		c.Late++
	}
}

// broken records an answer that its target broke off.
func (s *sim) broken(now time.Time, t *target, r *run) {
	s.report(now, t, r, sched.ProgressUnreachable, 0)
	if r.req.ended || r.cancelled {
		return
	}
	s.end(r.req)
	s.result.of(r.req).Failed++
}

// ClassResult is what became of the requests of one class.
type ClassResult struct {
	Class Class
	// Asked counts requests; OnTime, Late, Refused, Failed and Left how they ended, the last
	// for callers who left without a first token; Returned those that came back once.
	Asked    int
	OnTime   int
	Late     int
	Refused  int
	Failed   int
	Left     int
	Returned int

	first []time.Duration
}

// FirstToken returns a percentile of the times to the first token, 0 to 100, or 0 if there are
// none.
func (c *ClassResult) FirstToken(percent int) time.Duration {
	if len(c.first) == 0 {
		return 0
	}
	list := slices.Sorted(slices.Values(c.first))
	return list[min(len(list)*percent/100, len(list)-1)]
}

// Result is the result of an experiment.
type Result struct {
	Classes []*ClassResult
	// Loads is the number of adapters fetched from the weight store.
	Loads int
}

func newResult(classes []Class) *Result {
	r := &Result{}
	for _, c := range classes {
		r.Classes = append(r.Classes, &ClassResult{
			Class: c,
		})
	}
	return r
}

// of returns the result of a request's class.
func (r *Result) of(q *request) *ClassResult {
	for _, c := range r.Classes {
		if c.Class.Name == q.class.Name {
			return c
		}
	}
	return nil
}

// Worth returns the worth earned as a fraction of what all answers on time are worth.
func (r *Result) Worth() float64 {
	earned, owed := 0.0, 0.0
	for _, c := range r.Classes {
		earned += c.Class.Worth*float64(c.OnTime) + c.Class.LateWorth*float64(c.Late)
		owed += c.Class.Worth * float64(c.Asked)
	}
	if owed == 0 {
		return 0
	}
	return earned / owed
}
