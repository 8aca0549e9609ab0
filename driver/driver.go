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
	// busyWait bounds how long an ask waits for an order of another ask.
	busyWait = 500 * time.Millisecond
	// readWait bounds how long an ask waits for news of prompts that are read.
	readWait = 100 * time.Millisecond
	// permitWait bounds how long a load waits for its turn.
	permitWait = 2 * time.Second
	// askTime bounds how long an ask is decided on.
	askTime = 2400 * time.Millisecond
	// tickTime is how often targets are taken over and given up.
	tickTime = 200 * time.Millisecond
	// orderTries is how often an order is sent again whose answer was lost.
	orderTries = 2
)

// Manager manages targets. Its exported fields are set before Run.
type Manager struct {
	Session *elect.Session
	Book    *fleet.Book
	Orders  Orders
	// Model returns the base model that a target which holds none should load, and
	// how long this instance leaves between two loads from the weight store.
	Model func(t fleet.Target) (string, time.Duration)
	// Limits returns what the targets of a service bear, or false for a service
	// whose targets need no manager.
	Limits func(service string) (sched.Limits, bool)
	Holder string
	Log    log.Logger

	mu      sync.Mutex
	targets map[string]*managed
	loads   sched.LoadLimiter
	demand  sched.Demand
	// modelAt is when the last base model was ordered that had to come from the
	// weight store.
	modelAt time.Time
}

// managed is one target with what its orders need.
type managed struct {
	mu     sync.Mutex
	target fleet.Target
	state  *sched.Target
	// changed is closed and replaced when an order has ended.
	changed chan struct{}
	// synced is set once a report has told how many orders were accepted.
	synced   bool
	accepted uint64
	syncing  bool
	// fetching are the adapters that wait for a turn, each with a channel that is
	// closed when that has ended.
	fetching map[string]chan struct{}
	// ordering is held while an order is under way.
	ordering sync.Mutex
}

// Run takes targets over and gives them up until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	for ctx.Err() == nil {
		m.adopt(ctx)
		clock.Sleep(ctx, tickTime)
	}
}

// adopt makes the managed targets those that the session manages.
func (m *Manager) adopt(ctx context.Context) {
	view := m.Book.View()
	for _, id := range m.Session.Targets() {
		t, ok := view.Target(id)
		if !ok || !m.Session.Manages(id) {
			continue
		}
		limits, ok := m.Limits(t.Service)
		if !ok {
			continue
		}
		m.keep(ctx, *t, limits)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range m.targets {
		if _, ok := view.Target(id); !ok || !m.Session.Manages(id) {
			delete(m.targets, id)
		}
	}
	m.loads.SetTargets(len(m.targets))
}

func (m *Manager) keep(ctx context.Context, t fleet.Target, limits sched.Limits) {
	m.mu.Lock()
	if m.targets == nil {
		m.targets = make(map[string]*managed)
	}
	mt, ok := m.targets[t.ID]
	if !ok || !mt.target.SameStart(&t) {
		mt = &managed{
			target:   t,
			state:    sched.NewTarget(t.ID, limits),
			changed:  make(chan struct{}),
			fetching: make(map[string]chan struct{}),
		}
		mt.state.LoadLimiter = &m.loads
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
func (m *Manager) sync(ctx context.Context, mt *managed) {
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
	mt.accepted = r.Accepted
	mt.state.Models = r.Models
	mt.state.RecordReport(now, r.Adapters)
	m.needModel(mt, r)
	if mt.state.HasUnverified() {
		m.unsure(mt)
	}
	mt.wake()
	m.Log.Info().Str("target", mt.target.ID).Uint64("accepted", r.Accepted).Int("adapters", len(r.Adapters)).Strs("models", r.Models).
		Int("running", r.Running).Int("waiting", r.Waiting).Msg("mgmt: target reported")
}

// wake tells the asks that wait for an order. The caller holds mu.
func (mt *managed) wake() {
	close(mt.changed)
	mt.changed = make(chan struct{})
}

func (m *Manager) target(id string) *managed {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.targets[id]
}

// Count is how many targets are managed.
func (m *Manager) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.targets)
}

// Ready is how many managed targets have reported what they hold.
func (m *Manager) Ready() int {
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

// Ask answers an entry's ask.
func (m *Manager) Ask(args wire.AskArgs) wire.AskReply {
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
func (m *Manager) decide(mt *managed, ask sched.AdmissionRequest) wire.AskReply {
	begun := time.Now()
	limit, left := ask.Limit, ask.Left
	for now := begun; now.Sub(begun) < askTime; now = time.Now() {
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
			case <-time.After(readWait):
			}
		case sched.OrderPending:
			select {
			case <-changed:
			case <-time.After(busyWait):
			}
		}
	}
	return wire.AskReply{
		Reason: sched.ReasonAdapterSlots,
	}
}

// Notes takes in what happened to granted requests.
func (m *Manager) Notes(args wire.NotesArgs) {
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
			m.unsure(mt)
		}
		mt.wake()
		mt.mu.Unlock()
	}
}

// Service gives net/rpc the method signatures that it wants.
type Service struct {
	Manager *Manager
}

// Ask answers wire.MethodAsk.
func (s *Service) Ask(args wire.AskArgs, reply *wire.AskReply) error {
	*reply = s.Manager.Ask(args)
	return nil
}

// Notes answers wire.MethodNotes.
func (s *Service) Notes(args wire.NotesArgs, _ *wire.Empty) error {
	s.Manager.Notes(args)
	return nil
}

// Ping answers wire.MethodPing.
func (s *Service) Ping(_ wire.Empty, _ *wire.Empty) error {
	return nil
}
