package daemon

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"currantstile/cache"
	"currantstile/commit"
	"currantstile/errs"
	"currantstile/metric"
	"currantstile/model"
	"currantstile/route"
	"currantstile/send"
	"currantstile/wire"
)

// loadPermitsKey chooses the instance that hands out the permits for loads.
const loadPermitsKey = "load-permits"

// permitIssuer is the instance that hands out the permits for loads. Two instances
// that see the list differently for a moment hand out more than the weight store
// takes, which it refuses.
func (in *Instance) permitIssuer() (model.Member, bool) {
	return route.First(loadPermitsKey, in.members.View().Entries)
}

// acquireLoadPermit asks for the permit to load an adapter.
func (in *Instance) acquireLoadPermit(ctx context.Context) (wire.LoadPermitReply, error) {
	home, ok := in.permitIssuer()
	if !ok {
		return wire.LoadPermitReply{}, errs.WithOp(send.ErrNoTarget, "Instance.askPermit")
	}
	if home.ID == string(in.Settings.ID) {
		return in.LoadPermit(), nil
	}
	var reply wire.LoadPermitReply
	err := in.pool.Call(ctx, home.Addr, wire.MethodLoadPermit, wire.LoadPermitArgs{}, &reply)
	return reply, err
}

// releaseLoadPermit gives a permit back. One that is lost on the way expires.
func (in *Instance) releaseLoadPermit(ctx context.Context, id cache.PermitID) {
	home, ok := in.permitIssuer()
	args := wire.ReleasePermitArgs{
		ID: id,
	}
	switch {
	case !ok:
	case home.ID == string(in.Settings.ID):
		in.ReleasePermit(args)
	default:
		if err := in.pool.Call(ctx, home.Addr, wire.MethodReleasePermit, args, &wire.Empty{}); err != nil {
			in.Log.Debug().Err(err).Msg("entry: permit for a load was not given back")
		}
	}
}

// fetchPins asks an entry for its pins.
func (in *Instance) fetchPins(ctx context.Context, entry model.Member, args wire.HoldsArgs) (wire.HoldsReply, error) {
	if entry.ID == string(in.Settings.ID) {
		return in.Holds(args), nil
	}
	var reply wire.HoldsReply
	err := in.pool.Call(ctx, entry.Addr, wire.MethodHolds, args, &reply)
	return reply, err
}

// Newer implements commit.Peers: it asks a few other instances in random order.
func (in *Instance) Newer(ctx context.Context, have commit.Revision) (commit.Snapshot, bool, error) {
	const most = 3
	entries := append(model.Members{}, in.members.View().Entries...)
	rand.Shuffle(len(entries), func(i, j int) {
		entries[i], entries[j] = entries[j], entries[i]
	})
	asked := 0
	err := errs.WithOp(send.ErrNoTarget, "Instance.Newer")
	for _, e := range entries {
		if e.ID == string(in.Settings.ID) || asked == most {
			continue
		}
		asked++
		var reply wire.ConfigReply
		if err = in.pool.Call(ctx, e.Addr, wire.MethodConfig, wire.ConfigArgs{
			Have: have,
		}, &reply); err == nil {
			return reply.Snapshot, reply.Newer, nil
		}
	}
	return commit.Snapshot{}, false, err
}

// Config implements peer.Handler.
func (in *Instance) Config(args wire.ConfigArgs) wire.ConfigReply {
	s, newer := in.follower.Snapshot(args.Have)
	return wire.ConfigReply{
		Newer:    newer,
		Snapshot: s,
	}
}

// tableVersion asks an instance which version of the table it has seen last.
func (in *Instance) tableVersion(ctx context.Context, addr netip.AddrPort) (uint64, error) {
	var reply wire.StatusReply
	err := in.pool.Call(ctx, addr, wire.MethodStatus, wire.StatusArgs{}, &reply)
	return reply.Table, err
}

// Holds implements peer.Handler.
func (in *Instance) Holds(args wire.HoldsArgs) wire.HoldsReply {
	return in.sender.Holds(args)
}

// LoadPermit implements peer.Handler.
func (in *Instance) LoadPermit() wire.LoadPermitReply {
	in.loadLimiterMu.Lock()
	defer in.loadLimiterMu.Unlock()
	id, wait, ok := in.loadLimiter.Acquire(time.Now())
	return wire.LoadPermitReply{
		Granted: ok,
		ID:      id,
		Wait:    wait,
	}
}

// ReleasePermit implements peer.Handler.
func (in *Instance) ReleasePermit(args wire.ReleasePermitArgs) {
	in.loadLimiterMu.Lock()
	defer in.loadLimiterMu.Unlock()
	in.loadLimiter.Release(args.ID)
}

// Borrow implements peer.Handler.
func (in *Instance) Borrow(args wire.BorrowArgs) wire.BorrowReply {
	return in.broker.Borrow(args)
}

// Recall implements peer.Handler.
func (in *Instance) Recall(args wire.RecallArgs) wire.RecallReply {
	return in.broker.Recall(args)
}

// UpdateLoans implements peer.Handler.
func (in *Instance) UpdateLoans(args wire.UpdateLoansArgs) wire.UpdateLoansReply {
	return in.broker.Loans(args)
}

// Acquire implements peer.Handler.
func (in *Instance) Acquire(args wire.AcquireArgs) wire.AcquireReply {
	return in.manager.Acquire(args)
}

// Renew implements peer.Handler.
func (in *Instance) Renew(args wire.RenewArgs) wire.RenewReply {
	return in.manager.Renew(args)
}

// AdapterLost implements peer.Handler.
func (in *Instance) AdapterLost(args wire.AdapterLostArgs) {
	in.manager.RecordLost(args)
}

// Status implements peer.Handler.
func (in *Instance) Status() wire.StatusReply {
	return wire.StatusReply{
		ID:        in.Settings.ID,
		Zone:      in.Settings.Zone,
		Revision:  uint64(in.follower.View().Revision()),
		Confirmed: in.follower.ConfirmedAt(),
		Started:   in.started,
		Phase:     string(in.phaseMachine.MustState().(Phase)),
		Running:   in.publicServer.Running(),
		Table:     in.allocator.LastVersion(),

		Organisations: in.orgCounts(),
	}
}

// orgCounts are the counts of all organisations in the configuration.
func (in *Instance) orgCounts() []wire.OrgCounts {
	orgs := in.follower.View().Organisations()
	list := make([]wire.OrgCounts, 0, len(orgs))
	for _, org := range orgs {
		name := string(org)
		list = append(list, wire.OrgCounts{
			Organisation:   org,
			AdmittedTokens: in.stats.Value(name, metric.CountAdmitted),
			Complete:       in.stats.Value(name, metric.CountComplete),
			NotRun:         in.stats.Value(name, metric.CountNotRun),
			RefusedRate:    in.stats.Value(name, metric.CountRefused),
			Failed:         in.stats.Value(name, metric.CountFailed),
			Unknown:        in.stats.Value(name, metric.CountUnknown),
		})
	}
	return list
}
