package sched_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"currantstile/route"
	"currantstile/sched"
)

// event is a scheduled action of a replay.
type event struct {
	at time.Time
	do func(now time.Time)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// replay simulates arrivals of prompts at targets that read one prompt after the
// other, and counts the requests whose first token is within the objective.
type replay struct {
	// replicas returns the number of replicas assumed at a demand.
	replicas    func(demand float64) int
	targets     []*sched.Target
	idleAt      []time.Time
	demand      sched.Demand
	loadLimiter sched.LoadLimiter
	queue       events
	arrivals    int
	onTime      int
	refused     int
	// onTimeByHot splits onTime into requests for the hot adapter and others.
	onTimeByHot [2]int
}

const (
	// replayPrompt is the length of each prompt in tokens, and replayRate how many
	// of them a target reads per millisecond.
	replayPrompt    = 2400
	replayObjective = time.Second
	replayDeadline  = 5 * time.Second
	replayRate      = 19.2
	// replayPoll is how often a queued request is decided again.
	replayPoll = 25 * time.Millisecond
)

func newReplay(targets int, replicas func(float64) int) *replay {
	r := &replay{
		replicas: replicas,
	}
	r.loadLimiter.SetTargets(targets)
	for i := range targets {
		t := sched.NewTarget(fmt.Sprint("t", i), sched.Limits{
			Slots:        64,
			MemoryTokens: 113_000,
			AdapterSlots: 6,
		})
		t.Models = []string{"m"}
		t.LoadLimiter = &r.loadLimiter
		r.targets = append(r.targets, t)
		r.idleAt = append(r.idleAt, start)
	}
	return r
}

func (r *replay) schedule(at time.Time, do func(now time.Time)) {
	heap.Push(&r.queue, event{
		at: at,
		do: do,
	})
}

func (r *replay) run() {
	for len(r.queue) > 0 {
		e := heap.Pop(&r.queue).(event)
		e.do(e.at)
	}
}

// arrive adds a request for an adapter. Attempts are repeated until a target
// admits it or its retry deadline passes.
func (r *replay) arrive(now time.Time, id, adapter string, hot bool) {
	r.arrivals++
	r.demand.Add(now, adapter, replayPrompt)
	r.place(now, now, id, adapter, hot, 0)
}

func (r *replay) place(now, started time.Time, id, adapter string, hot bool, attempt int) {
	demand := r.demand.Rate(now, adapter)
	replicas := r.replicas(demand)
	index := make([]int, len(r.targets))
	for i := range index {
		index[i] = i
	}
	order := sched.OrderTargets(route.TopBy(adapter, index, func(i *int) string {
		return r.targets[*i].ID
	}, max(sched.MaxTargets, replicas), func(*int) bool {
		return true
	}), replicas, xxhash.Sum64String(id), attempt)
	for _, round := range sched.PlacementRounds(sched.PlacementParams{
		NeedsAdapter: true,
		Demand:       demand,
		PromptTokens: replayPrompt,
		Objective:    replayObjective - now.Sub(started),
		Remaining:    replayDeadline - now.Sub(started),
		Attempt:      attempt,
	}) {
		for _, i := range order[:min(round.MaxTargets, len(order))] {
			if r.requestAdmission(now, started, i, sched.AdmissionRequest{
				ID:      id,
				Model:   "m",
				Adapter: adapter,
				Prompt:  replayPrompt,
				Output:  20,
				Limit:   round.Limit,
				Left:    replayDeadline,
				NoFetch: !round.AllowFetch,
				Turn:    true,
			}, hot) {
				return
			}
		}
	}
	if now.After(sched.RetryDeadline(started, started.Add(replayDeadline))) {
		r.refused++
		return
	}
	r.schedule(now.Add(sched.AttemptInterval), func(now time.Time) {
		r.place(now, started, id, adapter, hot, attempt+1)
	})
}

// requestAdmission requests admission from one target, and simulates reading the
// prompt if the target admits the request. It reports whether the request was
// admitted or queued.
func (r *replay) requestAdmission(now, started time.Time, i int, a sched.AdmissionRequest, hot bool) bool {
	t := r.targets[i]
	d := t.Admit(now, a)
	if l, ok := d.(sched.Load); ok {
		if l.Unload != "" {
			t.RecordUnloaded(l.Unload)
		}
		t.RecordLoaded(now, l.Adapter, l.Version)
		d = t.Admit(now, a)
	}
	if _, ok := d.(sched.Queued); ok {
		// The manager keeps the request queued until prompts have been read.
		r.schedule(now.Add(replayPoll), func(now time.Time) {
			if !r.requestAdmission(now, started, i, a, hot) {
				r.place(now, started, a.ID, a.Adapter, hot, 1)
			}
		})
		return true
	}
	g, ok := d.(sched.Granted)
	if !ok {
		return false
	}
	begin := now.Add(g.After)
	if r.idleAt[i].After(begin) {
		begin = r.idleAt[i]
	}
	read := begin.Add(time.Duration(float64(replayPrompt) / replayRate * float64(time.Millisecond)))
	r.idleAt[i] = read
	if read.Sub(started) <= replayObjective {
		r.onTime++
		if hot {
			r.onTimeByHot[0]++
		} else {
			r.onTimeByHot[1]++
		}
	}
	for _, progress := range []struct {
		after time.Duration
		kind  sched.ProgressKind
	}{
		{
			kind: sched.ProgressFirstToken,
		},
		{
			after: 300 * time.Millisecond,
			kind:  sched.ProgressEnded,
		},
	} {
		r.schedule(read.Add(progress.after), func(at time.Time) {
			t.RecordProgress(at, sched.ProgressUpdate{
				ID:      a.ID,
				Kind:    progress.kind,
				Elapsed: read.Sub(now),
			})
		})
	}
	return true
}

// replayHotAdapter replays 8 s in which one adapter receives a third of the
// prompts of a fleet that is half busy.
func replayHotAdapter(replicas func(float64) int) *replay {
	const targets, seconds = 30, 8
	r := newReplay(targets, replicas)
	rng := rand.New(rand.NewPCG(1, 2))
	gap := float64(time.Second) / (0.5 * targets * replayRate * 1000 / replayPrompt)
	for i, at := 0, 0.0; at < seconds*float64(time.Second); i++ {
		at += rng.ExpFloat64() * gap
		adapter, hot := "hot", rng.IntN(3) == 0
		if !hot {
			adapter = fmt.Sprint("a", rng.IntN(90))
		}
		r.schedule(start.Add(time.Duration(at)), func(now time.Time) {
			r.arrive(now, fmt.Sprint(i), adapter, hot)
		})
	}
	r.run()
	return r
}

// An adapter that needs more than a handful of targets must be served by as many
// as its demand requires. The earlier rule of eight fixed targets served only a
// part of it.
func TestHotAdapterInLargeFleet(t *testing.T) {
	fixed := replayHotAdapter(func(float64) int {
		return 1
	})
	byDemand := replayHotAdapter(sched.Replicas)
	t.Logf("on time: eight fixed targets %d (hot %d, others %d, refused %d), replicas by demand %d (hot %d, others %d, refused %d) of %d",
		fixed.onTime, fixed.onTimeByHot[0], fixed.onTimeByHot[1], fixed.refused, byDemand.onTime, byDemand.onTimeByHot[0], byDemand.onTimeByHot[1], byDemand.refused, byDemand.arrivals)
	require.Greater(t, byDemand.onTimeByHot[0], fixed.onTimeByHot[0])
	require.Greater(t, float64(byDemand.onTime), 0.9*float64(byDemand.arrivals))
	require.Less(t, float64(fixed.onTime), 0.9*float64(fixed.arrivals))
}
