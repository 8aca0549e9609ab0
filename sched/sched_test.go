package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"currantstile/sched"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func target(slots int) *sched.Target {
	t := sched.NewTarget("t", sched.Limits{
		Slots:        64,
		MemoryTokens: 100_000,
		AdapterSlots: slots,
		ColdRate:     8,
	})
	t.Models = []string{"m"}
	return t
}

func ask(id, adapter string) sched.Ask {
	return sched.Ask{
		ID:      id,
		Model:   "m",
		Adapter: adapter,
		Prompt:  1900,
		Output:  100,
		Limit:   time.Second,
		Left:    5 * time.Second,
		Turn:    true,
	}
}

// hold makes a target hold an adapter.
func hold(t *testing.T, s *sched.Target, now time.Time, adapter string) {
	d := s.Ask(now, ask("load-"+adapter, adapter))
	load, ok := d.(sched.Load)
	require.True(t, ok, "%T", d)
	if load.Unload != "" {
		s.Unloaded(load.Unload)
	}
	s.Loaded(now, adapter, 1)
}

func TestAdapterIsLoadedOnceForAllThatWait(t *testing.T) {
	s := target(2)
	a := ask("1", "m/a")
	a.Turn = false
	require.IsType(t, sched.Fetch{}, s.Ask(start, a))
	require.IsType(t, sched.Load{}, s.Ask(start, ask("1", "m/a")))
	require.IsType(t, sched.Busy{}, s.Ask(start, ask("2", "m/a")))
	s.Loaded(start, "m/a", 1)
	d, ok := s.Ask(start, ask("1", "m/a")).(sched.Granted)
	require.True(t, ok)
	require.Greater(t, d.After, 200*time.Millisecond, "until the adapter is there")
}

func TestAdapterInUseIsNotEvicted(t *testing.T) {
	s := target(1)
	hold(t, s, start, "m/a")
	now := start.Add(time.Second)
	require.IsType(t, sched.Granted{}, s.Ask(now, ask("1", "m/a")))
	require.Equal(t, sched.ReasonAdapters, s.Ask(now, ask("2", "m/b")).(sched.Declined).Reason)
	s.Note(now, sched.Note{ID: "1", Kind: sched.NoteEnd})
	require.Equal(t, "m/a", s.Ask(now, ask("2", "m/b")).(sched.Load).Unload)
}

// A replacement by a newer version that is not carried out leaves the old version
// where it is: it takes up room all the same.
func TestFailedReplacementKeepsItsRoom(t *testing.T) {
	s := target(1)
	hold(t, s, start, "m/a")
	now := start.Add(time.Second)
	newer := ask("1", "m/a")
	newer.Version = 4
	require.IsType(t, sched.Load{}, s.Ask(now, newer))
	s.LoadFailed("m/a")
	require.Equal(t, "m/a", s.Ask(now, ask("2", "m/b")).(sched.Load).Unload)
}

func TestNothingIsOrderedWhileUnsure(t *testing.T) {
	s := target(2)
	hold(t, s, start, "m/a")
	s.Unsure = true
	now := start.Add(time.Second)
	require.IsType(t, sched.Granted{}, s.Ask(now, ask("1", "m/a")))
	require.Equal(t, sched.ReasonNoOrders, s.Ask(now, ask("2", "m/b")).(sched.Declined).Reason)
}

// A report may be older than the last order.
func TestLateReportDoesNotForgetAnAdapter(t *testing.T) {
	s := target(2)
	hold(t, s, start, "m/a")
	s.Reported(start.Add(100*time.Millisecond), map[string]uint64{})
	require.True(t, s.Room(""))
	require.IsType(t, sched.Granted{}, s.Ask(start.Add(time.Second), ask("1", "m/a")))
}

func TestOutdatedAdapter(t *testing.T) {
	s := target(2)
	hold(t, s, start, "m/a")
	now := start.Add(time.Second)
	require.IsType(t, sched.Granted{}, s.Ask(now, ask("1", "m/a")))
	newer := ask("2", "m/a")
	newer.Version = 4
	require.Equal(t, sched.ReasonOutdated, s.Ask(now, newer).(sched.Declined).Reason)
	s.Note(now, sched.Note{ID: "1", Kind: sched.NoteEnd})
	require.Equal(t, uint64(4), s.Ask(now, newer).(sched.Load).Version)
}

func TestBaseModelIsNeeded(t *testing.T) {
	s := target(2)
	s.Models = nil
	require.Equal(t, sched.ReasonModel, s.Ask(start, ask("1", "m/a")).(sched.Declined).Reason)
}

// Prompts beyond what is read in a good part of a pause wait, the most urgent
// first and then the first come.
func TestPromptsWaitForOthersToBeRead(t *testing.T) {
	s := target(4)
	hold(t, s, start, "m/a")
	now := start.Add(time.Second)
	for i := range 3 {
		require.IsType(t, sched.Granted{}, s.Ask(now, ask(fmt.Sprint("run", i), "m/a")))
	}
	bulk, draft := ask("bulk", "m/a"), ask("draft", "m/a")
	bulk.Priority, draft.Priority = 2, 0
	require.IsType(t, sched.Wait{}, s.Ask(now, bulk))
	require.IsType(t, sched.Wait{}, s.Ask(now, draft))
	s.Note(now, sched.Note{ID: "run0", Kind: sched.NoteFirst, Elapsed: 100 * time.Millisecond})
	require.IsType(t, sched.Wait{}, s.Ask(now, bulk), "the draft comes first")
	require.IsType(t, sched.Granted{}, s.Ask(now, draft))
	require.IsType(t, sched.Wait{}, s.Ask(now, bulk))
	s.Note(now, sched.Note{ID: "run1", Kind: sched.NoteFirst, Elapsed: 100 * time.Millisecond})
	require.IsType(t, sched.Granted{}, s.Ask(now, bulk))
}

// A waiting ask whose asker has gone holds nobody up for long.
func TestAbandonedWaiterIsForgotten(t *testing.T) {
	s := target(4)
	hold(t, s, start, "m/a")
	now := start.Add(time.Second)
	for i := range 3 {
		s.Ask(now, ask(fmt.Sprint("run", i), "m/a"))
	}
	urgent := ask("gone", "m/a")
	require.IsType(t, sched.Wait{}, s.Ask(now, urgent))
	for i := range 3 {
		s.Note(now, sched.Note{ID: fmt.Sprint("run", i), Kind: sched.NoteFirst})
	}
	late := ask("late", "m/a")
	late.Priority = 3
	require.IsType(t, sched.Wait{}, s.Ask(now, late))
	require.IsType(t, sched.Granted{}, s.Ask(now.Add(time.Second), late))
}

// An ask that has waited and is declined at last holds up nobody who came after it.
func TestDeclinedWaiterIsForgotten(t *testing.T) {
	s := target(4)
	hold(t, s, start, "m/a")
	now := start.Add(time.Second)
	for i := range 3 {
		s.Ask(now, ask(fmt.Sprint("run", i), "m/a"))
	}
	impatient := ask("impatient", "m/a")
	require.IsType(t, sched.Wait{}, s.Ask(now, impatient))
	impatient.Limit = time.Millisecond
	require.IsType(t, sched.Declined{}, s.Ask(now, impatient))
	for i := range 3 {
		s.Note(now, sched.Note{ID: fmt.Sprint("run", i), Kind: sched.NoteFirst})
	}
	require.IsType(t, sched.Granted{}, s.Ask(now.Add(100*time.Millisecond), ask("next", "m/a")))
}

func TestColdTargetGetsItsRateOnly(t *testing.T) {
	s := target(4)
	hold(t, s, start, "m/a")
	begin := start.Add(time.Second)
	s.SetCold(begin.Add(10 * time.Second))
	granted := 0
	for ms := 0; ms < 1000; ms += 10 {
		now := begin.Add(time.Duration(ms) * time.Millisecond)
		a := ask(fmt.Sprint(ms), "m/a")
		if _, ok := s.Ask(now, a).(sched.Granted); ok {
			granted++
			s.Note(now, sched.Note{ID: a.ID, Kind: sched.NoteEnd})
		}
	}
	require.LessOrEqual(t, granted, 8+1)
	require.Greater(t, granted, 4)
}

func TestUnreachableTargetIsLeftAlone(t *testing.T) {
	s := target(4)
	hold(t, s, start, "m/a")
	now := start.Add(time.Second)
	s.Ask(now, ask("1", "m/a"))
	s.Note(now, sched.Note{ID: "1", Kind: sched.NoteUnreachable})
	require.Equal(t, sched.ReasonSuspected, s.Ask(now, ask("2", "m/a")).(sched.Declined).Reason)
	require.IsType(t, sched.Granted{}, s.Ask(now.Add(time.Second), ask("2", "m/a")))
}

// A slow target is found out from its first tokens, and tried again later.
func TestSlowTargetDeclines(t *testing.T) {
	s := target(4)
	hold(t, s, start, "m/a")
	now := start.Add(time.Second)
	for i := range 12 {
		a := ask(fmt.Sprint(i), "m/a")
		a.Limit = 20 * time.Second
		d, ok := s.Ask(now, a).(sched.Granted)
		require.True(t, ok)
		now = now.Add(5 * d.Expected)
		s.Note(now, sched.Note{ID: a.ID, Kind: sched.NoteFirst, Elapsed: 5 * d.Expected})
		s.Note(now, sched.Note{ID: a.ID, Kind: sched.NoteEnd})
		if i > 8 {
			break
		}
	}
	quick := ask("quick", "m/a")
	quick.Limit = 300 * time.Millisecond
	require.Equal(t, sched.ReasonSlow, s.Ask(now, quick).(sched.Declined).Reason)
	require.IsType(t, sched.Granted{}, s.Ask(now.Add(time.Minute), quick))
}

// Whatever asks, orders, reports and notes come in whatever order: a worker is
// never ordered to hold more adapters than it has room for.
func TestRoomProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 3
		s := target(slots)
		worker := map[string]uint64{}
		now := start
		var running []string
		n := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				n++
				a := ask(fmt.Sprint(n), fmt.Sprintf("m/a%d", rapid.IntRange(0, 5).Draw(t, "adapter")))
				a.Version = uint64(rapid.IntRange(0, 2).Draw(t, "version"))
				switch d := s.Ask(now, a).(type) {
				case sched.Granted:
					running = append(running, a.ID)
				case sched.Load:
					carryOut(t, s, now, d, worker)
				}
			case 1:
				if len(running) > 0 {
					kind := rapid.SampledFrom([]sched.NoteKind{sched.NoteEnd, sched.NoteMisdirected, sched.NoteNotRun, sched.NoteUnreachable}).Draw(t, "kind")
					s.Note(now, sched.Note{ID: running[0], Kind: kind})
					running = running[1:]
				}
			case 2:
				held := map[string]uint64{}
				for a, v := range worker {
					held[a] = v
				}
				s.Reported(now, held)
			case 3:
				now = now.Add(2 * time.Second)
			}
			if len(worker) > slots {
				t.Fatalf("worker holds %d adapters", len(worker))
			}
		}
	})
}

// carryOut carries a load out, or not.
func carryOut(t *rapid.T, s *sched.Target, now time.Time, d sched.Load, worker map[string]uint64) {
	if !s.Room(d.Unload) || rapid.Bool().Draw(t, "refused") {
		s.Kept(d.Unload)
		s.LoadFailed(d.Adapter)
		return
	}
	if d.Unload != "" {
		delete(worker, d.Unload)
		s.Unloaded(d.Unload)
	}
	if rapid.Bool().Draw(t, "load answer lost") {
		if rapid.Bool().Draw(t, "carried out") {
			worker[d.Adapter] = d.Version
		}
		s.Doubt(now, d.Adapter)
		return
	}
	worker[d.Adapter] = d.Version
	s.Loaded(now, d.Adapter, d.Version)
}

func TestLoadsTakeTurns(t *testing.T) {
	var l sched.Loads
	l.SetTargets(2)
	first := l.Enter()
	second := l.Enter()
	third := l.Enter()
	<-first
	require.Greater(t, l.Wait(start), 400*time.Millisecond)
	l.Leave(second)
	l.Leave(first)
	select {
	case <-third:
	default:
		t.Fatal("the next one has its turn")
	}
	l.Leave(third)
	require.Zero(t, l.Wait(start))
	before := l.Time(start)
	l.Took(start, 2*time.Second)
	require.Greater(t, l.Time(start), before)
	require.Less(t, l.Time(start.Add(time.Hour)), before+10*time.Millisecond)
}

// The repeats of all instances together stay below the budget.
func TestBudget(t *testing.T) {
	const instances = 7
	total := 0
	for range instances {
		b := &sched.Budget{
			Ratio:  0.2,
			Window: 10 * time.Second,
			Slack:  54,
		}
		for i := range 100 {
			now := start.Add(time.Duration(i) * 50 * time.Millisecond)
			b.Request(now, "s")
			if b.Repeat(now, "s", instances) {
				total++
			}
		}
		require.True(t, b.Repeat(start.Add(time.Minute), "s", instances), "the window has passed")
	}
	require.LessOrEqual(t, float64(total), 0.2*100*instances+54)
	require.Greater(t, total, 54)
}

// Processes that are started again and again get no new allowance each time.
func TestBudgetOfARestartedProcess(t *testing.T) {
	total := 0
	for i := range 10 {
		begun := start.Add(time.Duration(i) * time.Second)
		b := &sched.Budget{
			Ratio:  0.2,
			Window: 10 * time.Second,
			Slack:  70,
			Since:  begun,
		}
		for range 100 {
			if b.Repeat(begun.Add(time.Second), "s", 7) {
				total++
			}
		}
	}
	require.LessOrEqual(t, total, 10)
}

func TestBalancer(t *testing.T) {
	choices := []sched.Choice{
		{
			ID:    "a",
			Slots: 6,
			Near:  true,
		},
		{
			ID:    "b",
			Slots: 6,
			Near:  true,
		},
	}
	t.Run("spreads", func(t *testing.T) {
		var b sched.Balancer
		count := map[string]int{}
		for range 10 {
			id, ok := b.Choose(start, choices)
			require.True(t, ok)
			count[id]++
		}
		require.Equal(t, 5, count["a"])
	})
	t.Run("leaves a failing target alone", func(t *testing.T) {
		var b sched.Balancer
		for range 10 {
			b.Done(start, "a", sched.NoteFailed)
		}
		for range 4 {
			id, _ := b.Choose(start, choices)
			require.Equal(t, "b", id)
		}
	})
	t.Run("uses a shunned target where there is no other", func(t *testing.T) {
		var b sched.Balancer
		b.Done(start, "a", sched.NoteUnreachable)
		id, ok := b.Choose(start, choices[:1])
		require.True(t, ok)
		require.Equal(t, "a", id)
	})
	t.Run("gives a cold target its rate only", func(t *testing.T) {
		var b sched.Balancer
		cold := choices[:1:1]
		cold[0].Cold, cold[0].ColdRate = true, 2
		n := 0
		for i := range 100 {
			if _, ok := b.Choose(start.Add(time.Duration(i)*10*time.Millisecond), cold); ok {
				n++
			}
		}
		require.LessOrEqual(t, n, 3)
	})
}

// fetchers is how many targets may fetch an adapter.
func fetchers(w sched.Wish) int {
	most := 0
	for _, r := range sched.Rounds(w) {
		if r.Fetch {
			most = max(most, r.Choices)
		}
	}
	return most
}

// Each fetch of a rare adapter takes a turn from all others, so that one target
// fetches it; a popular one is brought to several.
func TestFewTargetsFetchARareAdapter(t *testing.T) {
	w := sched.Wish{
		Adapter:   true,
		Demand:    200,
		Objective: time.Second,
		Left:      5 * time.Second,
	}
	require.Equal(t, 1, fetchers(w))
	w.Turn = 11
	require.Equal(t, 1, fetchers(w))
	w.Turn = 12
	require.Equal(t, 2, fetchers(w), "the first one may be gone")
	w.Turn, w.Demand = 0, 10_000
	require.Equal(t, 4, fetchers(w))
	limit := time.Duration(0)
	for _, r := range sched.Rounds(w) {
		require.GreaterOrEqual(t, r.Limit, limit, "later rounds are content with less")
		limit = r.Limit
		require.Less(t, r.Limit, w.Left)
	}
	begun := start
	require.True(t, sched.Patience(begun, begun.Add(5*time.Second)).Before(begun.Add(5*time.Second)))
}
