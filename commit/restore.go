package commit

import (
	"context"
	"encoding/json"
	"time"

	"currantstile/store"
)

// restore writes a view to a store that has been rolled back to an older state, as a
// new revision with the same content. If several instances do so concurrently, one
// succeeds and the others follow its revision. The new revision has no parent, so the
// history starts with it.
func (a *Acceptor) restore(ctx context.Context, now time.Time, v *View, base loadedConfig) error {
	m := v.Manifest
	m.Revision++
	m.ChangeID = "restored-" + v.Manifest.ChangeID
	m.By = "currantstile"
	m.At = now.UTC()
	m.Summary = "restored after the store came back with an older state"
	m.Parent = ""
	m.Contracts = append(ManifestContracts{}, v.Manifest.Contracts...)
	for i, mc := range m.Contracts {
		x, ok := v.Contract(mc.Organisation)
		if !ok {
			continue
		}
		hash, err := a.writeDocument(ctx, x.Contract)
		if err != nil {
			return err
		}
		m.Contracts[i].Hash = hash
	}
	var err error
	if m.Fleet, err = a.writeDocument(ctx, v.Fleet); err != nil {
		return err
	}
	manifest, err := a.writeDocument(ctx, m)
	if err != nil {
		return err
	}
	value, err := json.Marshal(Head{
		Revision: m.Revision,
		ChangeID: m.ChangeID,
		Manifest: manifest,
	})
	if err != nil {
		return err
	}
	_, err = store.PutIdempotent(ctx, a.KV, store.Write{
		Key:    headKey,
		Value:  value,
		Expect: base.entryRevision,
	}, func(e store.Entry) bool {
		return changeIDOf(e) == m.ChangeID
	})
	return err
}
