package route

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantstile/cache"
	"currantstile/model"
	"currantstile/shard"
)

// IdleTime is how long an entry keeps a slot that it does not use.
const IdleTime = time.Second

// HoldKey names what a pin is for.
type HoldKey struct {
	Target  model.TargetID
	Adapter model.Adapter
}

// Hash spreads keys over shards.
func (k HoldKey) Hash() uint64 {
	return xxhash.Sum64String(string(k.Target) + "\x00" + k.Adapter.String())
}

// hold is what the entry holds on one adapter of one target.
type hold struct {
	incarnation string
	slots       int
	running     int
	asking      int
	expires     time.Time
	busyUntil   time.Time
	// contended asks for slots to be returned as soon as they are free.
	contended bool
}

// Holds are the pins that an entry holds. It is safe for concurrent use.
type Holds struct {
	byKey *shard.Map[HoldKey, *hold]
	asked atomic.Uint64
}

// NewHolds returns an empty set of pins.
func NewHolds() *Holds {
	return &Holds{
		byKey: shard.NewMap[HoldKey, *hold](HoldKey.Hash),
	}
}

// Ticket is the use of one slot by one request.
type Ticket struct {
	Key         HoldKey
	Incarnation string
}

// Take uses a free slot, if the entry holds a valid one. Whether it is valid is
// judged by now, so that a process which was paused finds its pins lapsed.
func (h *Holds) Take(now time.Time, k HoldKey) (Ticket, bool) {
	var ticket Ticket
	taken := false
	h.byKey.Do(k, func(m map[HoldKey]*hold) {
		held, ok := m[k]
		if !ok || held.running >= held.slots || !now.Before(held.expires) {
			return
		}
		held.running++
		held.busyUntil = now.Add(IdleTime)
		taken = true
		ticket = Ticket{
			Key:         k,
			Incarnation: held.incarnation,
		}
	})
	return ticket, taken
}

// Return ends the use of a slot. Where others wait for the target the slot is
// given up at once, and Return reports that the manager should be told.
func (h *Holds) Return(now time.Time, t Ticket) (TargetHold, bool) {
	var told TargetHold
	release := false
	h.byKey.Do(t.Key, func(m map[HoldKey]*hold) {
		held, ok := m[t.Key]
		if !ok || held.incarnation != t.Incarnation {
			return
		}
		held.running--
		held.busyUntil = now.Add(IdleTime)
		if held.contended && held.slots > held.running {
			held.slots = held.running
			told = held.told(t.Key, h.asked.Load())
			release = true
		}
		held.forgetIfUnused(m, t.Key)
	})
	return told, release
}

// told is the pin as it is told to its manager.
func (held *hold) told(k HoldKey, asked uint64) TargetHold {
	return TargetHold{
		Target: k.Target,
		Hold: cache.Hold{
			Adapter:     k.Adapter,
			Incarnation: held.incarnation,
			Slots:       held.slots,
			Asked:       asked,
			Asking:      held.asking > 0,
		},
	}
}

// Of lists the pins on one target, without giving any up.
func (h *Holds) Of(target model.TargetID) []cache.Hold {
	var list []cache.Hold
	h.byKey.Each(func(m map[HoldKey]*hold) {
		for k, held := range m {
			if k.Target == target && held.slots > 0 {
				list = append(list, held.told(k, h.asked.Load()).Hold)
			}
		}
	})
	return list
}

func (held *hold) forgetIfUnused(m map[HoldKey]*hold, k HoldKey) {
	if held.slots == 0 && held.running == 0 && held.asking == 0 {
		delete(m, k)
	}
}

// Ask begins an ask and returns its ID. Every Ask is followed by one Granted or
// NotGranted.
func (h *Holds) Ask(k HoldKey) uint64 {
	var id uint64
	h.byKey.Do(k, func(m map[HoldKey]*hold) {
		held, ok := m[k]
		if !ok {
			held = &hold{}
			m[k] = held
		}
		held.asking++
		id = h.asked.Add(1)
	})
	return id
}

// NotGranted ends an ask that brought nothing.
func (h *Holds) NotGranted(k HoldKey) {
	h.byKey.Do(k, func(m map[HoldKey]*hold) {
		if held, ok := m[k]; ok {
			held.asking--
			held.forgetIfUnused(m, k)
		}
	})
}

// Granted ends an ask that was sent at a time and brought a pin. The pin's first
// slot is used at once for the request that asked, if the pin is still valid.
func (h *Holds) Granted(now, sent time.Time, k HoldKey, pin cache.Pin) (Ticket, bool) {
	ok := false
	h.byKey.Do(k, func(m map[HoldKey]*hold) {
		held := m[k]
		held.asking--
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
		held.busyUntil = now.Add(IdleTime)
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
func (h *Holds) Void(k HoldKey, incarnation string) {
	h.byKey.Do(k, func(m map[HoldKey]*hold) {
		held, ok := m[k]
		if !ok || held.incarnation != incarnation {
			return
		}
		held.slots = 0
		held.expires = time.Time{}
		held.forgetIfUnused(m, k)
	})
}

// TargetHold is one pin as it is to be renewed.
type TargetHold struct {
	Target model.TargetID
	Hold   cache.Hold
}

// Renewals lists all pins for renewal, having given up the slots that were idle
// too long.
func (h *Holds) Renewals(now time.Time) []TargetHold {
	var list []TargetHold
	h.byKey.Each(func(m map[HoldKey]*hold) {
		for k, held := range m {
			if held.slots == 0 {
				held.forgetIfUnused(m, k)
				continue
			}
			if !now.Before(held.busyUntil) && held.slots > held.running {
				held.slots = held.running
			}
			list = append(list, held.told(k, h.asked.Load()))
		}
	})
	return list
}

// Renewed extends a pin whose renewal was sent at a time.
func (h *Holds) Renewed(sent time.Time, k HoldKey, incarnation string) {
	h.byKey.Do(k, func(m map[HoldKey]*hold) {
		held, ok := m[k]
		if !ok || held.incarnation != incarnation {
			return
		}
		if expires := sent.Add(cache.PinTime); held.slots > 0 && expires.After(held.expires) {
			held.expires = expires
		}
		held.forgetIfUnused(m, k)
	})
}
