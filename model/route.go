package model

import "fmt"

// Route makes a plain service available to an organisation's callers under
// /svc/NAME/.
type Route struct {
	Name string `json:"name"`
	// Service is the service name of the targets that serve the route. It
	// defaults to the name of the route.
	Service string `json:"service,omitempty"`
	// Open is set for routes that need no key. Their cost is charged to the
	// organisation whose contract declares them.
	Open bool `json:"open,omitempty"`
	// Repeatable is set for routes whose requests may be retried on another
	// target; all others run at most once.
	Repeatable bool `json:"repeatable,omitempty"`
	// Cost is the cost of one request in tokens of the organisation's rate.
	Cost int64 `json:"cost,omitempty"`
}

// Routes is a list of routes.
type Routes []Route

// DefaultRouteCost is the default cost of a request to a plain service, in tokens.
const DefaultRouteCost = 1

// SetDefaults sets fields that are zero to their defaults.
func (r *Route) SetDefaults() {
	if r.Service == "" {
		r.Service = r.Name
	}
	if r.Cost == 0 {
		r.Cost = DefaultRouteCost
	}
}

// validate appends every error of the route to errs.
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
			errs.Add(path+".name", "%q is a duplicate", truncate(r.Name))
		}
		seen[r.Name] = true
	}
}
