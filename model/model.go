// Package model defines the types that operators configure and that all other
// packages read: contracts, keys, routes, the desired state of the fleet, and the
// platform's list of instances and targets.
//
// The package contains only defaults, validation and look-ups, and imports no
// other package of the module. All formats of the program's own are JSON with
// kebab-case names; durations are written like "30s".
//
// # Usage
//
//	c, err := model.ParseContract(document)
//	if err != nil {
//		return err // lists every invalid field with its path
//	}
//	index := model.NewContractIndex(c)
//	a, ok := index.Resolve(model.Adapter{Name: "damage-triage"})
package model
