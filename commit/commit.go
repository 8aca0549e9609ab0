// Package commit commits configuration changes to the platform's key-value store and
// distributes the accepted configuration to every instance.
//
// The accepted state is a head, which is replaced by a single compare-and-swap. It
// references a manifest, and the manifest references one document for each contract
// and one for the desired state of the fleet. Manifests and documents are stored under
// the hash of their content, so that writes are idempotent and can be repeated after a
// lost response. Each manifest references its parent; the chain of manifests is the
// history.
//
// # Usage
//
//	a := &commit.Acceptor{KV: kv}
//	accepted, err := a.Accept(ctx, now, commit.Change{
//		ID:    id,
//		By:    "nadia",
//		Edits: commit.Edits{commit.PutContract{Contract: c}},
//	})
//
//	f := &commit.Follower{KV: kv}
//	go f.Run(ctx)
//	view := f.View()
package commit

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"currantstile/model"
	"currantstile/store"
)

// Keys in the store.
const (
	headKey    = "config/head"
	blobPrefix = "config/blob/"
)

// Revision is the number of an accepted configuration; it never decreases.
type Revision uint64

// Hash is the SHA-256 of a stored document, in hexadecimal digits.
type Hash string

// Head is the value that a compare-and-swap replaces to accept a change.
type Head struct {
	Revision Revision `json:"revision"`
	// ChangeID is the ID of the change that created the revision.
	ChangeID string `json:"change-id"`
	Manifest Hash   `json:"manifest"`
}

// ManifestContract references the document of one contract.
type ManifestContract struct {
	Organisation model.OrgID `json:"organisation"`
	Hash         Hash        `json:"hash"`
	// Revision is the revision in which this contract last changed.
	Revision Revision `json:"revision"`
}

// ManifestContracts is a list of contract references, sorted by organisation.
type ManifestContracts []ManifestContract

// Manifest describes a complete accepted configuration.
type Manifest struct {
	Revision  Revision          `json:"revision"`
	ChangeID  string            `json:"change-id"`
	By        string            `json:"by"`
	At        time.Time         `json:"at"`
	Summary   string            `json:"summary"`
	Parent    Hash              `json:"parent,omitempty"`
	Contracts ManifestContracts `json:"contracts"`
	Fleet     Hash              `json:"fleet,omitempty"`
}

// document is an encoded value that is stored under the hash of its content.
type document struct {
	hash Hash
	body []byte
}

func newDocument(v any) (document, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return document{}, err
	}
	sum := sha256.Sum256(body)
	return document{
		hash: Hash(hex.EncodeToString(sum[:])),
		body: body,
	}, nil
}

func (d document) write() store.Write {
	return store.Write{
		Key:   blobPrefix + string(d.hash),
		Value: d.body,
	}
}
