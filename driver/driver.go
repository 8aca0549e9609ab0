// Package driver carries out what package sched decides for the targets that this
// instance manages: it answers asks, sends orders one after the other, and finds
// out what became of an order whose answer was lost.
//
// # Usage
//
//	m := &driver.Manager{Session: session, Book: book, Orders: orders, Limits: limits}
//	go m.Run(ctx)
//	reply := m.Ask(args)
package driver

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"currantstile/clock"
	"currantstile/elect"
	"currantstile/fleet"
	"currantstile/sched"
	"currantstile/wire"
)

const (
	// orderTimeout bounds one order: a target answers in a few milliseconds.
	orderTimeout = 250 * time.Millisecond
	// reportTimeout bounds one report.
	reportTimeout = 500 * time.Millisecond
	// reportLag is by how much a target's report lags behind.
	reportLag = 700 * time.Millisecond
	// orderWait bounds how long an ask waits for an order of another ask.
	orderWait = 500 * time.Millisecond
	// progressWait bounds how long an ask waits for news of prompts that are read.
	progressWait = 100 * time.Millisecond
	// loadSlotWait bounds how long a load waits for its turn.
	loadSlotWait = 2 * time.Second
	// admissionTimeout bounds how long an ask is decided on.
	admissionTimeout = 2400 * time.Millisecond
	// reconcileInterval is how often targets are taken over and given up.
	reconcileInterval = 200 * time.Millisecond
	// orderAttempts is how often an order is sent again whose answer was lost.
	orderAttempts = 2
)

// Manager manages targets. Its exported fields are set before Run.
type Manager struct {
	Session  *elect.Session
	Registry *fleet.Registry
	Orders   Orders
	// ModelFor returns the base model that a target which holds none should load, and
	// how long this instance leaves between two loads from the weight store.
	ModelFor func(t fleet.Target) (string, time.Duration)
	// LimitsFor returns what the targets of a service bear, or false for a service
	// whose targets need no manager.
	LimitsFor func(service string) (sched.Limits, bool)
	Holder    string
	Log       log.Logger

	mu          sync.Mutex
	targets     map[string]*managedTarget
	loadLimiter sched.LoadLimiter
	demand      sched.Demand
	// lastModelLoad is when the last base model was ordered that had to come from the
	// weight store.
	lastModelLoad time.Time
}

// managedTarget is one target with what its orders need.
type managedTarget struct {
	mu     sync.Mutex
	target fleet.Target
	state  *sched.Target
	// changed is closed and replaced when an order has ended.
	changed chan struct{}
	// synced is set once a report has told how many orders were accepted.
	synced         bool
	acceptedOrders uint64
	syncing        bool
	// pendingFetches are the adapters that wait for a turn, each with a channel that is
	// closed when that has ended.
	pendingFetches map[string]chan struct{}
	// orderMu is held while an order is under way.
	orderMu sync.Mutex
}

// Run takes targets over and gives them up until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	for ctx.Err() == nil {
		m.reconcile(ctx)
		clock.Sleep(ctx, reconcileInterval)
	}
}

// reconcile makes the managed targets those that the session manages.
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

func (m *Manager) manage(ctx context.Context, t fleet.Target, limits sched.Limits) {
	m.mu.Lock()
	if m.targets == nil {
		m.targets = make(map[string]*managedTarget)
	}
	mt, ok := m.targets[t.ID]
	if !ok || !mt.target.SameIncarnation(&t) {
		mt = &managedTarget{
			target:         t,
			state:          sched.NewTarget(t.ID, limits),
			changed:        make(chan struct{}),
			pendingFetches: make(map[string]chan struct{}),
		}
		mt.state.LoadLimiter = &m.loadLimiter
		mt.state.StateUnknown = true
		m.targets[t.ID] = mt
	}
	m.mu.Unlock()
	mt.mu.Lock()
	mt.state.Limits = limits
	mt.state.SetCold(t.ColdUntil)
	need := !mt.synced && !mt.syncing
	mt.syncing = mt.syncing || need
	mt.mu.Unlock()
	if need {
		go m.sync(ctx, mt)
	}
}

// sync learns from a target's report what it holds and how many orders it has
// accepted.
func (m *Manager) sync(ctx context.Context, mt *managedTarget) {
	if m.target(mt.target.ID) != mt {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r, err := m.Orders.Report(ctx, mt.target)
	now := time.Now()
	mt.mu.Lock()
	defer mt.mu.Unlock()
	mt.syncing = false
	if err != nil {
		m.Log.Warn().Err(err).Str("target", mt.target.ID).Msg("mgmt: report cannot be read")
		return
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

// notifyWaiters tells the asks that wait for an order. The caller holds mu.
func (mt *managedTarget) notifyWaiters() {
	close(mt.changed)
	mt.changed = make(chan struct{})
}

func (m *Manager) target(id string) *managedTarget {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.targets[id]
}

// TargetCount is how many targets are managed.
func (m *Manager) TargetCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.targets)
}

// ReadyCount is how many managed targets have reported what they hold.
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

// RequestAdmission answers an entry's ask.
func (m *Manager) RequestAdmission(args wire.AskArgs) wire.AskReply {
	mt := m.target(args.Target)
	if mt == nil {
		return wire.AskReply{}
	}
	demand := 0.0
	if args.Ask.Adapter != "" {
		tokens := float64(args.Ask.Prompt) * float64(args.Ask.Asks)
		demand = m.demand.Add(time.Now(), demandKey(args), tokens)
	}
	if sched.ReplicasOutdated(args.Ask.Asks, demand) {
		return wire.AskReply{
			Reason: sched.ReasonMoreReplicas,
			Demand: demand,
		}
	}
	reply := m.decide(mt, args.Ask)
	reply.Demand = demand
	return reply
}

// demandKey names an adapter at one of its homes: each home has an estimate of its
// own.
func demandKey(args wire.AskArgs) string {
	return args.Target + "/" + args.Ask.Adapter
}

// decide answers an ask once its target has decided on it.
func (m *Manager) decide(mt *managedTarget, ask sched.AdmissionRequest) wire.AskReply {
	begun := time.Now()
	limit, left := ask.Limit, ask.Left
	for now := begun; now.Sub(begun) < admissionTimeout; now = time.Now() {
		// What has been waited already is not left to wait elsewhere.
		ask.Limit, ask.Left = limit-now.Sub(begun), left-now.Sub(begun)
		mt.mu.Lock()
		d := mt.state.Admit(now, ask)
		changed := mt.changed
		mt.mu.Unlock()
		switch d := d.(type) {
		case sched.Granted:
			return wire.AskReply{
				Granted:  true,
				After:    d.After,
				Expected: d.Expected,
			}
		case sched.Declined:
			return wire.AskReply{
				Reason:   d.Reason,
				Expected: d.Expected,
			}
		case sched.Load:
			if !m.load(mt, d) {
				return wire.AskReply{
					Reason: sched.ReasonNoOrders,
				}
			}
		case sched.LoadSlotRequired:
			if reply, ok := m.fetch(mt, ask); !ok {
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
	}
	return wire.AskReply{
		Reason: sched.ReasonAdapterSlots,
	}
}

// RecordProgress takes in what happened to granted requests.
func (m *Manager) RecordProgress(args wire.NotesArgs) {
	for _, tn := range args.Targets {
		mt := m.target(tn.Target)
		if mt == nil {
			continue
		}
		mt.mu.Lock()
		for _, n := range tn.Notes {
			mt.state.RecordProgress(time.Now(), n)
		}
		if mt.synced && mt.state.HasUnverified() {
			m.markUnverified(mt)
		}
		mt.notifyWaiters()
		mt.mu.Unlock()
	}
}

// Service gives net/rpc the method signatures that it wants.
type Service struct {
	Manager *Manager
}

// Ask answers wire.MethodAsk.
func (s *Service) Ask(args wire.AskArgs, reply *wire.AskReply) error {
	*reply = s.Manager.RequestAdmission(args)
	return nil
}

// Notes answers wire.MethodNotes.
func (s *Service) Notes(args wire.NotesArgs, _ *wire.Empty) error {
	s.Manager.RecordProgress(args)
	return nil
}

// Ping answers wire.MethodPing.
func (s *Service) Ping(_ wire.Empty, _ *wire.Empty) error {
	return nil
}
