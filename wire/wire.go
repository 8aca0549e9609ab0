// Package wire defines the messages between instances. They are sent by net/rpc, so
// every type must be one that encoding/gob can encode.
//
// # Usage
//
//	var reply wire.AcquireReply
//	err := pool.Call(ctx, addr, wire.MethodAcquire, wire.AcquireArgs{...}, &reply)
package wire

import (
	"time"

	"currantstile/cache"
	"currantstile/commit"
	"currantstile/model"
)

// Methods that every instance offers to its peers.
const (
	// ServicePeer is the name under which the methods are registered with net/rpc.
	ServicePeer = "Peer"

	MethodAcquire       = "Peer.Acquire"
	MethodRenew         = "Peer.Renew"
	MethodAdapterLost   = "Peer.Lost"
	MethodStatus        = "Peer.Status"
	MethodBorrow        = "Peer.Borrow"
	MethodRecall        = "Peer.Recall"
	MethodUpdateLoans   = "Peer.Loans"
	MethodHolds         = "Peer.Holds"
	MethodLoadPermit    = "Peer.Permit"
	MethodReleasePermit = "Peer.Done"
	MethodConfig        = "Peer.Config"
	MethodAcquireTokens = "Peer.Take"
	MethodReturnTokens  = "Peer.Return"
	MethodShareRecord   = "Peer.Record"
)

// AcquireResult is the result of a request for a pin.
type AcquireResult string

// The results of a request for a pin.
const (
	AcquireGranted AcquireResult = "granted"
	// AcquireFull means that the target runs as many requests as it can, or
	// that all its adapters are in use. Another target may have capacity.
	AcquireFull AcquireResult = "full"
	// AcquireNotManager means that the target is managed by another instance.
	AcquireNotManager AcquireResult = "not-manager"
	// AcquireLoadFailed means that the adapter could not be loaded.
	AcquireLoadFailed AcquireResult = "load-failed"
)

// AcquireArgs requests a pin from a target's manager.
type AcquireArgs struct {
	Target model.TargetID
	// Ask is the pin request.
	Ask cache.PinRequest
	// Wait is the maximum time that the request may be queued at the manager.
	Wait time.Duration
}

// AcquireReply is the reply to AcquireArgs.
type AcquireReply struct {
	Result AcquireResult
	Pin    cache.Pin
	// Loaded reports whether the request waited for the adapter to be loaded.
	Loaded bool
}

// TargetHolds lists the pins that one holder has on a target.
type TargetHolds struct {
	Target model.TargetID
	// Holds are the pins.
	Holds []cache.HeldPin
}

// RenewArgs renews a holder's pins on all targets of one manager.
type RenewArgs struct {
	Holder  cache.Holder
	Targets []TargetHolds
}

// VoidPins lists the adapters whose pins on a target are void.
type VoidPins struct {
	Target   model.TargetID
	Adapters []model.Adapter
}

// RenewReply is the reply to RenewArgs.
type RenewReply struct {
	Void []VoidPins
	// Unmanaged lists the targets whose pins were neither extended nor found
	// void, because another instance manages the target now or because the
	// target has not reported yet.
	Unmanaged []model.TargetID
}

// HoldsArgs requests an instance's pins on targets whose management another instance
// takes over.
type HoldsArgs struct {
	Targets []model.TargetID
}

// HoldsReply is the reply to HoldsArgs.
type HoldsReply struct {
	Holder  cache.Holder
	Targets []TargetHolds
}

// LoadPermitArgs requests a permit to load an adapter.
type LoadPermitArgs struct{}

// LoadPermitReply is the reply to LoadPermitArgs.
type LoadPermitReply struct {
	Granted bool
	ID      cache.PermitID
	// Wait is the delay before the next attempt if the permit was not granted.
	Wait time.Duration
}

// ConfigArgs requests an instance's configuration if it is newer than Have.
type ConfigArgs struct {
	Have commit.Revision
}

// ConfigReply is the reply to ConfigArgs. Snapshot is empty unless Newer is set.
type ConfigReply struct {
	Newer    bool
	Snapshot commit.Snapshot
}

// ReleasePermitArgs releases a permit.
type ReleasePermitArgs struct {
	ID cache.PermitID
}

// AdapterLostArgs reports to a manager that a target does not hold an adapter that
// the manager believes to be loaded there.
type AdapterLostArgs struct {
	Target      model.TargetID
	Incarnation string
	Adapter     model.Adapter
}

// StatusArgs requests an instance's status.
type StatusArgs struct{}

// StatusReply is an instance's status, as seen by the instance itself.
type StatusReply struct {
	ID       model.InstanceID
	Zone     model.ZoneID
	Revision uint64
	// Confirmed is the time at which the store last confirmed Revision.
	Confirmed time.Time
	Started   time.Time
	Phase     string
	Running   int64
	// Table is the version of the share table seen last, or zero if none was seen.
	Table uint64
	// Organisations holds the instance's counters since its start.
	Organisations []OrgCounts
}

// OrgCounts holds one organisation's counters at one instance.
type OrgCounts struct {
	Organisation   model.OrgID
	AdmittedTokens int64
	Complete       int64
	NotRun         int64
	RefusedRate    int64
	Failed         int64
	Unknown        int64
}

// Empty is the reply of methods that return nothing.
type Empty struct{}
