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
func (m *Manager) fetch(mt *managed, ask sched.AdmissionRequest) (wire.AskReply, bool) {
	mt.mu.Lock()
	if done, ok := mt.fetching[ask.Adapter]; ok {
		mt.mu.Unlock()
		select {
		case <-done:
		case <-time.After(permitWait):
		}
		return wire.AskReply{}, true
	}
	done := make(chan struct{})
	mt.fetching[ask.Adapter] = done
	mt.mu.Unlock()
	defer func() {
		mt.mu.Lock()
		delete(mt.fetching, ask.Adapter)
		mt.mu.Unlock()
		close(done)
	}()
	turn := m.loads.Acquire()
	select {
	case <-turn:
	case <-time.After(permitWait):
		m.loads.Release(turn)
		return wire.AskReply{
			Reason: sched.ReasonAdapterSlots,
		}, false
	}
	defer m.leaveAtEnd(mt, ask.Adapter, turn)
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
func (m *Manager) load(mt *managed, d sched.Load) bool {
	mt.ordering.Lock()
	defer mt.ordering.Unlock()
	var unloaded, loaded Result
	mt.mu.Lock()
	room := mt.state.HasRoom(d.Unload)
	mt.mu.Unlock()
	if !room {
		return m.settle(mt, d, nil, nil)
	}
	unloaded = Accepted{
		Done: true,
	}
	if d.Unload != "" {
		unloaded = m.order(mt, Order{
			Adapter: d.Unload,
		})
	}
	if a, ok := unloaded.(Accepted); ok && a.Done {
		loaded = m.order(mt, Order{
			Load:    true,
			Adapter: d.Adapter,
			Version: d.Version,
		})
	}
	return m.settle(mt, d, unloaded, loaded)
}

// settle takes in the results of the two orders of a load; nil is an order that
// was not sent. It reports whether the adapter is on its way.
func (m *Manager) settle(mt *managed, d sched.Load, unloaded, loaded Result) bool {
	now := time.Now()
	mt.mu.Lock()
	defer mt.mu.Unlock()
	defer mt.wake()
	switch r := unloaded.(type) {
	case Accepted:
		if r.Done {
			mt.state.RecordUnloaded(d.Unload)
		} else {
			// Requests that this manager does not know of still use it.
			mt.state.MarkUnverified(now, d.Unload)
			m.unsure(mt)
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

// leaveAtEnd gives a permit back when the load is expected to have ended.
func (m *Manager) leaveAtEnd(mt *managed, adapter string, permit <-chan struct{}) {
	now := time.Now()
	mt.mu.Lock()
	ready, ok := mt.state.ReadyAt(adapter)
	mt.mu.Unlock()
	if !ok || !now.Before(ready) {
		m.loads.Release(permit)
		return
	}
	time.AfterFunc(ready.Sub(now), func() {
		m.loads.Release(permit)
	})
}

// order sends an order, again if its answer is lost: a target accepts an order
// only after the number of orders that it names, so that at most one of them is
// carried out, however late the first one arrives. It returns nil if nothing was
// sent.
func (m *Manager) order(mt *managed, o Order) Result {
	var result Result
	for range orderTries {
		mt.mu.Lock()
		o.Target, o.Accepted = mt.target, mt.accepted
		synced := mt.synced
		mt.mu.Unlock()
		fence, ok := m.Session.MayOrder(time.Now(), o.Target.ID)
		if !ok || !synced {
			return result
		}
		o.Fence, o.Holder = fence, m.Holder
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		var err error
		result, err = m.Orders.Order(ctx, o)
		cancel()
		if err != nil {
			result = Unknown{}
		}
		m.Log.Info().Err(err).Str("target", o.Target.ID).Bool("load", o.Load).Str("adapter", o.Adapter).
			Uint64("version", o.Version).Uint64("fence", fence).Uint64("accepted", o.Accepted).Msgf("mgmt: order ends as %T", result)
		if err == nil {
			break
		}
	}
	mt.mu.Lock()
	defer mt.mu.Unlock()
	switch r := result.(type) {
	case Accepted:
		if r.Counted {
			mt.accepted++
		}
	case Fenced:
		m.Session.RecordRefusal(o.Target.ID, o.Fence)
	default:
		m.unsure(mt)
	}
	return result
}

// unsure has the target's report read again once it covers the last order. The
// caller holds mu.
func (m *Manager) unsure(mt *managed) {
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
