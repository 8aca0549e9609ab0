package node

import (
	"context"
	"net/netip"
	"time"

	"currantstile/broker"
	"currantstile/clock"
	"currantstile/config"
	"currantstile/elect"
	"currantstile/model"
	"currantstile/proxy"
	"currantstile/quota"
	"currantstile/wire"
)

const (
	// shortWait is how long a request waits at most for tokens that are about to
	// come, and minWait the shortest wait that is worth a timer.
	shortWait = 150 * time.Millisecond
	minWait   = 5 * time.Millisecond
	// rollKey is where the roll of instances that share the limits lies.
	rollKey = elect.Prefix + "limits/roll"
)

// limits holds the organisations to their limits, by parts of them that some
// instances hold and all take from.
type limits struct {
	node   *Node
	ledger *quota.Ledger
	even   *broker.EvenAllocator
	taker  *broker.TokenAcquirer
	// part is what was usable at the last look, for the log.
	part int64
}

var _ proxy.Limiter = (*limits)(nil)

func newLimits(n *Node) *limits {
	l := &limits{
		node:   n,
		ledger: quota.NewLedger(),
	}
	l.even = &broker.EvenAllocator{
		Self:      n.Settings.Name,
		KV:        n.KV,
		RecordKey: rollKey,
		Ledger:    l.ledger,
		Alive:     l.alive,
		Current:   n.hub.Current,
		Log:       n.Log,
	}
	l.taker = &broker.TokenAcquirer{
		Self:      n.Settings.Name,
		Ledger:    l.ledger,
		Allocator: l.even,
		Peers:     n.pool,
		Limits:    l.limitsOf,
		Log:       n.Log,
	}
	return l
}

// run keeps the part and the loans until ctx ends.
func (l *limits) run(ctx context.Context) {
	for !l.node.session.Registered() || !l.node.own.Listed() {
		if !clock.Sleep(ctx, minWait) {
			return
		}
	}
	l.even.MarkListed()
	l.even.Run(ctx)
}

// alive are the instances that are alive, by name.
func (l *limits) alive() map[string]netip.AddrPort {
	instances := l.node.book.View().Instances()
	list := make(map[string]netip.AddrPort, len(instances))
	for _, i := range instances {
		list[i.Name] = i.Peers
	}
	return list
}

// look logs a change of this instance's part.
func (l *limits) look(now time.Time) {
	part := l.even.UsableShare(now)
	if part == l.part {
		return
	}
	l.node.Log.Info().Int64("part", part).Int64("before", l.part).Msg("limits: part of all limits changed, in millionths")
	l.part = part
}

func (l *limits) limitsOf(org model.OrgID) (quota.Limits, bool) {
	cfg := l.node.config.Load()
	if cfg == nil {
		return quota.Limits{}, false
	}
	o, ok := cfg.Organisation(string(org))
	if !ok || o.Rate <= 0 {
		return quota.Limits{}, false
	}
	return limitsFor(o), true
}

func limitsFor(o *config.Organisation) quota.Limits {
	return quota.Limits{
		Rate:  o.Rate,
		Burst: max(o.Burst, 1),
	}
}

// ready reports whether the instance can admit requests of limited organisations.
func (l *limits) ready(now time.Time, cfg *config.Config) bool {
	limited := false
	for _, o := range cfg.Organisations {
		limited = limited || o.Rate > 0
	}
	return !limited || l.even.UsableShare(now) > 0
}

// Admit implements proxy.Limiter.
func (l *limits) Admit(ctx context.Context, now time.Time, id string, org *config.Organisation, cost int64) proxy.Decision {
	bounds := limitsFor(org)
	name := model.OrgID(org.Name)
	wait, ok := l.taker.Acquire(ctx, now, name, bounds, cost)
	if !ok && wait <= shortWait && clock.Sleep(ctx, max(wait, minWait)) {
		wait, ok = l.taker.Acquire(ctx, time.Now(), name, bounds, cost)
	}
	if ok {
		return proxy.Admitted{}
	}
	l.node.Log.Info().Str("request", id).Str("organisation", org.Name).Int64("tokens", cost).Int64("rate", bounds.Rate).Int64("burst", bounds.Burst).
		Int64("part", l.even.UsableShare(now)).Dur("wait", wait).Msg("limits: refused")
	return proxy.RateLimited{
		RetryAfter: max(wait, minWait),
	}
}

func (l *limits) service() *LimitService {
	return &LimitService{
		limits: l,
	}
}

// LimitService gives net/rpc the method signatures that it wants.
type LimitService struct {
	limits *limits
}

// Take answers wire.MethodTake.
func (s *LimitService) Take(args wire.AcquireTokensArgs, reply *wire.AcquireTokensReply) error {
	*reply = s.limits.taker.ServeTake(time.Now(), args)
	return nil
}

// Return answers wire.MethodReturn.
func (s *LimitService) Return(args wire.ReturnTokensArgs, _ *wire.Empty) error {
	s.limits.ledger.Refund(time.Now(), args.Organisation, args.Tokens)
	return nil
}
