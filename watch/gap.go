package watch

import (
	"context"
	"slices"
	"time"

	"currantstile/clock"
	"currantstile/store"
)

const (
	// gapDelay is how long an instance waits for a message that another one has
	// overtaken before it asks for the missing changes, and how long it waits between
	// two requests.
	gapDelay = 60 * time.Millisecond
	// maxGapTime is how long changes may be missing before the prefix is read from the
	// store. Together with the takeover of a failed reader it stays below the two
	// seconds within which a change must be in force.
	maxGapTime = 400 * time.Millisecond
	// maxHeldUpdates bounds the updates that are held back until earlier ones arrive.
	maxHeldUpdates = 64
	// maxDeletions bounds the deletions that are kept for instances that missed them.
	maxDeletions = 2048
	// gapCheckInterval is the interval between two checks for missing changes.
	gapCheckInterval = 30 * time.Millisecond
)

// ChangesArgs asks an instance for the changes of a prefix after a revision.
type ChangesArgs struct {
	Prefix string
	After  store.Revision
}

// ChangesReply carries the changes. Known is false if the instance cannot tell what has
// changed since then.
type ChangesReply struct {
	Known  bool
	Update PrefixUpdate
}

// gap describes missing changes.
type gap struct {
	since time.Time
	// askedAt is when the changes were last requested from another instance.
	askedAt time.Time
	// source is the instance that has the changes, up to the revision needed.
	source string
	needed store.Revision
}

// holdUpdate keeps an update that needs earlier changes, until they arrive. The caller
// holds mu.
func (f *Follower) holdUpdate(now time.Time, p PrefixUpdate, source string) {
	if f.missing == nil {
		f.missing = &gap{
			since: now,
		}
	}
	f.missing.source = source
	f.missing.needed = max(f.missing.needed, p.Before)
	if len(p.Entries) > 0 && len(f.held) < maxHeldUpdates {
		f.held = append(f.held, p)
	}
}

// applyHeld applies the updates that were held back and whose earlier changes are known
// now. The caller holds mu.
func (f *Follower) applyHeld() {
	slices.SortFunc(f.held, func(a, b PrefixUpdate) int {
		return int(int64(a.Before) - int64(b.Before))
	})
	for len(f.held) > 0 && f.held[0].Before <= f.revision {
		p := f.held[0]
		f.held = f.held[1:]
		f.applyUpdate(p)
	}
	if f.missing != nil && f.revision >= f.missing.needed {
		f.missing = nil
	}
}

// applyUpdate applies an update that continues the known changes. Entries that are
// already known are skipped: an older write must not bring back a key deleted since.
// The caller holds mu.
func (f *Follower) applyUpdate(p PrefixUpdate) {
	fresh := make(store.Entries, 0, len(p.Entries))
	for _, e := range p.Entries {
		if e.Revision > f.revision {
			fresh = append(fresh, e)
		}
	}
	f.apply(fresh)
	f.revision = max(f.revision, p.UpTo)
	if len(p.Entries) > 0 {
		f.changeRevision = max(f.changeRevision, p.UpTo)
	}
}

// missingFrom returns the instance to ask for missing changes now, and the revision after
// which they are missing. It gives up after maxGapTime: the prefix is then read from the
// store.
func (f *Follower) missingFrom(now time.Time) (source string, after store.Revision, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.missing == nil || f.missedChange:
		return "", 0, false
	case now.Sub(f.missing.since) >= maxGapTime:
		f.missedChange = true
		f.Log.Info().Str("instance", f.missing.source).Uint64("needed", uint64(f.missing.needed)).Uint64("known", uint64(f.revision)).
			Dur("age", now.Sub(f.missing.since)).Msgf("feed: missing changes of %s not received; reading them from the store", f.Prefix)
		return "", 0, false
	case now.Sub(f.missing.since) < gapDelay || now.Sub(f.missing.askedAt) < gapDelay:
		return "", 0, false
	}
	f.missing.askedAt = now
	return f.missing.source, f.revision, true
}

// Changes returns the changes of a prefix after a revision, for another instance.
func (h *Hub) Changes(args ChangesArgs) ChangesReply {
	for _, f := range h.Followers {
		if f.Prefix == args.Prefix {
			p, ok := f.changesAfter(args.After)
			m := Message{
				Parts: []PrefixUpdate{p},
			}
			if err := m.pack(); err != nil {
				h.Log.Error().Err(err).Msg("feed: changes not compressed; sending them as they are")
			}
			return ChangesReply{
				Known:  ok,
				Update: m.Parts[0],
			}
		}
	}
	return ChangesReply{}
}

// changesAfter returns the changes after a revision. It reports false if deletions since
// then may have been forgotten.
func (f *Follower) changesAfter(after store.Revision) (PrefixUpdate, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.listed || after < f.deletionsFrom || f.revision <= after {
		return PrefixUpdate{}, false
	}
	p := PrefixUpdate{
		Prefix: f.Prefix,
		Before: after,
		UpTo:   f.revision,
	}
	for key, at := range f.changedAt {
		if at > after {
			p.Entries = append(p.Entries, f.entries[key])
		}
	}
	for key, at := range f.deletions {
		if at > after {
			p.Entries = append(p.Entries, store.Entry{
				Key:      key,
				Revision: at,
				Deleted:  true,
			})
		}
	}
	slices.SortFunc(p.Entries, func(a, b store.Entry) int {
		return int(int64(a.Revision) - int64(b.Revision))
	})
	return p, true
}

// recordChange remembers a change for changesAfter. The caller holds mu.
func (f *Follower) recordChange(e store.Entry) {
	if f.changedAt == nil {
		f.changedAt = make(map[string]store.Revision)
		f.deletions = make(map[string]store.Revision)
	}
	if !e.Deleted {
		f.changedAt[e.Key] = e.Revision
		delete(f.deletions, e.Key)
		return
	}
	delete(f.changedAt, e.Key)
	if len(f.deletions) >= maxDeletions {
		clear(f.deletions)
		f.deletionsFrom = e.Revision
	}
	f.deletions[e.Key] = e.Revision
}

// fillGaps asks other instances for missing changes until ctx is done.
func (h *Hub) fillGaps(ctx context.Context) {
	for clock.Sleep(ctx, gapCheckInterval) {
		for _, f := range h.Followers {
			if source, after, ok := f.missingFrom(time.Now()); ok {
				go h.requestChanges(ctx, f, source, after)
			}
		}
	}
}

// requestChanges asks an instance for the changes of a prefix after a revision and
// applies them.
func (h *Hub) requestChanges(ctx context.Context, f *Follower, source string, after store.Revision) {
	for _, p := range h.Peers() {
		if p.Name != source {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, sendTimeout)
		defer cancel()
		reply, err := h.Fetch(ctx, p, ChangesArgs{
			Prefix: f.Prefix,
			After:  after,
		})
		if err != nil {
			h.Log.Info().Err(err).Str("instance", source).Msgf("feed: missing changes of %s not received; reading them from the store later", f.Prefix)
			return
		}
		if !reply.Known {
			return
		}
		update, err := reply.Update.unpacked()
		if err != nil {
			h.Log.Warn().Err(err).Str("instance", source).Msg("feed: invalid update; ignoring it")
			return
		}
		f.receive(time.Now(), update, source)
		return
	}
}
