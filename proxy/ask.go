package proxy

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantstile/clock"
	"currantstile/config"
	"currantstile/fleet"
	"currantstile/route"
	"currantstile/sched"
	"currantstile/wire"
)

// placeOnEngine finds a target of a model service. While none has a place, it asks
// again, up to a share of the request's time: places come free at any moment.
func (r *Router) placeOnEngine(ctx context.Context, x *Exchange, svc *config.Service, view *fleet.View, targets []*fleet.Target) (*Placement, string) {
	leaves := x.callerDeadline()
	patience := sched.RetryDeadline(x.start, leaves)
	ctx, cancel := context.WithDeadline(ctx, sched.AdmissionDeadline(x.start, leaves))
	defer cancel()
	for turn := 0; ; turn++ {
		p, reason := r.tryTargets(ctx, x, svc, view, targets, turn, false)
		if p != nil || !time.Now().Before(patience) || !clock.Sleep(ctx, sched.AttemptInterval) {
			return p, reason
		}
	}
}

// tryTargets asks the managers of the request's targets in the order of its adapter,
// at first with little patience, so that a request stays with the targets that
// hold its adapter as long as they are quick. Told of more demand than it knew of, it
// chooses again, once.
func (r *Router) tryTargets(ctx context.Context, x *Exchange, svc *config.Service, view *fleet.View, targets []*fleet.Target, turn int, again bool) (*Placement, string) {
	now := time.Now()
	demand := r.demand.Rate(now, x.Request.AdapterName())
	homes := sched.Replicas(demand)
	order, asks := r.orderTargets(x, svc, targets, homes, turn)
	version, _ := view.Version(x.Request.AdapterName())
	reason := "no-manager"
	expected := make(map[string]time.Duration)
	if turn > 0 || again {
		asks = 0
	}
	rounds := sched.PlacementRounds(sched.PlacementParams{
		NeedsAdapter: x.Request.Adapter != "",
		Demand:       demand,
		PromptTokens: x.Request.PromptTokens,
		Objective:    x.Route.Objective - now.Sub(x.start),
		Remaining:    x.callerDeadline().Sub(now),
		Attempt:      turn,
	})
	for _, round := range rounds {
		for i, t := range order {
			if e, known := expected[t.ID]; i >= round.MaxTargets || known && (e == 0 || e > round.Limit) {
				continue
			}
			if ctx.Err() != nil {
				return nil, "timeout"
			}
			p, reply := r.requestAdmission(ctx, x, view, t, version, round, asks)
			if p != nil {
				return p, ""
			}
			if reply.Reason == sched.ReasonMoreReplicas {
				return r.tryTargets(ctx, x, svc, view, targets, turn, true)
			}
			asks = 0
			if reply.Reason != "" {
				reason = string(reply.Reason)
			}
			expected[t.ID] = reply.Expected
		}
	}
	return nil, reason
}

// orderTargets arranges the targets for a request, best first: those of its adapter's own
// order that hold its model. The long prompts of an adapter with several homes go to
// targets that are kept apart for them, and its other requests elsewhere. It also
// returns for how many first asks of requests the first of them stands; the long ones
// are not counted.
func (r *Router) orderTargets(x *Exchange, svc *config.Service, targets []*fleet.Target, homes, turn int) ([]*fleet.Target, int) {
	key := x.Request.AdapterName()
	if key == "" {
		key = x.Request.ID
	}
	pick := xxhash.Sum64String(x.Request.ID)
	apart := map[*fleet.Target]bool{}
	if homes > 1 {
		for _, t := range topTargets(longPromptKey, targets, sched.LongPromptTargets(len(targets)), anyTarget) {
			apart[t] = true
		}
	}
	holds := func(t **fleet.Target) bool {
		return (x.Request.Model == "" || (*t).HoldsModel(x.Request.Model)) && !apart[*t]
	}
	order := sched.OrderTargets(topTargets(key, targets, max(sched.MaxTargets, homes), holds), homes, pick, turn)
	limits := sched.Limits{
		EventSteps: svc.Engine.EventTokens,
		MaxGap:     svc.MaxGap(),
	}
	if len(apart) == 0 || !limits.IsLongPrompt(x.Request.PromptTokens) {
		return order, min(homes, len(order))
	}
	long := topTargets(key, targets, sched.MaxTargets/2, func(t **fleet.Target) bool {
		return (x.Request.Model == "" || (*t).HoldsModel(x.Request.Model)) && apart[*t]
	})
	return append(sched.OrderTargets(long, len(long), pick, turn), order...), 0
}

// longPromptKey orders the targets that are kept apart for long prompts.
const longPromptKey = "long-prompts"

func anyTarget(**fleet.Target) bool {
	return true
}

// topTargets are the first n targets of a key's order that are kept.
func topTargets(key string, targets []*fleet.Target, n int, keep func(**fleet.Target) bool) []*fleet.Target {
	return route.TopBy(key, targets, func(t **fleet.Target) string {
		return (*t).ID
	}, n, keep)
}

// requestAdmission asks a target's manager, and holds the request back until the target is
// ready for it.
func (r *Router) requestAdmission(ctx context.Context, x *Exchange, view *fleet.View, t *fleet.Target, version uint64, round sched.PlacementRound, asks int) (*Placement, wire.AskReply) {
	m, ok := view.Manager(t.ID)
	if !ok || r.isUnresponsive(time.Now(), m.Instance) {
		return nil, wire.AskReply{}
	}
	p := &Placement{
		Target:  *t,
		Version: version,
		router:  r,
		grantID: x.Request.ID + "/" + t.ID,
		manager: m.Instance,
	}
	args := wire.AskArgs{
		Target: t.ID,
		Ask: sched.AdmissionRequest{
			ID:       p.grantID,
			Model:    x.Request.Model,
			Adapter:  x.Request.AdapterName(),
			Version:  version,
			Prompt:   x.Request.PromptTokens,
			Output:   x.Request.OutputTokens,
			Limit:    round.Limit,
			Left:     time.Until(x.Deadline),
			Priority: x.priority(),
			NoFetch:  !round.AllowFetch,
			Asks:     asks,
		},
	}
	reply := r.callManager(ctx, view, p, args)
	r.demand.Merge(time.Now(), x.Request.AdapterName(), reply.Demand)
	x.gate.Log.Debug().Str("request", x.Request.ID).Str("target", t.ID).Bool("granted", reply.Granted).
		Str("reason", string(reply.Reason)).Dur("expected", reply.Expected).Msg("gate: asked")
	if !reply.Granted {
		return nil, reply
	}
	if reply.After > 0 && !clock.Sleep(ctx, reply.After) {
		p.release(time.Now(), endNotExecuted)
		return nil, wire.AskReply{}
	}
	p.heldFor = reply.After
	if !r.isStillValid(p, x.Request.AdapterName()) {
		p.release(time.Now(), endNotExecuted)
		return nil, wire.AskReply{}
	}
	return p, reply
}

// isStillValid reports whether a place may be used that was asked for a while ago:
// its target may have begun to leave, or the adapter may have a new version.
func (r *Router) isStillValid(p *Placement, adapter string) bool {
	view := r.Book.View()
	t, ok := view.Target(p.Target.ID)
	version, _ := view.Version(adapter)
	return ok && t.SameIncarnation(&p.Target) && view.Usable(t) && version == p.Version
}

// callManager asks the manager. A grant that comes after the asker has gone is given
// back.
func (r *Router) callManager(ctx context.Context, view *fleet.View, p *Placement, args wire.AskArgs) wire.AskReply {
	if p.manager == r.Self {
		return r.Manager.RequestAdmission(args)
	}
	in, ok := view.Instance(p.manager)
	if !ok {
		return wire.AskReply{}
	}
	type result struct {
		reply wire.AskReply
		err   error
	}
	done := make(chan result, 1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		ask, stop := context.WithTimeout(context.WithoutCancel(ctx), admissionTimeout)
		defer stop()
		var reply wire.AskReply
		err := r.Peers.Call(ask, in.Peers, wire.MethodAsk, args, &reply)
		if err == nil && reply.Granted && ctx.Err() != nil {
			p.release(time.Now(), endNotExecuted)
		}
		done <- result{
			reply: reply,
			err:   err,
		}
	}()
	begun := time.Now()
	alive := time.NewTicker(pingInterval)
	defer alive.Stop()
	for {
		select {
		case got := <-done:
			if got.err == nil {
				r.markHeard(time.Now(), p.manager)
				return got.reply
			}
			r.Log.Info().Err(got.err).Str("instance", p.manager).Msg("gate: manager does not answer")
			r.markUnresponsive(time.Now(), p.manager)
			return wire.AskReply{}
		case now := <-alive.C:
			if r.heardSince(p.manager, begun) {
				begun = now
				continue
			}
			if now.Sub(begun) < livenessTimeout {
				go r.ping(in)
				continue
			}
			cancel()
			r.Log.Info().Str("instance", p.manager).Msg("gate: nothing is heard of a manager")
			r.markUnresponsive(now, p.manager)
			return wire.AskReply{}
		case <-ctx.Done():
			return wire.AskReply{}
		}
	}
}

// ping asks an instance for a sign of life.
func (r *Router) ping(in fleet.Instance) {
	ctx, cancel := context.WithTimeout(context.Background(), livenessTimeout)
	defer cancel()
	// The silence of an instance that does not answer is seen by who waits for it.
	if r.Peers.Call(ctx, in.Peers, wire.MethodPing, wire.Empty{}, &wire.Empty{}) == nil {
		r.markHeard(time.Now(), in.Name)
	}
}

func (r *Router) markHeard(now time.Time, instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastHeard[instance] = now
}

func (r *Router) heardSince(instance string, t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastHeard[instance].After(t)
}

func (r *Router) isUnresponsive(now time.Time, instance string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.backoffUntil[instance])
}

func (r *Router) markUnresponsive(now time.Time, instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.backoffUntil[instance] = now.Add(managerBackoff)
}
