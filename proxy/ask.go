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

// engine finds a target of a model service. While none has a place, it asks
// again, up to a share of the request's time: places come free at any moment.
func (r *Router) engine(ctx context.Context, x *Exchange, svc *config.Service, view *fleet.View, targets []*fleet.Target) (*Place, string) {
	leaves := x.leaves()
	patience := sched.RetryDeadline(x.begun, leaves)
	ctx, cancel := context.WithDeadline(ctx, sched.AdmissionDeadline(x.begun, leaves))
	defer cancel()
	for turn := 0; ; turn++ {
		p, reason := r.engineOnce(ctx, x, svc, view, targets, turn, false)
		if p != nil || !time.Now().Before(patience) || !clock.Sleep(ctx, sched.AttemptInterval) {
			return p, reason
		}
	}
}

// engineOnce asks the managers of the request's targets in the order of its adapter,
// at first with little patience, so that a request stays with the targets that
// hold its adapter as long as they are quick. Told of more demand than it knew of, it
// chooses again, once.
func (r *Router) engineOnce(ctx context.Context, x *Exchange, svc *config.Service, view *fleet.View, targets []*fleet.Target, turn int, again bool) (*Place, string) {
	now := time.Now()
	demand := r.demand.Rate(now, x.Call.AdapterName())
	homes := sched.Replicas(demand)
	order, asks := r.order(x, svc, targets, homes, turn)
	version, _ := view.Version(x.Call.AdapterName())
	reason := "no-manager"
	expected := make(map[string]time.Duration)
	if turn > 0 || again {
		asks = 0
	}
	rounds := sched.PlacementRounds(sched.PlacementParams{
		NeedsAdapter: x.Call.Adapter != "",
		Demand:       demand,
		PromptTokens: x.Call.PromptTokens,
		Objective:    x.Route.Objective - now.Sub(x.begun),
		Remaining:    x.leaves().Sub(now),
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
			p, reply := r.ask(ctx, x, view, t, version, round, asks)
			if p != nil {
				return p, ""
			}
			if reply.Reason == sched.ReasonMoreReplicas {
				return r.engineOnce(ctx, x, svc, view, targets, turn, true)
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

// order arranges the targets for a request, best first: those of its adapter's own
// order that hold its model. The long prompts of an adapter with several homes go to
// targets that are kept apart for them, and its other requests elsewhere. It also
// returns for how many first asks of requests the first of them stands; the long ones
// are not counted.
func (r *Router) order(x *Exchange, svc *config.Service, targets []*fleet.Target, homes, turn int) ([]*fleet.Target, int) {
	key := x.Call.AdapterName()
	if key == "" {
		key = x.Call.ID
	}
	pick := xxhash.Sum64String(x.Call.ID)
	apart := map[*fleet.Target]bool{}
	if homes > 1 {
		for _, t := range top(longKey, targets, sched.LongPromptTargets(len(targets)), anyTarget) {
			apart[t] = true
		}
	}
	holds := func(t **fleet.Target) bool {
		return (x.Call.Model == "" || (*t).HoldsModel(x.Call.Model)) && !apart[*t]
	}
	order := sched.OrderTargets(top(key, targets, max(sched.MaxTargets, homes), holds), homes, pick, turn)
	limits := sched.Limits{
		EventSteps: svc.Engine.EventTokens,
		MaxGap:     svc.MaxGap(),
	}
	if len(apart) == 0 || !limits.IsLongPrompt(x.Call.PromptTokens) {
		return order, min(homes, len(order))
	}
	long := top(key, targets, sched.MaxTargets/2, func(t **fleet.Target) bool {
		return (x.Call.Model == "" || (*t).HoldsModel(x.Call.Model)) && apart[*t]
	})
	return append(sched.OrderTargets(long, len(long), pick, turn), order...), 0
}

// longKey orders the targets that are kept apart for long prompts.
const longKey = "long-prompts"

func anyTarget(**fleet.Target) bool {
	return true
}

// top are the first n targets of a key's order that are kept.
func top(key string, targets []*fleet.Target, n int, keep func(**fleet.Target) bool) []*fleet.Target {
	return route.TopBy(key, targets, func(t **fleet.Target) string {
		return (*t).ID
	}, n, keep)
}

// ask asks a target's manager, and holds the request back until the target is
// ready for it.
func (r *Router) ask(ctx context.Context, x *Exchange, view *fleet.View, t *fleet.Target, version uint64, round sched.PlacementRound, asks int) (*Place, wire.AskReply) {
	m, ok := view.Manager(t.ID)
	if !ok || r.isSilent(time.Now(), m.Instance) {
		return nil, wire.AskReply{}
	}
	p := &Place{
		Target:  *t,
		Version: version,
		router:  r,
		id:      x.Call.ID + "/" + t.ID,
		manager: m.Instance,
	}
	args := wire.AskArgs{
		Target: t.ID,
		Ask: sched.AdmissionRequest{
			ID:       p.id,
			Model:    x.Call.Model,
			Adapter:  x.Call.AdapterName(),
			Version:  version,
			Prompt:   x.Call.PromptTokens,
			Output:   x.Call.OutputTokens,
			Limit:    round.Limit,
			Left:     time.Until(x.Until),
			Priority: x.priority(),
			NoFetch:  !round.AllowFetch,
			Asks:     asks,
		},
	}
	reply := r.call(ctx, view, p, args)
	r.demand.Merge(time.Now(), x.Call.AdapterName(), reply.Demand)
	x.gate.Log.Debug().Str("request", x.Call.ID).Str("target", t.ID).Bool("granted", reply.Granted).
		Str("reason", string(reply.Reason)).Dur("expected", reply.Expected).Msg("gate: asked")
	if !reply.Granted {
		return nil, reply
	}
	if reply.After > 0 && !clock.Sleep(ctx, reply.After) {
		p.end(time.Now(), endNotRun)
		return nil, wire.AskReply{}
	}
	p.held = reply.After
	if !r.stillGood(p, x.Call.AdapterName()) {
		p.end(time.Now(), endNotRun)
		return nil, wire.AskReply{}
	}
	return p, reply
}

// stillGood reports whether a place may be used that was asked for a while ago:
// its target may have begun to leave, or the adapter may have a new version.
func (r *Router) stillGood(p *Place, adapter string) bool {
	view := r.Book.View()
	t, ok := view.Target(p.Target.ID)
	version, _ := view.Version(adapter)
	return ok && t.SameIncarnation(&p.Target) && view.Usable(t) && version == p.Version
}

// call asks the manager. A grant that comes after the asker has gone is given
// back.
func (r *Router) call(ctx context.Context, view *fleet.View, p *Place, args wire.AskArgs) wire.AskReply {
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
		ask, stop := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
		defer stop()
		var reply wire.AskReply
		err := r.Peers.Call(ask, in.Peers, wire.MethodAsk, args, &reply)
		if err == nil && reply.Granted && ctx.Err() != nil {
			p.end(time.Now(), endNotRun)
		}
		done <- result{
			reply: reply,
			err:   err,
		}
	}()
	begun := time.Now()
	alive := time.NewTicker(pingTime)
	defer alive.Stop()
	for {
		select {
		case got := <-done:
			if got.err == nil {
				r.noteHeard(time.Now(), p.manager)
				return got.reply
			}
			r.Log.Info().Err(got.err).Str("instance", p.manager).Msg("gate: manager does not answer")
			r.noteSilent(time.Now(), p.manager)
			return wire.AskReply{}
		case now := <-alive.C:
			if r.heardSince(p.manager, begun) {
				begun = now
				continue
			}
			if now.Sub(begun) < aliveTime {
				go r.ping(in)
				continue
			}
			cancel()
			r.Log.Info().Str("instance", p.manager).Msg("gate: nothing is heard of a manager")
			r.noteSilent(now, p.manager)
			return wire.AskReply{}
		case <-ctx.Done():
			return wire.AskReply{}
		}
	}
}

// ping asks an instance for a sign of life.
func (r *Router) ping(in fleet.Instance) {
	ctx, cancel := context.WithTimeout(context.Background(), aliveTime)
	defer cancel()
	// The silence of an instance that does not answer is seen by who waits for it.
	if r.Peers.Call(ctx, in.Peers, wire.MethodPing, wire.Empty{}, &wire.Empty{}) == nil {
		r.noteHeard(time.Now(), in.Name)
	}
}

func (r *Router) noteHeard(now time.Time, instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard[instance] = now
}

func (r *Router) heardSince(instance string, t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.heard[instance].After(t)
}

func (r *Router) isSilent(now time.Time, instance string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.silent[instance])
}

func (r *Router) noteSilent(now time.Time, instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent[instance] = now.Add(silentTime)
}
