// Package watch follows the keys under prefixes of the platform's store. One
// instance, the store reader, lists and watches them and broadcasts the changes; the
// others watch the store themselves only while no messages of a reader arrive or after
// a missed change. The number of store calls therefore does not grow with the fleet, and
// an instance whose store calls are rejected still receives changes.
//
// After a compacted history, a lost response or an outage the prefix is listed or
// watched again; known entries are kept meanwhile.
//
// # Usage
//
//	f := &watch.Follower{KV: kv, Prefix: "servers/", Apply: apply}
//	h := &watch.Hub{Self: name, Followers: []*watch.Follower{f}, Peers: peers, Send: send, Health: health}
//	go h.Run(ctx)
package watch

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"currantstile/store"
)

const (
	// watchTimeout is how long one watch call waits for changes.
	watchTimeout = 4 * time.Second
	// probeWatchTimeout replaces watchTimeout after a failed call.
	probeWatchTimeout = 100 * time.Millisecond
	// DefaultWatchDelay is the default delay between two watch calls.
	DefaultWatchDelay = 100 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed call.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
)

// Change describes a key that was written or deleted.
type Change struct {
	Entry store.Entry
}

// Follower follows one prefix. Its exported fields must be set before Hub.Run.
type Follower struct {
	KV     store.KV
	Prefix string
	// Apply is called with the changes in order. Calls do not overlap.
	Apply func(now time.Time, changes []Change)
	// Same reports whether two values are equivalent; a change to an equivalent value
	// is not applied. If nil, every change is applied.
	Same func(before, after []byte) bool
	// WatchDelay is the delay between two watch calls, so that a series of changes
	// costs one call and not one each; DefaultWatchDelay if zero.
	WatchDelay time.Duration
	// Readers is the number of instances that watch the prefix at the same time; 1 if
	// zero. Prefixes whose changes must not wait for the detection of a failed store
	// reader have two.
	Readers int
	// Health records the result of each call; it may be nil.
	Health *Health
	// Deferred reports whether the first listing has to wait; nil means that it has not.
	Deferred func() bool
	Log      log.Logger

	hub        *Hub
	retryDelay time.Duration

	// listedOnce is set by the first listing. Unlike Listed it is read without mu.
	listedOnce atomic.Bool
	// listedAt is when the last complete listing was begun; nil before the first one.
	listedAt atomic.Pointer[time.Time]

	mu      sync.Mutex
	entries map[string]store.Entry
	// listed is true from the first listing until the store has compacted the history.
	listed bool
	// revision is the store revision up to which the prefix is known; changeRevision is
	// that of the last change that was not filtered by Same.
	revision       store.Revision
	changeRevision store.Revision
	// missedChange is true after a missed change, which has to be read from the store.
	missedChange bool
	// missing is set while changes are missing that other instances have, and held are
	// the updates that cannot be applied before them.
	missing *gap
	held    []PrefixUpdate
	// changedAt is the revision of the last change of each key that Same did not filter,
	// and deletions that of each deletion after deletionsFrom.
	changedAt     map[string]store.Revision
	deletions     map[string]store.Revision
	deletionsFrom store.Revision
}

// Listed reports whether the prefix has been listed completely.
func (f *Follower) Listed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed
}

// ListedOnce reports whether the prefix has ever been listed completely. Unlike Listed it
// may be called from Apply and from the functions of a Hub.
func (f *Follower) ListedOnce() bool {
	return f.listedOnce.Load()
}

// ListedWithin reports whether a complete listing was begun at most d ago.
func (f *Follower) ListedWithin(now time.Time, d time.Duration) bool {
	at := f.listedAt.Load()
	return at != nil && now.Sub(*at) <= d
}

// Lookup returns the last known entry of a key.
func (f *Follower) Lookup(key string) (store.Entry, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.entries[key]
	return e, ok
}

// poll makes one store call, and returns the delay before the next one.
func (f *Follower) poll(ctx context.Context) time.Duration {
	var err error
	if f.Listed() {
		err = f.watch(ctx)
	} else {
		err = f.list(ctx)
	}
	f.Health.RecordResult(time.Now(), err)
	switch {
	case err == nil:
		f.retryDelay = minRetryDelay
		if f.WatchDelay == 0 {
			return DefaultWatchDelay
		}
		return f.WatchDelay
	case errors.Is(err, store.ErrCompacted):
		f.Log.Info().Msgf("feed: history of %s was compacted; listing it again", f.Prefix)
		f.mu.Lock()
		f.listed = false
		f.mu.Unlock()
		return 0
	default:
		if f.retryDelay <= minRetryDelay && ctx.Err() == nil {
			f.Log.Warn().Err(err).Msgf("feed: following %s failed; keeping the known entries and retrying", f.Prefix)
		}
		pause := max(f.retryDelay, minRetryDelay)
		f.retryDelay = min(2*pause, maxRetryDelay)
		return pause
	}
}

// watch makes one watch call and applies the changes that it returns.
func (f *Follower) watch(ctx context.Context) error {
	f.mu.Lock()
	after := f.revision
	f.mu.Unlock()
	wait := watchTimeout
	if f.Health.Unavailable() {
		// A short wait shows soon whether the store is available again.
		wait = probeWatchTimeout
	}
	b, err := f.KV.Watch(ctx, f.Prefix, after, wait)
	if err != nil {
		return err
	}
	f.update(b.Entries, max(after, b.Revision), false)
	return nil
}

// list reads all keys, and adds a deletion for each known key that is not listed.
func (f *Follower) list(ctx context.Context) error {
	begun := time.Now()
	b, err := f.KV.List(ctx, f.Prefix)
	if err != nil {
		return err
	}
	entries := b.Entries
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
	}
	f.mu.Lock()
	for key := range f.entries {
		if !listed[key] {
			entries = append(entries, store.Entry{
				Key:      key,
				Revision: b.Revision,
				Deleted:  true,
			})
		}
	}
	f.mu.Unlock()
	f.update(entries, b.Revision, true)
	f.listedAt.Store(&begun)
	return nil
}

// update applies entries that bring the prefix up to a revision, and queues the
// changes among them for the other instances.
func (f *Follower) update(entries store.Entries, upTo store.Revision, listed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before, first := f.changeRevision, !f.listed
	changed := f.apply(entries)
	f.revision = max(f.revision, upTo)
	f.missedChange = false
	if listed {
		// Keys that were deleted before the listing are not known.
		f.deletionsFrom = max(f.deletionsFrom, upTo)
	}
	f.listed = f.listed || listed
	if listed {
		f.listedOnce.Store(true)
	}
	f.applyHeld()
	if len(changed) == 0 && !listed {
		return
	}
	initial := first && before == 0
	f.changeRevision = max(f.changeRevision, upTo)
	// The first listing is not broadcast: the other instances list the prefix themselves.
	if f.hub != nil && len(changed) > 0 && !initial {
		f.hub.enqueue(PrefixUpdate{
			Prefix:  f.Prefix,
			Before:  before,
			UpTo:    f.revision,
			Entries: changed,
		})
	}
}

// apply stores entries, applies those that are changes and returns them. The caller
// must hold mu.
func (f *Follower) apply(entries store.Entries) store.Entries {
	if f.entries == nil {
		f.entries = make(map[string]store.Entry)
	}
	var changes []Change
	var changed store.Entries
	for _, e := range entries {
		old, ok := f.entries[e.Key]
		if !strings.HasPrefix(e.Key, f.Prefix) || ok && e.Revision <= old.Revision || f.deletions[e.Key] >= e.Revision {
			continue
		}
		if !ok && e.Deleted {
			// Another instance may know the key, so the deletion is passed on.
			f.recordChange(e)
			changed = append(changed, e)
			continue
		}
		if e.Deleted {
			delete(f.entries, e.Key)
		} else {
			f.entries[e.Key] = e
		}
		if ok && !e.Deleted && f.Same != nil && f.Same(old.Value, e.Value) {
			continue
		}
		f.recordChange(e)
		changed = append(changed, e)
		changes = append(changes, Change{
			Entry: e,
		})
	}
	if len(changes) > 0 {
		f.Apply(time.Now(), changes)
	}
	return changed
}

// receive applies an update that the given instance sent. It returns false if changes
// before it are missing; the update is then held back until they arrive.
func (f *Follower) receive(now time.Time, p PrefixUpdate, source string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case !f.listed:
		if len(p.Entries) > 0 {
			f.Log.Info().Str("instance", source).Uint64("revision", uint64(p.UpTo)).Uint64("known", uint64(f.revision)).
				Msgf("feed: changes of %s not applied: the prefix has not been listed", f.Prefix)
		}
		f.missedChange = true
		return false
	case p.Before > f.revision:
		f.holdUpdate(now, p, source)
		return false
	}
	f.applyUpdate(p)
	f.applyHeld()
	return true
}

// position returns an update without entries, by which other instances detect that
// they have missed a change.
func (f *Follower) position() PrefixUpdate {
	f.mu.Lock()
	defer f.mu.Unlock()
	return PrefixUpdate{
		Prefix: f.Prefix,
		Before: f.changeRevision,
		UpTo:   f.revision,
	}
}

// needsStore reports whether the prefix must be read from the store regardless of role.
func (f *Follower) needsStore() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.listed || f.missedChange
}
