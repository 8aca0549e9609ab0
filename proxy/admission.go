package proxy

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantstile/clock"
	"currantstile/config"
	"currantstile/errs"
	"currantstile/fleet"
	"currantstile/route"
	"currantstile/sched"
	"currantstile/wire"
)

// placeOnEngine obtains admission from a target of a model service. If no target
// admits the request, it retries until a part of the request's time has passed,
// since capacity may be released at any time.
func (r *Router) placeOnEngine(ctx context.Context, x *Exchange, svc *config.Service, view *fleet.View, targets []*fleet.Target) (*Placement, string) {
	deadline := x.callerDeadline()
	retryDeadline := sched.RetryDeadline(x.start, deadline)
	ctx, cancel := context.WithDeadline(ctx, sched.AdmissionDeadline(x.start, deadline))
	defer cancel()
	for attempt := 0; ; attempt++ {
		now := time.Now()
		var open []*fleet.Target
		for _, t := range targets {
			if r.Avail.IsOpen(now, view, t) {
				open = append(open, t)
			}
		}
		if len(open) == 0 {
			return nil, reasonClosed
		}
		r.compete(now, x, svc)
		p, reason := r.tryTargets(ctx, x, svc, view, open, attempt, false)
		if r.recordAttempt(time.Now(), x, svc, p != nil, isManagersReason(reason)) {
			return nil, reasonOverload
		}
		if p != nil {
			return p, ""
		}
		if !time.Now().Before(retryDeadline) || !clock.Sleep(ctx, sched.AttemptInterval) {
			r.recordRefused(time.Now(), x, svc)
			return nil, reason
		}
		x.waits.addPause(sched.AttemptInterval)
	}
}

// reasonTimeout is why a request is not placed that has no time left.
const reasonTimeout = "timeout"

// isManagersReason reports whether a reason why a request is not placed comes from the manager of a
// target.
func isManagersReason(reason string) bool {
	return reason != "" && reason != noManager && reason != reasonTimeout
}

// tryTargets requests admission from the managers of the targets, in the order of
// preference of the adapter. Early rounds use a tight limit on the time to the first
// token, so that a request stays with the targets that hold its adapter as long as
// they are fast enough. If a manager declines because the demand for the adapter is
// higher than this instance assumed, the targets are chosen again; demandUpdated is
// set in that second call.
func (r *Router) tryTargets(ctx context.Context, x *Exchange, svc *config.Service, view *fleet.View, targets []*fleet.Target, attempt int, demandUpdated bool) (*Placement, string) {
	now := time.Now()
	demand := r.demand.Rate(now, x.Request.AdapterName())
	replicas := sched.Replicas(demand)
	ordered, demandWeight := r.orderTargets(x, svc, targets, replicas, attempt)
	version, _ := view.Version(x.Request.AdapterName())
	reason := noManager
	expected := make(map[string]time.Duration)
	if attempt > 0 || demandUpdated {
		demandWeight = 0
	}
	rounds := sched.PlacementRounds(sched.PlacementParams{
		NeedsAdapter: x.Request.Adapter != "",
		Demand:       demand,
		PromptTokens: x.Request.PromptTokens,
		Objective:    x.objectiveLeft(now),
		Remaining:    x.callerDeadline().Sub(now),
		Attempt:      attempt,
		Overload:     x.competition.contest.Overload,
		Floor:        x.competition.contest.Floor,
	})
	estimate := func(t *fleet.Target) (time.Duration, bool) {
		e := expected[t.ID]
		return e + r.crossingTime(x, t), e > 0
	}
	for _, round := range rounds {
		choices := ordered
		if round.AllowFetch {
			choices = sched.FetchOrder(ordered, estimate)
		}
		for i, t := range choices {
			// A target that has not admitted the request is tried again only if
			// it returned an estimate within the limit of this round.
			if e, known := expected[t.ID]; i >= round.MaxTargets || known && (e == 0 || e > round.Limit) {
				continue
			}
			if ctx.Err() != nil {
				return nil, reasonTimeout
			}
			p, reply := r.requestAdmission(ctx, x, view, t, version, round, demandWeight)
			if p != nil {
				return p, ""
			}
			if reply.Reason == sched.ReasonMoreReplicas {
				return r.tryTargets(ctx, x, svc, view, targets, attempt, true)
			}
			demandWeight = 0
			if reply.Reason != "" {
				reason = string(reply.Reason)
			}
			x.noteReason(reply.Reason, i == 0, t == ordered[0])
			expected[t.ID] = reply.Expected
		}
	}
	return nil, reason
}

// noteReason notes why a target did not admit the request; first is set for the first target of a
// round, and preferred for that of the request's order.
func (x *Exchange) noteReason(reason sched.Reason, first, preferred bool) {
	if first {
		x.waits.first = reason
	}
	if preferred && (reason == sched.ReasonFetchRequired || reason == sched.ReasonAdapterSlots) {
		x.competition.contender.NeedsLoad = true
	}
}

// orderTargets returns the targets for a request that hold its model, best first, in
// the adapter's rendezvous order. If an adapter has several replicas, its long
// prompts go first to targets reserved for long prompts, and its other requests only
// to unreserved targets. It also returns the demand weight of the first admission
// request: the number of requests that it represents in the demand estimate of its
// target. Long prompts that go to reserved targets have weight 0: they are not counted.
func (r *Router) orderTargets(x *Exchange, svc *config.Service, targets []*fleet.Target, replicas, attempt int) ([]*fleet.Target, int) {
	key := x.Request.AdapterName()
	if key == "" {
		key = x.Request.ID
	}
	pick := xxhash.Sum64String(x.Request.ID)
	limits := sched.Limits{
		EventSteps: svc.Engine.EventTokens,
		MaxGap:     svc.MaxGap(),
	}
	reserved := map[*fleet.Target]bool{}
	if replicas > 1 && limits.SeparatesLongPrompts(r.prefillWindow(svc.Name)) {
		for _, t := range topTargets(longPromptKey, targets, sched.LongPromptTargets(len(targets)), anyTarget) {
			reserved[t] = true
		}
	}
	holdsModel := func(t **fleet.Target) bool {
		return (x.Request.Model == "" || (*t).HoldsModel(x.Request.Model)) && !reserved[*t]
	}
	ordered := r.orderByZone(r.adapterTargets(key, targets, max(sched.MaxTargets, replicas), holdsModel), replicas, pick, attempt)
	if len(reserved) == 0 || !limits.IsLongPrompt(x.Request.PromptTokens) {
		return ordered, min(replicas, len(ordered))
	}
	long := topTargets(key, targets, sched.MaxTargets/2, func(t **fleet.Target) bool {
		return (x.Request.Model == "" || (*t).HoldsModel(x.Request.Model)) && reserved[*t]
	})
	return append(sched.OrderTargets(long, len(long), pick, attempt), ordered...), 0
}

// prefillWindow returns the prefill window of a service, or 0 if it is unknown.
func (r *Router) prefillWindow(service string) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.windows[service]
}

// recordPrefillWindow records the prefill window of a service that a manager reported.
func (r *Router) recordPrefillWindow(service string, window int64) {
	if window <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.windows[service] = window
}

// longPromptKey is the rendezvous key that selects the targets reserved for long
// prompts.
const longPromptKey = "long-prompts"

// anyTarget is a filter for topTargets that accepts all targets.
func anyTarget(**fleet.Target) bool {
	return true
}

// topTargets returns the first n targets in the rendezvous order of a key among
// those that keep accepts.
func topTargets(key string, targets []*fleet.Target, n int, keep func(**fleet.Target) bool) []*fleet.Target {
	return route.TopBy(key, targets, func(t **fleet.Target) string {
		return (*t).ID
	}, n, keep)
}

// requestAdmission requests admission from the manager of a target. If admission is
// granted for a later time, it waits until then. It returns nil and the reply if
// admission is not granted, and nil and an empty reply if the manager cannot be
// reached, the context ends, or the target or version has changed meanwhile.
func (r *Router) requestAdmission(ctx context.Context, x *Exchange, view *fleet.View, t *fleet.Target, version uint64, round sched.PlacementRound, demandWeight int) (*Placement, wire.AdmissionReply) {
	m, ok := view.Manager(t.ID)
	if !ok || r.isUnresponsive(time.Now(), view, m.Instance) {
		return nil, wire.AdmissionReply{}
	}
	p := &Placement{
		Target:  *t,
		Version: version,
		router:  r,
		grantID: x.Request.ID + "/" + t.ID,
		manager: m.Instance,
	}
	args := wire.AdmissionArgs{
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
			Asks:     demandWeight,
		},
	}
	asked := time.Now()
	x.setContest(asked, &args.Ask)
	if _, limited := r.Avail.LimitOf(t); limited {
		n := r.Avail.NoticeOf(asked, t)
		args.Notice = &n
	}
	reply := r.callManager(ctx, view, p, args)
	x.waits.record(time.Since(asked), &reply)
	r.demand.Merge(time.Now(), x.Request.AdapterName(), reply.Demand)
	if reply.Window > 0 {
		r.recordPrefillWindow(t.Service, reply.Window)
		r.recordDelay(time.Now(), t.Service, t.ID, reply.Delay)
	}
	x.gate.Log.Debug().Str("request", x.Request.ID).Str("target", t.ID).Bool("granted", reply.Granted).
		Str("reason", string(reply.Reason)).Dur("expected", reply.Expected).Msg("gate: admission requested")
	if reply.Notice != nil {
		r.Avail.Record(time.Now(), *reply.Notice)
	}
	if reply.Reason == sched.ReasonLimited {
		r.Avail.RecordNoToken(time.Now(), t, reply.RetryIn)
	}
	if !reply.Granted {
		return nil, reply
	}
	x.waits.add("load", reply.After)
	if reply.After > 0 && !clock.Sleep(ctx, reply.After) {
		p.release(time.Now(), endNotExecuted)
		return nil, wire.AdmissionReply{}
	}
	p.delayedFor = reply.After
	// The manager has recorded the notice that it got.
	p.hasToken = reply.Token || args.Notice != nil
	if !r.isStillValid(p, x.Request.AdapterName()) {
		p.release(time.Now(), endNotExecuted)
		return nil, wire.AdmissionReply{}
	}
	return p, reply
}

// isStillValid reports whether a placement may still be used. While admission was
// pending, the target may have been closed or restarted, may have named a rate limit, or the adapter may have
// got a new version.
func (r *Router) isStillValid(p *Placement, adapter string) bool {
	view := r.Registry.View()
	t, ok := view.Target(p.Target.ID)
	version, _ := view.Version(adapter)
	return ok && t.SameIncarnation(&p.Target) && r.Avail.MaySend(time.Now(), view, t, p.hasToken) && version == p.Version
}

// callManager sends an admission request to the manager of a placement. A grant that
// arrives after the request was cancelled is released.
func (r *Router) callManager(ctx context.Context, view *fleet.View, p *Placement, args wire.AdmissionArgs) wire.AdmissionReply {
	if p.manager == r.Self {
		return r.Manager.RequestAdmission(args)
	}
	in, ok := view.Instance(p.manager)
	if !ok {
		return wire.AdmissionReply{}
	}
	type result struct {
		reply wire.AdmissionReply
		err   error
	}
	done := make(chan result, 1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go errs.Contain(&r.Log, "Router.requestAdmission", func() {
		callCtx, stop := context.WithTimeout(context.WithoutCancel(ctx), admissionTimeout)
		defer stop()
		var reply wire.AdmissionReply
		// After a panic the request waits no longer than for a manager that does not respond.
		err := r.Peers.Call(callCtx, in.Peers, wire.MethodRequestAdmission, args, &reply)
		if err == nil && reply.Granted && ctx.Err() != nil {
			p.release(time.Now(), endNotExecuted)
		}
		done <- result{
			reply: reply,
			err:   err,
		}
	})
	lastContact := time.Now()
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case res := <-done:
			if res.err == nil {
				r.recordContact(time.Now(), p.manager)
				return res.reply
			}
			r.Log.Info().Err(res.err).Str("instance", p.manager).Msg("gate: admission request failed; targets of this manager are skipped for a while")
			r.markUnresponsive(time.Now(), in)
			return wire.AdmissionReply{}
		case now := <-ticker.C:
			if r.hasContactSince(p.manager, lastContact) {
				lastContact = now
				continue
			}
			if now.Sub(lastContact) < livenessTimeout {
				go errs.Contain(&r.Log, "Router.ping", func() {
					r.ping(in)
				})
				continue
			}
			cancel()
			r.Log.Info().Str("instance", p.manager).Msg("gate: manager is unresponsive; its targets are skipped for a while")
			r.markUnresponsive(now, in)
			return wire.AdmissionReply{}
		case <-ctx.Done():
			return wire.AdmissionReply{}
		}
	}
}

// ping checks whether an instance is alive.
func (r *Router) ping(in fleet.Instance) {
	ctx, cancel := context.WithTimeout(context.Background(), livenessTimeout)
	defer cancel()
	// A failure is not recorded here: callManager detects that the instance is
	// unresponsive.
	if r.Peers.Call(ctx, in.Peers, wire.MethodPing, wire.Empty{}, &wire.Empty{}) == nil {
		r.recordContact(time.Now(), in.Name)
	}
}

// recordContact records that a message from an instance was received.
func (r *Router) recordContact(now time.Time, instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastContact[instance] = now
}

// hasContactSince reports whether a message from an instance was received after t.
func (r *Router) hasContactSince(instance string, t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastContact[instance].After(t)
}

// isUnresponsive reports whether the targets of a manager are skipped at present,
// because it did not respond to an admission request and has not restarted since.
func (r *Router) isUnresponsive(now time.Time, view *fleet.View, instance string) bool {
	r.mu.Lock()
	b, ok := r.backoffs[instance]
	r.mu.Unlock()
	if !ok || !now.Before(b.until) {
		return false
	}
	in, known := view.Instance(instance)
	return !known || in.Started == b.started
}

// markUnresponsive skips the targets of a manager for managerBackoff.
func (r *Router) markUnresponsive(now time.Time, in fleet.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.backoffs[in.Name] = backoff{
		until:   now.Add(managerBackoff),
		started: in.Started,
	}
}
