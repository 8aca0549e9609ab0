package driver

import (
	"context"
	"slices"
	"time"
)

// modelPollInterval is how often a target that loads a base model is asked whether it has
// it.
const modelPollInterval = 700 * time.Millisecond

// ensureModel has a base model loaded where a target holds none, as after a restart.
// The caller holds the target's mu.
func (m *Manager) ensureModel(mt *managedTarget, r Report) {
	if len(r.Models) > 0 || m.ModelFor == nil {
		return
	}
	mt.syncing = true
	model, gap := m.ModelFor(mt.target)
	if r.LoadingModel || model == "" || !m.mayLoadModel(time.Now(), slices.Contains(r.CachedModels, model), gap) {
		m.scheduleModelSync(mt)
		return
	}
	go func() {
		mt.orderMu.Lock()
		// The next report tells what became of it.
		_ = m.sendOrder(mt, Order{
			Load:    true,
			Adapter: model,
		})
		mt.orderMu.Unlock()
		m.scheduleModelSync(mt)
	}()
}

// scheduleModelSync reads a target's report again after a while.
func (m *Manager) scheduleModelSync(mt *managedTarget) {
	time.AfterFunc(modelPollInterval, func() {
		m.sync(context.Background(), mt)
	})
}

// mayLoadModel reports whether a base model may be ordered now. One of which the
// target has a copy does not count against the weight store.
func (m *Manager) mayLoadModel(now time.Time, atHand bool, gap time.Duration) bool {
	if atHand {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.lastModelLoad) < gap {
		return false
	}
	m.lastModelLoad = now
	return true
}
