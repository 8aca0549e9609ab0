package proxy

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"currantstile/avail"
	"currantstile/call"
	"currantstile/clock"
	"currantstile/config"
	"currantstile/driver"
	"currantstile/fleet"
	"currantstile/peer"
	"currantstile/sched"
	"currantstile/wire"
)

const (
	// admissionTimeout is the limit for an admission request to another instance,
	// including the wait for an adapter load.
	admissionTimeout = 2500 * time.Millisecond
	// livenessTimeout is how long an admission request waits for an instance from
	// which nothing is received meanwhile. pingInterval is the time without a
	// message after which the instance is pinged: in a large fleet two instances
	// may exchange no other messages while an admission request is queued.
	livenessTimeout = 300 * time.Millisecond
	pingInterval    = 100 * time.Millisecond
	// managerBackoff is how long the targets of a manager that did not respond are
	// skipped.
	managerBackoff = 700 * time.Millisecond
	// updateBatchInterval is how long progress updates are collected before they
	// are sent in one batch; updateTimeout is the limit for that call.
	updateBatchInterval = 8 * time.Millisecond
	updateTimeout       = 500 * time.Millisecond
	// balancerRetention is how long the balancer keeps the state of a target that
	// is no longer seen.
	balancerRetention = 30 * time.Second
)

// reasonClosed is why a request waits or is not placed while no target takes requests: all push back,
// leave or are at their rate limits.
const reasonClosed = "closed"

// Router selects targets for requests. Its exported fields must be set before Run.
type Router struct {
	// Self is the name of this instance, and Zone its data centre.
	Self     string
	Zone     string
	Registry *fleet.Registry
	// Manager is the manager of this instance, which is called directly.
	Manager *driver.Manager
	Peers   *peer.Pool
	Budget  *sched.RetryBudget
	// Sharers returns how many instances the store's membership record lists; nil means that there is
	// no record.
	Sharers func() int
	// Avail is what the targets' answers said. Share passes on what an answer said to the
	// instances that do not learn it from a target's manager; it may be nil.
	Avail *avail.Book
	// Slots grants slots of plain services, if this instance does so; nil if no instance does.
	Slots *driver.Slots
	Share func(now time.Time, n avail.Notice)
	// BytePrice is the time that it is worth not to move 1 MiB to another data centre; 0 if bytes have no price.
	BytePrice time.Duration
	Log       log.Logger

	balancer sched.Balancer
	demand   sched.Demand
	loads    loadCounter
	mu       sync.Mutex
	// backoffs are the managers whose targets are skipped, by instance, and lastContact is
	// when the last message from each instance was received.
	backoffs    map[string]backoff
	lastContact map[string]time.Time
	// windows is the prefill window of each service that its managers last reported.
	windows map[string]int64
	// overloads is the overload of each model service.
	overloads map[string]*serviceOverload
	overload  overload
	// updates holds the queued progress updates by manager and target. wake is
	// signalled when one is added.
	updates map[string]map[string]*wire.TargetProgress
	wake    chan struct{}
	once    sync.Once
	// malformed counts answers with invalid fields.
	malformed atomic.Int64
	slots     slotState
	crossings crossings
}

// backoff is until when the targets of a manager are skipped that did not respond, and the
// start of its process, in Unix milliseconds: a restarted one is asked at once.
type backoff struct {
	until   time.Time
	started int64
}

// Placement is the permission to send a request to a target.
type Placement struct {
	Target fleet.Target
	// Version is the required adapter version; 0 accepts any.
	Version uint64

	router *Router
	// grantID is the ID of the grant, and manager the instance that granted it.
	// manager is empty if the target was chosen by the balancer.
	grantID string
	manager string
	// slot is the slot that another instance has granted; nil if the balancer chose the target. load is what
	// the target's response stated.
	slot *heldSlot
	load *sched.LoadReport
	// slowdown is what the target stated and its manager has not been told yet.
	slowdown float64
	// crossing is why the target is in another data centre, as far as that was decided for this request.
	crossing sched.CrossingReason
	// hasToken is set if the request has a token of the target's rate.
	hasToken bool
	// delayedFor is how long the request was delayed until its adapter was expected
	// to be loaded.
	delayedFor time.Duration
	// maxPause is the longest pause between two reads of a stream.
	maxPause time.Duration
	// counted is set while the placement counts as running, with countedTokens.
	counted       bool
	countedTokens int64
}

// endKind is how an attempt to send a request ended.
type endKind = sched.ProgressKind

const (
	endComplete    = sched.ProgressEnded
	endNotExecuted = sched.ProgressNotRun
	endWrongTarget = sched.ProgressWrongTarget
	endUnreachable = sched.ProgressUnreachable
	endFailed      = sched.ProgressFailed
	endCancelled   = sched.ProgressCancelled
)

// reportFirstByte reports the first bytes of the response to the manager.
func (p *Placement) reportFirstByte(sentAt time.Time) {
	if p.manager != "" {
		p.router.queueUpdate(p, sched.ProgressFirstToken, sentAt, 0)
	}
}

// release ends the placement and reports the result to the manager or the balancer.
func (p *Placement) release(sentAt time.Time, kind endKind) {
	p.countEnd()
	if p.manager == "" {
		if kind == endComplete {
			p.router.balancer.RecordWork(time.Since(sentAt))
		}
		p.router.balancer.Release(time.Now(), p.Target.ID, kind)
		if p.slot != nil {
			p.router.endSlot(p.slot, kind, p.load)
		}
		return
	}
	p.router.queueUpdate(p, kind, sentAt, p.maxPause)
}

// reportLoad passes the load stated by a target to the balancer, or the slowdown to the manager that granted the
// placement, with the next progress update.
func (p *Placement) reportLoad(info call.ResponseInfo) {
	p.slowdown = info.Slowdown
	if info.Slowdown > 0 {
		p.router.slots.noteSlowdown(p.Target.Service)
	}
	if p.manager == "" {
		p.load = &sched.LoadReport{
			Running:  info.Running,
			Waiting:  info.Waiting,
			Slowdown: info.Slowdown,
		}
		p.router.balancer.RecordLoad(time.Now(), p.Target.ID, *p.load)
	}
}

// init creates the maps and the channel on the first call.
func (r *Router) init() {
	r.once.Do(func() {
		r.backoffs = make(map[string]backoff)
		r.lastContact = make(map[string]time.Time)
		r.windows = make(map[string]int64)
		r.overloads = make(map[string]*serviceOverload)
		r.updates = make(map[string]map[string]*wire.TargetProgress)
		r.wake = make(chan struct{}, 1)
	})
}

// Place selects a target for a request, excluding those in tried. If there is none, it returns
// nil and the refusal. While all targets push back, it waits if one will be back in time, and
// then forgets that it was tried.
func (r *Router) Place(ctx context.Context, x *Exchange, tried map[string]bool) (*Placement, *Refusal) {
	r.init()
	svc, ok := r.selectService(x)
	if !ok {
		return nil, newUnsentRefusal("no-service")
	}
	if !x.budgetCounted {
		x.budgetCounted = true
		r.Budget.RecordRequest(time.Now(), svc.Name)
	}
	end := r.countWait(svc, x.Request.TotalTokens(), x.Request.PromptTokens)
	p, refusal := r.placeIn(ctx, x, svc, tried)
	// A request that was sent before was wanted once; one whose caller left is not refused.
	end(p, len(tried) == 0 && ctx.Err() == nil)
	return p, refusal
}

// placeIn is Place for a service.
func (r *Router) placeIn(ctx context.Context, x *Exchange, svc *config.Service, tried map[string]bool) (*Placement, *Refusal) {
	for {
		now, view := time.Now(), r.Registry.View()
		if targets := r.openTargets(now, view, svc.Name, tried); len(targets) > 0 {
			p, refusal, reason := r.placeAmong(ctx, x, svc, view, targets)
			if p != nil || refusal != nil {
				return p, refusal
			}
			// The targets may have been closed while the request waited, or opened again.
			now = time.Now()
			open := len(r.openTargets(now, r.Registry.View(), svc.Name, tried)) > 0
			if ctx.Err() != nil || open && (reason != reasonClosed || now.Sub(x.start) > x.Route.Objective) {
				return nil, &Refusal{
					Reason:     reason,
					RetryAfter: x.retryDelay(),
				}
			}
			if open {
				continue
			}
		}
		plan := r.Avail.Plan(now, r.Registry.View(), svc.Name, avail.Waiting{
			Start:     x.start,
			Deadline:  x.callerDeadline(),
			Objective: x.Route.Objective,
		})
		switch plan := plan.(type) {
		case avail.Wait:
			r.Log.Info().Str("request", x.Request.ID).Str("service", svc.Name).Dur("wait", plan.Until.Sub(now)).Msg("gate: all targets push back or are at their limits; request waits")
			x.waits.add(reasonClosed, plan.Until.Sub(now))
			if !clock.Sleep(ctx, plan.Until.Sub(now)) {
				return nil, newUnsentRefusal("timeout")
			}
			clear(tried)
		case avail.Refuse:
			reason := reasonOf(plan)
			r.Log.Info().Str("request", x.Request.ID).Str("service", svc.Name).Str("reason", string(reason)).Dur("retry-after", plan.RetryAfter).
				Msg("gate: all targets push back or are at their limits; request is refused")
			return nil, &Refusal{
				Reason:     string(reason),
				RetryAfter: plan.RetryAfter,
			}
		default:
			return nil, newUnsentRefusal("no-target")
		}
	}
}

// reasonOf returns the reason of a refusal while all targets of a service are closed.
func reasonOf(plan avail.Refuse) sched.Reason {
	switch {
	case plan.Cold:
		return sched.ReasonCold
	case plan.Limited:
		return sched.ReasonLimited
	default:
		return sched.ReasonPushedBack
	}
}

// newUnsentRefusal returns the refusal of a request that no target has executed.
func newUnsentRefusal(reason string) *Refusal {
	return &Refusal{
		Reason:     reason,
		RetryAfter: unsentRetryAfter,
	}
}

// openTargets returns the targets of a service that may be sent requests, except those in tried.
func (r *Router) openTargets(now time.Time, view *fleet.View, service string, tried map[string]bool) []*fleet.Target {
	var targets []*fleet.Target
	for _, t := range view.Service(service) {
		if !tried[t.ID] && r.Avail.IsOpen(now, view, t) {
			targets = append(targets, t)
		}
	}
	return targets
}

// placeAmong selects one of the given targets. If there is none, it returns nil and the refusal, or nil twice and
// the reason.
func (r *Router) placeAmong(ctx context.Context, x *Exchange, svc *config.Service, view *fleet.View, targets []*fleet.Target) (*Placement, *Refusal, string) {
	if svc.Engine != nil {
		p, reason := r.placeOnEngine(ctx, x, svc, view, targets)
		return p, nil, reason
	}
	if p, refusal := r.placeInPool(ctx, x, svc, view, targets); p != nil || refusal != nil {
		return p, refusal, ""
	}
	p, reason := r.placePlain(ctx, x.held.body.size(), view, targets)
	return p, nil, reason
}

// selectService returns the service for a request, chosen by a hash of the request ID
// in proportion to the weights of its route.
func (r *Router) selectService(x *Exchange) (*config.Service, bool) {
	total := 0
	for _, s := range x.Route.Services {
		total += s.Weight
	}
	if total <= 0 {
		return nil, false
	}
	pick := int(xxhash.Sum64String(x.Request.ID) % uint64(total))
	for _, s := range x.Route.Services {
		if pick -= s.Weight; pick < 0 {
			return x.cfg.Service(s.Service)
		}
	}
	return nil, false
}

// AllowRetry takes one retry from the retry budget of the request's service. It
// reports whether the budget allowed it.
func (r *Router) AllowRetry(now time.Time, x *Exchange) bool {
	svc, ok := r.selectService(x)
	return ok && r.Budget.TakeRetry(now, svc.Name, r.sharers())
}

// sharers returns the number of instances among which what all may use is divided. The list of instances
// lacks those whose leases expired, which may serve on; the membership record keeps them for a while.
func (r *Router) sharers() int {
	listed := len(r.Registry.View().Instances())
	if r.Sharers == nil {
		return listed
	}
	return max(listed, r.Sharers())
}

// idleConnShare is the part of the connections that a target accepts which may be idle; the others are for
// requests that run or wait there.
const idleConnShare = 0.5

// idleShare returns how many idle connections this instance may keep to a target of the request's
// service; 0 if the service does not bound them.
func (r *Router) idleShare(x *Exchange) float64 {
	svc, ok := r.selectService(x)
	if !ok || svc.MaxConns <= 0 {
		return 0
	}
	return idleConnShare * float64(svc.MaxConns) / float64(max(r.sharers(), 1))
}

// placePlain selects a target of a plain service with the balancer. A target that takes no request now,
// because of its rate limit or because it is cold, gives way to the next one. bytes is the size of the request.
func (r *Router) placePlain(ctx context.Context, bytes int64, view *fleet.View, targets []*fleet.Target) (*Placement, string) {
	for len(targets) > 0 {
		now := time.Now()
		choices := make([]sched.Candidate, 0, len(targets))
		for _, t := range targets {
			choices = append(choices, sched.Candidate{
				ID:    t.ID,
				Slots: t.Slots,
				Local: t.Zone == r.Zone,
				Cost:  r.crossingCost(bytes),
			})
		}
		id, ok := r.balancer.Choose(now, choices)
		if !ok {
			return nil, "no-target"
		}
		t, ok := view.Target(id)
		if !ok {
			return nil, "no-target"
		}
		needed := r.Avail.NeedsToken(now, t)
		if !needed || r.takeToken(ctx, view, t) {
			return &Placement{
				Target:   *t,
				router:   r,
				crossing: r.crossingAlone(t, targets),
				hasToken: needed,
			}, ""
		}
		r.balancer.Cancel(id)
		targets = slices.DeleteFunc(targets, func(t *fleet.Target) bool {
			return t.ID == id
		})
	}
	return nil, reasonClosed
}
