package driver

import (
	"context"

	"currantstile/fleet"
)

// Order instructs a target to load or unload an adapter or a base model.
type Order struct {
	Target fleet.Target
	// Load is set for an order to load; otherwise Adapter is unloaded.
	Load bool
	// Adapter is MODEL/NAME, or the name of a base model.
	Adapter string
	// Version is the version to load; 0 means the newest.
	Version uint64
	// ExpectedOrders is the number of orders that the target must have accepted before
	// this one.
	ExpectedOrders uint64
	// Holder is the name of the instance that sends the order, and FencingToken its
	// token as the manager of the target.
	Holder       string
	FencingToken uint64
}

// Result is the outcome of an order. It is one of Accepted, Conflict, Fenced, Rejected
// and Unknown.
type Result interface {
	result()
}

// Accepted means that the order is in progress, or that its effect is already in place.
type Accepted struct {
	// Counted reports whether the order increases the target's number of accepted
	// orders.
	Counted bool
	// Completed reports whether the effect is already in place.
	Completed bool
}

// Conflict means that another order was in progress, or that the number of accepted
// orders was not the expected one.
type Conflict struct{}

// Fenced means that the order's fencing token is outdated.
type Fenced struct{}

// Rejected means that the target cannot execute the order; Status is its HTTP status.
type Rejected struct {
	Status int
}

// Unknown means that no response was received; the order may still be executed.
type Unknown struct{}

func (Accepted) result() {}
func (Conflict) result() {}
func (Fenced) result()   {}
func (Rejected) result() {}
func (Unknown) result()  {}

// Report is the state of a target as reported by itself.
type Report struct {
	// AcceptedOrders is the number of orders accepted since the target's start.
	AcceptedOrders uint64
	// Adapters maps MODEL/NAME to the version of each adapter, including those being
	// loaded.
	Adapters map[string]uint64
	// Running and Waiting are the numbers of requests that run and wait on the
	// target.
	Running int
	Waiting int
	// Models are the base models that the target has loaded, and CachedModels those
	// that it can load without the weight store. LoadingModel is set while it loads a
	// base model.
	Models       []string
	CachedModels []string
	LoadingModel bool
	// Leaving is set if the target's process is about to end.
	Leaving bool
	// Limit is the rate limit that the target names, in requests a second; nil if it names none.
	// Without it, an answer to a request may name one still.
	Limit *float64
}

// Orders sends orders to targets and reads their reports.
type Orders interface {
	// Order sends an order once. After an error the order may have been accepted.
	Order(ctx context.Context, o Order) (Result, error)
	// Report reads a target's report.
	Report(ctx context.Context, t fleet.Target) (Report, error)
}
