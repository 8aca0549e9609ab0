package driver

import (
	"context"
	"time"

	"currantstile/sched"
	"currantstile/wire"
)

// fetch waits for a turn to fetch an adapter from the weight store, and has it
// loaded. Asks for the same adapter share one turn. It reports false with the
// answer where the adapter is not on its way.
func (m *Manager) fetch(mt *managedTarget, ask sched.AdmissionRequest) (wire.AskReply, bool) {
	mt.mu.Lock()
	if done, ok := mt.pendingFetches[ask.Adapter]; ok {
		mt.mu.Unlock()
		select {
		case <-done:
		case <-time.After(loadSlotWait):
		}
		return wire.AskReply{}, true
	}
	done := make(chan struct{})
	mt.pendingFetches[ask.Adapter] = done
	mt.mu.Unlock()
	defer func() {
		mt.mu.Lock()
		delete(mt.pendingFetches, ask.Adapter)
		mt.mu.Unlock()
		close(done)
	}()
	turn := m.loadLimiter.Acquire()
	select {
	case <-turn:
	case <-time.After(loadSlotWait):
		m.loadLimiter.Release(turn)
		return wire.AskReply{
			Reason: sched.ReasonAdapterSlots,
		}, false
	}
	defer m.releaseWhenLoaded(mt, ask.Adapter, turn)
	ask.Turn = true
	ask.Limit = ask.Left
	mt.mu.Lock()
	d := mt.state.Admit(time.Now(), ask)
	mt.mu.Unlock()
	switch d := d.(type) {
	case sched.Load:
		if !m.load(mt, d) {
			return wire.AskReply{
				Reason: sched.ReasonNoOrders,
			}, false
		}
		return wire.AskReply{}, true
	case sched.Granted:
		return wire.AskReply{
			Granted:  true,
			After:    d.After,
			Expected: d.Expected,
		}, false
	case sched.Declined:
		return wire.AskReply{
			Reason:   d.Reason,
			Expected: d.Expected,
		}, false
	default:
		return wire.AskReply{}, true
	}
}

// load carries out a decision to load. It reports whether the adapter is on its
// way.
func (m *Manager) load(mt *managedTarget, d sched.Load) bool {
	mt.orderMu.Lock()
	defer mt.orderMu.Unlock()
	var unloaded, loaded Result
	mt.mu.Lock()
	room := mt.state.HasRoom(d.Unload)
	mt.mu.Unlock()
	if !room {
		return m.recordResults(mt, d, nil, nil)
	}
	unloaded = Accepted{
		Completed: true,
	}
	if d.Unload != "" {
		unloaded = m.sendOrder(mt, Order{
			Adapter: d.Unload,
		})
	}
	if a, ok := unloaded.(Accepted); ok && a.Completed {
		loaded = m.sendOrder(mt, Order{
			Load:    true,
			Adapter: d.Adapter,
			Version: d.Version,
		})
	}
	return m.recordResults(mt, d, unloaded, loaded)
}

// recordResults takes in the results of the two orders of a load; nil is an order that
// was not sent. It reports whether the adapter is on its way.
func (m *Manager) recordResults(mt *managedTarget, d sched.Load, unloaded, loaded Result) bool {
	now := time.Now()
	mt.mu.Lock()
	defer mt.mu.Unlock()
	defer mt.notifyWaiters()
	switch r := unloaded.(type) {
	case Accepted:
		if r.Completed {
			mt.state.RecordUnloaded(d.Unload)
		} else {
			// Requests that this manager does not know of still use it.
			mt.state.MarkUnverified(now, d.Unload)
			m.markUnverified(mt)
		}
	case Unknown:
		mt.state.MarkUnverified(now, d.Unload)
	default:
		mt.state.CancelOrder(d.Unload)
	}
	switch loaded.(type) {
	case Accepted:
		mt.state.RecordLoaded(now, d.Adapter, d.Version)
		return true
	case Unknown:
		mt.state.MarkUnverified(now, d.Adapter)
	default:
		mt.state.RecordLoadFailed(d.Adapter)
	}
	return false
}

// releaseWhenLoaded gives a permit back when the load is expected to have ended.
func (m *Manager) releaseWhenLoaded(mt *managedTarget, adapter string, permit <-chan struct{}) {
	now := time.Now()
	mt.mu.Lock()
	ready, ok := mt.state.ReadyAt(adapter)
	mt.mu.Unlock()
	if !ok || !now.Before(ready) {
		m.loadLimiter.Release(permit)
		return
	}
	time.AfterFunc(ready.Sub(now), func() {
		m.loadLimiter.Release(permit)
	})
}

// sendOrder sends an order, again if its answer is lost: a target accepts an order
// only after the number of orders that it names, so that at most one of them is
// carried out, however late the first one arrives. It returns nil if nothing was
// sent.
func (m *Manager) sendOrder(mt *managedTarget, o Order) Result {
	var result Result
	for range orderAttempts {
		mt.mu.Lock()
		o.Target, o.ExpectedOrders = mt.target, mt.acceptedOrders
		synced := mt.synced
		mt.mu.Unlock()
		fence, ok := m.Session.MayOrder(time.Now(), o.Target.ID)
		if !ok || !synced {
			return result
		}
		o.FencingToken, o.Holder = fence, m.Holder
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		var err error
		result, err = m.Orders.Order(ctx, o)
		cancel()
		if err != nil {
			result = Unknown{}
		}
		m.Log.Info().Err(err).Str("target", o.Target.ID).Bool("load", o.Load).Str("adapter", o.Adapter).
			Uint64("version", o.Version).Uint64("fence", fence).Uint64("accepted", o.ExpectedOrders).Msgf("mgmt: order ends as %T", result)
		if err == nil {
			break
		}
	}
	mt.mu.Lock()
	defer mt.mu.Unlock()
	switch r := result.(type) {
	case Accepted:
		if r.Counted {
			mt.acceptedOrders++
		}
	case Fenced:
		m.Session.RecordRefusal(o.Target.ID, o.FencingToken)
	default:
		m.markUnverified(mt)
	}
	return result
}

// markUnverified has the target's report read again once it covers the last order. The
// caller holds mu.
func (m *Manager) markUnverified(mt *managedTarget) {
	mt.synced = false
	mt.state.StateUnknown = true
	if mt.syncing {
		return
	}
	mt.syncing = true
	time.AfterFunc(reportLag, func() {
		m.sync(context.Background(), mt)
	})
}
