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
	// watchWait is how long one watch waits for changes.
	watchWait = 4 * time.Second
	// awayWait is how long one waits after a call that was not carried out.
	awayWait = 100 * time.Millisecond
	// DefaultPause is left between two watches.
	DefaultPause = 100 * time.Millisecond
	// minRetry and maxRetry bound the pause after a failed call.
	minRetry = 100 * time.Millisecond
	maxRetry = 800 * time.Millisecond
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
	// Pause is left between two watches, so that a series of changes costs one
	// call and not one each; DefaultPause if zero.
	Pause time.Duration
	// Readers is how many instances watch the prefix at the same time; 1 if zero.
	// What must not wait for a dead reader to be noticed has two.
	Readers int
	// Health is told of each call's success or failure; it may be nil.
	Health *Health
	Log    log.Logger

	hub   *Hub
	retry time.Duration

	mu    sync.Mutex
	known map[string]store.Entry
	// listed is set once the prefix was listed, until its history is lost.
	listed bool
	// revision is up to where the prefix is known, and material that of the last
	// change that said something new.
	revision store.Revision
	material store.Revision
	// behind is set when a change was missed that only the store can tell.
	behind bool
}

// Listed reports whether the prefix is known as a whole.
func (f *Follower) Listed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed
}

// Known returns a key as last seen.
func (f *Follower) Known(key string) (store.Entry, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.known[key]
	return e, ok
}

// step makes one call, and returns how long to wait before the next one.
func (f *Follower) step(ctx context.Context) time.Duration {
	var err error
	if f.Listed() {
		err = f.watch(ctx)
	} else {
		err = f.list(ctx)
	}
	f.Health.Note(time.Now(), err)
	switch {
	case err == nil:
		f.retry = minRetry
		if f.Pause == 0 {
			return DefaultPause
		}
		return f.Pause
	case errors.Is(err, store.ErrCompacted):
		f.Log.Info().Msgf("feed: history of %s is gone; listing again", f.Prefix)
		f.mu.Lock()
		f.listed = false
		f.mu.Unlock()
		return 0
	default:
		if f.retry <= minRetry && ctx.Err() == nil {
			f.Log.Warn().Err(err).Msgf("feed: %s cannot be followed; keeping what is known", f.Prefix)
		}
		pause := max(f.retry, minRetry)
		f.retry = min(2*pause, maxRetry)
		return pause
	}
}

func (f *Follower) watch(ctx context.Context) error {
	f.mu.Lock()
	after := f.revision
	f.mu.Unlock()
	wait := watchWait
	if f.Health.Away() {
		// The answer is to tell soon whether the store is back.
		wait = awayWait
	}
	b, err := f.KV.Watch(ctx, f.Prefix, after, wait)
	if err != nil {
		return err
	}
	f.take(b.Entries, max(after, b.Revision), false)
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
	for key := range f.known {
		if !listed[key] {
			entries = append(entries, store.Entry{
				Key:      key,
				Revision: b.Revision,
				Deleted:  true,
			})
		}
	}
	f.mu.Unlock()
	f.take(entries, b.Revision, true)
	return nil
}

// take applies what is new in entries that reach up to a revision, and tells the
// other instances.
func (f *Follower) take(entries store.Entries, upTo store.Revision, listed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before, first := f.material, !f.listed
	fresh := f.apply(entries)
	f.revision = max(f.revision, upTo)
	f.behind = false
	f.listed = f.listed || listed
	if len(fresh) == 0 && !listed {
		return
	}
	initial := first && before == 0
	f.material = max(f.material, upTo)
	// A first listing is no change: the others have their own.
	if f.hub != nil && len(fresh) > 0 && !initial {
		f.hub.push(Part{
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
	if f.known == nil {
		f.known = make(map[string]store.Entry)
	}
	var changes []Change
	var fresh store.Entries
	for _, e := range entries {
		old, ok := f.known[e.Key]
		if !strings.HasPrefix(e.Key, f.Prefix) || ok && e.Revision <= old.Revision || !ok && e.Deleted {
			continue
		}
		if e.Deleted {
			delete(f.known, e.Key)
		} else {
			f.known[e.Key] = e
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
func (f *Follower) receive(p Part) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.listed || p.Before > f.revision {
		f.behind = true
		return false
	}
	f.apply(p.Entries)
	f.revision = max(f.revision, p.UpTo)
	if len(p.Entries) > 0 {
		f.material = max(f.material, p.UpTo)
	}
	return true
}

// mark is where the prefix stands, for an instance that may have missed a change.
func (f *Follower) mark() Part {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Part{
		Prefix: f.Prefix,
		Before: f.material,
		UpTo:   f.revision,
	}
}

// needsStore reports whether the store has to be asked in any case.
func (f *Follower) needsStore() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.listed || f.behind
}
