package cache

import (
	"time"

	"currantstile/model"
)

// Target is a manager's state of one target. It is not safe for concurrent use.
type Target struct {
	ID           model.TargetID
	incarnation  string
	capacity     int
	adapterSlots int
	running      int
	residents    map[model.Adapter]*resident
	// evictedPopularity is the popularity of evicted adapters.
	evictedPopularity map[model.Adapter]popularity
	// priorPinsUntil is the time until which pins granted by an earlier manager
	// may be in use.
	priorPinsUntil time.Time
}

// NewTarget returns a target that has not reported yet.
func NewTarget(id model.TargetID) *Target {
	return &Target{
		ID:                id,
		residents:         make(map[model.Adapter]*resident),
		evictedPopularity: make(map[model.Adapter]popularity),
	}
}

// Incarnation returns the target's incarnation as last reported, or "" before
// the first report.
func (t *Target) Incarnation() string {
	return t.incarnation
}

// RecordReport records a report of the target. A new incarnation voids all pins,
// because a restart of the target loses its adapters and its requests.
func (t *Target) RecordReport(now time.Time, r Report) {
	if t.incarnation == "" {
		t.priorPinsUntil = now.Add(PinTTL + PinMargin)
	}
	if r.Incarnation != t.incarnation {
		t.reset(r.Incarnation)
	}
	t.capacity = r.Capacity
	t.adapterSlots = r.AdapterSlots
	t.running = r.Running
	for _, a := range r.Adapters {
		t.observeAdapter(now, a)
	}
	t.removeMissing(now)
}

// removeMissing removes ready adapters that the target has not reported for more
// than twice MaxReportLag.
func (t *Target) removeMissing(now time.Time) {
	for a, res := range t.residents {
		if res.state() == stateReady && now.Sub(res.lastSeen) > 2*MaxReportLag {
			res.fire(eventLost)
			delete(t.residents, a)
		}
	}
}

// reset removes all adapters, with the pins on them, and sets the incarnation.
func (t *Target) reset(incarnation string) {
	for _, res := range t.residents {
		res.fire(eventLost)
	}
	t.residents = make(map[model.Adapter]*resident)
	t.incarnation = incarnation
}

// observeAdapter records one adapter of a report. It adds an adapter that this manager
// did not load, and marks an unverified adapter as verified once a report without
// running requests arrives at least MaxReportLag after unverifiedFrom.
func (t *Target) observeAdapter(now time.Time, a ReportAdapter) {
	res, ok := t.residents[a.Adapter]
	if !ok && a.Ready {
		res = newResident(stateReady, now)
		res.unverifiedFrom = laterOf(now, t.priorPinsUntil)
		t.residents[a.Adapter] = res
	}
	if res != nil && a.Ready {
		res.lastSeen = now
	}
	if res == nil || res.unverifiedFrom.IsZero() || a.Running > 0 {
		return
	}
	res.expireGrants(now)
	if !now.Before(res.unverifiedFrom.Add(MaxReportLag)) {
		res.unverifiedFrom = time.Time{}
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// RequestPin decides on a request for a pin. After Load the adapter counts as
// loading until RecordLoaded is called.
func (t *Target) RequestPin(now time.Time, req PinRequest) Decision {
	if t.incarnation == "" {
		return NotReady{}
	}
	t.expireGrants(now)
	res, ok := t.residents[req.Adapter]
	if !ok {
		return t.startLoad(now, req.Adapter)
	}
	if res.state() != stateReady {
		return NotReady{}
	}
	free := t.freeSlots(now)
	if free <= 0 {
		return Full{}
	}
	return Granted{
		Pin: t.grantPin(now, res, req, min(req.Slots, free)),
	}
}

// IsReady reports whether an adapter is loaded and ready on the target.
func (t *Target) IsReady(a model.Adapter) bool {
	res, ok := t.residents[a]
	return ok && res.state() == stateReady
}

// MarkPinsKnown records that all possible holders have reported their pins, so that
// no unknown pin of an earlier manager remains.
func (t *Target) MarkPinsKnown(now time.Time) {
	if t.priorPinsUntil.After(now) {
		t.priorPinsUntil = now
	}
	for _, res := range t.residents {
		if res.unverifiedFrom.After(now) {
			res.unverifiedFrom = now
		}
	}
}

func (t *Target) expireGrants(now time.Time) {
	for _, res := range t.residents {
		res.expireGrants(now)
	}
}

// freeSlots returns how many more concurrent requests may be granted. While pins of
// an earlier manager may be in use, the running requests that the target reports
// are taken into account as well.
func (t *Target) freeSlots(now time.Time) int {
	granted := 0
	for _, res := range t.residents {
		granted += res.grantedSlots()
	}
	if now.Before(t.priorPinsUntil) {
		granted = max(granted, t.running)
	}
	return t.capacity - granted
}

// grantPin adds slots to the holder's pin and extends it.
func (t *Target) grantPin(now time.Time, res *resident, req PinRequest, slots int) Pin {
	g, ok := res.grants[req.Holder]
	if !ok {
		g = &grant{}
		res.grants[req.Holder] = g
	}
	g.slots += slots
	g.lastRequestID = req.ID
	g.expires = now.Add(PinTTL + PinMargin)
	res.popularity.recordUse(now)
	return Pin{
		Incarnation: t.incarnation,
		Adapter:     req.Adapter,
		Slots:       slots,
		ValidFor:    PinTTL,
	}
}

// startLoad adds an adapter as loading. If all adapter slots are taken, it selects an
// adapter to evict and marks it as unloading.
func (t *Target) startLoad(now time.Time, a model.Adapter) Decision {
	load := Load{
		Adapter: a,
	}
	if len(t.residents) >= t.adapterSlots {
		candidate, ok := t.evictionCandidate(now)
		if !ok {
			return NoAdapterSlot{}
		}
		t.residents[candidate].fire(eventEvict)
		t.rememberPopularity(candidate, t.residents[candidate].popularity)
		load.Evict = candidate
	}
	res := newResident(stateLoading, now)
	res.popularity = t.evictedPopularity[a]
	delete(t.evictedPopularity, a)
	t.residents[a] = res
	return load
}

// RecordUnloaded records the result of unloading an adapter.
func (t *Target) RecordUnloaded(a model.Adapter, ok bool) {
	res, found := t.residents[a]
	if !found {
		return
	}
	if !ok {
		res.fire(eventFailed)
		return
	}
	res.fire(eventUnloaded)
	if res.state() == stateRemoved {
		delete(t.residents, a)
	}
}

// RecordLoaded records the result of loading an adapter.
func (t *Target) RecordLoaded(now time.Time, a model.Adapter, ok bool) {
	res, found := t.residents[a]
	if !found {
		return
	}
	if !ok {
		res.fire(eventFailed)
		if res.state() == stateRemoved {
			delete(t.residents, a)
		}
		return
	}
	res.fire(eventLoaded)
	res.lastSeen = now
}

// RecordLost records that the given incarnation of the target refused a request
// because the adapter is not loaded. Other incarnations are ignored.
func (t *Target) RecordLost(a model.Adapter, incarnation string) {
	res, ok := t.residents[a]
	if !ok || incarnation != t.incarnation || res.state() != stateReady {
		return
	}
	res.fire(eventLost)
	delete(t.residents, a)
}

// Renew extends a holder's pins and adopts the holder's slot counts, which returns
// slots that it no longer needs. A count that was made before the latest granted
// request, or while a request was pending, only extends the pin. Renew returns the
// adapters whose pins are void.
func (t *Target) Renew(now time.Time, holder Holder, pins []HeldPin) []model.Adapter {
	t.expireGrants(now)
	var void []model.Adapter
	for _, h := range pins {
		res, ok := t.residents[h.Adapter]
		if !ok || h.Incarnation != t.incarnation || res.state() != stateReady {
			void = append(void, h.Adapter)
			continue
		}
		if !t.renewPin(now, res, holder, h) {
			void = append(void, h.Adapter)
		}
	}
	return void
}

// renewPin extends one pin. It reports false if the pin is void.
func (t *Target) renewPin(now time.Time, res *resident, holder Holder, h HeldPin) bool {
	g, ok := res.grants[holder]
	if !ok {
		if h.Slots == 0 {
			return true
		}
		// The pin was granted by an earlier manager, or it expired. It is
		// accepted if its capacity has not been granted to others.
		if t.freeSlots(now) < h.Slots {
			return false
		}
		g = &grant{
			slots:         h.Slots,
			lastRequestID: h.Asked,
		}
		res.grants[holder] = g
	}
	if !h.Asking && g.lastRequestID <= h.Asked {
		g.slots = h.Slots
	}
	g.expires = now.Add(PinTTL + PinMargin)
	if g.slots > 0 {
		res.popularity.recordUse(now)
	} else {
		delete(res.grants, holder)
	}
	return true
}

// Summary describes one adapter on a target for operators.
type Summary struct {
	Adapter model.Adapter
	State   string
	Granted int
}

// Summaries returns the adapters on the target in no particular order.
func (t *Target) Summaries() []Summary {
	list := make([]Summary, 0, len(t.residents))
	for a, res := range t.residents {
		list = append(list, Summary{
			Adapter: a,
			State:   string(res.state()),
			Granted: res.grantedSlots(),
		})
	}
	return list
}
