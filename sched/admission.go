package sched

import "time"

// AdmissionRequest is a request to a target's manager for permission to run a
// caller's request on the target.
type AdmissionRequest struct {
	// ID identifies the grant.
	ID string
	// Model is the base model.
	Model string
	// Adapter is MODEL/NAME, or empty for the base model without an adapter.
	Adapter string
	// Version is the newest declared version of the adapter, or 0 if none is
	// declared.
	Version uint64
	// Prompt is the length of the prompt, and Output the maximum length of the
	// output, both in tokens.
	Prompt int64
	Output int64
	// Limit is the longest time to the first token that the sender accepts from
	// this target.
	Limit time.Duration
	// Left is how much longer the caller waits.
	Left time.Duration
	// Priority ranks the request; 0 is the most urgent.
	Priority int
	// Objective is the time to the first token within which the answer is on time, and Spent
	// how much of it has passed. Objective is 0 if the sender does not state it.
	Objective time.Duration
	Spent     time.Duration
	// Excess is by how many times the caller's organisation exceeds its usual rate; 0 or 1 if
	// it does not.
	Excess float64
	// Overload is set while the sender sees more requests than the targets can answer on time.
	Overload bool
	// Floor is set under overload if the request belongs to a group that is served too seldom.
	Floor bool
	// NoFetch declines the request if the adapter would have to be loaded from
	// the weight store.
	NoFetch bool
	// Asks is how many requests this one represents when demand is counted: the
	// number of replicas from which the sender chose this target. It is 0 for all
	// but the first admission request of a placement, and for a prompt that goes
	// to targets reserved for long prompts.
	Asks int
	// Turn is set once the request has a load slot for a load from the weight
	// store.
	Turn bool
}

// Decision is the answer to an AdmissionRequest: one of Granted, Load,
// LoadSlotRequired, Queued, OrderPending and Declined.
type Decision interface {
	decision()
}

// Granted permits the sender to send the request.
type Granted struct {
	// After is how long to delay the request until its adapter is loaded.
	After time.Duration
	// Expected is the expected time to the first token.
	Expected time.Duration
}

// Load requires the manager to order adapter changes: unload Unload first if it is
// set, then load Adapter.
type Load struct {
	Adapter string
	Version uint64
	Unload  string
}

// LoadSlotRequired means that the adapter must be loaded from the weight store:
// wait for a load slot, then request admission again with Turn set.
type LoadSlotRequired struct{}

// Queued means that prompts granted earlier have not been read yet: request
// admission again after the next progress update.
type Queued struct{}

// OrderPending means that an order for the adapter is in progress: request
// admission again when it has ended.
type OrderPending struct{}

// Reason is why a target declines a request.
type Reason string

// Reasons for declining a request.
const (
	ReasonSlow   Reason = "too-slow"
	ReasonFull   Reason = "full"
	ReasonMemory Reason = "no-memory"
	// ReasonAdapterSlots means that no adapter can be evicted, that too many loads
	// are in progress, or that no load slot was granted in time.
	ReasonAdapterSlots Reason = "no-adapter-slot"
	ReasonCold         Reason = "cold"
	ReasonSuspected    Reason = "suspected"
	// ReasonOutdated means that an older version is in use, or that it is unknown
	// whether the target holds the adapter.
	ReasonOutdated  Reason = "outdated-adapter-in-use"
	ReasonBaseModel Reason = "base-model-not-there"
	// ReasonFetchRequired declines a request with NoFetch whose adapter would have
	// to be loaded from the weight store.
	ReasonFetchRequired Reason = "adapter-not-at-hand"
	ReasonNoOrders      Reason = "orders-not-allowed"
	// ReasonMoreReplicas declines a sender whose estimate of the adapter's demand
	// is too low to choose among all its replicas.
	ReasonMoreReplicas Reason = "more-homes"
	// ReasonLeaving and ReasonPushedBack mean that an answer of the target said that its
	// process is about to end, or that it wants no requests for a while.
	ReasonLeaving    Reason = "leaving"
	ReasonPushedBack Reason = "pushed-back"
	// ReasonYields declines a request under overload that cannot be on time at the target.
	ReasonYields Reason = "yields"
	// ReasonLimited means that nothing is left at present of the rate limit that the target names.
	ReasonLimited Reason = "target-limit"
)

// Declined means that the request should be sent to another target.
type Declined struct {
	Reason Reason
	// Expected is the expected time to the first token on this target, or 0 if
	// there is no estimate.
	Expected time.Duration
}

func (Granted) decision()          {}
func (Load) decision()             {}
func (LoadSlotRequired) decision() {}
func (Queued) decision()           {}
func (OrderPending) decision()     {}
func (Declined) decision()         {}

// ProgressKind is the kind of event that a ProgressUpdate reports.
type ProgressKind int

// Kinds of progress.
const (
	// ProgressFirstToken reports the first token.
	ProgressFirstToken ProgressKind = iota + 1
	// ProgressEnded reports the end of the run, whether complete or not.
	ProgressEnded
	// ProgressNotRun reports that the target refused the request without running
	// any of it.
	ProgressNotRun
	// ProgressWrongTarget reports that the target does not hold the adapter
	// version, or that another target responded at its address.
	ProgressWrongTarget
	// ProgressUnreachable reports that the target could not be reached or broke
	// the connection.
	ProgressUnreachable
	// ProgressFailed reports a run that failed on the target.
	ProgressFailed
	// ProgressCancelled reports a run that was cancelled because its caller
	// disconnected or its deadline passed.
	ProgressCancelled
)

// ProgressUpdate reports the progress of a granted request.
type ProgressUpdate struct {
	ID   string
	Kind ProgressKind
	// Elapsed is the time since the request was sent.
	Elapsed time.Duration
	// MaxPause is the longest pause between two parts of a stream that has ended; 0 if it
	// was no stream.
	MaxPause time.Duration
	// Slowdown is what the head of the response stated of the target's machine; 0 if nothing, or if it was
	// reported before.
	Slowdown float64
}
