package cache

import (
	"time"

	"currantstile/model"
)

// Target is what a manager knows of one target. It is not safe for concurrent
// use.
type Target struct {
	ID          model.TargetID
	incarnation string
	bears       int
	slots       int
	running     int
	residents   map[model.Adapter]*resident
	// past holds the popularity of adapters that were evicted.
	past map[model.Adapter]popularity
	// quietUntil is until when pins of an earlier manager may be in use.
	quietUntil time.Time
}

// NewTarget returns a target of which nothing is known yet.
func NewTarget(id model.TargetID) *Target {
	return &Target{
		ID:        id,
		residents: make(map[model.Adapter]*resident),
		past:      make(map[model.Adapter]popularity),
	}
}

// Incarnation returns the target's incarnation as last reported, or "" before
// the first report.
func (t *Target) Incarnation() string {
	return t.incarnation
}

// Observe takes in a report. A new incarnation voids all pins, because a target
// that restarts has lost its adapters and its requests.
func (t *Target) Observe(now time.Time, r Report) {
	if t.incarnation == "" {
		t.quietUntil = now.Add(PinTime + PinMargin)
	}
	if r.Incarnation != t.incarnation {
		t.restart(r.Incarnation)
	}
	t.bears = r.Bears
	t.slots = r.Slots
	t.running = r.Running
	for _, a := range r.Adapters {
		t.observeAdapter(now, a)
	}
	t.dropMissing(now)
}

// dropMissing forgets adapters that the target has long ceased to report.
func (t *Target) dropMissing(now time.Time) {
	for a, res := range t.residents {
		if res.state() == stateReady && now.Sub(res.seen) > 2*ReportLag {
			res.fire(eventLost)
			delete(t.residents, a)
		}
	}
}

func (t *Target) restart(incarnation string) {
	for _, res := range t.residents {
		res.fire(eventLost)
	}
	t.residents = make(map[model.Adapter]*resident)
	t.incarnation = incarnation
}

// observeAdapter adopts an adapter that this manager did not load, and clears
// the suspicion that requests run on it once a late enough report shows none.
func (t *Target) observeAdapter(now time.Time, a ReportAdapter) {
	res, ok := t.residents[a.Adapter]
	if !ok && a.Ready {
		res = newResident(stateReady, now)
		res.suspectFrom = latest(now, t.quietUntil)
		t.residents[a.Adapter] = res
	}
	if res != nil && a.Ready {
		res.seen = now
	}
	if res == nil || res.suspectFrom.IsZero() || a.Running > 0 {
		return
	}
	res.lapse(now)
	if !now.Before(res.suspectFrom.Add(ReportLag)) {
		res.suspectFrom = time.Time{}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Request decides on an ask. After Load the adapter counts as loading until
// Loaded is called.
func (t *Target) Request(now time.Time, ask Ask) Decision {
	if t.incarnation == "" {
		return Busy{}
	}
	t.lapse(now)
	res, ok := t.residents[ask.Adapter]
	if !ok {
		return t.beginLoad(now, ask.Adapter)
	}
	if res.state() != stateReady {
		return Busy{}
	}
	free := t.free(now)
	if free <= 0 {
		return Full{}
	}
	return Granted{
		Pin: t.grant(now, res, ask, min(ask.Slots, free)),
	}
}

// Holds reports whether an adapter is ready on the target.
func (t *Target) Holds(a model.Adapter) bool {
	res, ok := t.residents[a]
	return ok && res.state() == stateReady
}

// Settled takes in that every holder there can be has told its pins: none of an
// earlier manager is unknown any more.
func (t *Target) Settled(now time.Time) {
	if t.quietUntil.After(now) {
		t.quietUntil = now
	}
	for _, res := range t.residents {
		if res.suspectFrom.After(now) {
			res.suspectFrom = now
		}
	}
}

func (t *Target) lapse(now time.Time) {
	for _, res := range t.residents {
		res.lapse(now)
	}
}

// free is how many more requests the target bears. While an earlier manager's
// pins may be in use, what the target reports as running counts as well.
func (t *Target) free(now time.Time) int {
	granted := 0
	for _, res := range t.residents {
		granted += res.granted()
	}
	if now.Before(t.quietUntil) {
		granted = max(granted, t.running)
	}
	return t.bears - granted
}

func (t *Target) grant(now time.Time, res *resident, ask Ask, slots int) Pin {
	g, ok := res.grants[ask.Holder]
	if !ok {
		g = &grant{}
		res.grants[ask.Holder] = g
	}
	g.slots += slots
	g.asked = ask.ID
	g.expires = now.Add(PinTime + PinMargin)
	res.popularity.used(now)
	return Pin{
		Incarnation: t.incarnation,
		Adapter:     ask.Adapter,
		Slots:       slots,
		ValidFor:    PinTime,
	}
}

func (t *Target) beginLoad(now time.Time, a model.Adapter) Decision {
	load := Load{
		Adapter: a,
	}
	if len(t.residents) >= t.slots {
		victim, ok := t.victim(now)
		if !ok {
			return NoSlot{}
		}
		t.residents[victim].fire(eventEvict)
		t.remember(victim, t.residents[victim].popularity)
		load.Evict = victim
	}
	res := newResident(stateLoading, now)
	res.popularity = t.past[a]
	delete(t.past, a)
	t.residents[a] = res
	return load
}

// Unloaded takes in the result of unloading an adapter.
func (t *Target) Unloaded(a model.Adapter, ok bool) {
	res, found := t.residents[a]
	if !found {
		return
	}
	if !ok {
		res.fire(eventFailed)
		return
	}
	res.fire(eventUnloaded)
	if res.state() == stateGone {
		delete(t.residents, a)
	}
}

// Loaded takes in the result of loading an adapter.
func (t *Target) Loaded(now time.Time, a model.Adapter, ok bool) {
	res, found := t.residents[a]
	if !found {
		return
	}
	if !ok {
		res.fire(eventFailed)
		if res.state() == stateGone {
			delete(t.residents, a)
		}
		return
	}
	res.fire(eventLoaded)
	res.seen = now
}

// Lost takes in that the target refused a request because it does not hold the
// adapter, as one incarnation said.
func (t *Target) Lost(a model.Adapter, incarnation string) {
	res, ok := t.residents[a]
	if !ok || incarnation != t.incarnation || res.state() != stateReady {
		return
	}
	res.fire(eventLost)
	delete(t.residents, a)
}

// Renew extends a holder's pins and takes over its own count of them, which
// returns slots that it no longer needs. A count that was made before an ask
// which has been granted since only extends. It returns the adapters whose pins
// are void.
func (t *Target) Renew(now time.Time, holder Holder, holds []Hold) []model.Adapter {
	t.lapse(now)
	var void []model.Adapter
	for _, h := range holds {
		res, ok := t.residents[h.Adapter]
		if !ok || h.Incarnation != t.incarnation || res.state() != stateReady {
			void = append(void, h.Adapter)
			continue
		}
		if !t.renewOne(now, res, holder, h) {
			void = append(void, h.Adapter)
		}
	}
	return void
}

func (t *Target) renewOne(now time.Time, res *resident, holder Holder, h Hold) bool {
	g, ok := res.grants[holder]
	if !ok {
		if h.Slots == 0 {
			return true
		}
		// The pin was granted by an earlier manager, or it lapsed while nobody
		// else needed the capacity.
		if t.free(now) < h.Slots {
			return false
		}
		g = &grant{
			slots: h.Slots,
			asked: h.Asked,
		}
		res.grants[holder] = g
	}
	if !h.Asking && g.asked <= h.Asked {
		g.slots = h.Slots
	}
	g.expires = now.Add(PinTime + PinMargin)
	if g.slots > 0 {
		res.popularity.used(now)
	} else {
		delete(res.grants, holder)
	}
	return true
}

// Summary is a target's adapters for operators.
type Summary struct {
	Adapter model.Adapter
	State   string
	Granted int
}

// Summaries lists the adapters on the target.
func (t *Target) Summaries() []Summary {
	list := make([]Summary, 0, len(t.residents))
	for a, res := range t.residents {
		list = append(list, Summary{
			Adapter: a,
			State:   string(res.state()),
			Granted: res.granted(),
		})
	}
	return list
}
