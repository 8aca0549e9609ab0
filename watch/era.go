package watch

import (
	"time"

	"currantstile/store"
)

// raiseEra records an era of the store that was seen of. A change of era counts as an outage: entries
// with a lease, and those written since the copy, are gone whoever wrote them. The prefix was known up to
// the revision before.
func (h *Hub) raiseEra(now time.Time, before, seen store.Revision) {
	h.mu.Lock()
	old, era := h.era, seen.Era()
	changed := h.eraKnown && era > old
	h.era, h.eraKnown = max(era, old), true
	if changed {
		h.eraChanges++
		h.lastOutage = now
	}
	h.mu.Unlock()
	if !changed {
		return
	}
	for _, f := range h.Followers {
		f.interrupt(era)
	}
	h.Log.Warn().Uint64("era", uint64(era)).Uint64("revision", seen.Number()).Uint64("old-era", uint64(old)).
		Uint64("old-revision", before.Number()).
		Msg("feed: the store has returned from an older copy")
}

// interrupt ends a watch in an earlier era: the store may hold it until its time is over.
func (f *Follower) interrupt(era store.Era) {
	if store.Era(f.era.Load()) < era {
		f.cancelWaiting()
	}
}

// knownEra returns the highest era of the store that is known.
func (h *Hub) knownEra() store.Era {
	era, _ := h.Era()
	return era
}

// Era returns the highest era of the store that is known, and how often it has changed.
func (h *Hub) Era() (era store.Era, changes int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.era, h.eraChanges
}

// behindEra reports whether a prefix is not known in the highest era that is known: what is known of it is
// neither confirmed nor invalidated.
func (h *Hub) behindEra() bool {
	era, _ := h.Era()
	for _, f := range h.Followers {
		if store.Era(f.era.Load()) < era {
			return true
		}
	}
	return false
}

// isCurrentEra reports whether updates are of an era that is not lower than the known one. An instance that
// sends others may be up to date with a state that the store no longer has.
func (h *Hub) isCurrentEra(updates []PrefixUpdate) bool {
	era, _ := h.Era()
	known := store.Era(0)
	for _, p := range updates {
		known = max(known, p.UpTo.Era())
	}
	return known >= era
}
