package cache

import (
	"time"

	"github.com/qmuntal/stateless"
)

// residentState is the state of an adapter on a target.
type residentState string

const (
	stateLoading   residentState = "loading"
	stateReady     residentState = "ready"
	stateUnloading residentState = "unloading"
	stateRemoved   residentState = "gone"
)

type residentEvent string

const (
	eventLoaded   residentEvent = "loaded"
	eventFailed   residentEvent = "failed"
	eventEvict    residentEvent = "evict"
	eventUnloaded residentEvent = "unloaded"
	eventLost     residentEvent = "lost"
)

// grant is one holder's pin on an adapter.
type grant struct {
	slots   int
	expires time.Time
	// lastRequestID is the ID of the last granted request.
	lastRequestID uint64
}

// resident is one adapter on a target.
type resident struct {
	machine    *stateless.StateMachine
	grants     map[Holder]*grant
	popularity popularity
	// lastSeen is when the target last reported the adapter or finished loading it.
	lastSeen time.Time
	// unverifiedFrom is set while requests may be running on the adapter without
	// a pin: after a pin expired without being returned, or when the adapter was
	// found on the target and an earlier manager may have granted pins on it.
	// From that time on, which may lie in the future, no request starts without
	// a known pin.
	unverifiedFrom time.Time
}

func newResident(state residentState, now time.Time) *resident {
	m := stateless.NewStateMachine(state)
	m.Configure(stateLoading).
		Permit(eventLoaded, stateReady).
		Permit(eventFailed, stateRemoved).
		Permit(eventLost, stateRemoved)
	m.Configure(stateReady).
		Permit(eventEvict, stateUnloading).
		Permit(eventLost, stateRemoved)
	m.Configure(stateUnloading).
		Permit(eventUnloaded, stateRemoved).
		Permit(eventFailed, stateReady).
		Permit(eventLost, stateRemoved)
	return &resident{
		machine:  m,
		grants:   make(map[Holder]*grant),
		lastSeen: now,
	}
}

func (r *resident) state() residentState {
	return r.machine.MustState().(residentState)
}

// fire applies an event to the state machine. An event that the state does not
// permit is ignored, because late replies to orders arrive in any state.
func (r *resident) fire(e residentEvent) {
	_ = r.machine.Fire(e)
}

// expireGrants removes expired grants. Their holders may still be running requests,
// so the adapter becomes unverified.
func (r *resident) expireGrants(now time.Time) {
	for holder, g := range r.grants {
		if now.Before(g.expires) {
			continue
		}
		delete(r.grants, holder)
		if g.slots > 0 {
			r.unverifiedFrom = now
		}
	}
}

// grantedSlots returns the number of concurrent requests that the pins on the
// adapter allow.
func (r *resident) grantedSlots() int {
	n := 0
	for _, g := range r.grants {
		n += g.slots
	}
	return n
}

// evictable reports whether the adapter is ready and no request can be running on
// it.
func (r *resident) evictable() bool {
	return r.state() == stateReady && r.grantedSlots() == 0 && r.unverifiedFrom.IsZero()
}
