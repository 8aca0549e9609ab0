// Package store is what the project asks of the platform's key-value service:
// an interface with typed results. The one case that is easily got wrong, an
// answer lost after its write took effect, is handled here once: PutOwned.
//
// # Usage
//
//	e, err := kv.Get(ctx, "config/head")
//	if errors.Is(err, store.ErrNotFound) {
//		...
//	}
//	rev, err := store.PutOwned(ctx, kv, store.Write{Key: "claim/x", Value: v}, mine)
package store

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Revision orders all writes of the service; it only grows. Zero stands for a
// key that does not exist.
type Revision uint64

// LeaseID names a lease.
type LeaseID string

// MaxValueBytes is the largest value that the service takes.
const MaxValueBytes = 1 << 20

// Entry is one key with its value.
type Entry struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Revision is that of the key's last write.
	Revision Revision `json:"revision"`
	// Deleted marks a deletion in a watch's batch.
	Deleted bool `json:"deleted,omitempty"`
}

// Entries is a list of entries.
type Entries []Entry

// Batch is what a watch or a list brings.
type Batch struct {
	Entries Entries `json:"entries"`
	// Revision is the service's revision that the batch reaches; the next watch
	// continues after it.
	Revision Revision `json:"revision"`
}

// Write is a compare-and-swap write.
type Write struct {
	Key   string
	Value []byte
	// Expect is the key's revision that the write replaces; zero creates.
	Expect Revision
	// Lease deletes the key when the lease lapses.
	Lease LeaseID
}

// KV is the platform's key-value service.
type KV interface {
	// Get returns one entry, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries whose keys begin with prefix.
	List(ctx context.Context, prefix string) (Batch, error)
	// Put writes if the key is still at w.Expect, or else returns a
	// *ConflictError.
	Put(ctx context.Context, w Write) (Revision, error)
	// Delete deletes if the key is still at expect, or else returns a
	// *ConflictError.
	Delete(ctx context.Context, key string, expect Revision) error
	// Watch waits up to wait for writes after a revision to keys that begin
	// with prefix. An empty batch means that none came; ErrCompacted that the
	// service no longer holds them, so that a List is needed.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Batch, error)
	// Grant returns a lease that lapses ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease, or returns ErrLeaseLost.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}

// Results of calls. Any other error of a write means that it may have taken
// effect: see Ambiguous.
var (
	ErrNotFound    = errors.New("key does not exist")
	ErrUnavailable = errors.New("key-value service is unavailable")
	ErrRateLimited = errors.New("key-value service refuses calls above its rate")
	ErrTooLarge    = errors.New("value is larger than the key-value service takes")
	ErrLeaseLost   = errors.New("lease has lapsed")
	ErrCompacted   = errors.New("key-value service no longer holds that revision")
	ErrAmbiguous   = errors.New("call may have taken effect")
)

// ConflictError is a write that found its key at another revision.
type ConflictError struct {
	Key     string
	Current Revision
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q is at revision %d", e.Key, e.Current)
}

// IsConflict reports whether err is a *ConflictError.
func IsConflict(err error) bool {
	var e *ConflictError
	return errors.As(err, &e)
}

// IsAmbiguous reports whether a write that returned err may have taken effect.
func IsAmbiguous(err error) bool {
	return errors.Is(err, ErrAmbiguous)
}

// IsRefused reports whether the service itself turned the call away, so that it
// took no effect and later calls may succeed.
func IsRefused(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrRateLimited)
}

// PutIdempotent writes and settles a lost answer by reading the key back: mine tells
// whether an entry is the very write that was sent, by an id inside its value.
// A conflict with an entry that is mine counts as success too, because the
// first answer of a repeated write may have been lost. The error is ambiguous
// only where the read fails as well.
func PutIdempotent(ctx context.Context, kv KV, w Write, mine func(Entry) bool) (Revision, error) {
	rev, err := kv.Put(ctx, w)
	if err == nil {
		return rev, nil
	}
	if !IsAmbiguous(err) && !IsConflict(err) {
		return 0, err
	}
	e, readErr := kv.Get(ctx, w.Key)
	switch {
	case readErr == nil && mine(e):
		return e.Revision, nil
	case IsConflict(err):
		return 0, err
	case readErr == nil && e.Revision != w.Expect:
		return 0, &ConflictError{
			Key:     w.Key,
			Current: e.Revision,
		}
	default:
		// The write may still be on its way: a key that looks untouched proves
		// nothing.
		return 0, err
	}
}
