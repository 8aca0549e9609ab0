// Package wire holds the typed messages between instances. They travel by
// net/rpc, so that every type here is one that encoding/gob can carry.
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

// Methods of the peers' interface.
const (
	// ServicePeer is the name that they are registered under.
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
)

// AcquireResult says how an ask ended.
type AcquireResult string

// The ways in which an ask ends.
const (
	AcquireGranted AcquireResult = "granted"
	// AcquireFull means that the target runs all that it bears, or that all its
	// adapters are in use; another target may serve.
	AcquireFull AcquireResult = "full"
	// AcquireNotManager means that another instance manages the target.
	AcquireNotManager AcquireResult = "not-manager"
	// AcquireLoadFailed means that the adapter could not be loaded.
	AcquireLoadFailed AcquireResult = "load-failed"
)

// AcquireArgs asks a target's manager for a pin.
type AcquireArgs struct {
	Target model.TargetID
	Ask    cache.Ask
	// Wait bounds how long the manager may keep the ask waiting.
	Wait time.Duration
}

// AcquireReply answers AcquireArgs.
type AcquireReply struct {
	Result AcquireResult
	Pin    cache.Pin
	// Loaded reports that the ask waited for the adapter to load.
	Loaded bool
}

// TargetHolds is what a holder holds on one target.
type TargetHolds struct {
	Target model.TargetID
	Holds  []cache.Hold
}

// RenewArgs renews a holder's pins on all targets of one manager.
type RenewArgs struct {
	Holder  cache.Holder
	Targets []TargetHolds
}

// VoidPins names the pins on a target that are void.
type VoidPins struct {
	Target   model.TargetID
	Adapters []model.Adapter
}

// RenewReply answers RenewArgs.
type RenewReply struct {
	Void []VoidPins
	// Unmanaged names the targets whose pins were neither extended nor found
	// void, because another instance manages them by now or because the target
	// has not reported yet.
	Unmanaged []model.TargetID
}

// HoldsArgs asks an entry for its pins on targets that a manager takes over.
type HoldsArgs struct {
	Targets []model.TargetID
}

// HoldsReply answers HoldsArgs.
type HoldsReply struct {
	Holder  cache.Holder
	Targets []TargetHolds
}

// LoadPermitArgs asks for the permit to load an adapter.
type LoadPermitArgs struct{}

// LoadPermitReply answers PermitArgs.
type LoadPermitReply struct {
	Granted bool
	ID      cache.PermitID
	// Wait is how long to wait before asking again.
	Wait time.Duration
}

// ConfigArgs asks an instance for its configuration if it is newer.
type ConfigArgs struct {
	Have commit.Revision
}

// ConfigReply answers ConfigArgs; the snapshot is empty unless Newer.
type ConfigReply struct {
	Newer    bool
	Snapshot commit.Snapshot
}

// ReleasePermitArgs gives a permit back.
type ReleasePermitArgs struct {
	ID cache.PermitID
}

// AdapterLostArgs tells a manager that a target does not hold an adapter.
type AdapterLostArgs struct {
	Target      model.TargetID
	Incarnation string
	Adapter     model.Adapter
}

// StatusArgs asks an instance what it has in force.
type StatusArgs struct{}

// StatusReply is an instance's own account.
type StatusReply struct {
	ID       model.InstanceID
	Zone     model.ZoneID
	Revision uint64
	// Confirmed is when the store last confirmed the revision.
	Confirmed time.Time
	Started   time.Time
	Phase     string
	Running   int64
	// Table is the version of the table of parts that was seen last, or zero.
	Table uint64
	// Organisations are the instance's counts since its start.
	Organisations []OrgCounts
}

// OrgCounts are one organisation's counts at one instance.
type OrgCounts struct {
	Organisation   model.OrgID
	AdmittedTokens int64
	Complete       int64
	NotRun         int64
	RefusedRate    int64
	Failed         int64
	Unknown        int64
}

// Empty is a reply without content.
type Empty struct{}
