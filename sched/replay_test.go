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
	// homes is how many homes are assumed at a demand.
	homes   func(demand float64) int
	targets []*sched.Target
	free    []time.Time
	demand  sched.Demand
	loads   sched.Loads
	queue   events
	asked   int
	prompt  int
	refused int
	byHot   [2]int
}

const (
	replayPrompt    = 2400
	replayObjective = time.Second
	replayTime      = 5 * time.Second
	replayRate      = 19.2
	replayPoll      = 25 * time.Millisecond
)

func newReplay(targets int, homes func(float64) int) *replay {
	r := &replay{
		homes: homes,
	}
	r.loads.SetTargets(targets)
	for i := range targets {
		t := sched.NewTarget(fmt.Sprint("t", i), sched.Limits{
			Slots:        64,
			MemoryTokens: 113_000,
			AdapterSlots: 6,
		})
		t.Models = []string{"m"}
		t.Loads = &r.loads
		r.targets = append(r.targets, t)
		r.free = append(r.free, start)
	}
	return r
}

func (r *replay) at(at time.Time, do func(now time.Time)) {
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
	r.asked++
	r.demand.Add(now, adapter, replayPrompt)
	r.ask(now, now, id, adapter, hot, 0)
}

func (r *replay) ask(now, begun time.Time, id, adapter string, hot bool, turn int) {
	demand := r.demand.Rate(now, adapter)
	homes := r.homes(demand)
	index := make([]int, len(r.targets))
	for i := range index {
		index[i] = i
	}
	order := sched.Order(route.TopBy(adapter, index, func(i *int) string {
		return r.targets[*i].ID
	}, max(sched.MaxChoices, homes), func(*int) bool {
		return true
	}), homes, xxhash.Sum64String(id), turn)
	for _, round := range sched.Rounds(sched.Wish{
		Adapter:   true,
		Demand:    demand,
		Prompt:    replayPrompt,
		Objective: replayObjective - now.Sub(begun),
		Left:      replayTime - now.Sub(begun),
		Turn:      turn,
	}) {
		for _, i := range order[:min(round.Choices, len(order))] {
			if r.grant(now, begun, i, sched.Ask{
				ID:      id,
				Model:   "m",
				Adapter: adapter,
				Prompt:  replayPrompt,
				Output:  20,
				Limit:   round.Limit,
				Left:    replayTime,
				NoFetch: !round.Fetch,
				Turn:    true,
			}, hot) {
				return
			}
		}
	}
	if now.After(sched.Patience(begun, begun.Add(replayTime))) {
		r.refused++
		return
	}
	r.at(now.Add(sched.AskPause), func(now time.Time) {
		r.ask(now, begun, id, adapter, hot, turn+1)
	})
}

// grant asks one target, and has it read the prompt if it takes the request.
func (r *replay) grant(now, begun time.Time, i int, a sched.Ask, hot bool) bool {
	t := r.targets[i]
	d := t.Ask(now, a)
	if l, ok := d.(sched.Load); ok {
		if l.Unload != "" {
			t.Unloaded(l.Unload)
		}
		t.Loaded(now, l.Adapter, l.Version)
		d = t.Ask(now, a)
	}
	if _, ok := d.(sched.Wait); ok {
		// The manager keeps the ask until prompts have been read.
		r.at(now.Add(replayPoll), func(now time.Time) {
			if !r.grant(now, begun, i, a, hot) {
				r.ask(now, begun, a.ID, a.Adapter, hot, 1)
			}
		})
		return true
	}
	g, ok := d.(sched.Granted)
	if !ok {
		return false
	}
	begin := now.Add(g.After)
	if r.free[i].After(begin) {
		begin = r.free[i]
	}
	read := begin.Add(time.Duration(float64(replayPrompt) / replayRate * float64(time.Millisecond)))
	r.free[i] = read
	if read.Sub(begun) <= replayObjective {
		r.prompt++
		if hot {
			r.byHot[0]++
		} else {
			r.byHot[1]++
		}
	}
	for _, note := range []struct {
		after time.Duration
		kind  sched.NoteKind
	}{
		{
			kind: sched.NoteFirst,
		},
		{
			after: 300 * time.Millisecond,
			kind:  sched.NoteEnd,
		},
	} {
		r.at(read.Add(note.after), func(at time.Time) {
			t.Note(at, sched.Note{
				ID:      a.ID,
				Kind:    note.kind,
				Elapsed: read.Sub(now),
			})
		})
	}
	return true
}

// playHotAdapter replays 8 s in which one adapter has a third of the prompts of a
// fleet that is half busy.
func playHotAdapter(homes func(float64) int) *replay {
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
		r.at(start.Add(time.Duration(at)), func(now time.Time) {
			r.arrive(now, fmt.Sprint(i), adapter, hot)
		})
	}
	r.run()
	return r
}

// An adapter that alone needs more than a handful of targets is served by as many
// as it needs. Eight fixed choices, as before, serve a part of it.
func TestHotAdapterOfALargeFleet(t *testing.T) {
	fixed := playHotAdapter(func(float64) int {
		return 1
	})
	spread := playHotAdapter(sched.Homes)
	t.Logf("in time: eight fixed choices %d (hot %d, others %d, refused %d), homes by demand %d (hot %d, others %d, refused %d) of %d",
		fixed.prompt, fixed.byHot[0], fixed.byHot[1], fixed.refused, spread.prompt, spread.byHot[0], spread.byHot[1], spread.refused, spread.asked)
	require.Greater(t, spread.byHot[0], fixed.byHot[0])
	require.Greater(t, float64(spread.prompt), 0.9*float64(spread.asked))
	require.Less(t, float64(fixed.prompt), 0.9*float64(fixed.asked))
}
