package sched_test

import (
	"maps"
	"slices"
	"time"

	"currantstile/sched"
)

// eachAlone is the rule by which each instance chooses by the responses that it got itself. Without slowdown it
// is the rule for targets that state three figures.
type eachAlone struct {
	r         *plainReplay
	slowdown  bool
	balancers []sched.Balancer
	// shared lets reports reach the other instances after some time, and two lets each request choose between
	// two targets.
	shared bool
	two    bool
	// board holds the latest reports that have reached all instances.
	board map[string]sharedReport
}

// newBalancers returns a balancer for each instance, whose choices repeat.
func newBalancers(r *plainReplay) []sched.Balancer {
	balancers := make([]sched.Balancer, r.instances)
	for i := range balancers {
		balancers[i].Random = r.rng.Float64
	}
	return balancers
}

// sharedReport is the report of a target, and when it reached all instances.
type sharedReport struct {
	at   time.Time
	load sched.LoadReport
}

func (e *eachAlone) place(now time.Time, c *plainCall, send func(time.Time, int), refuse func(time.Time, time.Duration)) {
	list := e.r.candidates(c.tried)
	for id, report := range e.board {
		e.balancers[c.instance].RecordLoad(report.at, id, report.load)
	}
	if e.two && len(list) > 2 {
		skip := e.r.rng.IntN(len(list))
		list = slices.Delete(list, skip, skip+1)
	}
	id, ok := e.balancers[c.instance].Choose(now, list)
	if !ok {
		refuse(now, 300*time.Millisecond)
		return
	}
	send(now, index(id))
}

func (e *eachAlone) end(now time.Time, c *plainCall, target int, kind sched.ProgressKind, load sched.LoadReport) {
	if !e.slowdown {
		load.Slowdown = 0
	}
	id := e.r.targets[target].id
	e.balancers[c.instance].RecordLoad(now, id, load)
	e.balancers[c.instance].Release(now, id, kind)
	if !e.shared {
		return
	}
	// A report reaches all other instances with a message that is sent anyway, within 100 ms.
	e.r.after(now, time.Duration(e.r.rng.Float64()*float64(100*time.Millisecond)), func(now time.Time) {
		if e.board == nil {
			e.board = make(map[string]sharedReport)
		}
		e.board[id] = sharedReport{
			at:   now,
			load: load,
		}
	})
}

func (e *eachAlone) kill(time.Time) {}

// granted is the rule by which one instance grants the slots.
type granted struct {
	r     *plainReplay
	pool  *sched.SlotPool
	calls map[string]func(now time.Time, d sched.SlotDecision)
	// generation is the number of instances that have granted so far.
	generation int
}

func newGranted(r *plainReplay) plainChooser {
	g := &granted{
		r: r,
	}
	g.kill(start)
	return g
}

// kill replaces the pool by an empty one: the deputy grants from then on. Requests that wait ask again.
func (g *granted) kill(now time.Time) {
	old := g.calls
	g.generation++
	g.calls = map[string]func(time.Time, sched.SlotDecision){}
	g.pool = &sched.SlotPool{
		Random: g.r.rng.Float64,
	}
	var targets []sched.SlotTarget
	for _, t := range g.r.targets {
		targets = append(targets, sched.SlotTarget{
			ID:    t.id,
			Slots: plainSlots,
		})
	}
	g.pool.SetTargets(now, targets)
	for _, id := range slices.Sorted(maps.Keys(old)) {
		g.r.after(now, g.r.hop(), func(now time.Time) {
			old[id](now, nil)
		})
	}
}

func (g *granted) dispatch(now time.Time) {
	for _, res := range g.pool.Dispatch(now) {
		do := g.calls[res.ID]
		delete(g.calls, res.ID)
		g.r.after(now, g.r.hop(), func(now time.Time) {
			do(now, res.Decision)
		})
	}
}

func (g *granted) place(now time.Time, c *plainCall, send func(time.Time, int), refuse func(time.Time, time.Duration)) {
	g.r.after(now, g.r.hop(), func(now time.Time) {
		g.calls[c.id] = func(now time.Time, d sched.SlotDecision) {
			switch d := d.(type) {
			case sched.SlotGranted:
				send(now, index(d.Target))
			case sched.SlotRefused:
				refuse(now, d.RetryAfter)
			default:
				g.place(now, c, send, refuse)
			}
		}
		var allowed []string
		for _, t := range g.r.candidates(c.tried) {
			allowed = append(allowed, t.ID)
		}
		g.pool.Request(now, sched.SlotRequest{
			ID:        c.id,
			Priority:  c.priority,
			Objective: max(g.r.objective-now.Sub(c.start), g.r.objective/2),
			Left:      g.r.deadline - now.Sub(c.start),
			Targets:   allowed,
		})
		g.dispatch(now)
	})
}

func (g *granted) end(now time.Time, c *plainCall, _ int, kind sched.ProgressKind, load sched.LoadReport) {
	generation := g.generation
	g.r.after(now, g.r.hop(), func(now time.Time) {
		if generation == g.generation {
			g.pool.Release(now, c.id, kind, &load)
			g.dispatch(now)
		}
	})
}
