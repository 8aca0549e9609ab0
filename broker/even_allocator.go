package broker

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"currantstile/clock"
	"currantstile/errs"
	"currantstile/model"
	"currantstile/quota"
	"currantstile/route"
	"currantstile/store"
	"currantstile/wire"
)

const (
	// maxEvenHolders is the maximum number of instances that hold shares of one
	// contract; all others take tokens from these. It is small because a share of the
	// burst must be large enough for a request.
	maxEvenHolders = 7
	// maxRecordAddrs is the maximum number of addresses in the membership record. In a larger fleet an
	// instance that is cut off knows others that it can ask.
	maxRecordAddrs = 32
	// evenStepInterval is the interval between checks of the membership record.
	evenStepInterval = 250 * time.Millisecond
	// joinDelay is how long the maintainer of the record runs before it writes, so
	// that it knows the other instances. Any other instance waits twice as long to be
	// added by the maintainer before it writes the record itself.
	joinDelay = 1200 * time.Millisecond
	// activationDelay is the time in which the holders that are in touch with the store read a new
	// record: a new holder of a record without pending instances, and one whose share had
	// expired, leave their share unused for it.
	activationDelay = 2 * time.Second
	// EvenShareTTL is how long a holder uses its share after it last knew the record
	// to be up to date: longer than the store outages that the design covers.
	EvenShareTTL = 14 * time.Second
	// EvenReclaimDelay is how long an instance must be absent before it is removed from
	// the record: longer than EvenFenceTime, for which it may go on using its share.
	EvenReclaimDelay = 19 * time.Second
)

// membershipRecord lists the instances that share the limits equally.
type membershipRecord struct {
	Version   uint64   `json:"version"`
	Instances []string `json:"instances"`
	// Pending lists the instances that may not use their share yet, since an earlier holder may
	// still use a part of it.
	Pending []string `json:"pending,omitempty"`
	// Released lists the instances that have stopped and released their shares. One that starts again takes its name out before it uses
	// its share.
	Released []string `json:"released,omitempty"`
	// Settles is set in records that have Pending; earlier programs write none.
	Settles bool `json:"settles,omitempty"`
	// Addrs are the addresses of the instances. The entry of one that is cut off expires.
	Addrs map[string]netip.AddrPort `json:"addrs,omitempty"`
	// Era is that of the store in which the record was written.
	Era store.Era `json:"era,omitempty"`
	// Restores is the revision of the record that this one repeats, since the store had lost it.
	Restores store.Revision `json:"restores,omitempty"`
	// Since is a time in Unix milliseconds at which the deployment ran already; 0 in records of earlier programs.
	Since int64 `json:"since,omitempty"`
}

// EvenAllocator divides the limits equally among the instances in a membership record
// in the store. The record lists instances by name, so that a process that replaces
// another on the same instance has its share at once; it starts with empty buckets.
// Its exported fields are set before Run.
type EvenAllocator struct {
	Self string
	KV   store.KV
	// RecordKey is the store key of the membership record.
	RecordKey string
	Ledger    *quota.Ledger
	// Alive returns the addresses of the live instances by name.
	Alive func() map[string]netip.AddrPort
	// Current reports whether the local copy of the record is up to date.
	Current func(now time.Time) bool
	// Era returns the highest known era of the store; nil means 0.
	Era func() store.Era
	// Settled reports whether the store is known to have been in its era for long; nil means that it is not.
	Settled func() bool
	// Ask asks another instance which record it applies.
	Ask func(ctx context.Context, addr netip.AddrPort, args wire.ShareRecordArgs) (wire.ShareRecordReply, error)
	Log log.Logger

	mu        sync.Mutex
	startedAt time.Time
	record    membershipRecord
	// revision is that at which the record was written first.
	revision store.Revision
	kept     kept
	// value is the encoded record.
	value []byte
	// recordKnown is set once it is known whether a record exists.
	recordKnown bool
	// usableFrom is the time from which the share may be used, and confirmedAt the
	// time at which the record was last known to be up to date.
	usableFrom  time.Time
	confirmedAt time.Time
	// current is set if this instance was up to date at the last step.
	current bool
	// leaving is set once this instance has released its share for good.
	leaving bool
	// shareActive is set while the share that is applied to the ledger may be used.
	shareActive bool
	// absentSince is when each instance in the record was first seen not to be alive.
	absentSince map[string]time.Time
	// joining holds the pending instances, acknowledged the revisions that others are known to
	// apply, and askedFor those for which they were asked last.
	joining      map[string]joining
	acknowledged map[string]store.Revision
	askedFor     map[string]store.Revision
}

// Run maintains the share and the membership record until ctx ends.
func (e *EvenAllocator) Run(ctx context.Context) {
	e.mu.Lock()
	e.start(time.Now())
	e.mu.Unlock()
	for {
		errs.Contain(&e.Log, "EvenAllocator.step", func() {
			e.step(ctx, time.Now())
		})
		if !clock.Sleep(ctx, evenStepInterval) {
			return
		}
	}
}

// start sets the state of a process that starts. The caller holds mu.
func (e *EvenAllocator) start(now time.Time) {
	e.startedAt = now
	e.absentSince = make(map[string]time.Time)
	e.acknowledged = make(map[string]store.Revision)
	e.askedFor = make(map[string]store.Revision)
}

// MarkListed records that all keys have been read: unless Apply was called before, no
// membership record exists.
func (e *EvenAllocator) MarkListed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordKnown = true
}

// Apply processes a change of the membership record. Deletions and revisions that are
// not newer than the last one are ignored.
func (e *EvenAllocator) Apply(now time.Time, entry store.Entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if entry.Rewound {
		e.kept.lose(entry.Revision)
	}
	if entry.Deleted {
		return
	}
	var r membershipRecord
	if err := json.Unmarshal(entry.Value, &r); err != nil {
		e.Log.Error().Err(err).Msg("share: cannot decode membership record; keeping the last one")
		return
	}
	written := r.writtenAt(entry.Revision)
	e.kept.note(entry.Revision, written)
	if written > e.revision {
		e.applyRecord(now, r, written, entry.Value)
	}
}

// applyRecord makes r the current record. The caller holds mu.
func (e *EvenAllocator) applyRecord(now time.Time, r membershipRecord, written store.Revision, value []byte) {
	wasListed := slices.Contains(e.record.Instances, e.Self)
	listed := slices.Contains(r.Instances, e.Self)
	if listed && !wasListed && e.recordKnown && r.Version > 1 && !r.Settles {
		e.usableFrom = now.Add(activationDelay)
	}
	same := slices.Equal(r.Instances, e.record.Instances) && r.mayUse(e.Self) == e.record.mayUse(e.Self)
	e.record = r
	e.revision = written
	e.value = value
	e.recordKnown = true
	e.noteJoining(now)
	e.Log.Info().Uint64("version", r.Version).Int("instances", len(r.Instances)).Int("pending", len(r.Pending)).Bool("listed", listed).Msg("share: membership record applied; shares recomputed")
	if !same {
		e.applyShares(now)
	}
}

// shareHolders returns the instances of a record that hold shares of a contract.
func shareHolders(r membershipRecord, org model.OrgID) []string {
	if len(r.Instances) <= maxEvenHolders {
		return r.Instances
	}
	return route.TopBy(string(org), r.Instances, func(s *string) string {
		return *s
	}, maxEvenHolders, func(*string) bool {
		return true
	})
}

// applyShares sets the ledger's shares from the record. The caller holds mu.
func (e *EvenAllocator) applyShares(now time.Time) {
	r, usable := e.record, !e.leaving && e.record.mayUse(e.Self) && !now.Before(e.usableFrom)
	e.shareActive = usable
	largest := int64(0)
	if usable {
		largest = quota.TotalWeight / int64(min(len(r.Instances), maxEvenHolders))
	}
	e.Ledger.SetBaseShares(now, largest, func(org model.OrgID) int64 {
		holders := shareHolders(r, org)
		if !usable || !slices.Contains(holders, e.Self) {
			return 0
		}
		return quota.TotalWeight / int64(len(holders))
	}, e.confirmedAt.Add(EvenShareTTL))
}

// step extends the share's validity and, if this instance is to change the record,
// writes the new one.
func (e *EvenAllocator) step(ctx context.Context, now time.Time) {
	current := e.Current(now)
	alive := e.Alive()
	questions := e.refresh(now, current, alive)
	if !current {
		return
	}
	if len(questions) > 0 {
		e.ask(ctx, questions)
	}
	next, expect, ok := e.plan(now, alive)
	if !ok {
		return
	}
	if err := e.write(ctx, now, next, expect); err != nil {
		// The watch delivers the current record.
		e.Log.Info().Err(err).Msg("share: membership record not written; trying again at the next check")
	}
}

// confirm extends the share's validity. One that had expired is usable later: this instance may be about
// to be removed from the record. The caller holds mu.
func (e *EvenAllocator) confirm(now time.Time) {
	if !e.confirmedAt.IsZero() && now.Sub(e.confirmedAt) >= EvenShareTTL {
		e.usableFrom = now.Add(activationDelay)
		e.applyShares(now)
	}
	e.confirmedAt = now
	e.Ledger.ExtendExpiry(now, now.Add(EvenShareTTL))
}

// planRecord returns the next record that this instance should write, or false if there
// is none. The next record adds all live instances, and gives shares to those that may hold
// them; only the maintainer removes absent ones. The caller holds mu.
func (e *EvenAllocator) planRecord(now time.Time, alive map[string]netip.AddrPort) (membershipRecord, bool) {
	if !e.recordKnown || alive[e.Self] == (netip.AddrPort{}) {
		return membershipRecord{}, false
	}
	if next, ok := e.planReturn(); ok {
		return next, true
	}
	maintainer := e.isMaintainer(alive)
	if !e.mayWrite(now, maintainer) && !e.settles(now, maintainer) {
		return membershipRecord{}, false
	}
	var next, pending []string
	for _, name := range e.record.Instances {
		if !e.reclaimable(now, name) || !maintainer {
			next = append(next, name)
			if j, ok := e.joining[name]; ok && !mayHold(now, j, e.otherHolders(), e.acknowledged) {
				pending = append(pending, name)
			}
		}
	}
	for name := range alive {
		if !slices.Contains(next, name) {
			next = append(next, name)
			if e.record.Version > 0 {
				pending = append(pending, name)
			}
		}
	}
	slices.Sort(next)
	slices.Sort(pending)
	if slices.Equal(next, e.record.Instances) && slices.Equal(pending, e.record.Pending) {
		return membershipRecord{}, false
	}
	return membershipRecord{
		Version:   e.record.Version + 1,
		Instances: next,
		Pending:   pending,
		Released: slices.DeleteFunc(slices.Clone(e.record.Released), func(name string) bool {
			return !slices.Contains(next, name)
		}),
		Settles: true,
		Addrs:   e.recordAddrs(next, alive),
		Since:   cmp.Or(e.record.Since, e.startedAt.UnixMilli()),
	}, true
}

// recordAddrs returns the known addresses of the first of some instances. The caller holds mu.
func (e *EvenAllocator) recordAddrs(names []string, alive map[string]netip.AddrPort) map[string]netip.AddrPort {
	addrs := make(map[string]netip.AddrPort, len(names))
	for _, name := range names[:min(len(names), maxRecordAddrs)] {
		if addr, ok := alive[name]; ok {
			addrs[name] = addr
		} else if addr, ok := e.record.Addrs[name]; ok {
			addrs[name] = addr
		}
	}
	return addrs
}

// isMaintainer reports whether this instance maintains the record: it is the live
// instance whose name sorts first.
func (e *EvenAllocator) isMaintainer(alive map[string]netip.AddrPort) bool {
	for name := range alive {
		if name < e.Self {
			return false
		}
	}
	return true
}

// mayWrite reports whether this instance may change the record now. The maintainer may
// once it knows the other instances; any other instance may only if the record does not
// list it after twice joinDelay.
func (e *EvenAllocator) mayWrite(now time.Time, maintainer bool) bool {
	age := now.Sub(e.startedAt)
	if maintainer {
		return age >= joinDelay
	}
	return !slices.Contains(e.record.Instances, e.Self) && age >= 2*joinDelay
}

// noteAbsent records since when instances in the record are not alive. What this instance knows while it is
// not up to date is no evidence of an absence. The caller holds mu.
func (e *EvenAllocator) noteAbsent(now time.Time, current bool, alive map[string]netip.AddrPort) {
	next := make(map[string]time.Time)
	for _, name := range e.record.Instances {
		if _, ok := alive[name]; ok || !current {
			continue
		}
		next[name] = now
		if since, ok := e.absentSince[name]; ok {
			next[name] = since
		}
	}
	e.absentSince = next
}

// reclaimable reports whether an instance has been absent for so long that it no longer
// uses its share. The caller holds mu.
func (e *EvenAllocator) reclaimable(now time.Time, name string) bool {
	since, ok := e.absentSince[name]
	return ok && now.Sub(since) >= EvenReclaimDelay
}

// UsableShare returns the share of every limit that this instance may use now without
// calling others, in millionths.
func (e *EvenAllocator) UsableShare(now time.Time) int64 {
	return e.Ledger.BaseShare(now)
}

// Members returns the number of instances in the membership record, among them those that have been
// absent for less than EvenReclaimDelay; 0 if there is no record.
func (e *EvenAllocator) Members() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.record.Instances)
}

// RecordedAddrs returns the addresses in the membership record by name. Their instances need not be alive.
func (e *EvenAllocator) RecordedAddrs() map[string]netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.record.Addrs)
}

// RunningSince returns a time at which the deployment ran already, which outlasts the instances. It is zero if none has
// been recorded, and false is returned until that is known.
func (e *EvenAllocator) RunningSince() (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.record.Since == 0 {
		return time.Time{}, e.recordKnown
	}
	return time.UnixMilli(e.record.Since), true
}

// Holders returns the addresses, by name, of the other live instances that hold shares
// of a contract. An instance that is not up to date may know of some by the record alone.
func (e *EvenAllocator) Holders(org model.OrgID) map[string]netip.AddrPort {
	alive := e.Alive()
	e.mu.Lock()
	r, current := e.record, e.current
	e.mu.Unlock()
	list := make(map[string]netip.AddrPort)
	for _, name := range shareHolders(r, org) {
		addr, ok := alive[name]
		if !ok && !current {
			addr, ok = r.Addrs[name]
		}
		if ok && name != e.Self && (r.mayUse(name) || !current) {
			list[name] = addr
		}
	}
	return list
}

// refresh updates what depends on the time and on the instances that are alive, and returns what other
// holders are to be asked.
func (e *EvenAllocator) refresh(now time.Time, current bool, alive map[string]netip.AddrPort) []question {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.current = current
	e.noteAbsent(now, current, alive)
	e.noteEra(now)
	if _, listed := alive[e.Self]; current && listed {
		e.confirm(now)
	}
	if !e.shareActive && !e.leaving && !now.Before(e.usableFrom) && e.record.mayUse(e.Self) {
		e.applyShares(now)
	}
	return e.questions(now, alive)
}

// plan returns the record that this instance should write, and the revision that it replaces.
func (e *EvenAllocator) plan(now time.Time, alive map[string]netip.AddrPort) (membershipRecord, store.Revision, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if next, ok := e.restore(now); ok {
		return next, e.kept.revision, true
	}
	if e.mayBeRestored(now) {
		return membershipRecord{}, 0, false
	}
	next, ok := e.planRecord(now, alive)
	next.Era = e.kept.era
	return next, e.kept.revision, ok
}
