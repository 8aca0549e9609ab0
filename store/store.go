// Package store defines the interface to the platform's key-value service, with
// typed results. PutIdempotent handles the case that callers easily get wrong: a
// write that took effect although its response was lost.
//
// # Usage
//
//	e, err := kv.Get(ctx, "config/head")
//	if errors.Is(err, store.ErrNotFound) {
//		...
//	}
//	rev, err := store.PutIdempotent(ctx, kv, store.Write{Key: "claim/x", Value: v}, isOwn)
package store

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Revision is the service's revision number, which increases with every write.
// Zero stands for a key that does not exist. It holds the service's era in its high digits, so that a
// revision of a later era is higher than each of an earlier one, although the service issues the
// numbers again.
type Revision uint64

// LeaseID identifies a lease.
type LeaseID string

// MaxValueBytes is the size limit of a value, in bytes.
const MaxValueBytes = 1 << 20

// Entry is a key with its value.
type Entry struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Revision is the revision of the key's last write.
	Revision Revision `json:"revision"`
	// Deleted marks a deletion in a batch returned by Watch.
	Deleted bool `json:"deleted,omitempty"`
	// Written is the revision of a deleted key's last write; zero if it is not known.
	Written Revision `json:"written,omitempty"`
	// Rewound is set for a key that the first listing of an era lacks: it may have been lost with what was
	// written since the copy, and not deleted.
	Rewound bool `json:"rewound,omitempty"`
}

// Entries is a list of entries.
type Entries []Entry

// Batch is the result of a Watch or List call.
type Batch struct {
	Entries Entries `json:"entries"`
	// Revision is the service's revision up to which the batch is complete; the
	// next watch continues after it.
	Revision Revision `json:"revision"`
}

// Write is a compare-and-swap write.
type Write struct {
	Key   string
	Value []byte
	// Expect is the key's expected revision; zero creates the key.
	Expect Revision
	// Lease attaches the key to a lease: the key is deleted when the lease
	// expires. Empty means no lease.
	Lease LeaseID
}

// KV is a client of the platform's key-value service.
type KV interface {
	// Get returns the entry of key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries whose keys have the given prefix.
	List(ctx context.Context, prefix string) (Batch, error)
	// Put writes the value if the key is at revision w.Expect; otherwise it
	// returns a *ConflictError.
	Put(ctx context.Context, w Write) (Revision, error)
	// Delete deletes the key if it is at revision expect; otherwise it returns
	// a *ConflictError.
	Delete(ctx context.Context, key string, expect Revision) error
	// Watch waits up to wait for writes after revision after to keys with the
	// given prefix. An empty batch means that there were none. ErrCompacted
	// means that the service no longer holds that history, so that the caller
	// has to List again.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Batch, error)
	// Grant returns a lease that expires ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease, or returns ErrLeaseLost.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends a lease, and the service deletes the keys attached to it.
	Revoke(ctx context.Context, id LeaseID) error
}

// Errors returned by calls, besides *ConflictError. A write that fails with
// ErrAmbiguous, or with an error that is not listed here, may have taken effect;
// IsAmbiguous recognises only ErrAmbiguous.
var (
	ErrNotFound    = errors.New("key does not exist")
	ErrUnavailable = errors.New("key-value service is unavailable")
	ErrRateLimited = errors.New("key-value service rejected the call: rate limit exceeded")
	ErrTooLarge    = errors.New("value exceeds the size limit of the key-value service")
	ErrLeaseLost   = errors.New("lease has expired")
	ErrCompacted   = errors.New("revision has been compacted by the key-value service")
	ErrAmbiguous   = errors.New("call may have taken effect")
)

// ConflictError is returned for a write whose key is not at the expected revision.
type ConflictError struct {
	Key     string
	Current Revision
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision conflict: key %q is at revision %d", e.Key, e.Current)
}

// IsConflict reports whether err is a *ConflictError.
func IsConflict(err error) bool {
	var e *ConflictError
	return errors.As(err, &e)
}

// IsAmbiguous reports whether err is ErrAmbiguous: the write that failed with it may
// have taken effect.
func IsAmbiguous(err error) bool {
	return errors.Is(err, ErrAmbiguous)
}

// IsRefused reports whether the service was unavailable or rejected the call
// because of its rate limit. The call had no effect and may succeed later.
func IsRefused(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrRateLimited)
}

// PutIdempotent writes and, if the result is ambiguous or a conflict, reads the key
// back to find out whether the write took effect. isOwn reports whether an entry
// was written by this very write, which it recognises by an ID in the value. A
// conflict with an entry of its own counts as success too, because the write may
// have been retried after its first response was lost. After an ambiguous write, the
// error stays ambiguous if the read fails too or finds the key unchanged.
func PutIdempotent(ctx context.Context, kv KV, w Write, isOwn func(Entry) bool) (Revision, error) {
	rev, err := kv.Put(ctx, w)
	if err == nil {
		return rev, nil
	}
	if !IsAmbiguous(err) && !IsConflict(err) {
		return 0, err
	}
	e, readErr := kv.Get(ctx, w.Key)
	switch {
	case readErr == nil && isOwn(e):
		return e.Revision, nil
	case IsConflict(err):
		return 0, err
	case readErr == nil && e.Revision != w.Expect:
		return 0, &ConflictError{
			Key:     w.Key,
			Current: e.Revision,
		}
	default:
		// The write may still be in flight, so an unchanged key does not prove that
		// it failed.
		return 0, err
	}
}
