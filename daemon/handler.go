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

// loadPermitsKey is the rendezvous hashing key that selects the issuer of load permits.
const loadPermitsKey = "load-permits"

// permitIssuer returns the instance that issues load permits. While instances have
// different member lists, two of them may issue permits beyond the weight store's limit;
// the weight store refuses the excess loads.
func (in *Instance) permitIssuer() (model.Member, bool) {
	return route.First(loadPermitsKey, in.members.View().Entries)
}

// acquireLoadPermit requests a permit to load an adapter from the issuer.
func (in *Instance) acquireLoadPermit(ctx context.Context) (wire.LoadPermitReply, error) {
	issuer, ok := in.permitIssuer()
	if !ok {
		return wire.LoadPermitReply{}, errs.WithOp(send.ErrNoTarget, "Instance.askPermit")
	}
	if issuer.ID == string(in.Settings.ID) {
		return in.LoadPermit(), nil
	}
	var reply wire.LoadPermitReply
	err := in.pool.Call(ctx, issuer.Addr, wire.MethodLoadPermit, wire.LoadPermitArgs{}, &reply)
	return reply, err
}

// releaseLoadPermit returns a permit to the issuer. If the call fails, the permit expires
// at the issuer.
func (in *Instance) releaseLoadPermit(ctx context.Context, id cache.PermitID) {
	issuer, ok := in.permitIssuer()
	args := wire.ReleasePermitArgs{
		ID: id,
	}
	switch {
	case !ok:
	case issuer.ID == string(in.Settings.ID):
		in.ReleasePermit(args)
	default:
		if err := in.pool.Call(ctx, issuer.Addr, wire.MethodReleasePermit, args, &wire.Empty{}); err != nil {
			in.Log.Debug().Err(err).Msg("entry: cannot release a load permit; it expires at its issuer")
		}
	}
}

// fetchPins requests the pins that an instance holds.
func (in *Instance) fetchPins(ctx context.Context, instance model.Member, args wire.HoldsArgs) (wire.HoldsReply, error) {
	if instance.ID == string(in.Settings.ID) {
		return in.Holds(args), nil
	}
	var reply wire.HoldsReply
	err := in.pool.Call(ctx, instance.Addr, wire.MethodHolds, args, &reply)
	return reply, err
}

// Newer implements commit.Peers. It calls up to three other instances in random order,
// until one responds.
func (in *Instance) Newer(ctx context.Context, have commit.Revision) (commit.Snapshot, bool, error) {
	const maxCalls = 3
	instances := append(model.Members{}, in.members.View().Entries...)
	rand.Shuffle(len(instances), func(i, j int) {
		instances[i], instances[j] = instances[j], instances[i]
	})
	calls := 0
	err := errs.WithOp(send.ErrNoTarget, "Instance.Newer")
	for _, m := range instances {
		if m.ID == string(in.Settings.ID) || calls == maxCalls {
			continue
		}
		calls++
		var reply wire.ConfigReply
		if err = in.pool.Call(ctx, m.Addr, wire.MethodConfig, wire.ConfigArgs{
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

// tableVersion requests the version of the share table that an instance last read.
func (in *Instance) tableVersion(ctx context.Context, addr netip.AddrPort) (uint64, error) {
	var reply wire.StatusReply
	err := in.pool.Call(ctx, addr, wire.MethodStatus, wire.StatusArgs{}, &reply)
	return reply.Table, err
}

// Holds implements peer.Handler.
func (in *Instance) Holds(args wire.HoldsArgs) wire.HoldsReply {
	return in.sender.HeldPins(args)
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
	return in.broker.UpdateLoans(args)
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

// orgCounts returns the request counts of all organisations in the configuration.
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
