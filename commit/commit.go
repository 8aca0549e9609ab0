// Package commit accepts changes of the configuration into the platform's
// key-value service and brings the accepted configuration to every instance.
//
// The accepted state is a head that one compare-and-swap replaces. It names a
// manifest, and the manifest names one document for each contract and one for
// the fleet's intent. Manifests and documents are stored under the hash of
// their content, so that writing one twice changes nothing and a lost answer
// does no harm. Each manifest names its parent, which is the history.
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

// Revision counts the accepted configurations; it never goes down.
type Revision uint64

// Hash is the SHA-256 of a stored document, in hexadecimal digits.
type Hash string

// Head is the value that a compare-and-swap replaces to accept a change.
type Head struct {
	Revision Revision `json:"revision"`
	// ChangeID is that of the change that made the revision.
	ChangeID string `json:"change-id"`
	Manifest Hash   `json:"manifest"`
}

// ManifestContract names the document of one contract.
type ManifestContract struct {
	Organisation model.OrgID `json:"organisation"`
	Hash         Hash        `json:"hash"`
	// Revision is the one at which this contract last changed.
	Revision Revision `json:"revision"`
}

// ManifestContracts is sorted by organisation.
type ManifestContracts []ManifestContract

// Manifest is one whole accepted configuration.
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

// document is something stored under the hash of its content.
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
