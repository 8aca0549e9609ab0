// Package feed follows the keys under a prefix of the platform's store: it lists
// them once, then watches. A lost history, a lost answer and an outage end in a
// new listing or a new watch; what was known meanwhile stays.
//
// # Usage
//
//	f := &feed.Follower{KV: kv, Prefix: "servers/", Apply: apply}
//	go f.Run(ctx)
package feed

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"currantstile/clock"
	"currantstile/store"
)

const (
	// watchWait is how long one watch waits for changes.
	watchWait = 10 * time.Second
	// gatherPause is left between two watches, so that a series of changes costs
	// one call and not one each.
	gatherPause = 100 * time.Millisecond
	// minRetry and maxRetry bound the pause after a failed call.
	minRetry = 100 * time.Millisecond
	maxRetry = 800 * time.Millisecond
)

// Change is one key that was written or deleted.
type Change struct {
	Entry store.Entry
	// Listed marks a change that comes from a listing and not from a watch.
	Listed bool
}

// Follower follows one prefix. Its exported fields are set before Run.
type Follower struct {
	KV     store.KV
	Prefix string
	// Apply takes in changes, in order. It is called by one goroutine.
	Apply func(now time.Time, changes []Change)
	// Health is told of each call's success or failure; it may be nil.
	Health *Health
	Log    log.Logger

	known    map[string]store.Revision
	revision store.Revision
	listed   atomic.Bool
}

// Listed reports whether the prefix was read at least once.
func (f *Follower) Listed() bool {
	return f.listed.Load()
}

// Run follows the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	retry := minRetry
	for ctx.Err() == nil {
		err := f.step(ctx)
		f.Health.note(time.Now(), err)
		pause := gatherPause
		switch {
		case err == nil:
			retry = minRetry
		case errors.Is(err, store.ErrCompacted):
			f.Log.Info().Msgf("feed: history of %s is gone; listing again", f.Prefix)
			f.revision = 0
			pause = 0
		default:
			if retry == minRetry && ctx.Err() == nil {
				f.Log.Warn().Err(err).Msgf("feed: %s cannot be followed; keeping what is known", f.Prefix)
			}
			pause = retry
			retry = min(2*retry, maxRetry)
		}
		clock.Sleep(ctx, pause)
	}
}

func (f *Follower) step(ctx context.Context) error {
	if f.revision == 0 {
		return f.list(ctx)
	}
	b, err := f.KV.Watch(ctx, f.Prefix, f.revision, watchWait)
	if err != nil {
		return err
	}
	changes := make([]Change, 0, len(b.Entries))
	for _, e := range b.Entries {
		if !strings.HasPrefix(e.Key, f.Prefix) || e.Revision <= f.known[e.Key] {
			continue
		}
		f.remember(e)
		changes = append(changes, Change{
			Entry: e,
		})
	}
	f.revision = max(f.revision, b.Revision)
	if len(changes) > 0 {
		f.Apply(time.Now(), changes)
	}
	return nil
}

func (f *Follower) remember(e store.Entry) {
	if e.Deleted {
		delete(f.known, e.Key)
		return
	}
	f.known[e.Key] = e.Revision
}

// list reads all keys, and finds those that are gone since.
func (f *Follower) list(ctx context.Context) error {
	b, err := f.KV.List(ctx, f.Prefix)
	if err != nil {
		return err
	}
	before := f.known
	f.known = make(map[string]store.Revision, len(b.Entries))
	var changes []Change
	for _, e := range b.Entries {
		f.known[e.Key] = e.Revision
		if e.Revision > before[e.Key] {
			changes = append(changes, Change{
				Entry:  e,
				Listed: true,
			})
		}
		delete(before, e.Key)
	}
	for key := range before {
		changes = append(changes, Change{
			Entry: store.Entry{
				Key:      key,
				Revision: b.Revision,
				Deleted:  true,
			},
			Listed: true,
		})
	}
	f.revision = max(b.Revision, 1)
	f.Apply(time.Now(), changes)
	f.listed.Store(true)
	return nil
}

// Health is when the store was last reached and last missed. The zero value is
// ready for use, and a nil Health takes no notes.
type Health struct {
	reached atomic.Int64
	missed  atomic.Int64
}

func (h *Health) note(now time.Time, err error) {
	if err == nil || errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrNotFound) || store.IsConflict(err) {
		h.Reached(now)
		return
	}
	h.Missed(now)
}

// Reached notes an answer of the store.
func (h *Health) Reached(now time.Time) {
	if h != nil {
		h.reached.Store(now.UnixNano())
	}
}

// Missed notes a call that the store did not carry out.
func (h *Health) Missed(now time.Time) {
	if h != nil {
		h.missed.Store(now.UnixNano())
	}
}

// Away reports whether the store was last missed and not reached since.
func (h *Health) Away() bool {
	return h.missed.Load() > h.reached.Load()
}

// SinceMissed is how long ago the store was last missed.
func (h *Health) SinceMissed(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - h.missed.Load())
}

// LastReached is when the store last answered.
func (h *Health) LastReached() time.Time {
	return time.Unix(0, h.reached.Load())
}
