package sched

import (
	"slices"
	"time"
)

// adapterState is where an adapter stands on a target.
type adapterState int

const (
	stateOrderPending adapterState = iota + 1
	stateLoaded
	// stateUnverified is an adapter of which only a report can tell whether it is
	// there; it takes up room and serves nothing until then.
	stateUnverified
)

// resident is an adapter on a target.
type resident struct {
	state   adapterState
	version uint64
	// orderedAt is when its load was ordered, and ready when that is expected to
	// have ended.
	orderedAt time.Time
	readyAt   time.Time
	// fromStore is set if the load is one from the weight store.
	fromStore bool
	// hasVersion is set once the target has some version of the adapter.
	hasVersion bool
	lastUsed   time.Time
	running    int
}

// RecordReport makes the adapters those that the target reports. A report lags, so
// that what was ordered lately may be missing in it.
func (t *Target) RecordReport(now time.Time, adapters map[string]uint64) {
	for name, version := range adapters {
		r, ok := t.residents[name]
		switch {
		case !ok:
			t.residents[name] = &resident{
				state:      stateLoaded,
				version:    version,
				readyAt:    now,
				hasVersion: true,
			}
		case r.state != stateOrderPending:
			r.state = stateLoaded
			r.version = version
			r.hasVersion = true
		}
	}
	for name, r := range t.residents {
		_, ok := adapters[name]
		if ok || r.state == stateOrderPending || r.running > 0 || now.Sub(r.orderedAt) < reportLag {
			continue
		}
		t.removeResident(name)
	}
}

// HasUnverified reports whether only a report can tell what became of an adapter.
func (t *Target) HasUnverified() bool {
	for _, r := range t.residents {
		if r.state == stateUnverified {
			return true
		}
	}
	return false
}

// HasRoom reports whether the adapters fit, those on their way included and without
// one that is unloaded first, if any. What the target holds may have turned out to
// be more than was known when a load was decided.
func (t *Target) HasRoom(unload string) bool {
	n := len(t.residents)
	if _, ok := t.residents[unload]; ok {
		n--
	}
	return n <= t.Limits.AdapterSlots
}

// prepareAdapter decides what has to be done before the adapter serves; nil is nothing.
func (t *Target) prepareAdapter(now time.Time, a AdmissionRequest, r *resident) Decision {
	switch {
	case r == nil:
		return t.startLoad(now, a)
	case r.state == stateOrderPending:
		return OrderPending{}
	case r.state == stateUnverified:
		return Declined{
			Reason: ReasonOutdated,
		}
	case r.version >= a.Version || a.Version == 0:
		return nil
	case r.running > 0:
		return Declined{
			Reason: ReasonOutdated,
		}
	case t.StateUnknown:
		return Declined{
			Reason: ReasonNoOrders,
		}
	default:
		r.state = stateOrderPending
		return Load{
			Adapter: a.Adapter,
			Version: a.Version,
		}
	}
}

func (t *Target) startLoad(now time.Time, a AdmissionRequest) Decision {
	if t.StateUnknown {
		return Declined{
			Reason: ReasonNoOrders,
		}
	}
	if !a.Turn && !t.recentlyHeld(a.Adapter) {
		return LoadSlotRequired{}
	}
	inTransit := 0
	for _, r := range t.residents {
		if r.state == stateOrderPending || now.Before(r.readyAt) {
			inTransit++
		}
	}
	if inTransit >= maxConcurrentLoads {
		return Declined{
			Reason: ReasonAdapterSlots,
		}
	}
	load := Load{
		Adapter: a.Adapter,
		Version: a.Version,
	}
	if len(t.residents) >= t.Limits.AdapterSlots {
		victim := t.evictionCandidate(now)
		if victim == "" {
			return Declined{
				Reason: ReasonAdapterSlots,
			}
		}
		t.residents[victim].state = stateOrderPending
		load.Unload = victim
	}
	t.residents[a.Adapter] = &resident{
		state:    stateOrderPending,
		lastUsed: now,
	}
	return load
}

// evictionCandidate is the adapter that has been idle longest, or "" if all are in use.
func (t *Target) evictionCandidate(now time.Time) string {
	best := ""
	for name, r := range t.residents {
		if r.state != stateLoaded || r.running > 0 || now.Before(r.readyAt) {
			continue
		}
		if best == "" || r.lastUsed.Before(t.residents[best].lastUsed) ||
			(r.lastUsed.Equal(t.residents[best].lastUsed) && name < best) {
			best = name
		}
	}
	return best
}

// RecordUnloaded takes in that an order to unload has freed the adapter's room.
func (t *Target) RecordUnloaded(adapter string) {
	if _, ok := t.residents[adapter]; ok {
		t.removeResident(adapter)
	}
}

// CancelOrder takes in that an adapter was not ordered after all.
func (t *Target) CancelOrder(adapter string) {
	if r, ok := t.residents[adapter]; ok && r.state == stateOrderPending {
		r.state = stateLoaded
	}
}

// MarkUnverified takes in that an order may or may not be carried out.
func (t *Target) MarkUnverified(now time.Time, adapter string) {
	if r, ok := t.residents[adapter]; ok {
		r.state = stateUnverified
		r.orderedAt = now
	}
}

// RecordLoaded takes in that an order to load was accepted.
func (t *Target) RecordLoaded(now time.Time, adapter string, version uint64) {
	r, ok := t.residents[adapter]
	if !ok {
		return
	}
	r.state = stateLoaded
	r.hasVersion = true
	r.version = version
	r.lastUsed = now
	r.orderedAt = now
	r.fromStore = !t.recentlyHeld(adapter)
	r.readyAt = now.Add(t.loadTime(now, adapter))
}

// RecordLoadFailed takes in that an order to load certainly was not accepted. An adapter
// that was to be replaced by a newer version is still there.
func (t *Target) RecordLoadFailed(adapter string) {
	r, ok := t.residents[adapter]
	switch {
	case !ok:
	case r.hasVersion:
		r.state = stateLoaded
	default:
		delete(t.residents, adapter)
	}
}

// ReadyAt is when an adapter is expected to be in place.
func (t *Target) ReadyAt(adapter string) (time.Time, bool) {
	r, ok := t.residents[adapter]
	if !ok {
		return time.Time{}, false
	}
	return r.readyAt, true
}

// recentlyHeld reports whether the target has held an adapter lately.
func (t *Target) recentlyHeld(adapter string) bool {
	return slices.Contains(t.recent, adapter)
}

func (t *Target) loadTime(now time.Time, adapter string) time.Duration {
	if t.recentlyHeld(adapter) {
		return recentLoadTime + loadMargin
	}
	return t.LoadLimiter.ExpectedLoadTime(now) + loadMargin
}

// removeResident removes an adapter and remembers that the target has it at hand.
func (t *Target) removeResident(adapter string) {
	delete(t.residents, adapter)
	for i, name := range t.recent {
		if name == adapter {
			t.recent = append(t.recent[:i], t.recent[i+1:]...)
			break
		}
	}
	t.recent = append(t.recent, adapter)
	if len(t.recent) > maxRecentAdapters {
		t.recent = t.recent[1:]
	}
}

// recordWrongTarget takes in that the target does not hold an adapter yet, or any more.
func (t *Target) recordWrongTarget(now time.Time, adapter string) {
	r, ok := t.residents[adapter]
	if !ok || r.state != stateLoaded {
		return
	}
	took := now.Sub(r.orderedAt)
	if r.orderedAt.IsZero() || took > maxLoadTime {
		r.state = stateUnverified
		return
	}
	if r.fromStore {
		t.LoadLimiter.ObserveLoadTime(now, took)
	}
	if !now.Before(r.readyAt) {
		r.readyAt = now.Add(max(time.Duration(loadExtension*float64(took)), recentLoadTime))
	}
}
