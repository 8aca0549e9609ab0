package broker

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"currantstile/clock"
	"currantstile/model"
	"currantstile/quota"
	"currantstile/route"
	"currantstile/store"
)

const (
	// maxEvenHolders is how many instances hold parts of one contract at most; all
	// others take tokens from these. A part of a burst has to hold a request.
	maxEvenHolders = 7
	// evenStepInterval is how often the roll is looked at.
	evenStepInterval = 250 * time.Millisecond
	// joinDelay is how long an instance waits to be put on the roll by another
	// one before it does so itself.
	joinDelay = 1200 * time.Millisecond
	// activationDelay is how long a new holder leaves its part unused, in which the
	// others learn of it and make theirs smaller.
	activationDelay = 2 * time.Second
	// EvenFenceTime is how long a holder uses its part without a sign of the roll:
	// longer than the outages of the store that are planned for.
	EvenFenceTime = 14 * time.Second
	// EvenReclaimTime is how long an instance has to be gone before it is struck off:
	// longer than it may go on using its part.
	EvenReclaimTime = 19 * time.Second
)

// membershipRecord is the list of the instances among which the limits are divided evenly.
type membershipRecord struct {
	Version   uint64   `json:"version"`
	Instances []string `json:"instances"`
}

// EvenAllocator divides the limits evenly among the instances on a roll in the store. An
// instance is on it by its name, so that a process that follows another one on the
// same instance has its part at once, and begins with empty buckets. Its exported
// fields are set before Run.
type EvenAllocator struct {
	Self string
	KV   store.KV
	// RecordKey is where the roll lies in the store.
	RecordKey string
	Ledger    *quota.Ledger
	// Alive lists the instances that are alive now, by name.
	Alive func() map[string]netip.AddrPort
	// Current reports whether what is known of the roll is up to date.
	Current func(now time.Time) bool
	Log     log.Logger

	mu        sync.Mutex
	startedAt time.Time
	record    membershipRecord
	revision  store.Revision
	// recordKnown is set once it is known whether there is a roll.
	recordKnown bool
	// usableFrom is from when the part may be used, and sighted when the roll was
	// last known to be up to date.
	usableFrom  time.Time
	confirmedAt time.Time
	// shareActive is set once the part may be used.
	shareActive bool
	// absentSince is since when each instance on the roll has not been alive.
	absentSince map[string]time.Time
}

// Run keeps the part until ctx ends.
func (e *EvenAllocator) Run(ctx context.Context) {
	e.mu.Lock()
	e.startedAt = time.Now()
	e.absentSince = make(map[string]time.Time)
	e.mu.Unlock()
	for {
		e.step(ctx, time.Now())
		if !clock.Sleep(ctx, evenStepInterval) {
			return
		}
	}
}

// MarkListed takes in that all keys were read: the roll does not exist unless Apply
// was called before.
func (e *EvenAllocator) MarkListed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordKnown = true
}

// Apply takes in the roll as it was written.
func (e *EvenAllocator) Apply(now time.Time, entry store.Entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if entry.Deleted || entry.Revision <= e.revision {
		return
	}
	var r membershipRecord
	if err := json.Unmarshal(entry.Value, &r); err != nil {
		e.Log.Error().Err(err).Msg("share: roll cannot be read")
		return
	}
	e.applyRecord(now, r, entry.Revision)
}

// applyRecord puts a roll in force. The caller holds mu.
func (e *EvenAllocator) applyRecord(now time.Time, r membershipRecord, rev store.Revision) {
	was := slices.Contains(e.record.Instances, e.Self)
	is := slices.Contains(r.Instances, e.Self)
	if is && !was && e.recordKnown && r.Version > 1 {
		e.usableFrom = now.Add(activationDelay)
	}
	e.record = r
	e.revision = rev
	e.recordKnown = true
	e.Log.Info().Uint64("version", r.Version).Int("instances", len(r.Instances)).Bool("listed", is).Msg("share: limits are divided anew")
	e.applyShares(now)
}

// shareHolders are the instances on a roll that hold parts of a contract.
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

// applyShares puts the parts of the roll in force. The caller holds mu.
func (e *EvenAllocator) applyShares(now time.Time) {
	r, usable := e.record, slices.Contains(e.record.Instances, e.Self) && !now.Before(e.usableFrom)
	e.shareActive = usable
	some := int64(0)
	if usable {
		some = quota.Whole / int64(min(len(r.Instances), maxEvenHolders))
	}
	e.Ledger.SetParts(now, some, func(org model.OrgID) int64 {
		holders := shareHolders(r, org)
		if !usable || !slices.Contains(holders, e.Self) {
			return 0
		}
		return quota.Whole / int64(len(holders))
	}, e.confirmedAt.Add(EvenFenceTime))
}

// step renews the part, and changes the roll where that is up to this instance.
func (e *EvenAllocator) step(ctx context.Context, now time.Time) {
	current := e.Current(now)
	alive := e.Alive()
	e.mu.Lock()
	if current {
		e.confirmedAt = now
		e.Ledger.ExtendFence(now, now.Add(EvenFenceTime))
	}
	if !e.shareActive && !now.Before(e.usableFrom) && slices.Contains(e.record.Instances, e.Self) {
		e.applyShares(now)
	}
	next, ok := e.planRecord(now, alive)
	expect := e.revision
	e.mu.Unlock()
	if !ok || !current {
		return
	}
	value, err := json.Marshal(next)
	if err != nil {
		e.Log.Error().Err(err).Msg("share: roll cannot be encoded")
		return
	}
	rev, err := e.KV.Put(ctx, store.Write{
		Key:    e.RecordKey,
		Value:  value,
		Expect: expect,
	})
	if err != nil {
		// The feed brings the roll that is in force.
		e.Log.Info().Err(err).Msg("share: roll was not written")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if rev > e.revision {
		e.applyRecord(now, next, rev)
	}
}

// planRecord is the next roll that this instance should write. The caller holds mu.
func (e *EvenAllocator) planRecord(now time.Time, alive map[string]netip.AddrPort) (membershipRecord, bool) {
	if !e.recordKnown || alive[e.Self] == (netip.AddrPort{}) {
		return membershipRecord{}, false
	}
	first := e.isMaintainer(alive)
	if !e.mayWrite(now, first) {
		return membershipRecord{}, false
	}
	var next []string
	for _, name := range e.record.Instances {
		if !e.reclaimable(now, name, alive) || !first {
			next = append(next, name)
		}
	}
	for name := range alive {
		if !slices.Contains(next, name) {
			next = append(next, name)
		}
	}
	slices.Sort(next)
	if slices.Equal(next, e.record.Instances) {
		return membershipRecord{}, false
	}
	return membershipRecord{
		Version:   e.record.Version + 1,
		Instances: next,
	}, true
}

// isMaintainer reports whether this instance is the one that sees to the roll.
func (e *EvenAllocator) isMaintainer(alive map[string]netip.AddrPort) bool {
	for name := range alive {
		if name < e.Self {
			return false
		}
	}
	return true
}

// mayWrite reports whether this instance may change the roll now: the first one
// may once it knows the others, another one only to put itself on it.
func (e *EvenAllocator) mayWrite(now time.Time, first bool) bool {
	age := now.Sub(e.startedAt)
	if first {
		return age >= joinDelay
	}
	return !slices.Contains(e.record.Instances, e.Self) && age >= 2*joinDelay
}

// reclaimable reports whether an instance has been gone for so long that it does not use
// its part any more. The caller holds mu.
func (e *EvenAllocator) reclaimable(now time.Time, name string, alive map[string]netip.AddrPort) bool {
	if _, ok := alive[name]; ok {
		delete(e.absentSince, name)
		return false
	}
	since, ok := e.absentSince[name]
	if !ok {
		e.absentSince[name] = now
		return false
	}
	return now.Sub(since) >= EvenReclaimTime
}

// UsableShare is how much of every limit this instance may use now by itself, in
// millionths.
func (e *EvenAllocator) UsableShare(now time.Time) int64 {
	return e.Ledger.Base(now)
}

// Holders are the other instances that hold parts of a contract and are alive, by
// name.
func (e *EvenAllocator) Holders(org model.OrgID) map[string]netip.AddrPort {
	alive := e.Alive()
	e.mu.Lock()
	r := e.record
	e.mu.Unlock()
	list := make(map[string]netip.AddrPort)
	for _, name := range shareHolders(r, org) {
		if addr, ok := alive[name]; ok && name != e.Self {
			list[name] = addr
		}
	}
	return list
}
