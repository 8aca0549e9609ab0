package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"currantstile/call"
	"currantstile/config"
	"currantstile/driver"
	"currantstile/fleet"
	"currantstile/peer"
	"currantstile/sched"
)

const (
	// admissionTimeout bounds an ask of another instance, the wait for a load included.
	admissionTimeout = 2500 * time.Millisecond
	// livenessTimeout is how long an ask waits for an instance from which nothing was
	// heard meanwhile, and pingTime after how long of silence that instance is
	// asked for a sign of life: in a large fleet two instances may have nothing
	// else to say to each other while an ask waits for its turn.
	livenessTimeout = 300 * time.Millisecond
	pingInterval    = 100 * time.Millisecond
	// managerBackoff is how long the targets of a manager that did not answer are
	// left out.
	managerBackoff = 700 * time.Millisecond
	// updateBatchInterval is how long notes are gathered before they are sent.
	updateBatchInterval = 8 * time.Millisecond
	updateTimeout       = 500 * time.Millisecond
	// balancerRetention is how long what is known of an unseen target is kept.
	balancerRetention = 30 * time.Second
)

// Router finds the targets for requests. Its exported fields are set before Run.
type Router struct {
	Self string
	Zone string
	Book *fleet.Registry
	// Manager is this instance's own, which is asked without a call.
	Manager *driver.Manager
	Peers   *peer.Pool
	Budget  *sched.RetryBudget
	Log     log.Logger

	balancer     sched.Balancer
	demand       sched.Demand
	mu           sync.Mutex
	backoffUntil map[string]time.Time
	lastHeard    map[string]time.Time
	updates      map[string]map[string][]sched.ProgressUpdate
	wake         chan struct{}
	once         sync.Once
}

// Placement is the right to send a request to a target.
type Placement struct {
	Target fleet.Target
	// Version is the adapter version that the target has to hold; 0 is any.
	Version uint64

	router *Router
	// grantID names the grant, and manager who gave it; without a manager the place
	// is one of the balancer's.
	grantID string
	manager string
	// heldFor is for how long the request was held back until its adapter was
	// expected in place.
	heldFor time.Duration
}

// endKind is how a sending ended.
type endKind = sched.ProgressKind

const (
	endComplete    = sched.ProgressEnded
	endNotExecuted = sched.ProgressNotRun
	endWrongTarget = sched.ProgressWrongTarget
	endUnreachable = sched.ProgressUnreachable
	endFailed      = sched.ProgressFailed
	endCancelled   = sched.ProgressCanceled
)

// reportFirstByte notes the first bytes of an answer.
func (p *Placement) reportFirstByte(sent time.Time) {
	if p.manager != "" {
		p.router.queueUpdate(p, sched.ProgressFirstToken, sent)
	}
}

// release gives the place back.
func (p *Placement) release(sent time.Time, kind endKind) {
	if p.manager == "" {
		p.router.balancer.Release(time.Now(), p.Target.ID, kind)
		return
	}
	p.router.queueUpdate(p, kind, sent)
}

// reportLoad takes in a target's word about its load.
func (p *Placement) reportLoad(a call.ResponseInfo) {
	if p.manager == "" {
		p.router.balancer.RecordLoad(time.Now(), p.Target.ID, a.Running, a.Waiting)
	}
}

func (r *Router) init() {
	r.once.Do(func() {
		r.backoffUntil = make(map[string]time.Time)
		r.lastHeard = make(map[string]time.Time)
		r.updates = make(map[string]map[string][]sched.ProgressUpdate)
		r.wake = make(chan struct{}, 1)
	})
}

// Place finds a target for a request, leaving out those that were tried. It
// returns nil and a reason where there is none.
func (r *Router) Place(ctx context.Context, x *Exchange, tried map[string]bool) (*Placement, string) {
	r.init()
	svc, ok := r.selectService(x)
	if !ok {
		return nil, "no-service"
	}
	if !x.budgetCounted {
		x.budgetCounted = true
		r.Budget.RecordRequest(time.Now(), svc.Name)
	}
	view := r.Book.View()
	var targets []*fleet.Target
	for _, t := range view.Service(svc.Name) {
		if view.Usable(t) && !tried[t.ID] {
			targets = append(targets, t)
		}
	}
	if len(targets) == 0 {
		return nil, "no-target"
	}
	if svc.Engine == nil {
		return r.placePlain(svc, view, targets)
	}
	return r.placeOnEngine(ctx, x, svc, view, targets)
}

// selectService is the service that a request goes to, by its ID among the shares of
// its route.
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

// AllowRetry takes one repeat of the budget of a request's service.
func (r *Router) AllowRetry(now time.Time, x *Exchange) bool {
	svc, ok := r.selectService(x)
	return ok && r.Budget.TakeRetry(now, svc.Name, len(r.Book.View().Instances()))
}

// placePlain chooses a target of a plain service.
func (r *Router) placePlain(svc *config.Service, view *fleet.View, targets []*fleet.Target) (*Placement, string) {
	now := time.Now()
	choices := make([]sched.Candidate, 0, len(targets))
	for _, t := range targets {
		choices = append(choices, sched.Candidate{
			ID:       t.ID,
			Slots:    t.Slots,
			Local:    t.Zone == r.Zone,
			Cold:     svc.ColdRate > 0 && now.Before(t.ColdUntil),
			ColdRate: svc.ColdRate / float64(max(len(view.Instances()), 1)),
		})
	}
	id, ok := r.balancer.Choose(now, choices)
	if !ok {
		return nil, "cold"
	}
	t, ok := view.Target(id)
	if !ok {
		return nil, "no-target"
	}
	return &Placement{
		Target: *t,
		router: r,
	}, ""
}
