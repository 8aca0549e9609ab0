package sched

import "time"

// AdmissionRequest is a request for the right to run on a target.
type AdmissionRequest struct {
	// ID names the grant.
	ID string
	// Model is the base model.
	Model string
	// Adapter is MODEL/NAME, or empty for the base model alone.
	Adapter string
	// Version is the newest declared version of the adapter; 0 if none is.
	Version uint64
	Prompt  int64
	Output  int64
	// Limit is the longest time to the first token with which the asker is
	// content here.
	Limit time.Duration
	// Left is how long the caller still waits.
	Left time.Duration
	// Priority ranks the request; 0 is the most urgent.
	Priority int
	// NoFetch declines if the adapter would have to come from the weight store.
	NoFetch bool
	// Asks is for how many first asks of requests this one stands: the number of
	// homes among which the asker chose this target, or 0 if another one was
	// asked before.
	Asks int
	// Turn is set once the ask's turn to fetch from the weight store has come.
	Turn bool
}

// Decision answers an Ask. It is one of Granted, Load, Fetch, Wait, Busy
// and Declined.
type Decision interface {
	decision()
}

// Granted allows to send the request.
type Granted struct {
	// After is how long the request is to be held back, until its adapter is in
	// place.
	After time.Duration
	// Expected is the time to the first token.
	Expected time.Duration
}

// Load asks for orders: Unload first if it is set, then Adapter.
type Load struct {
	Adapter string
	Version uint64
	Unload  string
}

// LoadSlotRequired asks to wait for a turn to fetch the adapter from the weight store, and to
// ask again with Turn set.
type LoadSlotRequired struct{}

// Queued means that prompts which were granted before are still to be read; ask again
// when something has been noted.
type Queued struct{}

// OrderPending means that the adapter is being ordered; ask again when that has ended.
type OrderPending struct{}

// Reason says why a target declines.
type Reason string

// The reasons.
const (
	ReasonSlow          Reason = "too-slow"
	ReasonFull          Reason = "full"
	ReasonMemory        Reason = "no-memory"
	ReasonAdapterSlots  Reason = "no-adapter-slot"
	ReasonCold          Reason = "cold"
	ReasonSuspected     Reason = "suspected"
	ReasonOutdated      Reason = "outdated-adapter-in-use"
	ReasonBaseModel     Reason = "base-model-not-there"
	ReasonFetchRequired Reason = "adapter-not-at-hand"
	ReasonNoOrders      Reason = "orders-not-allowed"
	// ReasonMoreReplicas is given to an asker that knows too little of the adapter's
	// demand to choose among its homes.
	ReasonMoreReplicas Reason = "more-homes"
)

// Declined means that the request should go elsewhere.
type Declined struct {
	Reason Reason
	// Expected is the time to the first token here, or 0 where none can be
	// promised.
	Expected time.Duration
}

func (Granted) decision()          {}
func (Load) decision()             {}
func (LoadSlotRequired) decision() {}
func (Queued) decision()           {}
func (OrderPending) decision()     {}
func (Declined) decision()         {}

// ProgressKind is what happened to a granted request.
type ProgressKind int

// The kinds of notes.
const (
	// ProgressFirstToken is the first token.
	ProgressFirstToken ProgressKind = iota + 1
	// ProgressEnded is the end of the run, whole or not.
	ProgressEnded
	// ProgressNotRun is a refusal by the target, which ran nothing.
	ProgressNotRun
	// ProgressWrongTarget is a target that does not hold the adapter version.
	ProgressWrongTarget
	// ProgressUnreachable is a target that could not be reached, or broke off.
	ProgressUnreachable
	// ProgressFailed is a run that failed at the target.
	ProgressFailed
	// ProgressCanceled is a run that was given up because its caller left or its time
	// was over.
	ProgressCanceled
)

// ProgressUpdate tells what happened to a granted request.
type ProgressUpdate struct {
	ID   string
	Kind ProgressKind
	// Elapsed is the time since the request was sent.
	Elapsed time.Duration
}
