package daemon

import (
	"github.com/qmuntal/stateless"
)

// Phase is a state in the life cycle of an instance.
type Phase string

// The phases of an instance.
const (
	PhaseStarting Phase = "starting"
	PhaseServing  Phase = "serving"
	PhaseDraining Phase = "draining"
	PhaseStopped  Phase = "stopped"
)

type phaseEvent string

const (
	eventStarted phaseEvent = "started"
	eventDrain   phaseEvent = "drain"
	eventStopped phaseEvent = "stopped"
)

func newPhaseMachine() *stateless.StateMachine {
	m := stateless.NewStateMachine(PhaseStarting)
	m.Configure(PhaseStarting).
		Permit(eventStarted, PhaseServing).
		Permit(eventDrain, PhaseDraining)
	m.Configure(PhaseServing).
		Permit(eventDrain, PhaseDraining)
	m.Configure(PhaseDraining).
		Ignore(eventDrain).
		Permit(eventStopped, PhaseStopped)
	m.Configure(PhaseStopped).
		Ignore(eventDrain).
		Ignore(eventStopped)
	return m
}
