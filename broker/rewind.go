package broker

import (
	"slices"
	"time"

	"currantstile/store"
)

const (
	// restoreStep is the delay with which the instances of a record write it again, one after the other in
	// its order, and maxRestoreDelay the longest: the first one's write reaches the others within it.
	restoreStep     = evenStepInterval
	maxRestoreDelay = 6 * restoreStep
	// eraSettleTime is how long after an instance has seen an era it changes no record of an earlier
	// one: the record of an instance that knows a later one is written within it, since all instances see the
	// era within two seconds.
	eraSettleTime = 2*time.Second + maxRestoreDelay + 2*evenStepInterval
)

// kept is what the store holds, which may be an older record than is applied.
type kept struct {
	// revision is that of the store's key, and written that at which its record was written first.
	revision store.Revision
	written  store.Revision
	// era is the highest known era of the store, since a time.
	era   store.Era
	since time.Time
}

// note records an entry that was read.
func (k *kept) note(revision, written store.Revision) {
	if revision >= k.revision {
		k.revision, k.written = revision, written
	}
}

// lose records that the first listing of an era lacks the key.
func (k *kept) lose(at store.Revision) {
	if at >= k.revision {
		k.revision, k.written = 0, 0
	}
}

// writtenAt returns the revision at which a record was written first, given that of its entry. The store may
// have kept the entry from an earlier era.
func (r membershipRecord) writtenAt(entry store.Revision) store.Revision {
	if r.Restores != 0 {
		return r.Restores
	}
	return entry.WrittenIn(r.Era)
}

// noteEra records since when the era is known. The caller holds mu.
func (e *EvenAllocator) noteEra(now time.Time) {
	era := e.kept.revision.Era()
	if e.Era != nil {
		era = max(era, e.Era())
	}
	if era > e.kept.era {
		e.kept.era, e.kept.since = era, now
	}
}

// restore returns the record that is applied if the store has lost it. The instances that it lists write it
// in their order. The caller holds mu.
func (e *EvenAllocator) restore(now time.Time) (membershipRecord, bool) {
	rank := slices.Index(e.record.Instances, e.Self)
	if rank < 0 {
		rank = len(e.record.Instances)
	}
	delay := min(time.Duration(rank)*restoreStep, maxRestoreDelay)
	if e.kept.era == 0 || e.kept.written >= e.revision || now.Sub(e.kept.since) < delay {
		return membershipRecord{}, false
	}
	next := e.record
	next.Era, next.Restores = e.kept.era, e.revision
	return next, true
}

// mayBeRestored reports whether another instance may know a later record that the store has lost. The caller
// holds mu.
func (e *EvenAllocator) mayBeRestored(now time.Time) bool {
	if e.Settled != nil && e.Settled() {
		return false
	}
	return e.revision.Era() < e.kept.era && now.Sub(e.kept.since) < eraSettleTime
}
