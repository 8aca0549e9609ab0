package sched_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/sched"
)

// Targets of the replays.
const (
	plainWork      = 30 * time.Millisecond
	plainObjective = 150 * time.Millisecond
	plainDeadline  = 2500 * time.Millisecond
	plainSlots     = 6
	plainQueue     = 24
	plainBurst     = 2.4
)

// plainLoad is the load of a deployment with plain services.
type plainLoad struct {
	instances int
	targets   int
	// rate is in requests a second.
	rate      float64
	work      time.Duration
	objective time.Duration
	deadline  time.Duration
	// gain is the least gain over the rule in force before with all disturbances at once.
	gain float64
}

var plainLoads = []plainLoad{
	{
		instances: 76,
		targets:   3,
		rate:      240,
		work:      plainWork,
		objective: plainObjective,
		deadline:  plainDeadline,
		gain:      2,
	},
	{
		instances: 133,
		targets:   4,
		rate:      125,
		work:      60 * time.Millisecond,
		objective: 300 * time.Millisecond,
		deadline:  1500 * time.Millisecond,
		gain:      1.5,
	},
}

// plainPhase is a part of the replay with a disturbance of its own.
type plainPhase struct {
	name string
	from time.Duration
	to   time.Duration
}

var plainPhases = []plainPhase{
	{
		name: "quiet",
		from: 0,
		to:   5 * time.Second,
	},
	{
		name: "burst",
		from: 5 * time.Second,
		to:   11 * time.Second,
	},
	{
		name: "slow",
		from: 14 * time.Second,
		to:   19 * time.Second,
	},
	{
		name: "errors",
		from: 20 * time.Second,
		to:   25 * time.Second,
	},
	{
		name: "all",
		from: 26 * time.Second,
		to:   32 * time.Second,
	},
}

// in reports whether a time of the replay is in the phase with the given name.
func in(name string, t time.Duration) bool {
	return slices.ContainsFunc(plainPhases, func(p plainPhase) bool {
		return p.name == name && t >= p.from && t < p.to
	})
}

// plainTarget is a target of the replay: it runs requests in its slots and queues others.
type plainTarget struct {
	id      string
	index   int
	running int
	queue   []func(now time.Time)
	slowTo  time.Time
}

// plainCall is a request of the replay.
type plainCall struct {
	id       string
	instance int
	priority int
	start    time.Time
	// work is the time of the work at a target that is not slow.
	work    time.Duration
	retried bool
	tried   []string
}

// plainChooser is a rule that is compared.
type plainChooser interface {
	// place calls send with a target, now or later, or refuse.
	place(now time.Time, c *plainCall, send func(now time.Time, target int), refuse func(now time.Time, after time.Duration))
	// end reports the end of a request.
	end(now time.Time, c *plainCall, target int, kind sched.ProgressKind, load sched.LoadReport)
	// kill ends the instance on which the rule depends.
	kill(now time.Time)
}

type plainCount struct {
	all     int
	onTime  int
	late    int
	refused int
	failed  int
}

type plainReplay struct {
	plainLoad
	// load draws the arrivals and spell the slow spells of targets, so that they are the same for each rule; rng
	// draws what the rule causes.
	load    *rand.Rand
	spell   *rand.Rand
	rng     *rand.Rand
	queue   events
	targets []*plainTarget
	chooser plainChooser
	lastID  int
	counts  map[string]*plainCount
}

func (r *plainReplay) after(now time.Time, d time.Duration, do func(now time.Time)) {
	heap.Push(&r.queue, event{
		at: now.Add(d),
		do: do,
	})
}

// hop returns the time of a message between two instances.
func (r *plainReplay) hop() time.Duration {
	return 500*time.Microsecond + time.Duration(r.rng.Float64()*float64(900*time.Microsecond))
}

func (r *plainReplay) count(c *plainCall) []*plainCount {
	var list []*plainCount
	for _, p := range plainPhases {
		if !in(p.name, c.start.Sub(start)) {
			continue
		}
		for _, name := range []string{p.name, fmt.Sprintf("%s/%d", p.name, c.priority)} {
			if r.counts[name] == nil {
				r.counts[name] = &plainCount{}
			}
			list = append(list, r.counts[name])
		}
	}
	return list
}

// slowdown returns the factor of a target's work at present: it has spells, and one target is slow for a while.
func (r *plainReplay) slowdown(now time.Time, t *plainTarget) float64 {
	f := 1.0
	if now.Before(t.slowTo) {
		f = 2.5
	}
	if t.index == 0 && (in("slow", now.Sub(start)) || in("all", now.Sub(start))) {
		f *= 2.5
	}
	return f
}

// spells lets a target be slow for about 600 ms at a time, on 15 % of the time.
func (r *plainReplay) spells(now time.Time, t *plainTarget) {
	r.after(now, time.Duration(r.spell.ExpFloat64()*float64(3400*time.Millisecond)), func(now time.Time) {
		length := time.Duration((0.5 + r.spell.Float64()) * float64(600*time.Millisecond))
		t.slowTo = now.Add(length)
		r.after(now, length, func(now time.Time) {
			r.spells(now, t)
		})
	})
}

// arrive schedules the arrivals of callers' requests.
func (r *plainReplay) arrive(now time.Time) {
	rate := r.rate
	if in("burst", now.Sub(start)) || in("all", now.Sub(start)) {
		rate *= plainBurst
	}
	r.after(now, time.Duration(r.load.ExpFloat64()/rate*float64(time.Second)), func(now time.Time) {
		r.lastID++
		c := &plainCall{
			id:       fmt.Sprintf("r%d", r.lastID),
			instance: r.load.IntN(r.instances),
			start:    now,
			work:     time.Duration((0.5 + r.load.Float64()) * float64(r.work)),
		}
		if r.load.Float64() < 0.4 {
			c.priority = 1
		}
		for _, n := range r.count(c) {
			n.all++
		}
		r.place(now, c)
		if now.Before(start.Add(32 * time.Second)) {
			r.arrive(now)
		}
	})
}

func (r *plainReplay) place(now time.Time, c *plainCall) {
	r.chooser.place(now, c, func(now time.Time, target int) {
		r.after(now, r.hop(), func(now time.Time) {
			r.receive(now, c, target)
		})
	}, func(now time.Time, after time.Duration) {
		left := r.deadline - now.Sub(c.start)
		if c.retried || after > left/3 {
			for _, n := range r.count(c) {
				n.refused++
			}
			return
		}
		c.retried = true
		r.after(now, after, func(now time.Time) {
			// Another attempt of the caller is another request.
			r.place(now, &plainCall{
				id:       c.id + "/2",
				instance: r.rng.IntN(r.instances),
				priority: c.priority,
				start:    c.start,
				work:     c.work,
				retried:  true,
			})
		})
	})
}

// receive lets a target take a request.
func (r *plainReplay) receive(now time.Time, c *plainCall, target int) {
	t := r.targets[target]
	if t.index == 1 && (in("errors", now.Sub(start)) || in("all", now.Sub(start))) {
		r.after(now, 2*time.Millisecond, func(now time.Time) {
			r.respond(now, c, t, sched.ProgressFailed)
		})
		return
	}
	run := func(now time.Time) {
		t.running++
		r.after(now, time.Duration(float64(c.work)*r.slowdown(now, t)), func(now time.Time) {
			t.running--
			r.respond(now, c, t, sched.ProgressEnded)
			if len(t.queue) > 0 {
				next := t.queue[0]
				t.queue = t.queue[1:]
				next(now)
			}
		})
	}
	switch {
	case t.running < plainSlots:
		run(now)
	case len(t.queue) < plainQueue:
		t.queue = append(t.queue, run)
	default:
		r.respond(now, c, t, sched.ProgressNotRun)
	}
}

// respond sends the response of a target, with its load.
func (r *plainReplay) respond(now time.Time, c *plainCall, t *plainTarget, kind sched.ProgressKind) {
	load := sched.LoadReport{
		Running:  t.running,
		Waiting:  len(t.queue),
		Slowdown: r.slowdown(now, t),
	}
	r.after(now, r.hop(), func(now time.Time) {
		r.chooser.end(now, c, t.index, kind, load)
		elapsed := now.Sub(c.start)
		if kind != sched.ProgressEnded && len(c.tried) < 1 && elapsed < r.deadline {
			c.tried = append(c.tried, t.id)
			r.place(now, c)
			return
		}
		for _, n := range r.count(c) {
			switch {
			case kind == sched.ProgressNotRun:
				n.refused++
			case kind == sched.ProgressFailed:
				n.failed++
			case elapsed > r.objective:
				n.late++
			default:
				n.onTime++
			}
		}
	})
}

func (r *plainReplay) candidates(tried []string) []sched.Candidate {
	var list []sched.Candidate
	for _, t := range r.targets {
		if !slices.Contains(tried, t.id) {
			list = append(list, sched.Candidate{
				ID:    t.id,
				Slots: plainSlots,
				Local: true,
			})
		}
	}
	return list
}

func index(id string) int {
	return int(id[1] - '0')
}

// runPlainReplay replays the arrival list under a rule.
func runPlainReplay(seed uint64, load plainLoad, choose func(r *plainReplay) plainChooser) *plainReplay {
	r := &plainReplay{
		plainLoad: load,
		load:      rand.New(rand.NewPCG(seed, 1)),
		spell:     rand.New(rand.NewPCG(seed, 2)),
		rng:       rand.New(rand.NewPCG(seed, 3)),
		counts:    map[string]*plainCount{},
	}
	for i := range load.targets {
		t := &plainTarget{
			id:    fmt.Sprintf("t%d", i),
			index: i,
		}
		r.targets = append(r.targets, t)
		if i >= 2 {
			// 33 to 50 % of the targets have spells.
			r.spells(start, t)
		}
	}
	r.chooser = choose(r)
	r.arrive(start)
	for _, at := range []time.Duration{8 * time.Second, 29 * time.Second} {
		r.after(start, at, r.chooser.kill)
	}
	for len(r.queue) > 0 {
		e := heap.Pop(&r.queue).(event)
		if e.at.After(start.Add(40 * time.Second)) {
			break
		}
		e.do(e.at)
	}
	return r
}

// Guards against a choice by stale reports: with more instances than slots, the one in force before sends a third
// of all requests to a target that is slow, and queues requests during a burst until all are late.
func TestPlainArrivalList(t *testing.T) {
	rules := []struct {
		name string
		new  func(r *plainReplay) plainChooser
	}{
		{
			name: "each alone, three figures",
			new: func(r *plainReplay) plainChooser {
				return &eachAlone{
					r:         r,
					balancers: newBalancers(r),
				}
			},
		},
		{
			name: "each alone, four figures",
			new: func(r *plainReplay) plainChooser {
				return &eachAlone{
					r:         r,
					balancers: newBalancers(r),
					slowdown:  true,
				}
			},
		},
		{
			name: "shared reports, least time",
			new: func(r *plainReplay) plainChooser {
				return &eachAlone{
					r:         r,
					balancers: newBalancers(r),
					slowdown:  true,
					shared:    true,
				}
			},
		},
		{
			name: "shared reports, least time of two",
			new: func(r *plainReplay) plainChooser {
				return &eachAlone{
					r:         r,
					balancers: newBalancers(r),
					slowdown:  true,
					shared:    true,
					two:       true,
				}
			},
		},
		{
			name: "slots granted",
			new:  newGranted,
		},
	}
	for _, load := range plainLoads {
		t.Run(fmt.Sprint(load.instances, " instances"), func(t *testing.T) {
			onTime := map[string]map[string]float64{}
			for _, rule := range rules {
				sum := map[string]*plainCount{}
				for seed := range uint64(2) {
					for name, n := range runPlainReplay(seed, load, rule.new).counts {
						if sum[name] == nil {
							sum[name] = &plainCount{}
						}
						sum[name].all += n.all
						sum[name].onTime += n.onTime
						sum[name].late += n.late
						sum[name].refused += n.refused
						sum[name].failed += n.failed
					}
				}
				onTime[rule.name] = map[string]float64{}
				for _, p := range plainPhases {
					for _, name := range []string{p.name, p.name + "/0", p.name + "/1"} {
						n := sum[name]
						all := float64(n.all)
						onTime[rule.name][name] = float64(n.onTime) / all
						t.Logf("%-30s %-9s on time %.3f late %.3f refused %.3f failed %.3f", rule.name, name,
							float64(n.onTime)/all, float64(n.late)/all, float64(n.refused)/all, float64(n.failed)/all)
					}
				}
			}
			for _, p := range plainPhases {
				for _, rule := range rules {
					require.GreaterOrEqual(t, onTime["slots granted"][p.name], onTime[rule.name][p.name]-0.01, "%s, %s", p.name, rule.name)
				}
				require.GreaterOrEqual(t, onTime["slots granted"][p.name+"/0"], onTime["slots granted"][p.name+"/1"]-0.01, p.name)
			}
			require.Greater(t, onTime["slots granted"]["burst"], 0.9)
			require.Greater(t, onTime["slots granted"]["all/1"], 0.25*onTime["slots granted"]["all"], "the less urgent are not refused altogether")
			require.Greater(t, onTime["slots granted"]["all"], load.gain*onTime["each alone, three figures"]["all"])
		})
	}
}
