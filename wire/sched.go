package wire

import (
	"time"

	"currantstile/avail"
	"currantstile/sched"
)

// Methods that a target's manager offers to the other instances.
const (
	// ServiceSched is the name under which the methods are registered with net/rpc.
	ServiceSched           = "Sched"
	MethodRequestAdmission = "Sched.Ask"
	MethodReportProgress   = "Sched.Notes"
	MethodPing             = "Sched.Ping"
	// MethodTakeToken asks for the right to send one request to a target without a manager that
	// names a rate limit.
	MethodTakeToken = "Sched.Token"
	// MethodTakeLoadToken asks for the right to begin one load of a base model from the weight store.
	MethodTakeLoadToken = "Sched.LoadToken"
)

// Methods of the instance that grants the slots of a plain service.
const (
	// ServiceSlots is the name under which the methods are registered with net/rpc.
	ServiceSlots = "Slots"
	// MethodTakeSlot asks for a slot; the reply comes once there is one, or is refused.
	MethodTakeSlot = "Slots.Take"
	// MethodEndSlot gives a slot back, or withdraws a request that waits.
	MethodEndSlot = "Slots.End"
)

// SlotArgs asks for a slot of a target of a plain service.
type SlotArgs struct {
	Service string
	Request sched.SlotRequest
}

// SlotReply is the reply to SlotArgs.
type SlotReply struct {
	// Target is the target that the request may be sent to; empty if there is none.
	Target string
	// Crossing is why it is in another data centre; empty if it is not.
	Crossing sched.CrossingReason
	// RetryAfter is when a retry is worthwhile if there is none.
	RetryAfter time.Duration
}

// SlotEndArgs gives a slot back.
type SlotEndArgs struct {
	Service string
	// ID is that of the request.
	ID   string
	Kind sched.ProgressKind
	// Load is what the target's response stated; nil if nothing.
	Load *sched.LoadReport
}

// LoadTokenArgs asks for the right to begin one load of a base model for a service.
type LoadTokenArgs struct {
	Service string
	// Rate is the rate of the service's weight store in loads a second over all instances, as the sender
	// knows it.
	Rate float64
}

// LoadTokenReply is the reply to LoadTokenArgs.
type LoadTokenReply struct {
	Granted bool
}

// AdmissionArgs is an admission request to a target's manager.
type AdmissionArgs struct {
	Target string
	// Ask is the admission request.
	Ask sched.AdmissionRequest
	// Notice is what the sender knows from the target's answers if they name a rate limit.
	Notice *avail.Notice
}

// AdmissionReply is the reply to AdmissionArgs. A reply that is not granted and has
// no reason comes from an instance that is not the target's manager.
type AdmissionReply struct {
	Granted bool
	// Token is set if the request has a token of the target's rate limit.
	Token bool
	// After is the delay before the request may be sent.
	After time.Duration
	// Expected is the expected time to the first token at the target.
	Expected time.Duration
	// Reason says why the request was declined; empty if it was granted.
	Reason sched.Reason
	// Demand is the rate of prompt tokens per second requested for the adapter,
	// summed over all instances, as far as the target's manager knows.
	Demand float64
	// Waits is how the manager spent its time on the request.
	Waits AdmissionWaits
	// Window is how many prompt tokens the target may have unread; see
	// sched.PrefillWindow. 0 means unknown.
	Window int64
	// Delay is the least time that prompts have waited at the target for earlier ones in the
	// last moments; see sched.Pressure. It counts if Window is set.
	Delay time.Duration
	// Notice is what the manager knows from the target's answers if they closed it or name a rate
	// limit, and RetryIn is when to ask again if the limit allows no request at present.
	Notice  *avail.Notice
	RetryIn time.Duration
}

// TokenArgs asks for the right to send one request to a target that names a rate limit.
type TokenArgs struct {
	// Notice is what the sender knows from the target's answers.
	Notice avail.Notice
}

// TokenReply is the reply to TokenArgs.
type TokenReply struct {
	Granted bool
	// RetryIn is when to ask again if no token was granted.
	RetryIn time.Duration
	// Notice is what the instance that replies knows from the target's answers.
	Notice avail.Notice
}

// AdmissionWaits is how long an admission request waited at a manager, by cause.
type AdmissionWaits struct {
	// Prompts is the wait until earlier prompts were read, LoadSlot that for the right to
	// fetch the adapter, and Orders that for orders to be accepted.
	Prompts  time.Duration
	LoadSlot time.Duration
	Orders   time.Duration
}

// ProgressArgs reports progress updates of granted requests to a manager.
type ProgressArgs struct {
	Targets []TargetProgress
}

// TargetProgress is the list of progress updates for one target.
type TargetProgress struct {
	Target string
	// Notes are the progress updates.
	Notes []sched.ProgressUpdate
	// Notice is what answers of the target said; nil if nothing new.
	Notice *avail.Notice
}

// Methods by which a store reader pushes changes to the other instances.
const (
	// ServiceFeed is the name under which the methods are registered with net/rpc.
	ServiceFeed = "Feed"
	MethodPush  = "Feed.Push"
	// MethodNewest asks for the newest configuration.
	MethodNewest = "Feed.Newest"
	// MethodChanges asks an instance for what it knows of the store beyond some revisions.
	MethodChanges = "Feed.Changes"
)
