package sched

import (
	"slices"
	"time"
)

// adapterState is the load state of an adapter on a target.
type adapterState int

const (
	// stateOrderPending marks an adapter with an order that the target has not
	// accepted yet.
	stateOrderPending adapterState = iota + 1
	// stateLoaded marks an adapter whose last order was accepted. The load may
	// still be in progress until readyAt.
	stateLoaded
	// stateUnverified marks an adapter whose presence only a report from the
	// target can confirm. Until then it occupies a slot and serves no requests.
	stateUnverified
)

// resident is an adapter that occupies a slot on a target.
type resident struct {
	state   adapterState
	version uint64
	// orderedAt is when the last load was accepted or MarkUnverified was called,
	// and readyAt when the load is expected to be complete.
	orderedAt time.Time
	readyAt   time.Time
	// fromStore is set if the adapter is loaded from the weight store.
	fromStore bool
	// hasVersion is set once the target holds some version of the adapter.
	hasVersion bool
	lastUsed   time.Time
	running    int
}

// RecordReport replaces the known adapters by those that the target reports. A
// report lags behind the orders, so adapters ordered recently may be missing from
// it.
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

// HasUnverified reports whether the state of some adapter can be resolved only by
// a report from the target.
func (t *Target) HasUnverified() bool {
	for _, r := range t.residents {
		if r.state == stateUnverified {
			return true
		}
	}
	return false
}

// HasRoom reports whether all adapters fit into the slots, including those being
// loaded and excluding unload, which is unloaded first if set. The target may
// turn out to hold more adapters than were known when the load was decided.
func (t *Target) HasRoom(unload string) bool {
	n := len(t.residents)
	if _, ok := t.residents[unload]; ok {
		n--
	}
	return n <= t.Limits.AdapterSlots
}

// prepareAdapter decides what must happen before the adapter can serve, and marks
// the adapters that Load changes as pending. It returns nil if nothing has to be
// done.
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

// startLoad reserves a slot for an adapter and returns the Load, or why it cannot
// be loaded now.
func (t *Target) startLoad(now time.Time, a AdmissionRequest) Decision {
	if t.StateUnknown {
		return Declined{
			Reason: ReasonNoOrders,
		}
	}
	if !a.Turn && !t.recentlyHeld(a.Adapter) {
		return LoadSlotRequired{}
	}
	loading := 0
	for _, r := range t.residents {
		if r.state == stateOrderPending || now.Before(r.readyAt) {
			loading++
		}
	}
	if loading >= maxConcurrentLoads {
		return Declined{
			Reason: ReasonAdapterSlots,
		}
	}
	load := Load{
		Adapter: a.Adapter,
		Version: a.Version,
	}
	if len(t.residents) >= t.Limits.AdapterSlots {
		evicted := t.evictionCandidate(now)
		if evicted == "" {
			return Declined{
				Reason: ReasonAdapterSlots,
			}
		}
		t.residents[evicted].state = stateOrderPending
		load.Unload = evicted
	}
	t.residents[a.Adapter] = &resident{
		state:    stateOrderPending,
		lastUsed: now,
	}
	return load
}

// evictionCandidate returns the least recently used idle adapter, or "" if all
// adapters are in use.
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

// RecordUnloaded records that an order to unload has freed the adapter's slot.
func (t *Target) RecordUnloaded(adapter string) {
	if _, ok := t.residents[adapter]; ok {
		t.removeResident(adapter)
	}
}

// CancelOrder records that the pending order to unload an adapter was not sent or
// not accepted.
func (t *Target) CancelOrder(adapter string) {
	if r, ok := t.residents[adapter]; ok && r.state == stateOrderPending {
		r.state = stateLoaded
	}
}

// MarkUnverified records that it is unknown whether the order for an adapter was
// or will be executed.
func (t *Target) MarkUnverified(now time.Time, adapter string) {
	if r, ok := t.residents[adapter]; ok {
		r.state = stateUnverified
		r.orderedAt = now
	}
}

// RecordLoaded records that an order to load was accepted.
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

// RecordLoadFailed records that an order to load was definitely not accepted. If
// the order was to replace the adapter by a newer version, the old version
// remains.
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

// ReadyAt returns when an adapter is expected to be loaded. It reports false if
// the adapter occupies no slot on the target.
func (t *Target) ReadyAt(adapter string) (time.Time, bool) {
	r, ok := t.residents[adapter]
	if !ok {
		return time.Time{}, false
	}
	return r.readyAt, true
}

// recentlyHeld reports whether the target unloaded the adapter recently and so
// can load it without the weight store.
func (t *Target) recentlyHeld(adapter string) bool {
	return slices.Contains(t.recent, adapter)
}

// loadTime returns how long a load of the adapter is expected to take, including
// loadMargin.
func (t *Target) loadTime(now time.Time, adapter string) time.Duration {
	if t.recentlyHeld(adapter) {
		return recentLoadTime + loadMargin
	}
	return t.LoadLimiter.ExpectedLoadTime(now) + loadMargin
}

// removeResident frees the adapter's slot and adds it to the recently held
// adapters.
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

// recordWrongTarget records that the target does not hold the adapter yet, or no
// longer does. Up to maxLoadTime after the order, the load counts as still in
// progress and its expected end is postponed if it is overdue; later the adapter
// becomes unverified.
func (t *Target) recordWrongTarget(now time.Time, adapter string) {
	r, ok := t.residents[adapter]
	if !ok || r.state != stateLoaded {
		return
	}
	elapsed := now.Sub(r.orderedAt)
	if r.orderedAt.IsZero() || elapsed > maxLoadTime {
		r.state = stateUnverified
		return
	}
	if r.fromStore {
		t.LoadLimiter.ObserveLoadTime(now, elapsed)
	}
	if !now.Before(r.readyAt) {
		r.readyAt = now.Add(max(time.Duration(loadExtension*float64(elapsed)), recentLoadTime))
	}
}
