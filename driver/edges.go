package driver

import (
	"context"
	"time"

	"currantstile/errs"
	"currantstile/sched"
)

// syncContained is sync in a goroutine of its own. After a panic the next reconciliation reads the
// report again, and no order is sent before.
func (m *Manager) syncContained(ctx context.Context, mt *managedTarget) {
	errs.Contain(&m.Log, "Manager.sync", func() {
		done := false
		defer func() {
			if !done {
				m.markUnread(mt)
			}
		}()
		m.sync(ctx, mt)
		done = true
	})
}

// markUnread records that the state of a target has to be read again.
func (m *Manager) markUnread(mt *managedTarget) {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	mt.synced, mt.syncing = false, false
}

// applyProgress applies progress updates of granted requests at a target.
func (m *Manager) applyProgress(mt *managedTarget, notes []sched.ProgressUpdate) {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	for _, u := range notes {
		mt.state.RecordProgress(time.Now(), u)
	}
	if mt.synced && mt.state.HasUnverified() {
		m.markUnverified(mt)
	}
	mt.notifyWaiters()
}

// admit decides about a request, and returns the channel that is closed at the next change.
func (mt *managedTarget) admit(now time.Time, req sched.AdmissionRequest) (sched.Decision, <-chan struct{}) {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	return mt.state.Admit(now, req), mt.changed
}

// update sets what the configuration and the entry of a target say. It reports whether its report is
// to be read.
func (mt *managedTarget) update(limits sched.Limits, cold time.Time) bool {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	mt.state.Limits = limits
	mt.state.SetCold(cold)
	needSync := !mt.synced && !mt.syncing
	mt.syncing = mt.syncing || needSync
	return needSync
}
