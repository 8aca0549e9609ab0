package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/netip"
	"sync"
	"time"

	"currantstile/allot"
	"currantstile/clock"
	"currantstile/conf"
	"currantstile/feed"
	"currantstile/gate"
	"currantstile/member"
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
	// partFence is how long an instance uses its part of the limits without a
	// sign of the store: longer than the outages that are planned for.
	partFence = 14 * time.Second
	// partReclaim is how long a part's holder has to be gone before the others
	// take it: longer than it may go on using it.
	partReclaim = 19 * time.Second
)

// limits holds the organisations to their limits, by parts of them that the
// instances hold and lend to each other.
type limits struct {
	node   *Node
	ledger *quota.Ledger
	keeper *share.Keeper
	broker *share.Broker
}

var _ gate.Limiter = (*limits)(nil)

func newLimits(n *Node) *limits {
	var nonce [4]byte
	// crypto/rand.Read never returns an error: it ends the process instead.
	_, _ = rand.Read(nonce[:])
	holder := n.Settings.Name + "/" + hex.EncodeToString(nonce[:])
	l := &limits{
		node:   n,
		ledger: quota.NewLedger(),
	}
	l.keeper = &share.Keeper{
		Self: share.Part(holder, model.InstanceID(n.Settings.Name), n.Settings.Peers),
		KV: &feed.Cached{
			KV:       n.KV,
			Follower: n.own,
			Hub:      n.hub,
		},
		Ledger:  l.ledger,
		Members: l.members,
		Version: l.tableVersion,
		Timing: allot.Timing{
			Fence:   partFence,
			Reclaim: partReclaim,
			Settle:  allot.SettleTime,
			// A process that follows another one at its address begins with empty
			// buckets, which makes up for the loans of the one before.
			Succession: time.Millisecond,
		},
		Log: n.Log,
	}
	l.broker = &share.Broker{
		Self:   quota.Peer(holder),
		Ledger: l.ledger,
		Peers:  n.pool,
		Keeper: l.keeper,
		Limits: l.limitsOf,
		Log:    n.Log,
	}
	return l
}

// run keeps the part and the loans until ctx ends.
func (l *limits) run(ctx context.Context) {
	for !l.node.session.Registered() || l.node.config.Load() == nil {
		if !clock.Sleep(ctx, askingPause) {
			return
		}
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		l.keeper.Run(ctx)
	})
	wg.Go(func() {
		l.broker.Run(ctx)
	})
	wg.Wait()
}

// members are the instances as the keeper looks at them.
func (l *limits) members() *member.View {
	v := &member.View{
		Asked: l.node.health.LastReached(),
	}
	for _, i := range l.node.book.View().Instances() {
		v.Entries = append(v.Entries, model.Member{
			ID:    i.Name,
			Role:  model.RoleEntry,
			Zone:  model.ZoneID(i.Zone),
			Addr:  i.Peers,
			State: model.StateLive,
		})
	}
	return v
}

// tableVersion asks an instance which version of the table of parts it has seen.
func (l *limits) tableVersion(ctx context.Context, addr netip.AddrPort) (uint64, error) {
	var reply wire.StatusReply
	err := l.node.pool.Call(ctx, addr, wire.MethodStatus, wire.StatusArgs{}, &reply)
	return reply.Table, err
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
	if !limited || l.keeper.Usable(now) > 0 {
		return true
	}
	t, _ := l.keeper.Table()
	return len(t.Parts) > 1
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

// Status answers wire.MethodStatus.
func (s *LimitService) Status(_ wire.StatusArgs, reply *wire.StatusReply) error {
	*reply = wire.StatusReply{
		ID:    model.InstanceID(s.limits.node.Settings.Name),
		Table: s.limits.keeper.Seen(),
	}
	return nil
}
