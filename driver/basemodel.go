package driver

import (
	"context"
	"slices"
	"time"

	"currantstile/errs"
)

// modelPollInterval is the time until the report of a target without a base model is read
// again.
const modelPollInterval = 700 * time.Millisecond

// ensureModel orders a base model for a target that has none loaded, as after a restart.
// The caller holds the target's mu.
func (m *Manager) ensureModel(mt *managedTarget, r Report) {
	if len(r.Models) > 0 || m.ModelFor == nil || m.Avail.IsLeaving(&mt.target) {
		return
	}
	mt.syncing = true
	model, rate := m.ModelFor(mt.target)
	if r.LoadingModel || model == "" {
		m.scheduleModelSync(mt)
		return
	}
	go errs.Contain(&m.Log, "Manager.ensureModel", func() {
		defer m.scheduleModelSync(mt)
		// A load of a model that the target has cached does not use the weight store.
		if rate > 0 && !slices.Contains(r.CachedModels, model) && !m.LoadToken(context.Background(), mt.target.Service, rate) {
			return
		}
		mt.ordering.Take()
		defer mt.ordering.Pass()
		// The result is ignored: the next report shows whether the model is loaded.
		_ = m.sendOrder(mt, Order{
			Load:    true,
			Adapter: model,
		})
	})
}

// scheduleModelSync reads a target's report again after modelPollInterval.
func (m *Manager) scheduleModelSync(mt *managedTarget) {
	time.AfterFunc(modelPollInterval, func() {
		m.syncContained(context.Background(), mt)
	})
}
