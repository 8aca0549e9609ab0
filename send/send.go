// Package send dispatches admitted requests to targets. It selects a target, acquires a pin on the
// adapter from the target's manager and sends the request under that pin. A request that provably
// did not run is retried on other targets until its deadline.
//
// # Usage
//
//	s := &send.Sender{Self: id, Holder: holder, Members: members, Peers: pool, Engines: engines, Manager: manager}
//	go s.Run(ctx)
//	active, err := s.Generate(ctx, send.Request{Adapter: a, Call: call})
//	if err != nil {
//		return err
//	}
//	defer active.Close(time.Now())
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
	// renewInterval is the interval between renewals of the held pins.
	renewInterval = time.Second
	// renewTimeout is the timeout of the call that renews the pins of one manager.
	renewTimeout = 2 * time.Second
	// defaultAcquireWait is how long a pin request waits for capacity on one target before the
	// next target is tried.
	defaultAcquireWait = 400 * time.Millisecond
	// fullTTL is how long a target is treated as full after it reported that it was.
	fullTTL = time.Second
	// lastAcquireWait is how long a pin request waits on the last target to try.
	lastAcquireWait = 5 * time.Second
	// acquireCallMargin is added to the requested wait to give the timeout of the call to the
	// manager.
	acquireCallMargin = time.Second
	// retryDelay is the pause after all targets were tried, and after a failed attempt.
	retryDelay = 25 * time.Millisecond
	// maxTargets is the maximum number of targets that are tried in one pass.
	maxTargets = 3
	// maxAttempts is the maximum number of attempts that may end without a proof that the
	// request did not run.
	maxAttempts = 2
)

// Errors that prove that no part of the request ran. ErrLoad is not returned at present.
var (
	ErrNoTarget = errors.New("no target is in service")
	ErrLoad     = errors.New("adapter could not be loaded")
	ErrDeadline = errors.New("no target had room before the request's deadline")
)

// Sender dispatches requests to targets. Its exported fields must be set before Run and before
// the first request.
type Sender struct {
	Self    model.InstanceID
	Zone    model.ZoneID
	Holder  cache.Holder
	View    func() *commit.View
	Members func() *member.View
	Peers   *peer.Pool
	Engines *engine.Client
	// Manager is this instance's own manager; it is called directly, without a remote call.
	Manager *loader.Manager
	Log     log.Logger

	// pins holds the pins that managers have granted to this instance.
	pins *route.Pins
	// fullUntil maps a target and adapter to the time until which the target is treated as full.
	fullUntil    *shard.Map[route.PinKey, time.Time]
	once         sync.Once
	serviceCalls callCounter
}

// Request is one request to a model engine.
type Request struct {
	Organisation model.OrgID
	Adapter      model.Adapter
	Call         engine.Call
}

// ActiveRequest is a request that an engine has accepted.
type ActiveRequest struct {
	Stream *engine.Stream
	Target model.TargetID
	// LoadDelay is the time from the start of Generate until the engine accepted the request. It
	// is zero if no pin request had to wait for a load of the adapter.
	LoadDelay time.Duration
	sender    *Sender
	ticket    route.Ticket
}

// Close ends the request and releases its slot. If the response is not complete, the request is
// cancelled at the engine.
func (r *ActiveRequest) Close(now time.Time) {
	if err := r.Stream.Close(); err != nil {
		r.sender.Log.Debug().Err(err).Msg("send: closing the response stream failed; its slot is released")
	}
	r.sender.releaseSlot(now, r.ticket)
}

func (s *Sender) init() {
	s.once.Do(func() {
		s.pins = route.NewPins()
		s.fullUntil = shard.NewMap[route.PinKey, time.Time](route.PinKey.Hash)
	})
}

// Generate sends a request to an engine. engine.OutcomeOf gives the outcome of a failed request;
// ErrNoTarget and ErrDeadline mean that it did not run.
func (s *Sender) Generate(ctx context.Context, r Request) (*ActiveRequest, error) {
	s.init()
	start := time.Now()
	loadedAny := false
	tracker := &attemptTracker{
		repeatable: true,
	}
	for {
		ticket, loaded, err := s.acquirePin(ctx, r)
		loadedAny = loadedAny || loaded
		if err != nil {
			return nil, errs.WithOp(tracker.finalError(err), "Sender.Generate")
		}
		active, err := s.try(ctx, r, ticket)
		if err == nil {
			if loadedAny {
				active.LoadDelay = time.Since(start)
			}
			return active, nil
		}
		s.releaseSlot(time.Now(), ticket)
		if tracker.recordFailure(err) {
			return nil, err
		}
		if !clock.Sleep(ctx, retryDelay) {
			return nil, errs.WithOp(tracker.finalError(ErrDeadline), "Sender.Generate")
		}
	}
}

// try makes one attempt to send the request under a pin. If the engine reports that the adapter
// is not loaded, the pin is dropped.
func (s *Sender) try(ctx context.Context, r Request, ticket route.Ticket) (*ActiveRequest, error) {
	m, ok := s.engineByID(ticket.Key.Target)
	if !ok {
		return nil, errs.WithOp(&engine.RefusalError{
			Code:    engine.CodeUnavailable,
			Message: "target is no longer a member",
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

// acquirePin acquires a slot for the adapter on one of its highest-ranked targets: a free slot
// that is already held, or else a new pin from a target's manager. It also reports whether a
// manager had to load the adapter.
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
			key := pinKey(t, r.Adapter)
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

func pinKey(t model.Member, a model.Adapter) route.PinKey {
	return route.PinKey{
		Target:  model.TargetID(t.ID),
		Adapter: a,
	}
}

// useHeldSlot takes a free slot that this instance already holds on one of the targets.
func (s *Sender) useHeldSlot(targets model.Members, a model.Adapter) (route.Ticket, bool) {
	for _, t := range targets {
		if ticket, ok := s.pins.Acquire(time.Now(), pinKey(t, a)); ok {
			return ticket, true
		}
	}
	return route.Ticket{}, false
}

// acquireWait returns how long a pin request waits on a target. On a target that was full within
// fullTTL it does not wait, unless this is the last target to try.
func (s *Sender) acquireWait(now time.Time, key route.PinKey, last bool) time.Duration {
	if last {
		return lastAcquireWait
	}
	wait := defaultAcquireWait
	s.fullUntil.Do(key, func(m map[route.PinKey]time.Time) {
		if until, ok := m[key]; ok && now.Before(until) {
			wait = 0
		} else {
			delete(m, key)
		}
	})
	return wait
}

func (s *Sender) markFull(now time.Time, key route.PinKey) {
	s.fullUntil.Do(key, func(m map[route.PinKey]time.Time) {
		m[key] = now.Add(fullTTL)
	})
}

// topTargets returns the targets in service that rank highest for the adapter, best first.
func (s *Sender) topTargets(a model.Adapter) model.Members {
	v := s.View()
	return route.Top(a.String(), s.Members().Engines, maxTargets, func(m *model.Member) bool {
		return v.InService(*m)
	})
}

// requestPin requests a pin with one slot from the target's manager. It reports whether the slot
// was granted while the pin is still valid.
func (s *Sender) requestPin(ctx context.Context, r Request, key route.PinKey, wait time.Duration) (route.Ticket, wire.AcquireReply, bool) {
	args := wire.AcquireArgs{
		Target: key.Target,
		Ask: cache.PinRequest{
			Holder:       s.Holder,
			Adapter:      key.Adapter,
			Organisation: r.Organisation,
			Priority:     r.Call.Priority,
			Slots:        1,
			ID:           s.pins.BeginRequest(key),
		},
		Wait: wait,
	}
	sentAt := time.Now()
	reply, err := s.callAcquire(ctx, args)
	if err != nil || reply.Result != wire.AcquireGranted {
		s.pins.RecordNotGranted(key)
		return route.Ticket{}, reply, false
	}
	ticket, ok := s.pins.RecordGranted(time.Now(), sentAt, key, reply.Pin)
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

// managerOf returns the manager of a target by the current membership and configuration.
func (s *Sender) managerOf(id model.TargetID) (model.Member, bool) {
	return ManagerOf(id, s.Members(), s.View())
}

// ManagerOf returns the instance that manages a target: the one in service that ranks highest for
// the target's ID. It returns false if no instance is in service.
func ManagerOf(id model.TargetID, members *member.View, v *commit.View) (model.Member, bool) {
	top := route.Top(string(id), members.Entries, 1, func(m *model.Member) bool {
		return v.InService(*m)
	})
	if len(top) == 0 {
		return model.Member{}, false
	}
	return top[0], true
}

// reportLostAdapter drops a pin whose target does not have the adapter loaded and reports the
// loss to the target's manager.
func (s *Sender) reportLostAdapter(ctx context.Context, ticket route.Ticket) {
	s.pins.Void(ticket.Key, ticket.Incarnation)
	args := wire.AdapterLostArgs{
		Target:      ticket.Key.Target,
		Incarnation: ticket.Incarnation,
		Adapter:     ticket.Key.Adapter,
	}
	m, ok := s.managerOf(args.Target)
	switch {
	case !ok:
	case m.ID == string(s.Self):
		s.Manager.RecordLost(args)
	default:
		if err := s.Peers.Call(ctx, m.Addr, wire.MethodAdapterLost, args, &wire.Empty{}); err != nil {
			s.Log.Debug().Err(err).Msg("send: reporting a lost adapter to the manager failed; the pin is dropped here only")
		}
	}
}
