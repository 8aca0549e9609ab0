package replay

import (
	"time"

	"currantstile/sched"
)

// target is the model of one target: it reads prompts in pieces between the tokens of the
// answers that it writes, in batch steps.
type target struct {
	sim     *sim
	id      string
	manager *manager
	// state is its manager's view of it.
	state *sched.Target
	// held are the adapters that it holds; false while one is on its way.
	held map[string]bool
	// recent are the adapters that it held before, the latest last.
	recent  []string
	reading []*run
	writing []*run
	// stepping is set while a step is in progress, slow is the factor by which steps take
	// longer, down is set while it is away, and cut while it cannot be reached. epoch counts
	// the ends of all its runs.
	stepping bool
	slow     float64
	down     bool
	cut      bool
	epoch    int
	crashes  int
	// pending are the fetches that wait for a load slot, by adapter.
	pending map[string]*fetch
}

// run is a request at a target.
type run struct {
	req     *request
	grant   string
	sentAt  time.Time
	unread  int64
	left    int
	written int
	// lastEvent is when the last event was written, and maxPause the longest pause so far.
	lastEvent time.Time
	maxPause  time.Duration
	cancelled bool
}

// maxRecent is how many adapters a target can load again without the weight store.
const maxRecent = 30

// start begins a run, or reports that the target does not hold the adapter.
func (t *target) start(now time.Time, r *run) bool {
	if t.down || t.cut || !t.held[r.req.adapter] {
		return false
	}
	at := len(t.reading)
	for at > 0 && t.reading[at-1].req.class.Priority > r.req.class.Priority {
		at--
	}
	t.reading = append(t.reading, nil)
	copy(t.reading[at+1:], t.reading[at:])
	t.reading[at] = r
	t.step(now)
	return true
}

// step begins a batch step, unless one is in progress or there is nothing to do.
func (t *target) step(now time.Time) {
	if t.stepping || t.down || len(t.reading)+len(t.writing) == 0 {
		return
	}
	t.stepping = true
	budget, read := int64(t.sim.fleet.StepTokens), int64(0)
	var done []*run
	for len(t.reading) > 0 && budget > 0 {
		r := t.reading[0]
		n := min(r.unread, budget)
		r.unread -= n
		budget -= n
		read += n
		if r.unread == 0 {
			done = append(done, r)
			t.reading = t.reading[1:]
		}
	}
	took := t.sim.fleet.StepTime + time.Duration(float64(read)/t.sim.fleet.ReadRate*float64(time.Millisecond))
	epoch := t.epoch
	t.sim.clock.at(now.Add(time.Duration(float64(took)*t.slow)), func(now time.Time) {
		if epoch != t.epoch {
			return
		}
		t.stepping = false
		t.write(now)
		t.writing = append(t.writing, done...)
		for _, r := range done {
			t.sim.firstToken(now, t, r)
		}
		t.step(now)
	})
}

// write adds a token to each answer.
func (t *target) write(now time.Time) {
	kept := t.writing[:0]
	for _, r := range t.writing {
		if r.cancelled {
			continue
		}
		r.left--
		r.written++
		if r.written%t.sim.fleet.EventTokens == 0 || r.left <= 0 {
			r.maxPause = max(r.maxPause, now.Sub(r.lastEvent))
			r.lastEvent = now
		}
		if r.left > 0 {
			kept = append(kept, r)
			continue
		}
		t.sim.complete(now, t, r)
	}
	t.writing = kept
}

// unload drops an adapter.
func (t *target) unload(adapter string) {
	if _, ok := t.held[adapter]; !ok {
		return
	}
	delete(t.held, adapter)
	t.recent = append(t.recent, adapter)
	if len(t.recent) > maxRecent {
		t.recent = t.recent[1:]
	}
}

// load begins to load an adapter.
func (t *target) load(now time.Time, adapter string) {
	t.held[adapter] = false
	crashes := t.crashes
	ready := func(time.Time) {
		if _, ok := t.held[adapter]; ok && crashes == t.crashes {
			t.held[adapter] = true
		}
	}
	for _, name := range t.recent {
		if name == adapter {
			t.sim.clock.at(now.Add(t.sim.fleet.RecentLoadTime), ready)
			return
		}
	}
	t.sim.store.load(now, ready)
}

// cutOff makes the target unreachable; its runs fail.
func (t *target) cutOff(now time.Time) {
	runs := append(t.reading, t.writing...)
	t.reading, t.writing = nil, nil
	t.stepping, t.cut = false, true
	t.epoch++
	for _, r := range runs {
		t.sim.broken(now, t, r)
	}
}

// crash ends the target; its runs fail and its adapters are gone.
func (t *target) crash(now time.Time) {
	runs := append(t.reading, t.writing...)
	t.reading, t.writing, t.recent = nil, nil, nil
	t.held = make(map[string]bool)
	t.stepping, t.down = false, true
	t.epoch++
	t.crashes++
	for _, r := range runs {
		t.sim.broken(now, t, r)
	}
}
