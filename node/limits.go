package node

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"currantstile/clock"
	"currantstile/conf"
	"currantstile/gate"
	"currantstile/lead"
	"currantstile/model"
	"currantstile/quota"
	"currantstile/share"
	"currantstile/wire"
)

const (
	// gatherWait is how long a request within its organisation's burst waits for
	// tokens before it is refused.
	gatherWait = 300 * time.Millisecond
	// askingPause is waited while another request of the same organisation asks
	// other instances.
	askingPause = 5 * time.Millisecond
	// rollKey is where the roll of instances that share the limits lies.
	rollKey = lead.Prefix + "limits/roll"
)

// limits holds the organisations to their limits, by parts of them that the
// instances hold and lend to each other.
type limits struct {
	node   *Node
	ledger *quota.Ledger
	even   *share.Even
	broker *share.Broker
	// part is what was usable at the last look, for the log.
	part int64
}

var _ gate.Limiter = (*limits)(nil)

func newLimits(n *Node) *limits {
	l := &limits{
		node:   n,
		ledger: quota.NewLedger(),
	}
	l.even = &share.Even{
		Self:    n.Settings.Name,
		KV:      n.KV,
		Key:     rollKey,
		Ledger:  l.ledger,
		Alive:   l.alive,
		Current: n.hub.Current,
		Log:     n.Log,
	}
	l.broker = &share.Broker{
		Self:    quota.Peer(n.Settings.Name),
		Ledger:  l.ledger,
		Peers:   n.pool,
		Lenders: l.even,
		Limits:  l.limitsOf,
		Log:     n.Log,
	}
	return l
}

// run keeps the part and the loans until ctx ends.
func (l *limits) run(ctx context.Context) {
	for !l.node.session.Registered() || !l.node.own.Listed() {
		if !clock.Sleep(ctx, askingPause) {
			return
		}
	}
	l.even.Listed()
	var wg sync.WaitGroup
	wg.Go(func() {
		l.even.Run(ctx)
	})
	wg.Go(func() {
		l.broker.Run(ctx)
	})
	wg.Wait()
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
	part := l.even.Usable(now)
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

func limitsFor(o *conf.Organisation) quota.Limits {
	return quota.Limits{
		Rate:  o.Rate,
		Burst: max(o.Burst, 1),
	}
}

// ready reports whether the instance can admit requests of limited organisations.
func (l *limits) ready(now time.Time, cfg *conf.Config) bool {
	limited := false
	for _, o := range cfg.Organisations {
		limited = limited || o.Rate > 0
	}
	return !limited || l.even.Usable(now) > 0 || len(l.even.Holders()) > 0
}

// Admit implements gate.Limiter.
func (l *limits) Admit(ctx context.Context, now time.Time, org *conf.Organisation, cost int64) gate.Verdict {
	bounds := limitsFor(org)
	deadline := now.Add(gatherWait)
	id := model.OrgID(org.Name)
	for {
		switch d := l.ledger.Reserve(now, id, bounds, cost).(type) {
		case quota.Admitted:
			return gate.Within{}
		case quota.Short:
			if !now.Before(deadline) || !l.gather(ctx, id, bounds, d, deadline.Sub(now)) {
				after := d.Wait
				if after < 0 {
					after = time.Duration(cost) * time.Second / time.Duration(bounds.Rate)
				}
				l.node.Log.Info().Str("organisation", org.Name).Int64("tokens", cost).Int64("rate", bounds.Rate).Int64("burst", bounds.Burst).
					Int64("part", l.even.Usable(now)).Dur("wait", d.Wait).Bool("asking", d.Asking).Dur("ask-in", d.AskIn).
					Int64("want", d.Want.Weight).Msg("limits: refused")
				return gate.Above{
					After: max(after, askingPause),
				}
			}
		default:
			return gate.Above{
				After: time.Second,
			}
		}
		now = time.Now()
	}
}

// gather waits until an organisation that is short may have more. It reports
// false where nothing is to be expected in time.
func (l *limits) gather(ctx context.Context, org model.OrgID, bounds quota.Limits, d quota.Short, left time.Duration) bool {
	switch {
	case !d.Want.Empty():
		l.broker.Gather(ctx, org, bounds, d.Want)
		return ctx.Err() == nil
	case d.Wait >= 0 && d.Wait <= left:
		return clock.Sleep(ctx, d.Wait)
	case d.Asking:
		return clock.Sleep(ctx, askingPause)
	case d.AskIn > 0 && d.AskIn <= left:
		return clock.Sleep(ctx, d.AskIn)
	default:
		return false
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

// Borrow answers wire.MethodBorrow.
func (s *LimitService) Borrow(args wire.BorrowArgs, reply *wire.BorrowReply) error {
	*reply = s.limits.broker.Borrow(args)
	return nil
}

// Recall answers wire.MethodRecall.
func (s *LimitService) Recall(args wire.RecallArgs, reply *wire.RecallReply) error {
	*reply = s.limits.broker.Recall(args)
	return nil
}

// Loans answers wire.MethodLoans.
func (s *LimitService) Loans(args wire.LoansArgs, reply *wire.LoansReply) error {
	*reply = s.limits.broker.Loans(args)
	return nil
}
