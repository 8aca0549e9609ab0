package commit

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"currantstile/errs"
	"currantstile/store"
)

// maxAcceptAttempts bounds the attempts to accept a change that can be applied on
// top of concurrent changes.
const maxAcceptAttempts = 16

// AcceptedChange identifies an accepted change and its revision in the history.
type AcceptedChange struct {
	Revision Revision `json:"revision"`
	ChangeID string   `json:"change-id"`
	// Summary describes the change as it was accepted, which may have been by an earlier call
	// with the same ID.
	Summary string `json:"-"`
}

// Acceptor writes changes to the store. Its fields must be set before Accept.
type Acceptor struct {
	KV store.KV
}

// Accept commits the change as the next revision. If another change is committed
// concurrently, a change that replaces a whole contract returns a *ConflictError;
// smaller edits are applied on top of the other change. An error for which
// store.Ambiguous is true means that the change may have been accepted; repeating
// it with the same ID is safe and determines the result.
func (a *Acceptor) Accept(ctx context.Context, now time.Time, c Change) (AcceptedChange, error) {
	l := &loader{
		kv: a.KV,
	}
	for range maxAcceptAttempts {
		base, err := l.load(ctx)
		if err != nil {
			return AcceptedChange{}, errs.WithOp(err, "Acceptor.Accept")
		}
		if done, ok, err := l.findChange(ctx, base, c.ID); err != nil || ok {
			return done, errs.WithOp(err, "Acceptor.Accept")
		}
		accepted, err := a.attempt(ctx, now, c, base)
		if err == nil {
			return accepted, nil
		}
		if !store.IsConflict(err) {
			return AcceptedChange{}, errs.WithOp(err, "Acceptor.Accept")
		}
		if c.exclusive() {
			return a.explainConflict(ctx, l, c)
		}
	}
	return AcceptedChange{}, errs.New("Acceptor.Accept", "too many concurrent changes; try again")
}

// exclusive reports whether the change must not be applied on top of a concurrent
// change.
func (c Change) exclusive() bool {
	for _, e := range c.Edits {
		if _, ok := e.(PutContract); ok {
			return true
		}
	}
	return false
}

// explainConflict returns a *ConflictError that names the latest revision. If the change
// itself has been accepted meanwhile, it returns that result instead.
func (a *Acceptor) explainConflict(ctx context.Context, l *loader, c Change) (AcceptedChange, error) {
	latest, err := l.load(ctx)
	if err != nil {
		return AcceptedChange{}, errs.WithOp(err, "Acceptor.Accept")
	}
	// The conflict may be with this change itself: its response was lost, and another
	// change may have been committed on top of it since.
	if done, ok, err := l.findChange(ctx, latest, c.ID); err != nil || ok {
		return done, errs.WithOp(err, "Acceptor.Accept")
	}
	m := latest.view.Manifest
	return AcceptedChange{}, &ConflictError{
		Revision: m.Revision,
		By:       m.By,
		Summary:  m.Summary,
	}
}

// attempt applies the change to the loaded configuration and replaces the head by
// compare-and-swap.
func (a *Acceptor) attempt(ctx context.Context, now time.Time, c Change, base loadedConfig) (AcceptedChange, error) {
	d := newDraft(now, c.By, base.view)
	for _, e := range c.Edits {
		if err := d.apply(e); err != nil {
			return AcceptedChange{}, err
		}
	}
	manifest, err := a.writeDocuments(ctx, d, c, base.head)
	if err != nil {
		return AcceptedChange{}, err
	}
	next := Head{
		Revision: base.head.Revision + 1,
		ChangeID: c.ID,
		Manifest: manifest,
	}
	value, err := json.Marshal(next)
	if err != nil {
		return AcceptedChange{}, err
	}
	_, err = store.PutIdempotent(ctx, a.KV, store.Write{
		Key:    headKey,
		Value:  value,
		Expect: base.entryRevision,
	}, func(e store.Entry) bool {
		return changeIDOf(e) == c.ID
	})
	return AcceptedChange{
		Revision: next.Revision,
		ChangeID: c.ID,
		Summary:  c.summary(),
	}, err
}

// changeIDOf returns the change ID of the head stored in an entry.
func changeIDOf(e store.Entry) string {
	var h Head
	// An unreadable head has no change ID, so it matches no change.
	_ = json.Unmarshal(e.Value, &h)
	return h.ChangeID
}

// writeDocuments stores the draft's changed documents and its manifest, and
// returns the manifest's hash.
func (a *Acceptor) writeDocuments(ctx context.Context, d *draft, c Change, head Head) (Hash, error) {
	m := Manifest{
		Revision: head.Revision + 1,
		ChangeID: c.ID,
		By:       c.By,
		At:       d.now.UTC(),
		Summary:  c.summary(),
		Parent:   head.Manifest,
	}
	for _, old := range d.manifest.Contracts {
		if !d.changed[old.Organisation] {
			m.Contracts = append(m.Contracts, old)
		}
	}
	for org := range d.changed {
		contract, ok := d.contracts[org]
		if !ok {
			continue
		}
		hash, err := a.writeDocument(ctx, contract)
		if err != nil {
			return "", err
		}
		m.Contracts = append(m.Contracts, ManifestContract{
			Organisation: org,
			Hash:         hash,
			Revision:     m.Revision,
		})
	}
	sort.Slice(m.Contracts, func(i, j int) bool {
		return m.Contracts[i].Organisation < m.Contracts[j].Organisation
	})
	hash, err := a.writeDocument(ctx, d.fleet)
	if err != nil {
		return "", err
	}
	m.Fleet = hash
	return a.writeDocument(ctx, m)
}

// writeDocument stores a document under its hash and returns the hash. An existing
// entry under that hash has the same content.
func (a *Acceptor) writeDocument(ctx context.Context, v any) (Hash, error) {
	d, err := newDocument(v)
	if err != nil {
		return "", err
	}
	_, err = store.PutIdempotent(ctx, a.KV, d.write(), func(store.Entry) bool {
		return true
	})
	return d.hash, err
}
