// Package cache decides which adapters a target holds and who may run requests
// on them. One manager keeps a Target for each target that it manages.
//
// An entry runs requests only under a pin: the right to run so many requests at
// once on one adapter version at one incarnation of the target. The pins on a
// target sum to at most what it bears, which covers its cold start, and an
// adapter is evicted only when no pin can be in use on it. Pins expire, so that
// an entry that dies loses the target a little capacity for a while and nothing
// else.
//
// # Usage
//
//	t := cache.NewTarget(id)
//	t.Observe(now, report)
//	switch d := t.Request(now, ask).(type) {
//	case cache.Granted: // answer with d.Pin
//	case cache.Load: // order d.Evict unloaded if set, load, call t.Loaded
//	case cache.Busy, cache.Full, cache.NoSlot: // wait, or try another target
//	}
package cache

import (
	"time"

	"currantstile/model"
)

const (
	// PinTTL is how long a pin is valid after the holder asked for it or
	// renewed it, on the holder's clock.
	PinTTL = 5 * time.Second
	// PinMargin covers clock drift and the flight of messages before a lapsed
	// pin's capacity is used again.
	PinMargin = 500 * time.Millisecond
	// MaxReportLag is the longest lag of a target's reports that is allowed for.
	MaxReportLag = 3 * time.Second
)

// Holder is one run of an instance's process: an instance that restarts is
// another holder.
type Holder string

// PinRequest is an entry's request for a pin.
type PinRequest struct {
	Holder  Holder
	Adapter model.Adapter
	// Organisation and Priority place the ask in the target's queue.
	Organisation model.OrgID
	Priority     int
	// Slots is how many requests the entry wants to run at once.
	Slots int
	// ID grows with each ask of the holder.
	ID uint64
}

// Pin is the right to run Slots more requests at once on an adapter.
type Pin struct {
	Incarnation string
	Adapter     model.Adapter
	Slots       int
	// ValidFor counts from when the holder sent its ask.
	ValidFor time.Duration
	// Contended asks the holder to return slots as soon as they are free, because
	// others wait for the target.
	Contended bool
}

// Decision answers an Ask. It is one of Granted, Load, Busy, Full and NoSlot.
type Decision interface {
	isDecision()
}

// Granted gives a pin.
type Granted struct {
	Pin Pin
}

// Load asks the manager to load the adapter, after unloading Evict if set.
type Load struct {
	Adapter model.Adapter
	Evict   model.Adapter
}

// NotReady means that the adapter is being loaded or unloaded, or that the target
// has not reported yet.
type NotReady struct{}

// Full means that the target runs all that it bears.
type Full struct{}

// NoAdapterSlot means that every adapter on the target may be in use.
type NoAdapterSlot struct{}

func (Granted) isDecision()       {}
func (Load) isDecision()          {}
func (NotReady) isDecision()      {}
func (Full) isDecision()          {}
func (NoAdapterSlot) isDecision() {}

// Report is what a target says of itself.
type Report struct {
	Incarnation  string
	Capacity     int
	AdapterSlots int
	Running      int
	Adapters     []ReportAdapter
}

// ReportAdapter is one adapter in a report.
type ReportAdapter struct {
	Adapter model.Adapter
	Ready   bool
	Running int
}

// HeldPin is what a holder says that it holds on one adapter.
type HeldPin struct {
	Adapter     model.Adapter
	Incarnation string
	Slots       int
	// Asked is the ID of the holder's last ask on the target when it counted.
	Asked uint64
	// Asking reports that an ask for this adapter was still open then.
	Asking bool
}
