// Package driver executes the decisions of package sched for the targets that this
// instance manages: it answers admission requests, sends the orders to a target one at a
// time, and reads the target's report to find the outcome of an order whose response was
// lost.
//
// # Usage
//
//	m := &driver.Manager{
//		Session:   session,
//		Registry:  registry,
//		Orders:    orders,
//		ModelFor:  modelFor,
//		LimitsFor: limitsFor,
//	}
//	go m.Run(ctx)
//	reply := m.RequestAdmission(args)
package driver

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"currantstile/avail"
	"currantstile/clock"
	"currantstile/elect"
	"currantstile/errs"
	"currantstile/fleet"
	"currantstile/sched"
	"currantstile/wire"
)

const (
	// orderTimeout limits one order; a target responds within a few milliseconds.
	orderTimeout = 250 * time.Millisecond
	// reportTimeout limits the reading of one report.
	reportTimeout = 500 * time.Millisecond
	// reportLag is how far a target's report lags behind its orders.
	reportLag = 700 * time.Millisecond
	// orderWait limits how long an admission request waits for an order that another
	// one has caused.
	orderWait = 500 * time.Millisecond
	// progressWait limits how long an admission request waits for progress updates on
	// granted prompts before it is decided again.
	progressWait = 100 * time.Millisecond
	// loadSlotWait limits how long a load waits for a load slot.
	loadSlotWait = 2 * time.Second
	// admissionTimeout limits the time to decide an admission request.
	admissionTimeout = 2400 * time.Millisecond
	// reconcileInterval is the interval at which the managed targets are updated.
	reconcileInterval = 200 * time.Millisecond
	// orderAttempts is how often an order is sent at most if its response is lost.
	orderAttempts = 2
)

// Manager decides admission and sends orders for the targets that this instance manages.
// Its exported fields must be set before Run. It is safe for concurrent use.
type Manager struct {
	Session  *elect.Session
	Registry *fleet.Registry
	Orders   Orders
	// ModelFor returns the base model that a target without one should load, and how many loads a second
	// the weight store of its service allows over all instances; 0 for any number.
	ModelFor func(t fleet.Target) (string, float64)
	// LoadToken takes the right to begin one load from a weight store with such a rate, and reports whether
	// there was one.
	LoadToken func(ctx context.Context, service string, rate float64) bool
	// LimitsFor returns the capacity of a service's targets, or false if the targets
	// need no manager.
	LimitsFor func(service string) (sched.Limits, bool)
	// Holder is the name of this instance, under which it sends orders.
	Holder string
	// Avail is what the targets' answers said, at this instance and at those that reported it.
	Avail *avail.Book
	Log   log.Logger

	mu          sync.Mutex
	targets     map[string]*managedTarget
	loadLimiter sched.LoadLimiter
	demand      sched.Demand
	// prefillWindows holds one window per service.
	prefillWindows map[string]*sched.PrefillWindow
}

// managedTarget is the state of one managed target and its orders.
type managedTarget struct {
	mu     sync.Mutex
	target fleet.Target
	state  *sched.Target
	// changed is closed and replaced when an order has ended, a report has been read
	// or progress has been recorded.
	changed chan struct{}
	// synced is set while acceptedOrders is known from a report. Orders are sent only
	// then. syncing is set while a report is being read or due to be.
	synced         bool
	acceptedOrders uint64
	syncing        bool
	// pendingFetches are the fetches in progress by adapter.
	pendingFetches map[string]pendingFetch
	// ordering is held while an order is in progress.
	ordering clock.Turn
}

// Run keeps the managed targets up to date until ctx is cancelled.
func (m *Manager) Run(ctx context.Context) {
	for ctx.Err() == nil {
		errs.Contain(&m.Log, "Manager.reconcile", func() {
			m.reconcile(ctx)
		})
		clock.Sleep(ctx, reconcileInterval)
	}
}

// reconcile adds the targets that the session manages and removes the others.
func (m *Manager) reconcile(ctx context.Context) {
	view := m.Registry.View()
	for _, id := range m.Session.Targets() {
		t, ok := view.Target(id)
		if !ok || !m.Session.Manages(id) {
			continue
		}
		limits, ok := m.LimitsFor(t.Service)
		if !ok {
			continue
		}
		m.manage(ctx, *t, limits)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range m.targets {
		if _, ok := view.Target(id); !ok || !m.Session.Manages(id) {
			delete(m.targets, id)
		}
	}
	m.loadLimiter.SetTargets(len(m.targets))
}

// manage adds a target or updates its limits, and reads its report if it is not synced.
func (m *Manager) manage(ctx context.Context, t fleet.Target, limits sched.Limits) {
	m.mu.Lock()
	if m.targets == nil {
		m.targets = make(map[string]*managedTarget)
	}
	mt, ok := m.targets[t.ID]
	if !ok || !mt.target.SameIncarnation(&t) {
		mt = &managedTarget{
			ordering:       clock.NewTurn(),
			target:         t,
			state:          sched.NewTarget(t.ID, limits),
			changed:        make(chan struct{}),
			pendingFetches: make(map[string]pendingFetch),
		}
		mt.state.LoadLimiter = &m.loadLimiter
		mt.state.PrefillWindow = m.prefillWindow(t.Service)
		mt.state.StateUnknown = true
		m.targets[t.ID] = mt
	}
	m.mu.Unlock()
	if mt.update(limits, t.ColdUntil) {
		go m.syncContained(ctx, mt)
	}
}

// prefillWindow returns the window that the targets of a service share. The caller holds mu.
func (m *Manager) prefillWindow(service string) *sched.PrefillWindow {
	if m.prefillWindows == nil {
		m.prefillWindows = make(map[string]*sched.PrefillWindow)
	}
	w, ok := m.prefillWindows[service]
	if !ok {
		w = &sched.PrefillWindow{}
		m.prefillWindows[service] = w
	}
	return w
}

// sync updates a target's adapters, base models and number of accepted orders from its
// report.
func (m *Manager) sync(ctx context.Context, mt *managedTarget) {
	if m.target(mt.target.ID) != mt {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	asked := time.Now()
	r, err := m.Orders.Report(ctx, mt.target)
	now := time.Now()
	mt.mu.Lock()
	defer mt.mu.Unlock()
	mt.syncing = false
	if err != nil {
		// The next reconciliation reads it again; no order is sent before.
		mt.synced = false
		m.Log.Warn().Err(err).Str("target", mt.target.ID).Msg("mgmt: cannot read target report; keeping the last known state")
		return
	}
	if r.Leaving || r.Limit != nil {
		n := avail.NoticeOf(&mt.target)
		n.Leaving = r.Leaving
		if r.Limit != nil {
			n.Limit = &avail.LimitEvidence{
				Rate:    *r.Limit,
				SentAge: now.Sub(asked),
			}
		}
		m.recordNotice(now, n)
	}
	mt.synced = true
	mt.state.StateUnknown = false
	mt.acceptedOrders = r.AcceptedOrders
	mt.state.Models = r.Models
	mt.state.RecordReport(now, r.Adapters)
	m.ensureModel(mt, r)
	if mt.state.HasUnverified() {
		m.markUnverified(mt)
	}
	mt.notifyWaiters()
	m.Log.Info().Str("target", mt.target.ID).Uint64("accepted", r.AcceptedOrders).Int("adapters", len(r.Adapters)).Strs("models", r.Models).
		Int("running", r.Running).Int("waiting", r.Waiting).Msg("mgmt: target reported")
}

// notifyWaiters wakes the admission requests that wait for a change. The caller holds mu.
func (mt *managedTarget) notifyWaiters() {
	close(mt.changed)
	mt.changed = make(chan struct{})
}

// target returns a managed target, or nil if this instance does not manage it.
func (m *Manager) target(id string) *managedTarget {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.targets[id]
}

// TargetCount returns the number of managed targets.
func (m *Manager) TargetCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.targets)
}

// ReadyCount returns the number of managed targets that are synced with their report.
func (m *Manager) ReadyCount() int {
	m.mu.Lock()
	targets := slices.Collect(maps.Values(m.targets))
	m.mu.Unlock()
	n := 0
	for _, mt := range targets {
		mt.mu.Lock()
		if mt.synced {
			n++
		}
		mt.mu.Unlock()
	}
	return n
}

// RequestAdmission decides an admission request from an instance. The reply is empty if
// the target is not managed here.
func (m *Manager) RequestAdmission(args wire.AdmissionArgs) wire.AdmissionReply {
	mt := m.target(args.Target)
	if mt == nil {
		return wire.AdmissionReply{}
	}
	if args.Notice != nil {
		m.recordNotice(time.Now(), *args.Notice)
	}
	demand := 0.0
	if args.Ask.Adapter != "" {
		tokens := float64(args.Ask.Prompt) * float64(args.Ask.Asks)
		demand = m.demand.Add(time.Now(), demandKey(args), tokens)
	}
	if sched.ReplicasOutdated(args.Ask.Asks, demand) {
		return wire.AdmissionReply{
			Reason: sched.ReasonMoreReplicas,
			Demand: demand,
		}
	}
	reply := m.decide(mt, args.Ask)
	reply.Demand = demand
	mt.mu.Lock()
	reply.Window = mt.state.PrefillWindow.Tokens(&mt.state.Limits)
	reply.Delay = mt.state.StandingDelay(time.Now())
	mt.mu.Unlock()
	return reply
}

// demandKey returns the key of an adapter's demand at one replica; demand is estimated
// per replica.
func demandKey(args wire.AdmissionArgs) string {
	return args.Target + "/" + args.Ask.Adapter
}

// decide returns the target's decision on an admission request, after the loads and waits
// that it requires.
func (m *Manager) decide(mt *managedTarget, req sched.AdmissionRequest) wire.AdmissionReply {
	start := time.Now()
	needed := m.Avail.NeedsToken(start, &mt.target)
	if reply, ok := m.takeToken(start, mt); !ok {
		return reply
	}
	reply := m.decideWithToken(start, mt, req)
	reply.Token = needed
	if !reply.Granted && needed {
		m.Avail.ReturnToken(&mt.target)
	}
	return reply
}

// decideWithToken is decide for a request that the target's rate limit allows.
func (m *Manager) decideWithToken(start time.Time, mt *managedTarget, req sched.AdmissionRequest) wire.AdmissionReply {
	limit, left, spent := req.Limit, req.Left, req.Spent
	var waits wire.AdmissionWaits
	for now := start; now.Sub(start) < admissionTimeout; now = time.Now() {
		// Time spent waiting here reduces the time left to wait at other targets.
		req.Limit, req.Left, req.Spent = limit-now.Sub(start), left-now.Sub(start), spent+now.Sub(start)
		if reply, closed := m.closed(now, mt); closed {
			reply.Waits = waits
			return reply
		}
		d, changed := mt.admit(now, req)
		switch d := d.(type) {
		case sched.Granted:
			return wire.AdmissionReply{
				Granted:  true,
				After:    d.After,
				Expected: d.Expected,
				Waits:    waits,
			}
		case sched.Declined:
			return wire.AdmissionReply{
				Reason:   d.Reason,
				Expected: d.Expected,
				Waits:    waits,
			}
		case sched.Load:
			if !m.load(mt, d) {
				return wire.AdmissionReply{
					Reason: sched.ReasonNoOrders,
				}
			}
		case sched.LoadSlotRequired:
			if reply, ok := m.fetch(mt, req); !ok {
				return reply
			}
		case sched.Queued:
			select {
			case <-changed:
			case <-time.After(progressWait):
			}
		case sched.OrderPending:
			select {
			case <-changed:
			case <-time.After(orderWait):
			}
		}
		*waitOf(&waits, d) += time.Since(now)
	}
	return wire.AdmissionReply{
		Waits:  waits,
		Reason: sched.ReasonAdapterSlots,
	}
}

// closed returns the reply to admission requests for a target that is closed by its answers,
// and reports whether it is.
func (m *Manager) closed(now time.Time, mt *managedTarget) (wire.AdmissionReply, bool) {
	n := m.Avail.NoticeOf(now, &mt.target)
	switch {
	case n.Leaving:
		return wire.AdmissionReply{
			Reason: sched.ReasonLeaving,
			Notice: &n,
		}, true
	case n.Pushback > 0:
		return wire.AdmissionReply{
			Reason: sched.ReasonPushedBack,
			Notice: &n,
		}, true
	default:
		return wire.AdmissionReply{}, false
	}
}

// waitOf returns the wait to which the time after a decision counts.
func waitOf(w *wire.AdmissionWaits, d sched.Decision) *time.Duration {
	switch d.(type) {
	case sched.Queued:
		return &w.Prompts
	case sched.LoadSlotRequired:
		return &w.LoadSlot
	default:
		return &w.Orders
	}
}

// RecordProgress applies progress updates of granted requests.
func (m *Manager) RecordProgress(args wire.ProgressArgs) {
	for _, progress := range args.Targets {
		if progress.Notice != nil {
			m.recordNotice(time.Now(), *progress.Notice)
		}
		mt := m.target(progress.Target)
		if mt == nil {
			continue
		}
		m.applyProgress(mt, progress.Notes)
	}
}

// recordNotice records what answers of a target said.
func (m *Manager) recordNotice(now time.Time, n avail.Notice) {
	if !m.Avail.Record(now, n) {
		return
	}
	if n.Leaving || n.Pushback > 0 {
		m.Log.Info().Str("target", n.Target).Bool("leaving", n.Leaving).Dur("pushback", n.Pushback).Msg("mgmt: target takes no requests")
	}
	if n.Limit != nil {
		m.Log.Info().Str("target", n.Target).Float64("limit", n.Limit.NamedRate()).Dur("age", n.Limit.Age).Msg("mgmt: target's rate limit reported by another instance")
	}
}

// Service exposes a Manager through methods with the signatures that net/rpc requires.
type Service struct {
	Manager *Manager
}

// Ask handles an admission request.
func (s *Service) Ask(args wire.AdmissionArgs, reply *wire.AdmissionReply) (err error) {
	defer errs.Recover("Service.Ask", &err)
	*reply = s.Manager.RequestAdmission(args)
	return nil
}

// Notes handles progress updates.
func (s *Service) Notes(args wire.ProgressArgs, _ *wire.Empty) (err error) {
	defer errs.Recover("Service.Notes", &err)
	s.Manager.RecordProgress(args)
	return nil
}

// Ping does nothing; a reply shows that the instance can be reached.
func (s *Service) Ping(_ wire.Empty, _ *wire.Empty) (err error) {
	defer errs.Recover("Service.Ping", &err)
	return nil
}
