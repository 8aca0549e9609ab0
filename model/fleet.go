package model

import (
	"fmt"
	"time"
)

// ResourceKind is the kind of resource that operators can take out of service: a
// data centre, an instance or a target.
type ResourceKind string

// The kinds of resources that operators can take out of service.
const (
	KindZone     ResourceKind = "zone"
	KindInstance ResourceKind = "instance"
	KindTarget   ResourceKind = "target"
)

// Outage is one resource that an operator has taken out of service.
type Outage struct {
	Kind ResourceKind `json:"kind"`
	Name string       `json:"name"`
	By   string       `json:"by"`
	At   time.Time    `json:"at"`
}

// Outages is a list of resources that are out of service.
type Outages []Outage

// Fleet is the desired state of the fleet, as set by operators.
type Fleet struct {
	Out Outages `json:"out"`
}

// Validate checks all outages and returns every error found, as FieldErrors.
func (f Fleet) Validate() error {
	var errs FieldErrors
	seen := make(map[Outage]bool, len(f.Out))
	for i, o := range f.Out {
		path := fmt.Sprintf("out[%d]", i)
		if o.Kind != KindZone && o.Kind != KindInstance && o.Kind != KindTarget {
			errs.Add(path+".kind", "%q is not one of zone, instance, target", truncate(string(o.Kind)))
		}
		if !ValidName(o.Name) {
			errs.Add(path+".name", "%q is not a valid name", truncate(o.Name))
		}
		id := Outage{
			Kind: o.Kind,
			Name: o.Name,
		}
		if seen[id] {
			errs.Add(path+".name", "%s %q is a duplicate", o.Kind, truncate(o.Name))
		}
		seen[id] = true
	}
	return errs.Err()
}

// IsOut reports whether the named resource is out of service.
func (f Fleet) IsOut(kind ResourceKind, name string) bool {
	for _, o := range f.Out {
		if o.Kind == kind && o.Name == name {
			return true
		}
	}
	return false
}

// TakeOut returns the fleet with the named resource out of service. It returns f
// unchanged if the resource is out of service already.
func (f Fleet) TakeOut(now time.Time, kind ResourceKind, name, by string) Fleet {
	if f.IsOut(kind, name) {
		return f
	}
	out := append(Outages{}, f.Out...)
	out = append(out, Outage{
		Kind: kind,
		Name: name,
		By:   by,
		At:   now.UTC().Truncate(time.Second),
	})
	return Fleet{
		Out: out,
	}
}

// PutBack returns the fleet with the named resource back in service.
func (f Fleet) PutBack(kind ResourceKind, name string) Fleet {
	var out Outages
	for _, o := range f.Out {
		if o.Kind != kind || o.Name != name {
			out = append(out, o)
		}
	}
	return Fleet{
		Out: out,
	}
}
