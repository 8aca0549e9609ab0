package commit

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"currantstile/errs"
	"currantstile/model"
	"currantstile/store"
)

const (
	// maxHistory is the maximum number of revisions that History returns.
	maxHistory = 64
	// duplicateDepth is the number of latest revisions among which a repeated change,
	// whose response was lost, is recognised.
	duplicateDepth = 8
)

// loadedConfig is a configuration read from the store.
type loadedConfig struct {
	head Head
	// entryRevision is the store revision of the head's entry; storeRevision is that of
	// the listing, after which a watch continues.
	entryRevision store.Revision
	storeRevision store.Revision
	view          *View
}

// loader reads configurations from the store. It caches the contracts of the last
// one, so that a change costs one read for each document that changed.
type loader struct {
	kv        store.KV
	contracts map[Hash]*model.ContractIndex
}

// load reads the head and the configuration that it references. Without a head, it returns
// the empty view.
func (l *loader) load(ctx context.Context) (loadedConfig, error) {
	b, err := l.kv.List(ctx, headKey)
	if err != nil {
		return loadedConfig{}, err
	}
	result := loadedConfig{
		storeRevision: b.Revision,
		view:          EmptyView(),
	}
	if len(b.Entries) == 0 {
		return result, nil
	}
	result.entryRevision = b.Entries[0].Revision
	if err := json.Unmarshal(b.Entries[0].Value, &result.head); err != nil {
		return loadedConfig{}, errors.Wrap(err, "head")
	}
	result.view, err = l.view(ctx, result.head.Manifest)
	return result, err
}

// view reads the configuration of a manifest and caches its contracts.
func (l *loader) view(ctx context.Context, hash Hash) (*View, error) {
	var m Manifest
	if err := l.document(ctx, hash, &m); err != nil {
		return nil, err
	}
	var fleet model.Fleet
	if err := l.document(ctx, m.Fleet, &fleet); err != nil {
		return nil, err
	}
	contracts := make(map[model.OrgID]*model.ContractIndex, len(m.Contracts))
	cached := make(map[Hash]*model.ContractIndex, len(m.Contracts))
	for _, mc := range m.Contracts {
		x, err := l.contract(ctx, mc.Hash)
		if err != nil {
			return nil, err
		}
		contracts[mc.Organisation] = x
		cached[mc.Hash] = x
	}
	l.contracts = cached
	return newView(m, fleet, contracts), nil
}

// contract returns the contract stored under a hash, from the cache if possible.
func (l *loader) contract(ctx context.Context, hash Hash) (*model.ContractIndex, error) {
	if x, ok := l.contracts[hash]; ok {
		return x, nil
	}
	var c model.Contract
	if err := l.document(ctx, hash, &c); err != nil {
		return nil, err
	}
	return model.NewContractIndex(c), nil
}

// document decodes the document stored under a hash into v.
func (l *loader) document(ctx context.Context, hash Hash, v any) error {
	e, err := l.kv.Get(ctx, blobPrefix+string(hash))
	if err != nil {
		return errors.Wrapf(err, "document %s", hash)
	}
	return errors.Wrapf(json.Unmarshal(e.Value, v), "document %s", hash)
}

// findChange searches the last duplicateDepth revisions for a change, newest first.
func (l *loader) findChange(ctx context.Context, from loadedConfig, changeID string) (AcceptedChange, bool, error) {
	list, err := l.history(ctx, from.head.Manifest, duplicateDepth)
	if err != nil {
		return AcceptedChange{}, false, err
	}
	for _, m := range list {
		if m.ChangeID == changeID {
			return AcceptedChange{
				Revision: m.Revision,
				ChangeID: changeID,
				Summary:  m.Summary,
			}, true, nil
		}
	}
	return AcceptedChange{}, false, nil
}

// history returns up to n manifests, from the given one back along its parents.
func (l *loader) history(ctx context.Context, hash Hash, n int) ([]Manifest, error) {
	var list []Manifest
	for hash != "" && len(list) < n {
		var m Manifest
		if err := l.document(ctx, hash, &m); err != nil {
			return nil, err
		}
		list = append(list, m)
		hash = m.Parent
	}
	return list, nil
}

// History returns up to n of the latest revisions, newest first, and at most maxHistory.
func (a *Acceptor) History(ctx context.Context, n int) ([]Manifest, error) {
	l := &loader{
		kv: a.KV,
	}
	latest, err := l.load(ctx)
	if err != nil {
		return nil, errs.WithOp(err, "Acceptor.History")
	}
	list, err := l.history(ctx, latest.head.Manifest, min(n, maxHistory))
	return list, errs.WithOp(err, "Acceptor.History")
}
