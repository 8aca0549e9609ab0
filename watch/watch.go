// Package watch follows the keys under prefixes of the platform's store. One
// instance, the reader, lists and watches them and tells the others what has
// changed; the others watch themselves only while they hear of no reader. So the
// calls of the store do not grow with the fleet, and an instance that the store
// turns away still learns of changes.
//
// A lost history, a lost answer and an outage end in a new listing or a new watch;
// what was known meanwhile stays.
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
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"currantstile/store"
)

const (
	// watchTimeout is how long one watch waits for changes.
	watchTimeout = 4 * time.Second
	// probeWatchTimeout is how long one waits after a call that was not carried out.
	probeWatchTimeout = 100 * time.Millisecond
	// DefaultWatchDelay is left between two watches.
	DefaultWatchDelay = 100 * time.Millisecond
	// minRetryDelay and maxRetry bound the pause after a failed call.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
)

// Change is one key that was written or deleted.
type Change struct {
	Entry store.Entry
}

// Follower follows one prefix. Its exported fields are set before Run.
type Follower struct {
	KV     store.KV
	Prefix string
	// Apply takes in changes, in order. Calls do not overlap.
	Apply func(now time.Time, changes []Change)
	// Same reports whether a new value says nothing new; such a change is not
	// applied. Nil takes every change for new.
	Same func(before, after []byte) bool
	// WatchDelay is left between two watches, so that a series of changes costs one
	// call and not one each; DefaultPause if zero.
	WatchDelay time.Duration
	// Readers is how many instances watch the prefix at the same time; 1 if zero.
	// What must not wait for a dead reader to be noticed has two.
	Readers int
	// Health is told of each call's success or failure; it may be nil.
	Health *Health
	Log    log.Logger

	hub        *Hub
	retryDelay time.Duration

	mu      sync.Mutex
	entries map[string]store.Entry
	// listed is set once the prefix was listed, until its history is lost.
	listed bool
	// revision is up to where the prefix is known, and material that of the last
	// change that said something new.
	revision       store.Revision
	changeRevision store.Revision
	// missedChange is set when a change was missed that only the store can tell.
	missedChange bool
}

// Listed reports whether the prefix is known as a whole.
func (f *Follower) Listed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed
}

// Lookup returns a key as last seen.
func (f *Follower) Lookup(key string) (store.Entry, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.entries[key]
	return e, ok
}

// poll makes one call, and returns how long to wait before the next one.
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
		f.Log.Info().Msgf("feed: history of %s is gone; listing again", f.Prefix)
		f.mu.Lock()
		f.listed = false
		f.mu.Unlock()
		return 0
	default:
		if f.retryDelay <= minRetryDelay && ctx.Err() == nil {
			f.Log.Warn().Err(err).Msgf("feed: %s cannot be followed; keeping what is known", f.Prefix)
		}
		pause := max(f.retryDelay, minRetryDelay)
		f.retryDelay = min(2*pause, maxRetryDelay)
		return pause
	}
}

func (f *Follower) watch(ctx context.Context) error {
	f.mu.Lock()
	after := f.revision
	f.mu.Unlock()
	wait := watchTimeout
	if f.Health.Unavailable() {
		// The answer is to tell soon whether the store is back.
		wait = probeWatchTimeout
	}
	b, err := f.KV.Watch(ctx, f.Prefix, after, wait)
	if err != nil {
		return err
	}
	f.update(b.Entries, max(after, b.Revision), false)
	return nil
}

// list reads all keys, and finds those that are gone since.
func (f *Follower) list(ctx context.Context) error {
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
	return nil
}

// update applies what is new in entries that reach up to a revision, and tells the
// other instances.
func (f *Follower) update(entries store.Entries, upTo store.Revision, listed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before, first := f.changeRevision, !f.listed
	fresh := f.apply(entries)
	f.revision = max(f.revision, upTo)
	f.missedChange = false
	f.listed = f.listed || listed
	if len(fresh) == 0 && !listed {
		return
	}
	initial := first && before == 0
	f.changeRevision = max(f.changeRevision, upTo)
	// A first listing is no change: the others have their own.
	if f.hub != nil && len(fresh) > 0 && !initial {
		f.hub.enqueue(PrefixUpdate{
			Prefix:  f.Prefix,
			Before:  before,
			UpTo:    f.revision,
			Entries: fresh,
		})
	}
}

// apply remembers entries and applies those that say something new. The caller
// holds mu.
func (f *Follower) apply(entries store.Entries) store.Entries {
	if f.entries == nil {
		f.entries = make(map[string]store.Entry)
	}
	var changes []Change
	var fresh store.Entries
	for _, e := range entries {
		old, ok := f.entries[e.Key]
		if !strings.HasPrefix(e.Key, f.Prefix) || ok && e.Revision <= old.Revision || !ok && e.Deleted {
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
		fresh = append(fresh, e)
		changes = append(changes, Change{
			Entry: e,
		})
	}
	if len(changes) > 0 {
		f.Apply(time.Now(), changes)
	}
	return fresh
}

// receive takes in what a reader tells. It reports false if something was missed
// that only the store can tell.
func (f *Follower) receive(p PrefixUpdate) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.listed || p.Before > f.revision {
		f.missedChange = true
		return false
	}
	f.apply(p.Entries)
	f.revision = max(f.revision, p.UpTo)
	if len(p.Entries) > 0 {
		f.changeRevision = max(f.changeRevision, p.UpTo)
	}
	return true
}

// position is where the prefix stands, for an instance that may have missed a change.
func (f *Follower) position() PrefixUpdate {
	f.mu.Lock()
	defer f.mu.Unlock()
	return PrefixUpdate{
		Prefix: f.Prefix,
		Before: f.changeRevision,
		UpTo:   f.revision,
	}
}

// needsStore reports whether the store has to be asked in any case.
func (f *Follower) needsStore() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.listed || f.missedChange
}
