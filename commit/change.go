package commit

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"currantstile/model"
)

// Edit is a single modification in a change. It is one of PutContract, RemoveContract,
// AddKey, WithdrawKey, TakeOut and PutBack.
type Edit interface {
	// Summary describes the edit in a few words.
	Summary() string
	isEdit()
}

// Edits is a list of edits that are accepted atomically.
type Edits []Edit

// PutContract sets an organisation's contract.
type PutContract struct {
	Contract model.Contract
	// Base is the contract revision on which the new contract is based. A contract
	// that has changed since is a conflict; zero replaces any revision.
	Base Revision
	// KeepKeys keeps the keys of the contract in force if the new one lists none.
	KeepKeys bool
}

// RemoveContract removes an organisation's contract.
type RemoveContract struct {
	Organisation model.OrgID
}

// AddKey adds a key to a contract.
type AddKey struct {
	Organisation model.OrgID
	Key          model.Key
}

// WithdrawKey removes a key from a contract.
type WithdrawKey struct {
	Organisation model.OrgID
	ID           model.KeyID
}

// TakeOut takes a data centre, an instance or a target out of service.
type TakeOut struct {
	Kind model.ResourceKind
	Name string
}

// PutBack puts a data centre, an instance or a target back into service.
type PutBack struct {
	Kind model.ResourceKind
	Name string
}

func (PutContract) isEdit()    {}
func (RemoveContract) isEdit() {}
func (AddKey) isEdit()         {}
func (WithdrawKey) isEdit()    {}
func (TakeOut) isEdit()        {}
func (PutBack) isEdit()        {}

// Summary implements Edit.
func (e PutContract) Summary() string {
	return "contract " + string(e.Contract.Organisation) + " applied"
}

// Summary implements Edit.
func (e RemoveContract) Summary() string { return "contract " + string(e.Organisation) + " removed" }

// Summary implements Edit.
func (e AddKey) Summary() string {
	return fmt.Sprintf("key %s of %s issued", e.Key.ID, e.Organisation)
}

// Summary implements Edit.
func (e WithdrawKey) Summary() string {
	return fmt.Sprintf("key %s of %s withdrawn", e.ID, e.Organisation)
}

// Summary implements Edit.
func (e TakeOut) Summary() string { return fmt.Sprintf("%s %s out", e.Kind, e.Name) }

// Summary implements Edit.
func (e PutBack) Summary() string { return fmt.Sprintf("%s %s back", e.Kind, e.Name) }

// Change is a configuration change requested by an operator.
type Change struct {
	// ID identifies the write of this change; it must be unique to the change.
	ID    string
	By    string
	Edits Edits
}

func (c Change) summary() string {
	if n := len(c.Edits); n > maxSummaryEdits {
		return fmt.Sprintf("%s and %d more", c.Edits[0].Summary(), n-1)
	}
	parts := make([]string, 0, len(c.Edits))
	for _, e := range c.Edits {
		parts = append(parts, e.Summary())
	}
	return strings.Join(parts, ", ")
}

// maxSummaryEdits is the maximum number of edits that a summary lists one by one.
const maxSummaryEdits = 3

// Errors of rejected changes, which have no effect.
var (
	ErrNoContract = errors.New("organisation has no contract")
	ErrNoKey      = errors.New("contract holds no such key")
)

// ConflictError reports that a change conflicts with one that was accepted before it.
type ConflictError struct {
	// Revision is that of the accepted change, By the operator who made it.
	Revision Revision
	By       string
	Summary  string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: revision %d by %s was accepted first (%s); review it and try again", e.Revision, e.By, e.Summary)
}

// draft is a copy of a configuration to which edits are applied.
type draft struct {
	now       time.Time
	by        string
	manifest  Manifest
	fleet     model.Fleet
	contracts map[model.OrgID]model.Contract
	changed   map[model.OrgID]bool
}

func newDraft(now time.Time, by string, v *View) *draft {
	d := &draft{
		now:       now,
		by:        by,
		manifest:  v.Manifest,
		fleet:     v.Fleet,
		contracts: make(map[model.OrgID]model.Contract, len(v.contracts)),
		changed:   make(map[model.OrgID]bool),
	}
	for org, x := range v.contracts {
		d.contracts[org] = x.Contract
	}
	return d
}

// apply applies one edit to the draft.
func (d *draft) apply(e Edit) error {
	switch e := e.(type) {
	case PutContract:
		return d.putContract(e)
	case RemoveContract:
		if _, ok := d.contracts[e.Organisation]; !ok {
			return errors.Wrapf(ErrNoContract, "%s", e.Organisation)
		}
		delete(d.contracts, e.Organisation)
		d.changed[e.Organisation] = true
		return nil
	case AddKey:
		return d.editKeys(e.Organisation, func(keys model.Keys) (model.Keys, error) {
			return append(append(model.Keys{}, keys...), e.Key), nil
		})
	case WithdrawKey:
		return d.editKeys(e.Organisation, func(keys model.Keys) (model.Keys, error) {
			return withoutKey(keys, e.ID)
		})
	case TakeOut:
		d.fleet = d.fleet.TakeOut(d.now, e.Kind, e.Name, d.by)
		return nil
	case PutBack:
		d.fleet = d.fleet.PutBack(e.Kind, e.Name)
		return nil
	default:
		return errors.Errorf("unknown edit type %T", e)
	}
}

func (d *draft) putContract(e PutContract) error {
	org := e.Contract.Organisation
	for _, m := range d.manifest.Contracts {
		if m.Organisation == org && e.Base != 0 && m.Revision != e.Base {
			return &ConflictError{
				Revision: m.Revision,
				By:       "another operator",
				Summary:  "contract " + string(org) + " changed",
			}
		}
	}
	if e.KeepKeys && len(e.Contract.Keys) == 0 {
		e.Contract.Keys = d.contracts[org].Keys
	}
	return d.setContract(e.Contract)
}

func (d *draft) setContract(c model.Contract) error {
	if err := c.Validate(); err != nil {
		return err
	}
	if err := d.checkOpenRoutes(c); err != nil {
		return err
	}
	d.contracts[c.Organisation] = c
	d.changed[c.Organisation] = true
	return nil
}

// checkOpenRoutes rejects an open route whose name is already used by an open route
// of another contract: a request without a key names only the route, so the contract
// would be ambiguous.
func (d *draft) checkOpenRoutes(c model.Contract) error {
	var fieldErrs model.FieldErrors
	for i, r := range c.Routes {
		for org, other := range d.contracts {
			if r.Open && org != c.Organisation && hasOpenRoute(other, r.Name) {
				fieldErrs.Add(fmt.Sprintf("routes[%d].name", i), "open route %q is declared by %s already", r.Name, org)
			}
		}
	}
	return fieldErrs.Err()
}

func hasOpenRoute(c model.Contract, name string) bool {
	for _, r := range c.Routes {
		if r.Open && r.Name == name {
			return true
		}
	}
	return false
}

func (d *draft) editKeys(org model.OrgID, edit func(model.Keys) (model.Keys, error)) error {
	c, ok := d.contracts[org]
	if !ok {
		return errors.Wrapf(ErrNoContract, "%s", org)
	}
	keys, err := edit(c.Keys)
	if err != nil {
		return err
	}
	c.Keys = keys
	return d.setContract(c)
}

func withoutKey(keys model.Keys, id model.KeyID) (model.Keys, error) {
	remaining := model.Keys{}
	for _, k := range keys {
		if k.ID != id {
			remaining = append(remaining, k)
		}
	}
	if len(remaining) == len(keys) {
		return nil, errors.Wrapf(ErrNoKey, "%s", id)
	}
	return remaining, nil
}
