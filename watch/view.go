package watch

import (
	"slices"
	"strings"
	"time"

	"currantstile/store"
)

const (
	// gapDelay is how long an instance waits for a message that another one has
	// overtaken before it asks for the missing changes, and how long it waits between
	// two requests.
	gapDelay = 60 * time.Millisecond
	// maxGapTime is how long changes may be missing before the prefix is read from the
	// store as well. Together with the takeover of a failed reader it stays below the two
	// seconds within which a change must be in force.
	maxGapTime = 400 * time.Millisecond
	// lateGapDelay replaces gapDelay after maxGapTime.
	lateGapDelay = 250 * time.Millisecond
	// maxHeldUpdates bounds the updates that are held back until earlier ones arrive.
	maxHeldUpdates = 64
	// maxDeletions bounds the deletions that are kept for instances that missed them.
	maxDeletions = 2048
)

// view is what an instance knows of a prefix, and the evidence for it. Its methods decide
// and do no input or output. A view never goes back: an entry is replaced by newer ones only.
type view struct {
	prefix string
	// same reports whether a change needs not be applied; it may be nil.
	same    func(before, after []byte) bool
	entries map[string]store.Entry
	// complete is set once all keys up to revision are known, by a listing of the store or from
	// another instance.
	complete bool
	// lost is set while the store no longer has the changes after revision and no other
	// instance has confirmed the view since.
	lost bool
	// revision is the store revision up to which the prefix is known; changeRevision is
	// that of the last change that was not filtered by same.
	revision       store.Revision
	changeRevision store.Revision
	// missing is set while changes are missing that other instances have, and held are
	// the updates that cannot be applied before them.
	missing *gap
	held    []PrefixUpdate
	// changedAt is the revision of the last change of each key that same did not filter,
	// and deletions that of each deletion after deletionsFrom.
	changedAt     map[string]store.Revision
	deletions     map[string]store.Revision
	deletionsFrom store.Revision
}

// gap describes missing changes.
type gap struct {
	since time.Time
	// askedAt is when the changes were last requested from another instance, and asked how often.
	askedAt time.Time
	asked   int
	// sources are the instances that may have the changes, up to the revision needed.
	sources []string
	needed  store.Revision
	// reported is set once the gap has been logged.
	reported bool
}

// read applies entries that the store returned and that bring the prefix up to a revision: all of
// the prefix if listed is set, or those changed since the revision that is known. It
// returns the changes to apply, and the update for the other instances if there is any.
func (v *view) read(entries store.Entries, upTo store.Revision, listed bool) (changes []Change, update *PrefixUpdate) {
	switch {
	case upTo.Era() < v.revision.Era():
		// The call was under way when the store returned from a copy.
		return nil, nil
	case !listed && upTo.Era() > v.revision.Era():
		v.loseHistory(v.revision)
		return nil, nil
	}
	before, known, initial := v.changeRevision, v.revision, !v.complete && v.changeRevision == 0
	if listed {
		entries = v.withDeletions(entries, upTo)
	}
	changes, changed := v.apply(entries)
	v.revision = max(v.revision, upTo)
	v.lost = false
	if listed {
		v.setComplete(upTo)
	}
	changes = append(changes, v.applyHeld()...)
	if len(changed) == 0 && !listed {
		return changes, nil
	}
	v.changeRevision = max(v.changeRevision, upTo)
	// The first listing is not broadcast: the other instances list the prefix themselves.
	if len(changed) == 0 || initial {
		return changes, nil
	}
	return changes, &PrefixUpdate{
		Prefix:  v.prefix,
		Before:  before,
		UpTo:    max(upTo, known),
		Entries: changed,
		Listed:  listed,
		Known:   known,
	}
}

// loseHistory records that the store no longer has the changes after a revision.
func (v *view) loseHistory(after store.Revision) {
	// Other instances may have brought the view up to a later revision meanwhile.
	v.lost = v.lost || v.revision <= after
}

// receive applies an update from another instance. It returns false if changes before it are
// missing; the update is then held back until they arrive. The sources are the instances that
// may have them.
func (v *view) receive(now time.Time, p PrefixUpdate, sources ...string) (changes []Change, ok bool) {
	if v.complete && p.UpTo < v.revision {
		return nil, true
	}
	if !v.follows(p) {
		v.hold(now, p, sources)
		return nil, false
	}
	changes = v.applyUpdate(p)
	return append(changes, v.applyHeld()...), true
}

// follows reports whether an update can be applied to what is known. A listing shows no keys that
// were written and deleted after its sender's last revision, which this instance may hold if it
// knows a later one.
func (v *view) follows(p PrefixUpdate) bool {
	return p.Complete || v.complete && p.Before <= v.revision && (!p.Listed || max(v.revision, v.changeRevision) <= p.Known)
}

// hold keeps an update that needs earlier changes, until they arrive.
func (v *view) hold(now time.Time, p PrefixUpdate, sources []string) {
	if v.missing == nil {
		v.missing = &gap{
			since: now,
		}
	}
	v.missing.sources = sources
	if p.Listed {
		v.missing.needed = max(v.missing.needed, p.UpTo)
		return
	}
	v.missing.needed = max(v.missing.needed, p.Before)
	if len(p.Entries) > 0 && len(v.held) < maxHeldUpdates {
		v.held = append(v.held, p)
	}
}

// applyHeld applies the updates that were held back and whose earlier changes are known now.
func (v *view) applyHeld() (changes []Change) {
	slices.SortFunc(v.held, func(a, b PrefixUpdate) int {
		return int(int64(a.Before) - int64(b.Before))
	})
	for len(v.held) > 0 && v.follows(v.held[0]) {
		p := v.held[0]
		v.held = v.held[1:]
		changes = append(changes, v.applyUpdate(p)...)
	}
	if v.missing != nil && v.complete && v.revision >= v.missing.needed {
		v.missing = nil
	}
	return changes
}

// applyUpdate applies an update that continues the known changes.
func (v *view) applyUpdate(p PrefixUpdate) []Change {
	if p.Complete && v.complete && p.UpTo <= v.revision {
		return nil
	}
	entries := p.Entries
	if p.Complete {
		entries = v.withDeletions(entries, p.UpTo)
	}
	changes, _ := v.apply(entries)
	v.lost = v.lost && p.UpTo < v.revision
	v.revision = max(v.revision, p.UpTo)
	if len(p.Entries) > 0 {
		v.changeRevision = max(v.changeRevision, p.UpTo)
	}
	if p.Complete || p.Listed {
		v.setComplete(p.UpTo)
	}
	return changes
}

// setComplete records that all keys up to a revision are known, but not the deletions before.
func (v *view) setComplete(upTo store.Revision) {
	v.complete = true
	v.deletionsFrom = max(v.deletionsFrom, upTo)
	v.changeRevision = max(v.changeRevision, upTo)
}

// withDeletions adds a deletion for each known key that is not among all entries of the prefix at
// a revision. In a later era than that of the view it may be lost only.
func (v *view) withDeletions(all store.Entries, upTo store.Revision) store.Entries {
	listed := make(map[string]bool, len(all))
	for _, e := range all {
		listed[e.Key] = true
	}
	for key := range v.entries {
		if !listed[key] {
			all = append(slices.Clip(all), store.Entry{
				Key:      key,
				Revision: upTo,
				Deleted:  true,
				Rewound:  v.complete && v.revision.Era() < upTo.Era(),
			})
		}
	}
	return all
}

// apply stores entries, and returns those that have to be applied and those that the other
// instances have to know. Entries up to the known revision are skipped: an older write must not
// bring back a key that was deleted since.
func (v *view) apply(entries store.Entries) (changes []Change, changed store.Entries) {
	if v.entries == nil {
		v.entries = make(map[string]store.Entry)
	}
	for _, e := range entries {
		old, ok := v.entries[e.Key]
		if !strings.HasPrefix(e.Key, v.prefix) || ok && e.Revision <= old.Revision || v.complete && e.Revision <= v.revision {
			continue
		}
		if !ok && e.Deleted {
			// Another instance may know the key, so the deletion is passed on.
			v.recordChange(e)
			changed = append(changed, e)
			continue
		}
		if e.Deleted {
			// Instances that are told of changes only do not know all writes.
			e.Written = max(e.Written, old.Revision)
			delete(v.entries, e.Key)
		} else {
			v.entries[e.Key] = e
		}
		if ok && !e.Deleted && v.same != nil && v.same(old.Value, e.Value) {
			continue
		}
		v.recordChange(e)
		changed = append(changed, e)
		changes = append(changes, Change{
			Entry: e,
		})
	}
	return changes, changed
}

// recordChange remembers a change for changesAfter.
func (v *view) recordChange(e store.Entry) {
	// Pages of a listing may hold later writes than the revision of the listing.
	v.changeRevision = max(v.changeRevision, e.Revision)
	if v.changedAt == nil {
		v.changedAt = make(map[string]store.Revision)
		v.deletions = make(map[string]store.Revision)
	}
	if !e.Deleted {
		v.changedAt[e.Key] = e.Revision
		delete(v.deletions, e.Key)
		return
	}
	delete(v.changedAt, e.Key)
	if len(v.deletions) >= maxDeletions {
		clear(v.deletions)
		v.deletionsFrom = e.Revision
	}
	v.deletions[e.Key] = e.Revision
}

// ask returns the instance to ask for missing changes now, and the revision after which they are
// missing.
func (v *view) ask(now time.Time) (source string, after store.Revision, ok bool) {
	if v.missing == nil || len(v.missing.sources) == 0 {
		return "", 0, false
	}
	age, first, pause := now.Sub(v.missing.since), gapDelay, gapDelay
	if !v.complete {
		// The store's listing comes first, since all instances of a starting fleet wait for one.
		first = maxGapTime
	}
	if age >= maxGapTime {
		pause = lateGapDelay
	}
	if age < first || now.Sub(v.missing.askedAt) < pause {
		return "", 0, false
	}
	source = v.missing.sources[v.missing.asked%len(v.missing.sources)]
	v.missing.askedAt = now
	v.missing.asked++
	return source, v.revision, true
}

// needsStore reports whether the prefix must be read from the store regardless of role.
func (v *view) needsStore(now time.Time) bool {
	return !v.complete || v.lost || v.missing != nil && now.Sub(v.missing.since) >= maxGapTime
}

// announces reports whether the view may be announced to others as up to date with the store.
func (v *view) announces() bool {
	return v.complete && !v.lost
}

// position returns an update without entries, by which other instances detect that they have
// missed a change.
func (v *view) position() PrefixUpdate {
	return PrefixUpdate{
		Prefix: v.prefix,
		Before: v.changeRevision,
		UpTo:   v.revision,
	}
}

// changesAfter returns the changes after a revision, or all entries if it cannot tell what has
// been deleted since. It reports false if it knows no later revision.
func (v *view) changesAfter(after store.Revision) (PrefixUpdate, bool) {
	if !v.complete || v.revision <= after {
		return PrefixUpdate{}, false
	}
	p := PrefixUpdate{
		Prefix:   v.prefix,
		Before:   after,
		UpTo:     v.revision,
		Complete: after == 0 || after < v.deletionsFrom,
	}
	if p.Complete {
		for _, e := range v.entries {
			p.Entries = append(p.Entries, e)
		}
	} else {
		for key, at := range v.changedAt {
			if at > after {
				p.Entries = append(p.Entries, v.entries[key])
			}
		}
		for key, at := range v.deletions {
			if at > after {
				p.Entries = append(p.Entries, store.Entry{
					Key:      key,
					Revision: at,
					Deleted:  true,
				})
			}
		}
	}
	slices.SortFunc(p.Entries, func(a, b store.Entry) int {
		return int(int64(a.Revision) - int64(b.Revision))
	})
	return p, true
}
