package proxy

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"currantstile/config"
	"currantstile/driver"
	"currantstile/errs"
	"currantstile/fleet"
	"currantstile/sched"
	"currantstile/wire"
)

const (
	// slotWaitShare is the share of the objective for which an instance waits for the reply to a request for a
	// slot, and slotMargin what is added: a request waits for half of its objective at most, and the rest is for
	// the way. After that it chooses by itself.
	slotWaitShare = 0.5
	slotMargin    = 50 * time.Millisecond
	// reasonNoSlot is why a request is refused while there is more work than slots.
	reasonNoSlot = "no-slot"
)

// heldSlot is a slot that an instance has granted.
type heldSlot struct {
	service string
	holder  string
	id      string
}

// slotState is what a Router knows of the instances that grant slots.
type slotState struct {
	seq atomic.Uint64
	// alone counts the requests that no instance decided, so that this one chose the target.
	alone atomic.Int64
	// slowdowns are the services whose targets state the slowdown of their machines.
	slowdowns sync.Map
	// slowUntil are the instances that did not respond in time, and when they are pinged next. It is guarded by
	// Router.mu.
	slowUntil map[string]time.Time
}

// SlotTotals returns how many requests for slots this instance has made, and how many of them got no reply.
func (r *Router) SlotTotals() (asked uint64, unanswered int64) {
	return r.slots.seq.Load(), r.slots.alone.Load()
}

// noteSlowdown records that targets of a service state how long work takes on their machines.
func (c *slotState) noteSlowdown(service string) {
	if _, ok := c.slowdowns.Load(service); !ok {
		c.slowdowns.Store(service, struct{}{})
	}
}

// usesPool reports whether one instance grants the slots of a service: its targets state a load that changes faster than each of
// the instances learns it.
func (r *Router) usesPool(view *fleet.View, svc *config.Service) bool {
	if svc.Engine != nil || r.Slots == nil {
		return false
	}
	if _, ok := r.slots.slowdowns.Load(svc.Name); !ok {
		return false
	}
	slots := 0
	for _, t := range view.Service(svc.Name) {
		slots += t.Slots
	}
	return sched.PoolActive(len(view.Instances()), slots)
}

// placeInPool selects a target of a plain service through the instance that grants its slots. It returns nil
// twice if there is none, it does not respond, or the chosen target takes no request now.
func (r *Router) placeInPool(ctx context.Context, x *Exchange, svc *config.Service, view *fleet.View, targets []*fleet.Target) (*Placement, *Refusal) {
	if !r.usesPool(view, svc) {
		return nil, nil
	}
	now := time.Now()
	objective := max(x.Route.Objective-now.Sub(x.start), x.Route.Objective/2)
	if objective <= 0 {
		objective = x.Deadline.Sub(now) / 2
	}
	slot := &heldSlot{
		service: svc.Name,
		id:      r.Self + "/" + x.Request.ID + "/" + strconv.FormatUint(r.slots.seq.Add(1), 10),
	}
	reply := r.takeSlot(ctx, slot, view, wire.SlotArgs{
		Service: svc.Name,
		Request: sched.SlotRequest{
			ID:        slot.id,
			Zone:      r.Zone,
			Priority:  x.priority(),
			Objective: objective,
			Left:      x.Deadline.Sub(now),
			Targets:   targetIDs(targets),
			Bytes:     x.held.body.size(),
			PerMiB:    r.BytePrice,
		},
	})
	x.waits.add("slot", time.Since(now))
	if reply.Target == "" {
		if reply.RetryAfter > 0 {
			return nil, &Refusal{
				Reason:     reasonNoSlot,
				RetryAfter: reply.RetryAfter,
			}
		}
		if ctx.Err() != nil {
			return nil, newUnsentRefusal("timeout")
		}
		r.slots.alone.Add(1)
		return nil, nil
	}
	i := slices.IndexFunc(targets, func(t *fleet.Target) bool {
		return t.ID == reply.Target
	})
	if i < 0 || ctx.Err() != nil {
		r.endSlot(slot, endCancelled, nil)
		return nil, nil
	}
	t := targets[i]
	needed := r.Avail.NeedsToken(time.Now(), t)
	if needed && !r.takeToken(ctx, view, t) {
		r.endSlot(slot, endCancelled, nil)
		if len(targets) == 1 {
			return nil, nil
		}
		// Another one may take it.
		return r.placeInPool(ctx, x, svc, view, slices.Concat(targets[:i], targets[i+1:]))
	}
	r.balancer.Reserve(time.Now(), t.ID)
	return &Placement{
		Target:   *t,
		router:   r,
		slot:     slot,
		crossing: reply.Crossing,
		hasToken: needed,
	}, nil
}

// targetIDs returns the IDs of targets.
func targetIDs(targets []*fleet.Target) []string {
	ids := make([]string, 0, len(targets))
	for _, t := range targets {
		ids = append(ids, t.ID)
	}
	return ids
}

// takeSlot asks the instance that grants the slots, or its deputy, and sets the holder of the slot. The reply is empty
// if neither decides.
func (r *Router) takeSlot(ctx context.Context, slot *heldSlot, view *fleet.View, args wire.SlotArgs) wire.SlotReply {
	var reply wire.SlotReply
	holders := driver.SlotHolders(view, slot.service)
	slot.holder = r.askHolderWithin(ctx, r.slotLimits(slot.service, args.Request.Objective), view, holders, func(own bool, ask func(method string, args, reply any) error) error {
		var answer wire.SlotReply
		var err error
		if own {
			answer, err = r.Slots.Take(ctx, args)
		} else {
			err = ask(wire.MethodTakeSlot, args, &answer)
		}
		if err == nil {
			reply = answer
		}
		return err
	})
	if slot.holder == "" {
		// An instance whose reply was lost or is late may have granted a slot.
		for _, holder := range holders {
			r.endSlot(&heldSlot{
				service: slot.service,
				holder:  holder,
				id:      slot.id,
			}, endCancelled, nil)
		}
	}
	return reply
}

// slotLimits returns how long a request with an objective waits for an instance that grants slots. One that is too slow for
// that may well manage targets of model services, so that it is remembered apart from unresponsive managers.
func (r *Router) slotLimits(service string, objective time.Duration) holderLimits {
	return holderLimits{
		name:    service,
		timeout: time.Duration(slotWaitShare*float64(objective)) + slotMargin,
		skip:    r.skipsHolder,
		failed: func(in fleet.Instance) {
			view := r.Registry.View()
			r.mu.Lock()
			defer r.mu.Unlock()
			maps.DeleteFunc(r.slots.slowUntil, func(name string, _ time.Time) bool {
				_, listed := view.Instance(name)
				return !listed
			})
			if r.slots.slowUntil == nil {
				r.slots.slowUntil = make(map[string]time.Time)
			}
			r.slots.slowUntil[in.Name] = time.Now().Add(managerBackoff)
		},
	}
}

// skipsHolder reports whether an instance is not asked for slots because it did not respond in time. It is pinged from
// time to time until it responds, so that no request has to wait to find out.
func (r *Router) skipsHolder(instance string) bool {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	until, slow := r.slots.slowUntil[instance]
	if !slow || now.Before(until) {
		return slow
	}
	r.slots.slowUntil[instance] = now.Add(managerBackoff)
	in, ok := r.Registry.View().Instance(instance)
	if !ok {
		return true
	}
	go errs.Contain(&r.Log, "Router.skipsHolder", func() {
		r.ping(in)
		if !r.hasContactSince(instance, now) {
			return
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.slots.slowUntil, instance)
	})
	return true
}

// endSlot gives a slot back. If the message is lost, the slot is free at the deadline of the request.
func (r *Router) endSlot(slot *heldSlot, kind endKind, load *sched.LoadReport) {
	args := wire.SlotEndArgs{
		Service: slot.service,
		ID:      slot.id,
		Kind:    kind,
		Load:    load,
	}
	if slot.holder == r.Self {
		r.Slots.End(args)
		return
	}
	in, ok := r.Registry.View().Instance(slot.holder)
	if !ok {
		return
	}
	go errs.Contain(&r.Log, "Router.endSlot", func() {
		ctx, cancel := context.WithTimeout(context.Background(), updateTimeout)
		defer cancel()
		// A failure needs no action: the slot expires, and the next request finds out about the instance.
		_ = r.Peers.Call(ctx, in.Peers, wire.MethodEndSlot, args, &wire.Empty{})
	})
}
