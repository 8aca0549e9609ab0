// Package send takes an admitted request to a target: it chooses the target,
// gets a pin from the target's manager, and sends the request under it. A
// request that is proven not to have run is sent elsewhere until its deadline.
//
// # Usage
//
//	s := &send.Sender{Self: id, Holder: holder, Members: members, Peers: pool, Engines: engines, Manager: manager}
//	go s.Run(ctx)
//	running, err := s.Generate(ctx, send.Request{Adapter: a, Call: call})
//	if err != nil {
//		return err
//	}
//	defer running.Close(time.Now())
package send

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"currantstile/cache"
	"currantstile/clock"
	"currantstile/commit"
	"currantstile/engine"
	"currantstile/errs"
	"currantstile/loader"
	"currantstile/member"
	"currantstile/model"
	"currantstile/peer"
	"currantstile/route"
	"currantstile/shard"
	"currantstile/wire"
)

const (
	// renewInterval is how often pins are renewed.
	renewInterval = time.Second
	renewTimeout  = 2 * time.Second
	// defaultAcquireWait is how long an ask waits for capacity at one target before the
	// next one is asked.
	defaultAcquireWait = 400 * time.Millisecond
	// fullTTL is how long a target that was full counts as full.
	fullTTL = time.Second
	// lastAcquireWait is how long an ask waits where it is the last choice.
	lastAcquireWait = 5 * time.Second
	// acquireCallMargin is what a call may take beyond the wait that it asks for.
	acquireCallMargin = time.Second
	// retryDelay is waited after all choices were tried.
	retryDelay = 25 * time.Millisecond
	// maxTargets bounds how many targets are tried in turn.
	maxTargets = 3
	// maxAttempts bounds how often a request whose fate is unknown is sent.
	maxAttempts = 2
)

// Errors that prove that nothing of a request ran.
var (
	ErrNoTarget = errors.New("no target is in service")
	ErrLoad     = errors.New("adapter could not be loaded")
	ErrDeadline = errors.New("no target had room before the request's deadline")
)

// Sender sends requests to targets. Its exported fields are set before Run.
type Sender struct {
	Self    model.InstanceID
	Zone    model.ZoneID
	Holder  cache.Holder
	View    func() *commit.View
	Members func() *member.View
	Peers   *peer.Pool
	Engines *engine.Client
	// Manager is this instance's own manager, which is asked without a call.
	Manager *loader.Manager
	Log     log.Logger

	holds *route.Holds
	// fullUntil holds until when a target counts as full for an adapter.
	fullUntil    *shard.Map[route.HoldKey, time.Time]
	once         sync.Once
	serviceCalls callCounter
}

// Request is one request to a model engine.
type Request struct {
	Organisation model.OrgID
	Adapter      model.Adapter
	Call         engine.Call
}

// ActiveRequest is a request that an engine has taken.
type ActiveRequest struct {
	Stream *engine.Stream
	Target model.TargetID
	// LoadDelay is how long the request waited for its adapter to load.
	LoadDelay time.Duration
	sender    *Sender
	ticket    route.Ticket
}

// Close ends the request, cancelling it if its answer has not come to its end.
func (r *ActiveRequest) Close(now time.Time) {
	if err := r.Stream.Close(); err != nil {
		r.sender.Log.Debug().Err(err).Msg("send: closing a stream failed")
	}
	r.sender.releaseSlot(now, r.ticket)
}

func (s *Sender) init() {
	s.once.Do(func() {
		s.holds = route.NewHolds()
		s.fullUntil = shard.NewMap[route.HoldKey, time.Time](route.HoldKey.Hash)
	})
}

// Generate sends a request to an engine. An error means what
// engine.OutcomeOf says; ErrNoTarget, ErrLoad and ErrDeadline mean not run.
func (s *Sender) Generate(ctx context.Context, r Request) (*ActiveRequest, error) {
	s.init()
	begun := time.Now()
	stalled := false
	tries := &attemptTracker{
		repeatable: true,
	}
	for {
		ticket, loaded, err := s.acquirePin(ctx, r)
		stalled = stalled || loaded
		if err != nil {
			return nil, errs.Step(tries.finalError(err), "Sender.Generate")
		}
		running, err := s.try(ctx, r, ticket)
		if err == nil {
			if stalled {
				running.LoadDelay = time.Since(begun)
			}
			return running, nil
		}
		s.releaseSlot(time.Now(), ticket)
		if tries.recordFailure(err) {
			return nil, err
		}
		if !clock.Sleep(ctx, retryDelay) {
			return nil, errs.Step(tries.finalError(ErrDeadline), "Sender.Generate")
		}
	}
}

// try sends a request once under a pin.
func (s *Sender) try(ctx context.Context, r Request, ticket route.Ticket) (*ActiveRequest, error) {
	m, ok := s.engineByID(ticket.Key.Target)
	if !ok {
		return nil, errs.Step(&engine.RefusalError{
			Code:    engine.CodeUnavailable,
			Message: "target has left",
		}, "Sender.try")
	}
	stream, err := s.Engines.Generate(ctx, m.Addr, r.Call)
	if engine.RefusalCode(err) == engine.CodeNotLoaded {
		s.reportLostAdapter(ctx, ticket)
	}
	if err != nil {
		return nil, err
	}
	return &ActiveRequest{
		Stream: stream,
		Target: ticket.Key.Target,
		sender: s,
		ticket: ticket,
	}, nil
}

func (s *Sender) engineByID(id model.TargetID) (model.Member, bool) {
	for _, m := range s.Members().Engines {
		if m.ID == string(id) {
			return m, true
		}
	}
	return model.Member{}, false
}

// acquirePin finds a target with a free slot for the adapter, among those that it
// hashes to first.
func (s *Sender) acquirePin(ctx context.Context, r Request) (route.Ticket, bool, error) {
	loaded := false
	for {
		targets := s.topTargets(r.Adapter)
		if len(targets) == 0 {
			return route.Ticket{}, loaded, ErrNoTarget
		}
		if ticket, ok := s.useHeldSlot(targets, r.Adapter); ok {
			return ticket, loaded, nil
		}
		for i, t := range targets {
			key := holdKey(t, r.Adapter)
			ticket, reply, ok := s.requestPin(ctx, r, key, s.acquireWait(time.Now(), key, i == len(targets)-1))
			loaded = loaded || reply.Loaded
			if ok {
				return ticket, loaded, nil
			}
			if reply.Result == wire.AcquireFull {
				s.markFull(time.Now(), key)
			}
		}
		if !clock.Sleep(ctx, retryDelay) {
			return route.Ticket{}, loaded, ErrDeadline
		}
	}
}

func holdKey(t model.Member, a model.Adapter) route.HoldKey {
	return route.HoldKey{
		Target:  model.TargetID(t.ID),
		Adapter: a,
	}
}

// useHeldSlot uses a free slot that this entry holds on any of the targets.
func (s *Sender) useHeldSlot(targets model.Members, a model.Adapter) (route.Ticket, bool) {
	for _, t := range targets {
		if ticket, ok := s.holds.Take(time.Now(), holdKey(t, a)); ok {
			return ticket, true
		}
	}
	return route.Ticket{}, false
}

// acquireWait is how long an ask waits at a target. A target that was full a moment
// ago is only asked whether it still is, unless it is the last choice.
func (s *Sender) acquireWait(now time.Time, key route.HoldKey, last bool) time.Duration {
	if last {
		return lastAcquireWait
	}
	wait := defaultAcquireWait
	s.fullUntil.Do(key, func(m map[route.HoldKey]time.Time) {
		if until, ok := m[key]; ok && now.Before(until) {
			wait = 0
		} else {
			delete(m, key)
		}
	})
	return wait
}

func (s *Sender) markFull(now time.Time, key route.HoldKey) {
	s.fullUntil.Do(key, func(m map[route.HoldKey]time.Time) {
		m[key] = now.Add(fullTTL)
	})
}

// topTargets are the targets that a request may go to, best first.
func (s *Sender) topTargets(a model.Adapter) model.Members {
	v := s.View()
	return route.Top(a.String(), s.Members().Engines, maxTargets, func(m *model.Member) bool {
		return v.InService(*m)
	})
}

// requestPin asks a target's manager for a slot.
func (s *Sender) requestPin(ctx context.Context, r Request, key route.HoldKey, wait time.Duration) (route.Ticket, wire.AcquireReply, bool) {
	args := wire.AcquireArgs{
		Target: key.Target,
		Ask: cache.Ask{
			Holder:       s.Holder,
			Adapter:      key.Adapter,
			Organisation: r.Organisation,
			Priority:     r.Call.Priority,
			Slots:        1,
			ID:           s.holds.Ask(key),
		},
		Wait: wait,
	}
	sent := time.Now()
	reply, err := s.callAcquire(ctx, args)
	if err != nil || reply.Result != wire.AcquireGranted {
		s.holds.NotGranted(key)
		return route.Ticket{}, reply, false
	}
	ticket, ok := s.holds.Granted(time.Now(), sent, key, reply.Pin)
	return ticket, reply, ok
}

func (s *Sender) callAcquire(ctx context.Context, args wire.AcquireArgs) (wire.AcquireReply, error) {
	m, ok := s.managerOf(args.Target)
	if !ok {
		return wire.AcquireReply{}, ErrNoTarget
	}
	if m.ID == string(s.Self) {
		return s.Manager.Acquire(args), nil
	}
	ctx, cancel := context.WithTimeout(ctx, args.Wait+acquireCallMargin)
	defer cancel()
	var reply wire.AcquireReply
	err := s.Peers.Call(ctx, m.Addr, wire.MethodAcquire, args, &reply)
	return reply, err
}

// managerOf returns the instance that manages a target.
func (s *Sender) managerOf(id model.TargetID) (model.Member, bool) {
	return ManagerOf(id, s.Members(), s.View())
}

// ManagerOf returns the instance that manages a target: the first in its order
// among the instances in service.
func ManagerOf(id model.TargetID, members *member.View, v *commit.View) (model.Member, bool) {
	first := route.Top(string(id), members.Entries, 1, func(m *model.Member) bool {
		return v.InService(*m)
	})
	if len(first) == 0 {
		return model.Member{}, false
	}
	return first[0], true
}

// reportLostAdapter drops a pin whose target does not hold the adapter, and tells the
// manager.
func (s *Sender) reportLostAdapter(ctx context.Context, ticket route.Ticket) {
	s.holds.Void(ticket.Key, ticket.Incarnation)
	args := wire.LostArgs{
		Target:      ticket.Key.Target,
		Incarnation: ticket.Incarnation,
		Adapter:     ticket.Key.Adapter,
	}
	m, ok := s.managerOf(args.Target)
	switch {
	case !ok:
	case m.ID == string(s.Self):
		s.Manager.Lost(args)
	default:
		if err := s.Peers.Call(ctx, m.Addr, wire.MethodLost, args, &wire.Empty{}); err != nil {
			s.Log.Debug().Err(err).Msg("send: manager was not told of a lost adapter")
		}
	}
}
