// Package watch follows the keys under prefixes of the platform's store. One
// instance, the store reader, lists and watches them and broadcasts the changes; the
// others watch the store themselves only while no messages of a reader arrive or after
// a missed change. The number of store calls therefore does not grow with the fleet, and
// an instance whose store calls are rejected still receives changes.
//
// After a compacted history, a lost response or an outage the prefix is listed or
// watched again; known entries are kept meanwhile. Whatever its own store calls do, an
// instance takes newer state from others, and asks them for it while it gets no messages.
//
// # Usage
//
//	f := &watch.Follower{KV: kv, Prefix: "servers/", Apply: apply}
//	h := &watch.Hub{Self: name, Followers: []*watch.Follower{f}, Peers: peers, Send: send, Health: health}
//	go h.Run(ctx)
package watch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"currantstile/errs"
	"currantstile/store"
)

const (
	// watchTimeout is how long one watch call waits for changes.
	watchTimeout = 4 * time.Second
	// coveredWatchTimeout replaces watchTimeout while the coverage shows a lost watch sooner.
	coveredWatchTimeout = 8 * time.Second
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
	// Entry is the new entry. If it has Rewound set, the key may be lost only.
	Entry store.Entry
	// Renewed is set for a deletion if the key was written after the store's return from its
	// last outage.
	Renewed bool
}

// Follower follows one prefix. Its exported fields must be set before Hub.Run.
type Follower struct {
	KV     store.KV
	Prefix string
	// Apply is called with the changes in order. Calls do not overlap. If one panics, its
	// changes are applied again one by one.
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
	// waited is set if the last watch returned no changes within its time. It belongs to poll.
	waited bool

	// listedOnce is set by the first listing. Unlike Listed it is read without mu.
	listedOnce atomic.Bool
	// era is that of the view's revision. It is read without mu.
	era atomic.Uint32
	// cancelWatch ends the watch call that is under way, and interrupted is set by that.
	cancelWatch atomic.Pointer[context.CancelFunc]
	interrupted atomic.Bool
	// short is set if the next watch has to return soon, with what is known to be missing or without changes.
	short atomic.Bool
	// knownTo is the revision up to which changes have been applied. It is read without mu.
	knownTo atomic.Uint64
	// listedAt is when the last complete listing was begun; nil before the first one.
	listedAt atomic.Pointer[time.Time]

	mu   sync.Mutex
	view view
	// heardAt is when the prefix was last known up to date, and returned the revision that was
	// known first after the last outage.
	heardAt  time.Time
	returned store.Revision
}

// Listed reports whether all keys of the prefix are known up to some revision.
func (f *Follower) Listed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.complete
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
	e, ok := f.view.entries[key]
	return e, ok
}

// poll makes one store call, and returns the delay before the next one.
func (f *Follower) poll(ctx context.Context) time.Duration {
	f.mu.Lock()
	if f.hub != nil && f.view.revision.Era() < f.hub.knownEra() {
		f.view.loseHistory(f.view.revision)
	}
	canWatch, after := f.view.announces(), f.view.revision
	f.mu.Unlock()
	var err error
	f.waited = false
	if canWatch {
		err = f.watch(ctx)
	} else {
		err = f.list(ctx)
	}
	if err != nil && f.interrupted.Swap(false) {
		return 0
	}
	f.Health.RecordResult(time.Now(), err)
	switch {
	case err == nil:
		f.retryDelay = minRetryDelay
		if f.waited {
			// No series of changes is under way.
			return 0
		}
		return f.watchDelay()
	case errors.Is(err, store.ErrCompacted):
		f.Log.Info().Msgf("feed: history of %s was compacted; listing it again", f.Prefix)
		f.mu.Lock()
		f.view.loseHistory(after)
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

// watchDelay returns the delay between two watch calls.
func (f *Follower) watchDelay() time.Duration {
	if f.WatchDelay == 0 {
		return DefaultWatchDelay
	}
	return f.WatchDelay
}

// watch makes one watch call and applies the changes that it returns.
func (f *Follower) watch(ctx context.Context) error {
	f.mu.Lock()
	after := f.view.revision
	f.mu.Unlock()
	wait := watchTimeout
	if f.hub != nil && f.hub.inSync(time.Now()) {
		wait = coveredWatchTimeout
	}
	if f.short.Swap(false) || f.Health.Unavailable() {
		// A short wait shows soon whether the store is available again.
		wait = probeWatchTimeout
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.cancelWatch.Store(&cancel)
	defer f.cancelWatch.Store(nil)
	sent := time.Now()
	b, err := f.KV.Watch(ctx, f.Prefix, after, wait)
	if err != nil {
		return err
	}
	f.interrupted.Store(false)
	f.waited = len(b.Entries) == 0 && time.Since(sent) >= wait
	if f.waited {
		// The store has waited before it responded.
		sent = sent.Add(wait)
	}
	f.update(b.Entries, max(after, b.Revision), false)
	f.cover(sent, b, f.batchDelay())
	return nil
}

// cancelWaiting ends the watch call that is under way. It reports false if there is none.
func (f *Follower) cancelWaiting() bool {
	cancel := f.cancelWatch.Load()
	if cancel == nil {
		return false
	}
	f.interrupted.Store(true)
	(*cancel)()
	return true
}

// list reads all keys.
func (f *Follower) list(ctx context.Context) error {
	begun := time.Now()
	b, err := f.KV.List(ctx, f.Prefix)
	if err != nil {
		return err
	}
	f.update(b.Entries, b.Revision, true)
	f.cover(begun, b, f.batchDelay())
	f.listedAt.Store(&begun)
	return nil
}

// update applies entries that the store returned, and queues the changes among them for the
// other instances.
func (f *Follower) update(entries store.Entries, upTo store.Revision, listed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	before := f.known().revision
	changes, update := f.known().read(entries, upTo, listed)
	f.noteEra(now, before, upTo)
	f.describe(now, upTo, changes)
	f.applyChanges(now, changes)
	if update != nil && f.hub != nil {
		f.hub.enqueue(*update)
	}
}

// noteEra records the era of the view, and tells the hub of a revision that was heard of. The caller must
// hold mu.
func (f *Follower) noteEra(now time.Time, before, heard store.Revision) {
	f.era.Store(uint32(f.view.revision.Era()))
	if f.hub != nil {
		f.hub.raiseEra(now, before, heard)
	}
}

// describe records that the prefix is known up to a revision, and adds to its changes what is known of
// them. The caller must hold mu.
func (f *Follower) describe(now time.Time, upTo store.Revision, changes []Change) {
	if f.hub != nil && f.hub.LastOutage().After(f.heardAt) {
		f.returned = upTo
	}
	for i := range changes {
		c := &changes[i]
		c.Renewed = c.Entry.Deleted && !c.Entry.Rewound && c.Entry.Written > f.returned
	}
	f.heardAt = now
}

// known returns the view. The caller must hold mu.
func (f *Follower) known() *view {
	f.view.prefix, f.view.same = f.Prefix, f.Same
	return &f.view
}

// applyChanges passes changes on to Apply. The caller must hold mu.
func (f *Follower) applyChanges(now time.Time, changes []Change) {
	if f.view.complete {
		f.listedOnce.Store(true)
	}
	if len(changes) > 0 && !f.tryApply(now, changes) {
		// One entry that can't be applied must not keep the others back.
		for _, c := range changes {
			f.tryApply(now, []Change{c})
		}
	}
	if f.view.complete {
		// Not before Apply has returned: others take what is known for what is in force.
		f.knownTo.Store(uint64(f.view.revision))
	}
}

// tryApply calls Apply. It reports false if that panics.
func (f *Follower) tryApply(now time.Time, changes []Change) bool {
	var err error
	func() {
		defer errs.Recover("Follower.Apply", &err)
		f.Apply(now, changes)
	}()
	if err != nil {
		f.Log.Error().Err(err).Str("key", changes[0].Entry.Key).Int("entries", len(changes)).Msg("feed: entries could not be applied")
	}
	return err == nil
}

// receive applies an update from another instance. It returns false if changes before it are
// missing; the sources are the instances to ask for them.
func (f *Follower) receive(now time.Time, p PrefixUpdate, sources ...string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.known().revision
	changes, ok := f.known().receive(now, p, sources...)
	f.noteEra(now, before, p.UpTo)
	// A position that is known already does not show when the sender read it.
	if f.view.revision > before {
		f.describe(now, f.view.revision, changes)
	}
	f.applyChanges(now, changes)
	return ok
}

// missingFrom returns the instance to ask for missing changes now, and the revision after which
// they are missing.
func (f *Follower) missingFrom(now time.Time) (source string, after store.Revision, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.known()
	if v.missing != nil && !v.missing.reported && v.needsStore(now) {
		v.missing.reported = true
		f.Log.Info().Strs("instances", v.missing.sources).Uint64("needed", uint64(v.missing.needed)).Uint64("known", uint64(v.revision)).
			Dur("age", now.Sub(v.missing.since)).Bool("listed", v.complete).Msgf("feed: missing changes of %s not received; reading them from the store as well", f.Prefix)
	}
	return v.ask(now)
}

// changesAfter returns what this instance knows of the prefix beyond a revision. It reports
// false if that is nothing.
func (f *Follower) changesAfter(after store.Revision) (PrefixUpdate, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known().changesAfter(after)
}

// position returns an update without entries, by which other instances detect that
// they have missed a change. It reports false if this instance does not know the prefix up to
// date with the store.
func (f *Follower) position() (PrefixUpdate, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known().position(), f.view.announces()
}

// revision returns the revision up to which the prefix is known.
func (f *Follower) revision() store.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.revision
}

// needsStore reports whether the prefix must be read from the store regardless of role.
func (f *Follower) needsStore(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.needsStore(now)
}
