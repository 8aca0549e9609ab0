// Package loader implements the manager of targets: it polls the targets that are
// assigned to this instance, orders adapters to be loaded and unloaded, and grants
// pins. Package cache decides what may be granted and evicted.
//
// # Usage
//
//	m := &loader.Manager{
//		Engines:        engines,
//		ManagedTargets: managed, // the targets assigned to this instance
//	}
//	go m.Run(ctx)
//	reply := m.Acquire(args)
package loader

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/phuslu/log"

	"currantstile/cache"
	"currantstile/engine"
	"currantstile/model"
	"currantstile/rest"
	"currantstile/wire"
)

const (
	// ReportInterval is how often each managed target's report is read.
	ReportInterval = 500 * time.Millisecond
	reportTimeout  = 2 * time.Second
	// loadTimeout bounds a load, including the wait for a permit and the unloading of
	// another adapter.
	loadTimeout = 30 * time.Second
	// MaxWait bounds how long a request for a pin may wait at the manager.
	MaxWait = 10 * time.Second
	// loadFailurePause is the delay before a failed load is recorded, so that the
	// weight store does not receive another request at once.
	loadFailurePause = 250 * time.Millisecond
)

// Manager manages the targets assigned to this instance. Its exported fields must
// be set before Run.
type Manager struct {
	Engines *engine.Client
	// ManagedTargets returns the engines that this instance manages.
	ManagedTargets func() model.Members
	// AcquirePermit requests a permit to load an adapter, and ReleasePermit
	// returns it.
	AcquirePermit func(ctx context.Context) (wire.LoadPermitReply, error)
	ReleasePermit func(ctx context.Context, id cache.PermitID)
	// Instances returns the instances that may hold pins, and FetchPins requests
	// the pins of one of them.
	Instances func() model.Members
	FetchPins func(ctx context.Context, instance model.Member, args wire.HoldsArgs) (wire.HoldsReply, error)
	Log       log.Logger

	mu      sync.Mutex
	targets map[model.TargetID]*managedTarget
	// loadMu is held by the load that waits for a permit, so that the loads of
	// this instance start one after the other in order of arrival.
	loadMu sync.Mutex
}

// managedTarget is a target together with its queue of requests and the channel on
// which they wait for changes.
type managedTarget struct {
	addr         netip.AddrPort
	fencingToken uint64
	mu           sync.Mutex
	state        *cache.Target
	// changed is closed and replaced whenever the decision on a waiting request
	// may change.
	changed chan struct{}
	// failedAt is when the last load of each adapter failed.
	failedAt map[model.Adapter]time.Time
	queue    *cache.Queue
	// pinsKnown is set once all instances have reported their pins.
	pinsKnown bool
}

// notifyWaiters lets all waiting requests be decided again. The caller holds mu.
func (t *managedTarget) notifyWaiters() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Run polls the managed targets every ReportInterval until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	tick := time.NewTicker(ReportInterval)
	defer tick.Stop()
	for {
		m.poll(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// poll updates the set of managed targets, reads their reports concurrently and
// collects the pins on newly managed targets.
func (m *Manager) poll(ctx context.Context) {
	members := m.ManagedTargets()
	m.reconcile(time.Now(), members)
	var wg sync.WaitGroup
	for _, member := range members {
		wg.Go(func() {
			m.readReport(ctx, model.TargetID(member.ID))
		})
	}
	wg.Wait()
	m.collectPins(ctx)
}

// reconcile sets the managed targets to the given members. Targets that remain at
// the same address keep their state.
func (m *Manager) reconcile(now time.Time, members model.Members) {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := make(map[model.TargetID]*managedTarget, len(members))
	for _, member := range members {
		id := model.TargetID(member.ID)
		t, ok := m.targets[id]
		if !ok || t.addr != member.Addr {
			t = &managedTarget{
				addr:         member.Addr,
				fencingToken: uint64(now.UnixNano()),
				state:        cache.NewTarget(id),
				changed:      make(chan struct{}),
				failedAt:     make(map[model.Adapter]time.Time),
				queue:        cache.NewQueue(),
			}
			m.Log.Info().Msgf("manager: managing target %s", id)
		}
		next[id] = t
	}
	m.targets = next
}

func (m *Manager) target(id model.TargetID) (*managedTarget, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t, ok := m.targets[id]
	return t, ok
}

// readReport reads a target's report and records it. A target that does not respond keeps
// its last state.
func (m *Manager) readReport(ctx context.Context, id model.TargetID) {
	t, ok := m.target(id)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	s, err := m.Engines.State(ctx, t.addr)
	if err != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.state.Incarnation()
	t.state.RecordReport(time.Now(), reportOf(s))
	if before != "" && before != s.Incarnation {
		m.Log.Warn().Msgf("manager: target %s restarted as %s", id, s.Incarnation)
	}
	t.notifyWaiters()
}

func reportOf(s engine.State) cache.Report {
	r := cache.Report{
		Incarnation:  s.Incarnation,
		Capacity:     s.MaxConcurrent,
		AdapterSlots: s.Slots,
		Running:      s.Running,
	}
	for _, a := range s.Adapters {
		r.Adapters = append(r.Adapters, cache.ReportAdapter{
			Adapter: model.Adapter{
				Name:    a.Name,
				Version: a.Version,
			},
			Ready:   a.Ready,
			Running: a.Running,
		})
	}
	return r
}

// Acquire answers a request for a pin. It waits for a load or for capacity as long
// as the request allows, at most MaxWait.
func (m *Manager) Acquire(args wire.AcquireArgs) wire.AcquireReply {
	t, ok := m.target(args.Target)
	if !ok {
		return wire.AcquireReply{
			Result: wire.AcquireNotManager,
		}
	}
	start := time.Now()
	timer := time.NewTimer(min(args.Wait, MaxWait))
	defer timer.Stop()
	t.mu.Lock()
	w := t.queue.Add(args.Ask.Organisation, args.Ask.Priority, args.Ask.Adapter)
	loaded := false
	for {
		reply, changed, final := m.decide(t, args, w, start)
		loaded = loaded || reply.Loaded
		if final {
			reply.Loaded = loaded
			t.cancelAndUnlock(w)
			return reply
		}
		t.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			t.mu.Lock()
			t.cancelAndUnlock(w)
			return wire.AcquireReply{
				Result: wire.AcquireFull,
				Loaded: loaded,
			}
		}
		t.mu.Lock()
	}
}

// cancelAndUnlock removes a request from the queue and unlocks mu, which the caller
// holds.
func (t *managedTarget) cancelAndUnlock(w *cache.Waiter) {
	defer t.mu.Unlock()
	t.queue.Cancel(w)
	t.notifyWaiters()
}

// decide makes one decision on a request. It reports false if the request has to
// wait until the returned channel is closed. The caller holds the target's mu.
func (m *Manager) decide(t *managedTarget, args wire.AcquireArgs, w *cache.Waiter, start time.Time) (wire.AcquireReply, <-chan struct{}, bool) {
	now := time.Now()
	if at, ok := t.failedAt[args.Ask.Adapter]; ok && at.After(start) {
		return wire.AcquireReply{
			Result: wire.AcquireLoadFailed,
			Loaded: true,
		}, nil, true
	}
	if t.state.IsReady(args.Ask.Adapter) && t.queue.Next(t.state.IsReady) != w {
		return wire.AcquireReply{}, t.changed, false
	}
	switch d := t.state.RequestPin(now, args.Ask).(type) {
	case cache.Granted:
		d.Pin.Contended = t.queue.Len() > 1
		t.queue.MarkServed(w)
		t.notifyWaiters()
		return wire.AcquireReply{
			Result: wire.AcquireGranted,
			Pin:    d.Pin,
		}, nil, true
	case cache.Load:
		delete(t.failedAt, d.Adapter)
		go m.load(t, d)
		return wire.AcquireReply{
			Loaded: true,
		}, t.changed, false
	case cache.NotReady:
		return wire.AcquireReply{
			Loaded: true,
		}, t.changed, false
	case cache.NoAdapterSlot:
		return wire.AcquireReply{
			Result: wire.AcquireFull,
		}, nil, true
	default:
		return wire.AcquireReply{}, t.changed, false
	}
}

// load carries out a decision to load an adapter. It first waits for a load permit.
func (m *Manager) load(t *managedTarget, d cache.Load) {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	id, permitted := m.waitForPermit(ctx)
	if permitted {
		defer m.ReleasePermit(context.WithoutCancel(ctx), id)
	}
	if d.Evict != (model.Adapter{}) && !m.unload(ctx, t, d.Evict) {
		m.recordLoaded(t, d.Adapter, false)
		return
	}
	err := m.sendOrder(ctx, t, engine.OpLoad, d.Adapter)
	if err != nil {
		m.Log.Warn().Err(err).Msgf("manager: cannot load %s; failing the requests that wait for it", d.Adapter)
		time.Sleep(loadFailurePause)
	}
	m.recordLoaded(t, d.Adapter, err == nil)
}

// unload orders an adapter to be unloaded and records the result. It reports whether the
// order succeeded.
func (m *Manager) unload(ctx context.Context, t *managedTarget, a model.Adapter) bool {
	err := m.sendOrder(ctx, t, engine.OpUnload, a)
	if err != nil {
		m.Log.Warn().Err(err).Msgf("manager: cannot unload %s; abandoning the load that needs its slot", a)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	// An order with an unknown result may still be carried out: the adapter counts
	// as unloaded until a report shows it, and a higher fencing token invalidates
	// the order.
	known := err == nil || engine.RefusalCode(err) != "" || !rest.MaybeSent(err)
	if !known {
		t.fencingToken++
	}
	t.state.RecordUnloaded(a, err == nil || !known)
	return err == nil
}

// sendOrder sends an order with the target's fencing token.
func (m *Manager) sendOrder(ctx context.Context, t *managedTarget, op engine.Op, a model.Adapter) error {
	t.mu.Lock()
	token := t.fencingToken
	t.mu.Unlock()
	return m.Engines.Order(ctx, t.addr, engine.Order{
		FencingToken: token,
		Op:           op,
		Name:         a.Name,
		Version:      a.Version,
	})
}

// recordLoaded records the result of a load and notifies the waiting requests.
func (m *Manager) recordLoaded(t *managedTarget, a model.Adapter, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.state.RecordLoaded(now, a, ok)
	if !ok {
		t.failedAt[a] = now
	}
	t.notifyWaiters()
}

// Renew extends a holder's pins.
func (m *Manager) Renew(args wire.RenewArgs) wire.RenewReply {
	var reply wire.RenewReply
	for _, pins := range args.Targets {
		void, ok := m.renewTarget(args.Holder, pins)
		if !ok {
			reply.Unmanaged = append(reply.Unmanaged, pins.Target)
		}
		if len(void) > 0 {
			reply.Void = append(reply.Void, wire.VoidPins{
				Target:   pins.Target,
				Adapters: void,
			})
		}
	}
	return reply
}

// renewTarget extends the pins on one target. It reports false if this instance
// does not manage the target or has no report of it yet.
func (m *Manager) renewTarget(holder cache.Holder, pins wire.TargetHolds) ([]model.Adapter, bool) {
	t, ok := m.target(pins.Target)
	if !ok {
		return nil, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state.Incarnation() == "" {
		return nil, false
	}
	void := t.state.Renew(time.Now(), holder, pins.Holds)
	t.notifyWaiters()
	return void, true
}

// RecordLost records that an adapter is not loaded on a target.
func (m *Manager) RecordLost(args wire.AdapterLostArgs) {
	t, ok := m.target(args.Target)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.RecordLost(args.Adapter, args.Incarnation)
	t.notifyWaiters()
}

// TargetSummary describes one managed target for operators.
type TargetSummary struct {
	Target   model.TargetID
	Adapters []cache.Summary
}

// Summaries returns the managed targets and their adapters in no particular order.
func (m *Manager) Summaries() []TargetSummary {
	m.mu.Lock()
	targets := make(map[model.TargetID]*managedTarget, len(m.targets))
	for id, t := range m.targets {
		targets[id] = t
	}
	m.mu.Unlock()
	list := make([]TargetSummary, 0, len(targets))
	for id, t := range targets {
		t.mu.Lock()
		list = append(list, TargetSummary{
			Target:   id,
			Adapters: t.state.Summaries(),
		})
		t.mu.Unlock()
	}
	return list
}

// Ready reports whether every managed target has reported.
func (m *Manager) Ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range m.targets {
		t.mu.Lock()
		known := t.state.Incarnation() != ""
		t.mu.Unlock()
		if !known {
			return false
		}
	}
	return true
}

// TargetCount returns the number of managed targets.
func (m *Manager) TargetCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.targets)
}
