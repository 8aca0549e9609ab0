package cache

import (
	"time"

	"github.com/qmuntal/stateless"
)

// residentState is where an adapter stands on a target.
type residentState string

const (
	stateLoading   residentState = "loading"
	stateReady     residentState = "ready"
	stateUnloading residentState = "unloading"
	stateGone      residentState = "gone"
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
	// lastRequestID is the ID of the last ask that was granted.
	lastRequestID uint64
}

// resident is one adapter on a target.
type resident struct {
	machine    *stateless.StateMachine
	grants     map[Holder]*grant
	popularity popularity
	// lastSeen is when the target last reported the adapter or finished loading it.
	lastSeen time.Time
	// unverifiedFrom is set while requests may run on the adapter without a pin:
	// after a pin lapsed unreturned, or when a manager finds an adapter that
	// another manager may have granted.
	unverifiedFrom time.Time
}

func newResident(state residentState, now time.Time) *resident {
	m := stateless.NewStateMachine(state)
	m.Configure(stateLoading).
		Permit(eventLoaded, stateReady).
		Permit(eventFailed, stateGone).
		Permit(eventLost, stateGone)
	m.Configure(stateReady).
		Permit(eventEvict, stateUnloading).
		Permit(eventLost, stateGone)
	m.Configure(stateUnloading).
		Permit(eventUnloaded, stateGone).
		Permit(eventFailed, stateReady).
		Permit(eventLost, stateGone)
	return &resident{
		machine:  m,
		grants:   make(map[Holder]*grant),
		lastSeen: now,
	}
}

func (r *resident) state() residentState {
	return r.machine.MustState().(residentState)
}

// fire moves the adapter on; an event that its state does not permit is
// ignored, because late answers to orders arrive in any state.
func (r *resident) fire(e residentEvent) {
	_ = r.machine.Fire(e)
}

// expireGrants removes expired grants. Whoever held one may still run requests.
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

// grantedSlots is how many requests the pins on the adapter allow.
func (r *resident) grantedSlots() int {
	n := 0
	for _, g := range r.grants {
		n += g.slots
	}
	return n
}

// evictable reports whether no request can run on the adapter.
func (r *resident) evictable() bool {
	return r.state() == stateReady && r.grantedSlots() == 0 && r.unverifiedFrom.IsZero()
}
