package driver

import (
	"context"

	"currantstile/fleet"
)

// Order is an order to a target.
type Order struct {
	Target  fleet.Target
	Load    bool
	Adapter string
	// Version is the version to load; 0 is the newest.
	Version uint64
	// ExpectedOrders is how many orders the target is to have accepted before.
	ExpectedOrders uint64
	Holder         string
	FencingToken   uint64
}

// Result says what a target made of an order. It is one of Accepted, Conflict,
// Fenced, Rejected and Unknown.
type Result interface {
	result()
}

// Accepted is an order that is being carried out, or already holds.
type Accepted struct {
	// Counted reports whether the order counts as one more accepted.
	Counted bool
	// Completed reports whether it has been carried out.
	Completed bool
}

// Conflict is an order that came while another one was under way, or after
// another number of orders than it expected.
type Conflict struct{}

// Fenced is an order whose fencing number is too low.
type Fenced struct{}

// Rejected is an order that the target cannot carry out.
type Rejected struct {
	Status int
}

// Unknown is an order that has no answer; it may be carried out yet.
type Unknown struct{}

func (Accepted) result() {}
func (Conflict) result() {}
func (Fenced) result()   {}
func (Rejected) result() {}
func (Unknown) result()  {}

// Report is what a target says of itself.
type Report struct {
	AcceptedOrders uint64
	// Adapters holds the version of each adapter, those on their way included,
	// by MODEL/NAME.
	Adapters map[string]uint64
	Running  int
	Waiting  int
	// Models are the base models that the target holds, and AtHand those of which
	// it has copies. Busy is set while a base model is being loaded.
	Models       []string
	CachedModels []string
	LoadingModel bool
}

// Orders sends orders and reads reports.
type Orders interface {
	// Order sends an order once. An error means that it may have been accepted.
	Order(ctx context.Context, o Order) (Result, error)
	Report(ctx context.Context, t fleet.Target) (Report, error)
}
