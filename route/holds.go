package route

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantstile/cache"
	"currantstile/model"
	"currantstile/shard"
)

// SlotIdleTimeout is how long an entry keeps a slot that it does not use.
const SlotIdleTimeout = time.Second

// PinKey names what a pin is for.
type PinKey struct {
	Target  model.TargetID
	Adapter model.Adapter
}

// Hash spreads keys over shards.
func (k PinKey) Hash() uint64 {
	return xxhash.Sum64String(string(k.Target) + "\x00" + k.Adapter.String())
}

// heldPin is what the entry holds on one adapter of one target.
type heldPin struct {
	incarnation     string
	slots           int
	running         int
	pendingRequests int
	expires         time.Time
	idleDeadline    time.Time
	// contended asks for slots to be returned as soon as they are free.
	contended bool
}

// Pins are the pins that an entry holds. It is safe for concurrent use.
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

// Ticket is the use of one slot by one request.
type Ticket struct {
	Key         PinKey
	Incarnation string
}

// Acquire uses a free slot, if the entry holds a valid one. Whether it is valid is
// judged by now, so that a process which was paused finds its pins lapsed.
func (h *Pins) Acquire(now time.Time, k PinKey) (Ticket, bool) {
	var ticket Ticket
	taken := false
	h.byKey.Do(k, func(m map[PinKey]*heldPin) {
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

// Release ends the use of a slot. Where others wait for the target the slot is
// given up at once, and Return reports that the manager should be told.
func (h *Pins) Release(now time.Time, t Ticket) (TargetPin, bool) {
	var told TargetPin
	release := false
	h.byKey.Do(t.Key, func(m map[PinKey]*heldPin) {
		held, ok := m[t.Key]
		if !ok || held.incarnation != t.Incarnation {
			return
		}
		held.running--
		held.idleDeadline = now.Add(SlotIdleTimeout)
		if held.contended && held.slots > held.running {
			held.slots = held.running
			told = held.snapshot(t.Key, h.lastRequestID.Load())
			release = true
		}
		held.removeIfUnused(m, t.Key)
	})
	return told, release
}

// snapshot is the pin as it is told to its manager.
func (held *heldPin) snapshot(k PinKey, asked uint64) TargetPin {
	return TargetPin{
		Target: k.Target,
		Pin: cache.HeldPin{
			Adapter:     k.Adapter,
			Incarnation: held.incarnation,
			Slots:       held.slots,
			Asked:       asked,
			Asking:      held.pendingRequests > 0,
		},
	}
}

// ForTarget lists the pins on one target, without giving any up.
func (h *Pins) ForTarget(target model.TargetID) []cache.HeldPin {
	var list []cache.HeldPin
	h.byKey.Each(func(m map[PinKey]*heldPin) {
		for k, held := range m {
			if k.Target == target && held.slots > 0 {
				list = append(list, held.snapshot(k, h.lastRequestID.Load()).Pin)
			}
		}
	})
	return list
}

func (held *heldPin) removeIfUnused(m map[PinKey]*heldPin, k PinKey) {
	if held.slots == 0 && held.running == 0 && held.pendingRequests == 0 {
		delete(m, k)
	}
}

// BeginRequest begins an ask and returns its ID. Every Ask is followed by one Granted or
// NotGranted.
func (h *Pins) BeginRequest(k PinKey) uint64 {
	var id uint64
	h.byKey.Do(k, func(m map[PinKey]*heldPin) {
		held, ok := m[k]
		if !ok {
			held = &heldPin{}
			m[k] = held
		}
		held.pendingRequests++
		id = h.lastRequestID.Add(1)
	})
	return id
}

// RecordNotGranted ends an ask that brought nothing.
func (h *Pins) RecordNotGranted(k PinKey) {
	h.byKey.Do(k, func(m map[PinKey]*heldPin) {
		if held, ok := m[k]; ok {
			held.pendingRequests--
			held.removeIfUnused(m, k)
		}
	})
}

// RecordGranted ends an ask that was sent at a time and brought a pin. The pin's first
// slot is used at once for the request that asked, if the pin is still valid.
func (h *Pins) RecordGranted(now, sent time.Time, k PinKey, pin cache.Pin) (Ticket, bool) {
	ok := false
	h.byKey.Do(k, func(m map[PinKey]*heldPin) {
		held := m[k]
		held.pendingRequests--
		expires := sent.Add(pin.ValidFor)
		if held.incarnation != pin.Incarnation {
			held.incarnation = pin.Incarnation
			held.slots = 0
			held.running = 0
		}
		if !now.Before(held.expires) {
			// What has lapsed the manager may have granted to others since.
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

// Void drops a pin that its manager or its target no longer knows. Requests
// that run under it are not touched.
func (h *Pins) Void(k PinKey, incarnation string) {
	h.byKey.Do(k, func(m map[PinKey]*heldPin) {
		held, ok := m[k]
		if !ok || held.incarnation != incarnation {
			return
		}
		held.slots = 0
		held.expires = time.Time{}
		held.removeIfUnused(m, k)
	})
}

// TargetPin is one pin as it is to be renewed.
type TargetPin struct {
	Target model.TargetID
	Pin    cache.HeldPin
}

// PrepareRenewals lists all pins for renewal, having given up the slots that were idle
// too long.
func (h *Pins) PrepareRenewals(now time.Time) []TargetPin {
	var list []TargetPin
	h.byKey.Each(func(m map[PinKey]*heldPin) {
		for k, held := range m {
			if held.slots == 0 {
				held.removeIfUnused(m, k)
				continue
			}
			if !now.Before(held.idleDeadline) && held.slots > held.running {
				held.slots = held.running
			}
			list = append(list, held.snapshot(k, h.lastRequestID.Load()))
		}
	})
	return list
}

// RecordRenewed extends a pin whose renewal was sent at a time.
func (h *Pins) RecordRenewed(sent time.Time, k PinKey, incarnation string) {
	h.byKey.Do(k, func(m map[PinKey]*heldPin) {
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
