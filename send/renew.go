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

// Run renews the held pins every second and expires the records of full targets until ctx is
// done.
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

// expireFull removes the records of full targets that are older than fullTTL.
func (s *Sender) expireFull(now time.Time) {
	s.fullUntil.Each(func(m map[route.PinKey]time.Time) {
		for key, until := range m {
			if !now.Before(until) {
				delete(m, key)
			}
		}
	})
}

// releaseSlot ends the use of a slot. If the pin is contended, it reports the reduced pin to the
// manager at once, so that the slot can go to a waiting instance without the delay of
// renewInterval.
func (s *Sender) releaseSlot(now time.Time, ticket route.Ticket) {
	pin, release := s.pins.Release(now, ticket)
	if !release {
		return
	}
	m, ok := s.managerOf(pin.Target)
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
					Target: pin.Target,
					Holds:  []cache.HeldPin{pin.Pin},
				},
			},
		},
	})
}

// HeldPins returns the pins held on the given targets. A manager that takes over targets requests
// them to rebuild its state.
func (s *Sender) HeldPins(args wire.HoldsArgs) wire.HoldsReply {
	s.init()
	reply := wire.HoldsReply{
		Holder: s.Holder,
	}
	for _, id := range args.Targets {
		reply.Targets = append(reply.Targets, wire.TargetHolds{
			Target: id,
			Holds:  s.pins.ForTarget(id),
		})
	}
	return reply
}

// renewRequest is the renewal of all pins whose targets one manager manages.
type renewRequest struct {
	addr  netip.AddrPort
	local bool
	args  wire.RenewArgs
}

// renew sends each manager a renewal of the pins held on its targets. Slots that were idle for
// route.SlotIdleTimeout are released first.
func (s *Sender) renew(ctx context.Context, now time.Time) {
	byManager := make(map[string]*renewRequest)
	byTarget := make(map[model.TargetID]int)
	for _, th := range s.pins.PrepareRenewals(now) {
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
		r.args.Targets[i].Holds = append(r.args.Targets[i].Holds, th.Pin)
	}
	for _, r := range byManager {
		go s.sendRenewal(ctx, r)
	}
}

// sendRenewal sends a renewal to its manager and applies the reply. If the call fails, the pins
// stay as they are until a later renewal succeeds or they expire.
func (s *Sender) sendRenewal(ctx context.Context, r *renewRequest) {
	sentAt := time.Now()
	var reply wire.RenewReply
	if r.local {
		reply = s.Manager.Renew(r.args)
	} else {
		ctx, cancel := context.WithTimeout(ctx, renewTimeout)
		defer cancel()
		if err := s.Peers.Call(ctx, r.addr, wire.MethodRenew, r.args, &reply); err != nil {
			s.Log.Debug().Err(err).Msg("send: renewing pins failed; they expire unless a later renewal succeeds")
			return
		}
	}
	s.applyRenewal(sentAt, r.args, reply)
}

// applyRenewal extends the pins that the manager confirmed and drops those it reported void. Pins
// on targets that the manager does not manage are neither extended nor dropped.
func (s *Sender) applyRenewal(sentAt time.Time, args wire.RenewArgs, reply wire.RenewReply) {
	void := make(map[route.PinKey]bool)
	for _, v := range reply.Void {
		for _, a := range v.Adapters {
			void[route.PinKey{
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
			key := route.PinKey{
				Target:  t.Target,
				Adapter: h.Adapter,
			}
			switch {
			case void[key]:
				s.pins.Void(key, h.Incarnation)
			case !unmanaged[t.Target]:
				s.pins.RecordRenewed(sentAt, key, h.Incarnation)
			}
		}
	}
}
