package sched

import (
	"slices"
	"time"
)

// adapterState is where an adapter stands on a target.
type adapterState int

const (
	stateOrdering adapterState = iota + 1
	statePresent
	// stateDoubtful is an adapter of which only a report can tell whether it is
	// there; it takes up room and serves nothing until then.
	stateDoubtful
)

// resident is an adapter on a target.
type resident struct {
	state   adapterState
	version uint64
	// begun is when its load was ordered, and ready when that is expected to
	// have ended.
	begun time.Time
	ready time.Time
	// fresh is set if the load is one from the weight store.
	fresh bool
	// held is set once the target has some version of the adapter.
	held    bool
	used    time.Time
	running int
}

// Reported makes the adapters those that the target reports. A report lags, so
// that what was ordered lately may be missing in it.
func (t *Target) Reported(now time.Time, adapters map[string]uint64) {
	for name, version := range adapters {
		r, ok := t.residents[name]
		switch {
		case !ok:
			t.residents[name] = &resident{
				state:   statePresent,
				version: version,
				ready:   now,
				held:    true,
			}
		case r.state != stateOrdering:
			r.state = statePresent
			r.version = version
			r.held = true
		}
	}
	for name, r := range t.residents {
		_, ok := adapters[name]
		if ok || r.state == stateOrdering || r.running > 0 || now.Sub(r.begun) < reportLag {
			continue
		}
		t.forget(name)
	}
}

// Doubts reports whether only a report can tell what became of an adapter.
func (t *Target) Doubts() bool {
	for _, r := range t.residents {
		if r.state == stateDoubtful {
			return true
		}
	}
	return false
}

// Room reports whether the adapters fit, those on their way included and without
// one that is unloaded first, if any. What the target holds may have turned out to
// be more than was known when a load was decided.
func (t *Target) Room(unload string) bool {
	n := len(t.residents)
	if _, ok := t.residents[unload]; ok {
		n--
	}
	return n <= t.Limits.AdapterSlots
}

// adapter decides what has to be done before the adapter serves; nil is nothing.
func (t *Target) adapter(now time.Time, a Ask, r *resident) Decision {
	switch {
	case r == nil:
		return t.beginLoad(now, a)
	case r.state == stateOrdering:
		return Busy{}
	case r.state == stateDoubtful:
		return Declined{
			Reason: ReasonOutdated,
		}
	case r.version >= a.Version || a.Version == 0:
		return nil
	case r.running > 0:
		return Declined{
			Reason: ReasonOutdated,
		}
	case t.Unsure:
		return Declined{
			Reason: ReasonNoOrders,
		}
	default:
		r.state = stateOrdering
		return Load{
			Adapter: a.Adapter,
			Version: a.Version,
		}
	}
}

func (t *Target) beginLoad(now time.Time, a Ask) Decision {
	if t.Unsure {
		return Declined{
			Reason: ReasonNoOrders,
		}
	}
	if !a.Turn && !t.atHand(a.Adapter) {
		return Fetch{}
	}
	inTransit := 0
	for _, r := range t.residents {
		if r.state == stateOrdering || now.Before(r.ready) {
			inTransit++
		}
	}
	if inTransit >= maxInTransit {
		return Declined{
			Reason: ReasonAdapters,
		}
	}
	load := Load{
		Adapter: a.Adapter,
		Version: a.Version,
	}
	if len(t.residents) >= t.Limits.AdapterSlots {
		victim := t.victim(now)
		if victim == "" {
			return Declined{
				Reason: ReasonAdapters,
			}
		}
		t.residents[victim].state = stateOrdering
		load.Unload = victim
	}
	t.residents[a.Adapter] = &resident{
		state: stateOrdering,
		used:  now,
	}
	return load
}

// victim is the adapter that has been idle longest, or "" if all are in use.
func (t *Target) victim(now time.Time) string {
	best := ""
	for name, r := range t.residents {
		if r.state != statePresent || r.running > 0 || now.Before(r.ready) {
			continue
		}
		if best == "" || r.used.Before(t.residents[best].used) ||
			(r.used.Equal(t.residents[best].used) && name < best) {
			best = name
		}
	}
	return best
}

// Unloaded takes in that an order to unload has freed the adapter's room.
func (t *Target) Unloaded(adapter string) {
	if _, ok := t.residents[adapter]; ok {
		t.forget(adapter)
	}
}

// Kept takes in that an adapter was not ordered after all.
func (t *Target) Kept(adapter string) {
	if r, ok := t.residents[adapter]; ok && r.state == stateOrdering {
		r.state = statePresent
	}
}

// Doubt takes in that an order may or may not be carried out.
func (t *Target) Doubt(now time.Time, adapter string) {
	if r, ok := t.residents[adapter]; ok {
		r.state = stateDoubtful
		r.begun = now
	}
}

// Loaded takes in that an order to load was accepted.
func (t *Target) Loaded(now time.Time, adapter string, version uint64) {
	r, ok := t.residents[adapter]
	if !ok {
		return
	}
	r.state = statePresent
	r.held = true
	r.version = version
	r.used = now
	r.begun = now
	r.fresh = !t.atHand(adapter)
	r.ready = now.Add(t.loadTime(now, adapter))
}

// LoadFailed takes in that an order to load certainly was not accepted. An adapter
// that was to be replaced by a newer version is still there.
func (t *Target) LoadFailed(adapter string) {
	r, ok := t.residents[adapter]
	switch {
	case !ok:
	case r.held:
		r.state = statePresent
	default:
		delete(t.residents, adapter)
	}
}

// Ready is when an adapter is expected to be in place.
func (t *Target) Ready(adapter string) (time.Time, bool) {
	r, ok := t.residents[adapter]
	if !ok {
		return time.Time{}, false
	}
	return r.ready, true
}

// atHand reports whether the target has held an adapter lately.
func (t *Target) atHand(adapter string) bool {
	return slices.Contains(t.recent, adapter)
}

func (t *Target) loadTime(now time.Time, adapter string) time.Duration {
	if t.atHand(adapter) {
		return recentLoad + loadMargin
	}
	return t.Loads.Time(now) + loadMargin
}

// forget removes an adapter and remembers that the target has it at hand.
func (t *Target) forget(adapter string) {
	delete(t.residents, adapter)
	for i, name := range t.recent {
		if name == adapter {
			t.recent = append(t.recent[:i], t.recent[i+1:]...)
			break
		}
	}
	t.recent = append(t.recent, adapter)
	if len(t.recent) > recentAdapters {
		t.recent = t.recent[1:]
	}
}

// misdirected takes in that the target does not hold an adapter yet, or any more.
func (t *Target) misdirected(now time.Time, adapter string) {
	r, ok := t.residents[adapter]
	if !ok || r.state != statePresent {
		return
	}
	took := now.Sub(r.begun)
	if r.begun.IsZero() || took > maxLoad {
		r.state = stateDoubtful
		return
	}
	if r.fresh {
		t.Loads.Took(now, took)
	}
	if !now.Before(r.ready) {
		r.ready = now.Add(max(time.Duration(moreLoad*float64(took)), recentLoad))
	}
}
