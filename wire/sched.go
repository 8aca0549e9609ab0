package wire

import (
	"time"

	"currantstile/sched"
)

// Methods of a target's manager towards entries.
const (
	// ServiceSched is the name that they are registered under.
	ServiceSched           = "Sched"
	MethodRequestAdmission = "Sched.Ask"
	MethodReportProgress   = "Sched.Notes"
	MethodPing             = "Sched.Ping"
)

// AdmissionArgs asks a target's manager for the right to send a request.
type AdmissionArgs struct {
	Target string
	Ask    sched.AdmissionRequest
}

// AdmissionReply answers AskArgs. A reply that neither grants nor names a reason comes
// from an instance that is not the target's manager.
type AdmissionReply struct {
	Granted bool
	// After is how long the request is held back.
	After    time.Duration
	Expected time.Duration
	Reason   sched.Reason
	// Demand is how many prompt tokens a second are asked for with the ask's
	// adapter, over all instances, as far as the target's manager knows.
	Demand float64
}

// ProgressArgs tells a manager what happened to requests that it granted.
type ProgressArgs struct {
	Targets []TargetProgress
}

// TargetProgress are the notes on one target.
type TargetProgress struct {
	Target string
	Notes  []sched.ProgressUpdate
}

// Methods by which the reader of the store tells the other instances.
const (
	// ServiceFeed is the name that they are registered under.
	ServiceFeed = "Feed"
	MethodPush  = "Feed.Push"
)
