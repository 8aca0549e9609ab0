package model

import "fmt"

// Route is a plain service that an organisation's callers reach under
// /svc/NAME/.
type Route struct {
	Name string `json:"name"`
	// Service is the name of the targets that serve the route; the route's
	// name by default.
	Service string `json:"service,omitempty"`
	// Open routes need no key; their cost is charged to the organisation whose
	// contract declares them.
	Open bool `json:"open,omitempty"`
	// Repeatable routes may be tried again on another target; all others run
	// at most once.
	Repeatable bool `json:"repeatable,omitempty"`
	// Cost is what one request takes from the organisation's rate, in tokens.
	Cost int64 `json:"cost,omitempty"`
}

// Routes is a list of routes.
type Routes []Route

// DefaultRouteCost is the cost of a request on a plain service, in tokens.
const DefaultRouteCost = 1

// SetDefaults fills the fields that were left out.
func (r *Route) SetDefaults() {
	if r.Service == "" {
		r.Service = r.Name
	}
	if r.Cost == 0 {
		r.Cost = DefaultRouteCost
	}
}

// validate adds every fault of the route to errs.
func (r Route) validate(path string, burst int64, errs *FieldErrors) {
	if !ValidName(r.Name) {
		errs.Add(path+".name", "%q is not a valid name", truncate(r.Name))
	}
	if !ValidName(r.Service) {
		errs.Add(path+".service", "%q is not a valid name", truncate(r.Service))
	}
	if r.Cost < 1 || r.Cost > burst {
		errs.Add(path+".cost", "must be between 1 and the burst, is %d", r.Cost)
	}
}

func (rs Routes) validate(burst int64, errs *FieldErrors) {
	seen := make(map[string]bool, len(rs))
	for i, r := range rs {
		path := fmt.Sprintf("routes[%d]", i)
		r.validate(path, burst, errs)
		if seen[r.Name] {
			errs.Add(path+".name", "%q stands twice", truncate(r.Name))
		}
		seen[r.Name] = true
	}
}
