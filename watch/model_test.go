package watch

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/store"
)

// Sizes of a world. Few keys and instances meet more often in each state than many.
const (
	worldInstances = 3
	worldSteps     = 120
	// worldSeeds is the number of worlds that are played.
	worldSeeds = 3000
	// meetingRounds is the number of requests within which an instance that reaches one that is
	// up to date becomes so itself.
	meetingRounds = 2
)

// worldKeyNames are the keys of a world.
var worldKeyNames = []string{"a/0", "a/1", "a/2"}

// world is a store with its history, and instances that follow it. Its instances read, send each
// other updates and ask for them in any order; calls are refused and messages lost, doubled and
// late.
type world struct {
	t   *testing.T
	rng *rand.Rand
	now time.Time
	// history is all that was written, by revision from 1, states are the entries at each revision
	// from 0, and forgotten is the revision up to which the store no longer returns changes.
	history   store.Entries
	states    []map[string]store.Entry
	forgotten store.Revision
	instances []*worldInstance
	inFlight  []worldMessage
	answers   []worldAnswer
}

// worldInstance is an instance of a world.
type worldInstance struct {
	view *view
	// values are what was applied, and highest its revisions, since the process started.
	values  map[string]store.Entry
	highest map[string]store.Revision
	refused bool
}

// worldAnswer is an answer of the store on its way to the process that has made the call.
type worldAnswer struct {
	to      int
	process *worldInstance
	entries store.Entries
	upTo    store.Revision
	listed  bool
}

// worldMessage is an update on its way.
type worldMessage struct {
	update PrefixUpdate
	from   int
	to     int
}

func (w *world) revision() store.Revision {
	return store.Revision(len(w.history))
}

func (w *world) write() {
	e := store.Entry{
		Key:      worldKeyNames[w.rng.IntN(len(worldKeyNames))],
		Revision: w.revision() + 1,
	}
	state := maps.Clone(w.states[w.revision()])
	if _, exists := state[e.Key]; exists && w.rng.IntN(3) == 0 {
		e.Deleted = true
		delete(state, e.Key)
	} else {
		e.Value = fmt.Append(nil, e.Revision)
		state[e.Key] = e
	}
	w.history = append(w.history, e)
	w.states = append(w.states, state)
}

// start starts the process of an instance.
func (w *world) start(n int) {
	w.instances[n] = &worldInstance{
		view: &view{
			prefix: "a/",
		},
		values:  make(map[string]store.Entry),
		highest: make(map[string]store.Revision),
		refused: w.instances[n] != nil && w.instances[n].refused,
	}
}

// apply applies changes as the program would.
func (w *world) apply(n int, changes []Change) {
	i := w.instances[n]
	for _, c := range changes {
		if c.Entry.Revision <= i.highest[c.Entry.Key] {
			require.Fail(w.t, "view went back", "instance %d, key %s", n, c.Entry.Key)
		}
		i.highest[c.Entry.Key] = c.Entry.Revision
		if c.Entry.Deleted {
			delete(i.values, c.Entry.Key)
		} else {
			i.values[c.Entry.Key] = c.Entry
		}
	}
}

// callStore lets an instance make one call of the store. The answer is on its way then.
func (w *world) callStore(n int) {
	i := w.instances[n]
	// An instance makes one call after the other.
	if i.refused || slices.ContainsFunc(w.answers, func(a worldAnswer) bool { return a.process == i }) {
		return
	}
	a := worldAnswer{
		to:      n,
		process: i,
		upTo:    w.revision(),
	}
	if after := i.view.revision; i.view.announces() {
		if after < w.forgotten {
			i.view.loseHistory(after)
			return
		}
		a.entries = w.history[after:]
	} else {
		a.listed = true
		// Pages are no snapshot: the later ones may hold later writes.
		first := w.states[a.upTo]
		if w.rng.IntN(2) == 0 {
			w.write()
		}
		second := w.states[w.revision()]
		for k, key := range worldKeyNames {
			page := first
			if k > 0 {
				page = second
			}
			if e, ok := page[key]; ok {
				a.entries = append(a.entries, e)
			}
		}
	}
	w.answers = append(w.answers, a)
}

// answerStore delivers an answer of the store, unless the process has ended.
func (w *world) answerStore(a worldAnswer) {
	i := w.instances[a.to]
	if i != a.process {
		return
	}
	changes, update := i.view.read(a.entries, a.upTo, a.listed)
	w.apply(a.to, changes)
	if update != nil {
		w.broadcast(a.to, *update)
	}
}

// readStore lets an instance make one call of the store that is answered at once.
func (w *world) readStore(n int) {
	before := len(w.answers)
	w.callStore(n)
	if len(w.answers) > before {
		a := w.answers[before]
		w.answers = w.answers[:before]
		w.answerStore(a)
	}
}

// broadcast sends an update to the other instances; some copies are lost.
func (w *world) broadcast(from int, p PrefixUpdate) {
	for to := range w.instances {
		if to != from && w.rng.IntN(4) > 0 {
			w.send(from, to, p)
		}
	}
}

func (w *world) send(from, to int, p PrefixUpdate) {
	w.inFlight = append(w.inFlight, worldMessage{
		update: p,
		from:   from,
		to:     to,
	})
}

func (w *world) deliver(m worldMessage) {
	changes, _ := w.instances[m.to].view.receive(w.now, m.update, fmt.Sprint(m.from))
	w.apply(m.to, changes)
}

// fetch lets an instance get from another what it does not know.
func (w *world) fetch(to, from int) {
	if p, ok := w.instances[from].view.changesAfter(w.instances[to].view.revision); ok {
		w.send(from, to, p)
	}
}

// step plays one event.
func (w *world) step() {
	w.now = w.now.Add(20 * time.Millisecond)
	n, other := w.rng.IntN(worldInstances), w.rng.IntN(worldInstances)
	switch w.rng.IntN(16) {
	case 0, 1, 2:
		w.write()
	case 3, 4:
		w.readStore(n)
	case 5:
		if len(w.answers) == 0 || w.rng.IntN(2) == 0 {
			w.callStore(n)
			return
		}
		a := w.answers[0]
		w.answers = w.answers[1:]
		w.answerStore(a)
	case 6:
		if w.rng.IntN(3) == 0 {
			w.forgotten = w.revision()
		}
	case 7:
		w.instances[n].refused = !w.instances[n].refused
	case 8:
		if w.rng.IntN(4) == 0 {
			w.start(n)
		}
	case 9:
		if v := w.instances[n].view; v.announces() {
			w.broadcast(n, v.position())
		}
	case 10:
		var source int
		if name, _, ok := w.instances[n].view.ask(w.now); ok {
			_, err := fmt.Sscan(name, &source)
			require.NoError(w.t, err)
			w.fetch(n, source)
		}
	case 11:
		w.fetch(n, other)
	default:
		if len(w.inFlight) == 0 {
			return
		}
		at := w.rng.IntN(len(w.inFlight))
		m := w.inFlight[at]
		if w.rng.IntN(8) > 0 {
			w.inFlight = append(w.inFlight[:at], w.inFlight[at+1:]...)
		}
		w.deliver(m)
	}
}

// check requires that no view holds what was never written, nor less than its revision says.
func (w *world) check() {
	for n, i := range w.instances {
		if !i.view.complete {
			continue
		}
		for _, key := range worldKeyNames {
			known := false
			for _, state := range w.states[i.view.revision:] {
				known = known || state[key].Revision == i.view.entries[key].Revision
			}
			if !known {
				require.Fail(w.t, "view of no state", "instance %d knows %s as of revision %d, and the prefix up to %d of %d",
					n, key, i.view.entries[key].Revision, i.view.revision, w.revision())
			}
			if i.view.entries[key].Revision != i.values[key].Revision {
				require.Fail(w.t, "change not applied", "instance %d, key %s", n, key)
			}
		}
	}
}

// meet lets the first instance read the store, and requires the others to become up to date by it
// alone.
func (w *world) meet() {
	w.instances[0].refused = false
	for _, a := range w.answers {
		w.answerStore(a)
	}
	w.answers = nil
	// At most one call ends without history, one lists and one reads what was written meanwhile.
	for range 3 {
		w.readStore(0)
	}
	for _, m := range w.inFlight {
		w.deliver(m)
	}
	w.inFlight = nil
	for n := 1; n < worldInstances; n++ {
		for range meetingRounds {
			w.fetch(n, 0)
			for _, m := range w.inFlight {
				w.deliver(m)
			}
			w.inFlight = nil
		}
		require.Equal(w.t, w.states[w.revision()], w.instances[n].values, "instance %d", n)
	}
}

// TestViewsInSmallWorlds guards against views that go back, that hold what was never written or miss
// what they count as known, and that never meet.
func TestViewsInSmallWorlds(t *testing.T) {
	for seed := range uint64(worldSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := &world{
				t:         t,
				rng:       rand.New(rand.NewPCG(seed, 1)),
				now:       testStart,
				instances: make([]*worldInstance, worldInstances),
				states: []map[string]store.Entry{
					{},
				},
			}
			for n := range w.instances {
				w.start(n)
				w.readStore(n)
			}
			for range worldSteps {
				w.step()
				w.check()
			}
			w.meet()
		})
	}
}
