package wire

import (
	"time"

	"currantstile/duty"
	"currantstile/scale"
	"currantstile/usage"
)

// Methods by which the holders of singleton duties ask the other instances.
const (
	// ServiceDuty is the name under which the methods are registered with net/rpc.
	ServiceDuty = "Duty"
	// MethodCollectUsage asks for counts of usage, and MethodCollectLoad for the demand of services.
	MethodCollectUsage = "Duty.Usage"
	MethodCollectLoad  = "Duty.Load"
	// MethodHandOver gives the counts of an instance that stops to another one.
	MethodHandOver = "Duty.HandOver"
)

// UsageArgs asks an instance for its counts of windows.
type UsageArgs struct {
	// Now is the true time when the message was sent, in nanoseconds since 1970; 0 if it is not known.
	Now int64
	// Windows are the numbers of the windows, and Length is that of one.
	Windows []int64
	Length  time.Duration
}

// UsageReply is the reply to UsageArgs.
type UsageReply struct {
	Source usage.Source
	// Wall is the instance's clock in nanoseconds since 1970.
	Wall int64
	// Parts are the instance's own counts, and those that were handed over to it.
	Parts []usage.Part
}

// LoadArgs asks an instance for the demand of subjects, each a service in a data centre.
type LoadArgs struct {
	Subjects []duty.Subject
}

// LoadReply is the reply to LoadArgs.
type LoadReply struct {
	Source scale.Source
	Loads  []scale.Load
}

// HandOverArgs hands over the counts of an instance that stops.
type HandOverArgs struct {
	Parts []usage.Part
}
