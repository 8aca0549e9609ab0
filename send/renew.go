package send

import (
	"context"
	"net/netip"
	"time"

	"currantstile/cache"
	"currantstile/model"
	"currantstile/route"
	"currantstile/wire"
)

// Run renews the pins until ctx ends.
func (s *Sender) Run(ctx context.Context) {
	s.init()
	t := time.NewTicker(renewInterval)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			s.renew(ctx, now)
			s.expireFull(now)
		case <-ctx.Done():
			return
		}
	}
}

// expireFull forgets which targets were full a while ago.
func (s *Sender) expireFull(now time.Time) {
	s.fullUntil.Each(func(m map[route.HoldKey]time.Time) {
		for key, until := range m {
			if !now.Before(until) {
				delete(m, key)
			}
		}
	})
}

// releaseSlot ends the use of a slot, and tells the manager at once where others
// wait for it.
func (s *Sender) releaseSlot(now time.Time, ticket route.Ticket) {
	told, release := s.holds.Return(now, ticket)
	if !release {
		return
	}
	m, ok := s.managerOf(told.Target)
	if !ok {
		return
	}
	go s.sendRenewal(context.Background(), &renewRequest{
		addr:  m.Addr,
		local: m.ID == string(s.Self),
		args: wire.RenewArgs{
			Holder: s.Holder,
			Targets: []wire.TargetHolds{
				{
					Target: told.Target,
					Holds:  []cache.Hold{told.Hold},
				},
			},
		},
	})
}

// Holds tells a manager that takes targets over which pins are held on them.
func (s *Sender) Holds(args wire.HoldsArgs) wire.HoldsReply {
	s.init()
	reply := wire.HoldsReply{
		Holder: s.Holder,
	}
	for _, id := range args.Targets {
		reply.Targets = append(reply.Targets, wire.TargetHolds{
			Target: id,
			Holds:  s.holds.Of(id),
		})
	}
	return reply
}

// renewRequest is what goes to one manager.
type renewRequest struct {
	addr  netip.AddrPort
	local bool
	args  wire.RenewArgs
}

// renew sends each manager the pins on its targets.
func (s *Sender) renew(ctx context.Context, now time.Time) {
	byManager := make(map[string]*renewRequest)
	byTarget := make(map[model.TargetID]int)
	for _, th := range s.holds.Renewals(now) {
		m, ok := s.managerOf(th.Target)
		if !ok {
			continue
		}
		r, ok := byManager[m.ID]
		if !ok {
			r = &renewRequest{
				addr:  m.Addr,
				local: m.ID == string(s.Self),
				args: wire.RenewArgs{
					Holder: s.Holder,
				},
			}
			byManager[m.ID] = r
		}
		i, ok := byTarget[th.Target]
		if !ok {
			i = len(r.args.Targets)
			byTarget[th.Target] = i
			r.args.Targets = append(r.args.Targets, wire.TargetHolds{
				Target: th.Target,
			})
		}
		r.args.Targets[i].Holds = append(r.args.Targets[i].Holds, th.Hold)
	}
	for _, r := range byManager {
		go s.sendRenewal(ctx, r)
	}
}

func (s *Sender) sendRenewal(ctx context.Context, r *renewRequest) {
	sent := time.Now()
	var reply wire.RenewReply
	if r.local {
		reply = s.Manager.Renew(r.args)
	} else {
		ctx, cancel := context.WithTimeout(ctx, renewTimeout)
		defer cancel()
		if err := s.Peers.Call(ctx, r.addr, wire.MethodRenew, r.args, &reply); err != nil {
			s.Log.Debug().Err(err).Msg("send: renewing pins failed")
			return
		}
	}
	s.applyRenewal(sent, r.args, reply)
}

// applyRenewal extends the pins that the manager vouched for and drops the void
// ones.
func (s *Sender) applyRenewal(sent time.Time, args wire.RenewArgs, reply wire.RenewReply) {
	void := make(map[route.HoldKey]bool)
	for _, v := range reply.Void {
		for _, a := range v.Adapters {
			void[route.HoldKey{
				Target:  v.Target,
				Adapter: a,
			}] = true
		}
	}
	unmanaged := make(map[model.TargetID]bool)
	for _, id := range reply.Unmanaged {
		unmanaged[id] = true
	}
	for _, t := range args.Targets {
		for _, h := range t.Holds {
			key := route.HoldKey{
				Target:  t.Target,
				Adapter: h.Adapter,
			}
			switch {
			case void[key]:
				s.holds.Void(key, h.Incarnation)
			case !unmanaged[t.Target]:
				s.holds.Renewed(sent, key, h.Incarnation)
			}
		}
	}
}
