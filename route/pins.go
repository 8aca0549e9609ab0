package route

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantstile/cache"
	"currantstile/model"
	"currantstile/shard"
)

// SlotIdleTimeout is how long an instance keeps the free slots of a pin after the pin was
// last used.
const SlotIdleTimeout = time.Second

// PinKey identifies the target and the adapter of a pin.
type PinKey struct {
	Target  model.TargetID
	Adapter model.Adapter
}

// Hash returns the hash by which keys are distributed over shards.
func (k PinKey) Hash() uint64 {
	return xxhash.Sum64String(string(k.Target) + "\x00" + k.Adapter.String())
}

// heldPin is the instance's pin on one adapter of one target.
type heldPin struct {
	incarnation string
	// slots is the number of slots granted, and running the number of requests that use
	// them. Once slots are removed, running may be larger.
	slots   int
	running int
	// pendingRequests is the number of pin requests without a reply.
	pendingRequests int
	expires         time.Time
	// idleDeadline is when free slots are returned unless the pin is used before.
	idleDeadline time.Time
	// contended reports that slots are to be returned as soon as they are free.
	contended bool
}

// Pins is the set of pins that an instance holds. It is safe for concurrent use.
type Pins struct {
	byKey         *shard.Map[PinKey, *heldPin]
	lastRequestID atomic.Uint64
}

// NewPins returns an empty set of pins.
func NewPins() *Pins {
	return &Pins{
		byKey: shard.NewMap[PinKey, *heldPin](PinKey.Hash),
	}
}

// Ticket represents the use of one slot by one request.
type Ticket struct {
	Key         PinKey
	Incarnation string
}

// Acquire takes a free slot of a pin that is valid at now. A caller passes the
// current time, so that a process that was paused finds its pins expired. It
// reports false if no slot is free.
func (p *Pins) Acquire(now time.Time, k PinKey) (Ticket, bool) {
	var ticket Ticket
	taken := false
	p.byKey.Do(k, func(m map[PinKey]*heldPin) {
		held, ok := m[k]
		if !ok || held.running >= held.slots || !now.Before(held.expires) {
			return
		}
		held.running++
		held.idleDeadline = now.Add(SlotIdleTimeout)
		taken = true
		ticket = Ticket{
			Key:         k,
			Incarnation: held.incarnation,
		}
	})
	return ticket, taken
}

// Release ends the use of a slot. If the pin is contended, its free slots are removed
// at once, and Release returns the pin to report to the manager, and true.
func (p *Pins) Release(now time.Time, t Ticket) (TargetPin, bool) {
	var update TargetPin
	release := false
	p.byKey.Do(t.Key, func(m map[PinKey]*heldPin) {
		held, ok := m[t.Key]
		if !ok || held.incarnation != t.Incarnation {
			return
		}
		held.running--
		held.idleDeadline = now.Add(SlotIdleTimeout)
		if held.contended && held.slots > held.running {
			held.slots = held.running
			update = held.snapshot(t.Key, p.lastRequestID.Load())
			release = true
		}
		held.removeIfUnused(m, t.Key)
	})
	return update, release
}

// snapshot returns the pin as reported to its manager.
func (held *heldPin) snapshot(k PinKey, lastRequestID uint64) TargetPin {
	return TargetPin{
		Target: k.Target,
		Pin: cache.HeldPin{
			Adapter:     k.Adapter,
			Incarnation: held.incarnation,
			Slots:       held.slots,
			Asked:       lastRequestID,
			Asking:      held.pendingRequests > 0,
		},
	}
}

// ForTarget returns the pins on one target. Unlike PrepareRenewals, it removes no idle
// slots.
func (p *Pins) ForTarget(target model.TargetID) []cache.HeldPin {
	var list []cache.HeldPin
	p.byKey.Each(func(m map[PinKey]*heldPin) {
		for k, held := range m {
			if k.Target == target && held.slots > 0 {
				list = append(list, held.snapshot(k, p.lastRequestID.Load()).Pin)
			}
		}
	})
	return list
}

// removeIfUnused deletes the pin from the set if it has no slots, no running requests
// and no pending pin requests.
func (held *heldPin) removeIfUnused(m map[PinKey]*heldPin, k PinKey) {
	if held.slots == 0 && held.running == 0 && held.pendingRequests == 0 {
		delete(m, k)
	}
}

// BeginRequest registers a request for a pin and returns its ID. Each call must be
// followed by one call of RecordGranted or RecordNotGranted.
func (p *Pins) BeginRequest(k PinKey) uint64 {
	var id uint64
	p.byKey.Do(k, func(m map[PinKey]*heldPin) {
		held, ok := m[k]
		if !ok {
			held = &heldPin{}
			m[k] = held
		}
		held.pendingRequests++
		id = p.lastRequestID.Add(1)
	})
	return id
}

// RecordNotGranted ends a request that was not granted.
func (p *Pins) RecordNotGranted(k PinKey) {
	p.byKey.Do(k, func(m map[PinKey]*heldPin) {
		if held, ok := m[k]; ok {
			held.pendingRequests--
			held.removeIfUnused(m, k)
		}
	})
}

// RecordGranted ends a request that was sent at the given time and was granted a
// pin. It returns a ticket for the pin's first slot, and true, if the pin is still
// valid.
func (p *Pins) RecordGranted(now, sent time.Time, k PinKey, pin cache.Pin) (Ticket, bool) {
	ok := false
	p.byKey.Do(k, func(m map[PinKey]*heldPin) {
		held := m[k]
		held.pendingRequests--
		expires := sent.Add(pin.ValidFor)
		if held.incarnation != pin.Incarnation {
			held.incarnation = pin.Incarnation
			held.slots = 0
			held.running = 0
		}
		if !now.Before(held.expires) {
			// The manager may have granted expired slots to other holders.
			held.slots = 0
		}
		held.slots += pin.Slots
		held.contended = pin.Contended
		held.expires = expires
		held.idleDeadline = now.Add(SlotIdleTimeout)
		if !now.Before(expires) || held.running >= held.slots {
			return
		}
		held.running++
		ok = true
	})
	return Ticket{
		Key:         k,
		Incarnation: pin.Incarnation,
	}, ok
}

// Void removes the slots of a pin that its manager or its target no longer
// recognises. Requests that run under it continue.
func (p *Pins) Void(k PinKey, incarnation string) {
	p.byKey.Do(k, func(m map[PinKey]*heldPin) {
		held, ok := m[k]
		if !ok || held.incarnation != incarnation {
			return
		}
		held.slots = 0
		held.expires = time.Time{}
		held.removeIfUnused(m, k)
	})
}

// TargetPin is a pin together with its target, as sent to the manager.
type TargetPin struct {
	Target model.TargetID
	Pin    cache.HeldPin
}

// PrepareRenewals removes the free slots of pins that were not used for SlotIdleTimeout
// and returns all pins for renewal.
func (p *Pins) PrepareRenewals(now time.Time) []TargetPin {
	var list []TargetPin
	p.byKey.Each(func(m map[PinKey]*heldPin) {
		for k, held := range m {
			if held.slots == 0 {
				held.removeIfUnused(m, k)
				continue
			}
			if !now.Before(held.idleDeadline) && held.slots > held.running {
				held.slots = held.running
			}
			list = append(list, held.snapshot(k, p.lastRequestID.Load()))
		}
	})
	return list
}

// RecordRenewed extends a pin whose renewal was sent at the given time.
func (p *Pins) RecordRenewed(sent time.Time, k PinKey, incarnation string) {
	p.byKey.Do(k, func(m map[PinKey]*heldPin) {
		held, ok := m[k]
		if !ok || held.incarnation != incarnation {
			return
		}
		if expires := sent.Add(cache.PinTTL); held.slots > 0 && expires.After(held.expires) {
			held.expires = expires
		}
		held.removeIfUnused(m, k)
	})
}
