package replay

import (
	"fmt"
	"math/rand/v2"
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
	entries  []*entry
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
		result: newResult(p),
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
			org:     fmt.Sprintf("o%d", a.org),
			adapter: a.adapter,
			prompt:  a.prompt,
			output:  a.output,
			arrived: simStart.Add(a.at),
			tried:   simStart.Add(a.at),
		}
		s.clock.at(q.arrived, func(now time.Time) {
			s.result.asked(q)
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
		s.entries = append(s.entries, newEntry(s.policy))
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
		case Unreachable:
			for _, i := range rng.Perm(len(s.targets))[:d.Count] {
				s.during(d.At, d.For, s.targets[i].cutOff, func(time.Time) {
					s.targets[i].cut = false
				})
			}
		case FrozenManager:
			s.clock.at(simStart.Add(d.At), func(now time.Time) {
				s.managers[d.Manager].frozenUntil = now.Add(d.For)
			})
		case DeafEntries:
			for _, e := range s.entries[:d.Count] {
				s.during(d.At, d.For, func(time.Time) {
					e.deaf = true
				}, func(time.Time) {
					e.deaf = false
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
		s.end(q, false)
		s.result.of(q).Left++
		if q.run != nil {
			q.run.cancelled = true
		}
	})
}

// end ends a request, whose answer was on time or not.
func (s *sim) end(q *request, onTime bool) {
	q.ended = true
	s.result.ended(q, onTime)
}

// refuse refuses a request that has not run; its caller comes back or gives it up.
func (s *sim) refuse(now time.Time, q *request, retryAfter time.Duration) {
	if q.ended {
		return
	}
	wait := min(retryAfter, time.Duration(retryShare*float64(q.arrived.Add(q.class.Deadline).Sub(now))))
	if again := now.Add(wait); q.retries < callerRetries && again.Before(q.arrived.Add(q.class.Deadline)) {
		q.retries++
		s.result.returned(q, again)
		s.clock.at(again, func(now time.Time) {
			q.tried = now
			s.leaveAt(q)
			s.place(now, q, 0)
		})
		return
	}
	s.end(q, false)
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
	if t.cut && !q.ended {
		s.dial(now, q, t, r)
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
		s.refuse(now, q, retryDelay)
		return
	}
	s.clock.at(now.Add(callDelay), func(now time.Time) {
		s.place(now, q, 0)
	})
}

// dial tries to connect to a target that cannot be reached.
func (s *sim) dial(now time.Time, q *request, t *target, r *run) {
	s.clock.at(now.Add(dialTimeout), func(now time.Time) {
		s.report(now, t, r, sched.ProgressUnreachable, 0)
		if q.dials++; q.dials > maxDials {
			s.refuse(now, q, retryDelay)
			return
		}
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
		s.result.VainPrompts++
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
	onTime := r.req.first <= r.req.class.Objective && r.maxPause <= r.req.class.MaxGap
	s.end(r.req, onTime)
	c := s.result.of(r.req)
	c.first = append(c.first, r.req.first)
	if onTime {
		c.OnTime++
	} else {
		c.Late++
		if r.req.first <= r.req.class.Objective {
			c.Paused++
		}
		s.result.LatePrompts++
	}
}

// broken records an answer that its target broke off.
func (s *sim) broken(now time.Time, t *target, r *run) {
	s.report(now, t, r, sched.ProgressUnreachable, 0)
	if r.req.ended || r.cancelled {
		return
	}
	r.cancelled = true
	s.end(r.req, false)
	s.result.of(r.req).Failed++
}
