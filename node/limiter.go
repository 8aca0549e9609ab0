package node

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"currantstile/broker"
	"currantstile/clock"
	"currantstile/config"
	"currantstile/elect"
	"currantstile/errs"
	"currantstile/model"
	"currantstile/proxy"
	"currantstile/quota"
	"currantstile/wire"
)

const (
	// maxWait bounds how long a request waits for tokens that are about to become
	// available. minWait is the shortest wait that is worth a timer.
	maxWait = 150 * time.Millisecond
	minWait = 5 * time.Millisecond
	// maxListingAge is how long this instance's own listing of the store shows that the
	// membership record is up to date: much less than what EvenReclaimDelay exceeds
	// EvenShareTTL by.
	maxListingAge = 500 * time.Millisecond
	// startPeriod is how long after its start an instance lets requests wait up to
	// startWait for tokens, one at a time for each organisation: its buckets start empty,
	// through no fault of the organisations.
	startPeriod = 4 * time.Second
	startWait   = 700 * time.Millisecond
	// releaseTimeout bounds the attempt to release the share when the instance stops: a few round trips to the store.
	releaseTimeout = 300 * time.Millisecond
	// membershipKey is the store key of the membership record: the instances that
	// share the limits.
	membershipKey = elect.Prefix + "limits/roll"
)

// limiter enforces the limits of the organisations. Some instances hold shares
// of the limits, and all instances acquire tokens from these shares.
type limiter struct {
	node      *Node
	ledger    *quota.Ledger
	allocator *broker.EvenAllocator
	acquirer  *broker.TokenAcquirer
	// turns holds for each organisation the right to take tokens after the start.
	turns sync.Map
	// loggedShare is the usable share at the last log line, in millionths.
	loggedShare int64
}

var _ proxy.Limiter = (*limiter)(nil)

func newLimiter(n *Node) *limiter {
	l := &limiter{
		node:   n,
		ledger: quota.NewLedger(),
	}
	l.allocator = &broker.EvenAllocator{
		Self:      n.Settings.Name,
		KV:        n.KV,
		RecordKey: membershipKey,
		Ledger:    l.ledger,
		Alive:     l.liveInstances,
		Current: func(now time.Time) bool {
			return n.hub.Current(now) || n.instanceFollower.ListedWithin(now, maxListingAge)
		},
		Era:     n.storeEra,
		Settled: n.versions.old.Load,
		Ask: func(ctx context.Context, addr netip.AddrPort, args wire.ShareRecordArgs) (wire.ShareRecordReply, error) {
			var reply wire.ShareRecordReply
			err := n.pool.Call(ctx, addr, wire.MethodShareRecord, args, &reply)
			return reply, err
		},
		Log: n.Log,
	}
	l.acquirer = &broker.TokenAcquirer{
		Self:      n.Settings.Name,
		Ledger:    l.ledger,
		Allocator: l.allocator,
		Peers:     n.pool,
		Limits:    l.lookupLimits,
		Log:       n.Log,
	}
	return l
}

// run waits until the instance is registered and listed, then maintains its
// share of the limits and its loans until ctx ends.
func (l *limiter) run(ctx context.Context) {
	for !l.node.session.Registered() || !l.node.instanceFollower.Listed() {
		if !clock.Sleep(ctx, minWait) {
			return
		}
	}
	l.allocator.MarkListed()
	l.allocator.Run(ctx)
}

// release releases this instance's share, which no request uses any more, so that instances which replace it need not wait until it has
// expired. It does not wait for a store that this instance is cut off from.
func (l *limiter) release() {
	if !l.node.hub.Current(time.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	errs.Contain(&l.node.Log, "limiter.release", func() {
		if err := l.allocator.Release(ctx); err != nil {
			l.node.Log.Info().Err(err).Msg("share: share not released; others wait until it has expired")
		}
	})
}

// liveInstances returns the peer addresses of the live instances by name.
func (l *limiter) liveInstances() map[string]netip.AddrPort {
	instances := l.node.registry.View().Instances()
	addrs := make(map[string]netip.AddrPort, len(instances))
	for _, i := range instances {
		addrs[i.Name] = i.Peers
	}
	return addrs
}

// logShareChange logs a change of this instance's usable share of the limits. Command
// explain finds the line by its message.
func (l *limiter) logShareChange(now time.Time) {
	share := l.allocator.UsableShare(now)
	if share == l.loggedShare {
		return
	}
	l.node.Log.Info().Int64("part", share).Int64("before", l.loggedShare).Msg("limits: part of all limits changed, in millionths")
	l.loggedShare = share
}

// lookupLimits returns the limits of an organisation. It reports false if there is no
// configuration yet, or if the organisation is unknown or has no rate limit.
func (l *limiter) lookupLimits(org model.OrgID) (quota.Limits, bool) {
	cfg := l.node.config.Load()
	if cfg == nil {
		return quota.Limits{}, false
	}
	o, ok := cfg.Organisation(string(org))
	if !ok || o.Rate <= 0 {
		return quota.Limits{}, false
	}
	return quotaLimits(o), true
}

func quotaLimits(o *config.Organisation) quota.Limits {
	return quota.Limits{
		Rate:  o.Rate,
		Burst: max(o.Burst, 1),
	}
}

// ready reports whether the instance can admit requests of organisations that
// have a rate limit. It is true if no organisation has one.
func (l *limiter) ready(now time.Time, cfg *config.Config) bool {
	limited := false
	for _, o := range cfg.Organisations {
		limited = limited || o.Rate > 0
	}
	return !limited || l.allocator.UsableShare(now) > 0 || l.allocator.CanTake()
}

// Admit implements proxy.Limiter. If enough tokens are expected within maxWait, it
// waits for them and tries once more.
func (l *limiter) Admit(ctx context.Context, now time.Time, id string, org *config.Organisation, cost int64) proxy.Decision {
	limits := quotaLimits(org)
	name := model.OrgID(org.Name)
	if now.Sub(l.node.started) < startPeriod && l.acquireInTurn(ctx, now, name, limits, cost) {
		return proxy.Admitted{}
	}
	wait, ok := l.acquirer.Acquire(ctx, now, name, limits, cost)
	if !ok && wait <= maxWait && clock.Sleep(ctx, max(wait, minWait)) {
		wait, ok = l.acquirer.Acquire(ctx, time.Now(), name, limits, cost)
	}
	if ok {
		return proxy.Admitted{}
	}
	l.node.Log.Info().Str("request", id).Str("organisation", org.Name).Int64("tokens", cost).Int64("rate", limits.Rate).Int64("burst", limits.Burst).
		Int64("part", l.allocator.UsableShare(now)).Dur("wait", wait).Msg("limits: request refused: not enough tokens")
	return proxy.RateLimited{
		RetryAfter: max(wait, minWait),
	}
}

// Refund implements proxy.Refunder.
func (l *limiter) Refund(now time.Time, org *config.Organisation, cost int64) {
	l.ledger.Refund(now, model.OrgID(org.Name), cost)
}

// acquireInTurn takes the tokens of a request while the buckets of a starting instance fill,
// waiting for them up to startWait.
func (l *limiter) acquireInTurn(ctx context.Context, now time.Time, org model.OrgID, limits quota.Limits, cost int64) bool {
	ctx, cancel := context.WithDeadline(ctx, now.Add(startWait))
	defer cancel()
	v, _ := l.turns.LoadOrStore(org, make(chan struct{}, 1))
	turn := v.(chan struct{})
	select {
	case turn <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() {
		<-turn
	}()
	for {
		wait, ok := l.acquirer.Acquire(ctx, time.Now(), org, limits, cost)
		if ok || !clock.Sleep(ctx, min(max(wait, minWait), maxWait)) {
			return ok
		}
	}
}

func (l *limiter) service() *LimitService {
	return &LimitService{
		limiter: l,
	}
}

// LimitService exposes the limiter through methods with the signatures that
// net/rpc requires.
type LimitService struct {
	limiter *limiter
}

// Take serves wire.MethodAcquireTokens.
func (s *LimitService) Take(args wire.AcquireTokensArgs, reply *wire.AcquireTokensReply) (err error) {
	defer errs.Recover("LimitService.Take", &err)
	*reply = s.limiter.acquirer.ServeTake(time.Now(), args)
	return nil
}

// Record serves wire.MethodShareRecord.
func (s *LimitService) Record(args wire.ShareRecordArgs, reply *wire.ShareRecordReply) (err error) {
	defer errs.Recover("LimitService.Record", &err)
	*reply = s.limiter.allocator.Acknowledge(time.Now(), args)
	return nil
}

// Return serves wire.MethodReturnTokens.
func (s *LimitService) Return(args wire.ReturnTokensArgs, _ *wire.Empty) (err error) {
	defer errs.Recover("LimitService.Return", &err)
	s.limiter.ledger.Refund(time.Now(), args.Organisation, args.Tokens)
	return nil
}
