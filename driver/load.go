package driver

import (
	"context"
	"time"

	"currantstile/errs"
	"currantstile/sched"
	"currantstile/wire"
)

// pendingFetch is an adapter that waits for a load slot, or is being ordered.
type pendingFetch struct {
	slot *sched.LoadSlot
	// done is closed when the fetch has ended.
	done <-chan struct{}
}

// fetch waits for a load slot and then loads an adapter from the weight store. Requests
// for the same adapter share one slot. It returns true if the request should be decided
// again, and false with the reply if it is already decided or the load was not started.
func (m *Manager) fetch(mt *managedTarget, req sched.AdmissionRequest) (wire.AdmissionReply, bool) {
	mt.mu.Lock()
	if f, ok := mt.pendingFetches[req.Adapter]; ok {
		mt.mu.Unlock()
		m.loadLimiter.Raise(f.slot, req.Priority)
		select {
		case <-f.done:
		case <-time.After(loadSlotWait):
		}
		return wire.AdmissionReply{}, true
	}
	asked := time.Now()
	slot, done := m.loadLimiter.Acquire(req.Priority), make(chan struct{})
	mt.pendingFetches[req.Adapter] = pendingFetch{
		slot: slot,
		done: done,
	}
	mt.mu.Unlock()
	defer func() {
		mt.mu.Lock()
		delete(mt.pendingFetches, req.Adapter)
		mt.mu.Unlock()
		close(done)
	}()
	select {
	case <-slot.Granted:
	case <-time.After(loadSlotWait):
		m.loadLimiter.Release(slot)
		return wire.AdmissionReply{
			Reason: sched.ReasonAdapterSlots,
		}, false
	}
	defer m.releaseWhenLoaded(mt, req.Adapter, slot)
	req.Turn = true
	req.Limit = req.Left
	req.Spent += time.Since(asked)
	if reply, closed := m.closed(time.Now(), mt); closed {
		return reply, false
	}
	d, _ := mt.admit(time.Now(), req)
	switch d := d.(type) {
	case sched.Load:
		if !m.load(mt, d) {
			return wire.AdmissionReply{
				Reason: sched.ReasonNoOrders,
			}, false
		}
		return wire.AdmissionReply{}, true
	case sched.Granted:
		return wire.AdmissionReply{
			Granted:  true,
			After:    d.After,
			Expected: d.Expected,
		}, false
	case sched.Declined:
		return wire.AdmissionReply{
			Reason:   d.Reason,
			Expected: d.Expected,
		}, false
	default:
		return wire.AdmissionReply{}, true
	}
}

// load executes a decision to load: it unloads the adapter to evict, if any, and orders
// the load. It reports whether the load was accepted.
func (m *Manager) load(mt *managedTarget, d sched.Load) bool {
	mt.ordering.Take()
	defer mt.ordering.Pass()
	var unloaded, loaded Result
	mt.mu.Lock()
	hasRoom := mt.state.HasRoom(d.Unload)
	mt.mu.Unlock()
	if !hasRoom {
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

// recordResults records the results of the two orders of a load; nil is an order that was
// not sent. It reports whether the load was accepted.
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
			// The adapter is still in use by requests unknown to this manager.
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

// releaseWhenLoaded releases a load slot when the load is expected to be complete, or now
// if the adapter is not being loaded.
func (m *Manager) releaseWhenLoaded(mt *managedTarget, adapter string, slot *sched.LoadSlot) {
	now := time.Now()
	mt.mu.Lock()
	ready, ok := mt.state.ReadyAt(adapter)
	mt.mu.Unlock()
	if !ok || !now.Before(ready) {
		m.loadLimiter.Release(slot)
		return
	}
	time.AfterFunc(ready.Sub(now), func() {
		errs.Contain(&m.Log, "Manager.releaseWhenLoaded", func() {
			m.loadLimiter.Release(slot)
		})
	})
}

// sendOrder sends an order and repeats it if the response is lost. A target accepts an
// order only if its number of accepted orders equals the expected one, so at most one of
// the attempts is executed, however late the first one arrives. It returns nil if nothing
// was sent, and Unknown if no attempt got a response.
func (m *Manager) sendOrder(mt *managedTarget, o Order) Result {
	var result Result
	for range orderAttempts {
		mt.mu.Lock()
		o.Target, o.ExpectedOrders = mt.target, mt.acceptedOrders
		synced := mt.synced
		mt.mu.Unlock()
		token, ok := m.Session.MayOrder(time.Now(), o.Target.ID)
		if !ok || !synced {
			return result
		}
		o.FencingToken, o.Holder = token, m.Holder
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		var err error
		result, err = m.Orders.Order(ctx, o)
		cancel()
		if err != nil {
			result = Unknown{}
		}
		m.Log.Info().Err(err).Str("target", o.Target.ID).Bool("load", o.Load).Str("adapter", o.Adapter).
			Uint64("version", o.Version).Uint64("fence", token).Uint64("accepted", o.ExpectedOrders).Msgf("mgmt: order ended with result %T", result)
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

// markUnverified stops orders to the target until its report has been read again. The
// report is read after reportLag, so that it covers the last order. The caller holds the
// target's mu.
func (m *Manager) markUnverified(mt *managedTarget) {
	mt.synced = false
	mt.state.StateUnknown = true
	if mt.syncing {
		return
	}
	mt.syncing = true
	time.AfterFunc(reportLag, func() {
		m.syncContained(context.Background(), mt)
	})
}
