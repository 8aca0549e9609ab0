package wire

import (
	"time"

	"currantstile/sched"
)

// Methods of a target's manager towards entries.
const (
	// ServiceSched is the name that they are registered under.
	ServiceSched = "Sched"
	MethodAsk    = "Sched.Ask"
	MethodNotes  = "Sched.Notes"
	MethodPing   = "Sched.Ping"
)

// AskArgs asks a target's manager for the right to send a request.
type AskArgs struct {
	Target string
	Ask    sched.AdmissionRequest
}

// AskReply answers AskArgs. A reply that neither grants nor names a reason comes
// from an instance that is not the target's manager.
type AskReply struct {
	Granted bool
	// After is how long the request is held back.
	After    time.Duration
	Expected time.Duration
	Reason   sched.Reason
	// Demand is how many prompt tokens a second are asked for with the ask's
	// adapter, over all instances, as far as the target's manager knows.
	Demand float64
}

// NotesArgs tells a manager what happened to requests that it granted.
type NotesArgs struct {
	Targets []TargetNotes
}

// TargetNotes are the notes on one target.
type TargetNotes struct {
	Target string
	Notes  []sched.ProgressUpdate
}

// Methods by which the reader of the store tells the other instances.
const (
	// ServiceFeed is the name that they are registered under.
	ServiceFeed = "Feed"
	MethodPush  = "Feed.Push"
)
