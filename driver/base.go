package driver

import (
	"context"
	"slices"
	"time"
)

// modelPoll is how often a target that loads a base model is asked whether it has
// it.
const modelPoll = 700 * time.Millisecond

// needModel has a base model loaded where a target holds none, as after a restart.
// The caller holds the target's mu.
func (m *Manager) needModel(mt *managed, r Report) {
	if len(r.Models) > 0 || m.Model == nil {
		return
	}
	mt.syncing = true
	model, gap := m.Model(mt.target)
	if r.Busy || model == "" || !m.modelTurn(time.Now(), slices.Contains(r.AtHand, model), gap) {
		m.syncLater(mt)
		return
	}
	go func() {
		mt.ordering.Lock()
		// The next report tells what became of it.
		_ = m.order(mt, Order{
			Load:    true,
			Adapter: model,
		})
		mt.ordering.Unlock()
		m.syncLater(mt)
	}()
}

// syncLater reads a target's report again after a while.
func (m *Manager) syncLater(mt *managed) {
	time.AfterFunc(modelPoll, func() {
		m.sync(context.Background(), mt)
	})
}

// modelTurn reports whether a base model may be ordered now. One of which the
// target has a copy does not count against the weight store.
func (m *Manager) modelTurn(now time.Time, atHand bool, gap time.Duration) bool {
	if atHand {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.modelAt) < gap {
		return false
	}
	m.modelAt = now
	return true
}
