// Package cache decides which adapters are loaded on a target and which instances
// may run requests on them. A manager has one Target for each target that it
// manages.
//
// An instance sends requests only under a pin: the right to run a number of
// concurrent requests on one adapter version at one incarnation of the target.
// The pins on a target never exceed its reported capacity, which accounts for its
// cold start, and an adapter is evicted only when no pin on it can be in use. Pins
// expire, so that the failure of an instance only withholds its pinned capacity
// until they do.
//
// # Usage
//
//	t := cache.NewTarget(id)
//	t.RecordReport(now, report)
//	switch d := t.RequestPin(now, req).(type) {
//	case cache.Granted: // reply with d.Pin
//	case cache.Load:
//		// unload d.Evict if set and call t.RecordUnloaded, then load d.Adapter and call
//		// t.RecordLoaded
//	case cache.NotReady, cache.Full, cache.NoAdapterSlot: // wait, or try another target
//	}
package cache

import (
	"time"

	"currantstile/model"
)

const (
	// PinTTL is how long a pin is valid after the holder requested or renewed
	// it, on the holder's clock.
	PinTTL = 5 * time.Second
	// PinMargin is added to PinTTL before the capacity of an expired pin is
	// reused. It covers clock drift and message delay.
	PinMargin = 500 * time.Millisecond
	// MaxReportLag is the largest lag of a target's reports that is allowed for.
	MaxReportLag = 3 * time.Second
)

// Holder identifies one run of an instance's process: an instance that restarts
// is a different holder.
type Holder string

// PinRequest is an instance's request for a pin.
type PinRequest struct {
	Holder  Holder
	Adapter model.Adapter
	// Organisation and Priority determine the request's position in the target's
	// queue.
	Organisation model.OrgID
	Priority     int
	// Slots is the number of concurrent requests that the instance wants to run.
	Slots int
	// ID increases with each request of the holder.
	ID uint64
}

// Pin is the right to run Slots more concurrent requests on an adapter.
type Pin struct {
	Incarnation string
	Adapter     model.Adapter
	Slots       int
	// ValidFor counts from the time at which the holder sent its request.
	ValidFor time.Duration
	// Contended asks the holder to return slots as soon as they are free, because
	// other requests are waiting for the target.
	Contended bool
}

// Decision is the answer to a PinRequest: one of Granted, Load, NotReady, Full and
// NoAdapterSlot.
type Decision interface {
	isDecision()
}

// Granted means that a pin was granted.
type Granted struct {
	Pin Pin
}

// Load means that the manager has to load Adapter, after unloading Evict if set.
type Load struct {
	Adapter model.Adapter
	Evict   model.Adapter
}

// NotReady means that the adapter is being loaded or unloaded, or that the target
// has not reported yet.
type NotReady struct{}

// Full means that the pins on the target use up its capacity.
type Full struct{}

// NoAdapterSlot means that all adapter slots are taken by adapters that may be in
// use.
type NoAdapterSlot struct{}

func (Granted) isDecision()       {}
func (Load) isDecision()          {}
func (NotReady) isDecision()      {}
func (Full) isDecision()          {}
func (NoAdapterSlot) isDecision() {}

// Report is the state that a target reports.
type Report struct {
	Incarnation string
	// Capacity is the number of concurrent requests that the target accepts.
	Capacity int
	// AdapterSlots is the number of adapters that the target can hold.
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

// HeldPin is a pin on one adapter as reported by its holder.
type HeldPin struct {
	Adapter     model.Adapter
	Incarnation string
	Slots       int
	// Asked is the ID of the holder's last request when it counted its slots.
	Asked uint64
	// Asking reports that a request for this adapter was pending at that time.
	Asking bool
}
