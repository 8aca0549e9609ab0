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

// event is something that happens in a replayed load.
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

// replay plays arrivals of prompts against targets that read one prompt after the
// other, and counts what begins within the objective.
type replay struct {
	// replicas is how many homes are assumed at a demand.
	replicas    func(demand float64) int
	targets     []*sched.Target
	idleAt      []time.Time
	demand      sched.Demand
	loadLimiter sched.LoadLimiter
	queue       events
	arrivals    int
	onTime      int
	refused     int
	onTimeByHot [2]int
}

const (
	replayPrompt    = 2400
	replayObjective = time.Second
	replayDeadline  = 5 * time.Second
	replayRate      = 19.2
	replayPoll      = 25 * time.Millisecond
)

func newReplay(targets int, homes func(float64) int) *replay {
	r := &replay{
		replicas: homes,
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

// arrive is a request for an adapter, asked for again while no target takes it.
func (r *replay) arrive(now time.Time, id, adapter string, hot bool) {
	r.arrivals++
	r.demand.Add(now, adapter, replayPrompt)
	r.place(now, now, id, adapter, hot, 0)
}

func (r *replay) place(now, begun time.Time, id, adapter string, hot bool, turn int) {
	demand := r.demand.Rate(now, adapter)
	homes := r.replicas(demand)
	index := make([]int, len(r.targets))
	for i := range index {
		index[i] = i
	}
	order := sched.OrderTargets(route.TopBy(adapter, index, func(i *int) string {
		return r.targets[*i].ID
	}, max(sched.MaxTargets, homes), func(*int) bool {
		return true
	}), homes, xxhash.Sum64String(id), turn)
	for _, round := range sched.PlacementRounds(sched.PlacementParams{
		NeedsAdapter: true,
		Demand:       demand,
		PromptTokens: replayPrompt,
		Objective:    replayObjective - now.Sub(begun),
		Remaining:    replayDeadline - now.Sub(begun),
		Attempt:      turn,
	}) {
		for _, i := range order[:min(round.MaxTargets, len(order))] {
			if r.requestAdmission(now, begun, i, sched.AdmissionRequest{
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
	if now.After(sched.RetryDeadline(begun, begun.Add(replayDeadline))) {
		r.refused++
		return
	}
	r.schedule(now.Add(sched.AttemptInterval), func(now time.Time) {
		r.place(now, begun, id, adapter, hot, turn+1)
	})
}

// requestAdmission asks one target, and has it read the prompt if it takes the request.
func (r *replay) requestAdmission(now, begun time.Time, i int, a sched.AdmissionRequest, hot bool) bool {
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
		// The manager keeps the ask until prompts have been read.
		r.schedule(now.Add(replayPoll), func(now time.Time) {
			if !r.requestAdmission(now, begun, i, a, hot) {
				r.place(now, begun, a.ID, a.Adapter, hot, 1)
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
	if read.Sub(begun) <= replayObjective {
		r.onTime++
		if hot {
			r.onTimeByHot[0]++
		} else {
			r.onTimeByHot[1]++
		}
	}
	for _, note := range []struct {
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
		r.schedule(read.Add(note.after), func(at time.Time) {
			t.RecordProgress(at, sched.ProgressUpdate{
				ID:      a.ID,
				Kind:    note.kind,
				Elapsed: read.Sub(now),
			})
		})
	}
	return true
}

// replayHotAdapter replays 8 s in which one adapter has a third of the prompts of a
// fleet that is half busy.
func replayHotAdapter(homes func(float64) int) *replay {
	const targets, seconds = 30, 8
	r := newReplay(targets, homes)
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

// An adapter that alone needs more than a handful of targets is served by as many
// as it needs. Eight fixed choices, as before, serve a part of it.
func TestHotAdapterInLargeFleet(t *testing.T) {
	fixed := replayHotAdapter(func(float64) int {
		return 1
	})
	spread := replayHotAdapter(sched.Replicas)
	t.Logf("in time: eight fixed choices %d (hot %d, others %d, refused %d), homes by demand %d (hot %d, others %d, refused %d) of %d",
		fixed.onTime, fixed.onTimeByHot[0], fixed.onTimeByHot[1], fixed.refused, spread.onTime, spread.onTimeByHot[0], spread.onTimeByHot[1], spread.refused, spread.arrivals)
	require.Greater(t, spread.onTimeByHot[0], fixed.onTimeByHot[0])
	require.Greater(t, float64(spread.onTime), 0.9*float64(spread.arrivals))
	require.Less(t, float64(fixed.onTime), 0.9*float64(fixed.arrivals))
}
