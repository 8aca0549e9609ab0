package loader

import (
	"context"
	"sync"
	"time"

	"currantstile/model"
	"currantstile/wire"
)

// fetchPinsTimeout bounds how long an instance may take to report its pins.
const fetchPinsTimeout = time.Second

// collectPins requests from all instances their pins on newly managed targets. Once
// all have replied, the targets need not wait for unknown pins of an earlier
// manager to expire.
func (m *Manager) collectPins(ctx context.Context) {
	targets := m.targetsWithUnknownPins()
	if len(targets) == 0 {
		return
	}
	var args wire.HoldsArgs
	for id := range targets {
		args.Targets = append(args.Targets, id)
	}
	ctx, cancel := context.WithTimeout(ctx, fetchPinsTimeout)
	defer cancel()
	instances := m.Instances()
	replies := make([]wire.HoldsReply, len(instances))
	errs := make([]error, len(instances))
	var wg sync.WaitGroup
	for i, instance := range instances {
		wg.Go(func() {
			replies[i], errs[i] = m.FetchPins(ctx, instance, args)
		})
	}
	wg.Wait()
	all := len(instances) > 0
	for i, reply := range replies {
		if errs[i] != nil {
			all = false
			continue
		}
		m.recordPins(targets, reply)
	}
	if !all {
		return
	}
	now := time.Now()
	for _, t := range targets {
		t.mu.Lock()
		t.state.MarkPinsKnown(now)
		t.pinsKnown = true
		t.notifyWaiters()
		t.mu.Unlock()
	}
}

// targetsWithUnknownPins returns the targets that have reported and whose pins are
// not all known.
func (m *Manager) targetsWithUnknownPins() map[model.TargetID]*managedTarget {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make(map[model.TargetID]*managedTarget)
	for id, t := range m.targets {
		t.mu.Lock()
		if !t.pinsKnown && t.state.Incarnation() != "" {
			list[id] = t
		}
		t.mu.Unlock()
	}
	return list
}

// recordPins records one instance's pins on the given targets.
func (m *Manager) recordPins(targets map[model.TargetID]*managedTarget, reply wire.HoldsReply) {
	now := time.Now()
	for _, pins := range reply.Targets {
		t, ok := targets[pins.Target]
		if !ok {
			continue
		}
		t.mu.Lock()
		// The holder learns of void pins at its next renewal.
		t.state.Renew(now, reply.Holder, pins.Holds)
		t.mu.Unlock()
	}
}
