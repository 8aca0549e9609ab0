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
	replicas func(demand float64) int
	// byHash makes the first target of the order load an adapter, whatever it expects.
	byHash      bool
	targets     []*sched.Target
	idleAt      []time.Time
	demand      sched.Demand
	loadLimiter sched.LoadLimiter
	queue       events
	arrivals    int
	onTime      int
	refused     int
	loads       int
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
	expected := make(map[int]time.Duration)
	for _, round := range sched.PlacementRounds(sched.PlacementParams{
		NeedsAdapter: true,
		Demand:       demand,
		PromptTokens: replayPrompt,
		Objective:    replayObjective - now.Sub(started),
		Remaining:    replayDeadline - now.Sub(started),
		Attempt:      attempt,
	}) {
		choices := order
		if round.AllowFetch && !r.byHash {
			choices = sched.FetchOrder(order, func(i int) (time.Duration, bool) {
				e := expected[i]
				return e, e > 0
			})
		}
		for _, i := range choices[:min(round.MaxTargets, len(order))] {
			if e, known := expected[i]; known && (e == 0 || e > round.Limit) {
				continue
			}
			admitted, e := r.requestAdmission(now, started, i, sched.AdmissionRequest{
				ID:      id,
				Model:   "m",
				Adapter: adapter,
				Prompt:  replayPrompt,
				Output:  20,
				Limit:   round.Limit,
				Left:    replayDeadline,
				NoFetch: !round.AllowFetch,
				Turn:    true,
			}, hot)
			if admitted {
				return
			}
			expected[i] = e
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
// admitted or queued, and if not, the time to the first token that the target expects.
func (r *replay) requestAdmission(now, started time.Time, i int, a sched.AdmissionRequest, hot bool) (bool, time.Duration) {
	t := r.targets[i]
	d := t.Admit(now, a)
	if l, ok := d.(sched.Load); ok {
		if l.Unload != "" {
			t.RecordUnloaded(l.Unload)
		}
		t.RecordLoaded(now, l.Adapter, l.Version)
		r.loads++
		d = t.Admit(now, a)
	}
	if _, ok := d.(sched.Queued); ok {
		// The manager keeps the request queued until prompts have been read.
		r.schedule(now.Add(replayPoll), func(now time.Time) {
			if admitted, _ := r.requestAdmission(now, started, i, a, hot); !admitted {
				r.place(now, started, a.ID, a.Adapter, hot, 1)
			}
		})
		return true, 0
	}
	g, ok := d.(sched.Granted)
	if !ok {
		declined, _ := d.(sched.Declined)
		return false, declined.Expected
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
	return true, 0
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

// replayRareAdapters replays 20 s in which most adapters of a fleet that is 45% busy are asked
// for once or twice, so that each has to be loaded, and returns the replay with the number of
// loads.
func replayRareAdapters(seed uint64, byHash bool) (*replay, int) {
	const targets, adapters, seconds = 18, 3000, 20
	r := newReplay(targets, sched.Replicas)
	r.byHash = byHash
	rng := rand.New(rand.NewPCG(seed, 2))
	zipf := rand.NewZipf(rng, 1.2, 1, adapters-1)
	gap := float64(time.Second) / (0.45 * targets * replayRate * 1000 / replayPrompt)
	for i, at := 0, 0.0; at < seconds*float64(time.Second); i++ {
		at += rng.ExpFloat64() * gap
		adapter := fmt.Sprint("a", zipf.Uint64())
		r.schedule(start.Add(time.Duration(at)), func(now time.Time) {
			r.arrive(now, fmt.Sprint(i), adapter, adapter == "a0")
		})
	}
	r.run()
	return r, r.loads
}

// Guards against targets that queue prompts while half of the fleet is idle, because an adapter
// that no target holds is loaded by the first one of its order, however long its queue is.
func TestRareAdaptersAreLoadedWhereTheyAreServedSoon(t *testing.T) {
	for seed := range uint64(5) {
		before, loadsBefore := replayRareAdapters(seed, true)
		after, loads := replayRareAdapters(seed, false)
		t.Logf("seed %d: on time %d by hash, %d by estimate of %d; loads %d and %d", seed, before.onTime, after.onTime, after.arrivals, loadsBefore, loads)
		require.Greater(t, after.onTime, before.onTime)
		require.LessOrEqual(t, float64(loads), 1.05*float64(loadsBefore), "each load takes bandwidth of the store")
	}
}

func TestFetchOrder(t *testing.T) {
	for _, c := range []struct {
		name     string
		expected []time.Duration
		want     int
	}{
		{
			name:     "the first is nearly as fast",
			expected: []time.Duration{350, 300, 320, 310},
			want:     0,
		},
		{
			name:     "another is faster",
			expected: []time.Duration{500, 450, 300, 310},
			want:     2,
		},
		{
			name:     "one without an estimate may hold the adapter",
			expected: []time.Duration{500, 300, 0, 310},
			want:     0,
		},
		{
			name:     "targets beyond those that were asked",
			expected: []time.Duration{500, 500, 500, 500, 100},
			want:     0,
		},
		{
			name:     "no target",
			expected: nil,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			var targets []int
			for i := range c.expected {
				targets = append(targets, i)
			}
			got := sched.FetchOrder(targets, func(i int) (time.Duration, bool) {
				return c.expected[i] * time.Millisecond, c.expected[i] > 0
			})
			require.ElementsMatch(t, targets, got)
			if len(targets) > 0 {
				require.Equal(t, c.want, got[0])
				require.Equal(t, 0, targets[0], "the order itself is kept")
			}
		})
	}
}
