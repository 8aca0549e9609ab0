package broker

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"currantstile/clock"
	"currantstile/store"
)

// releaseRetryDelay is the time in which the record of another instance arrives that an attempt to release the share conflicted with.
const releaseRetryDelay = 20 * time.Millisecond

// Release releases the share of an instance that stops and sends no more requests, so that instances which join need not wait
// until it has surely expired. It tries until ctx ends; without success others wait as for an instance that was killed.
// Run must go on meanwhile and end afterwards: the share is not taken up again.
func (e *EvenAllocator) Release(ctx context.Context) error {
	e.mu.Lock()
	e.leaving = true
	e.applyShares(time.Now())
	e.mu.Unlock()
	for {
		next, expect, ok := e.planRelease()
		if !ok {
			return nil
		}
		err := e.write(ctx, time.Now(), next, expect)
		if err == nil {
			return nil
		}
		if !store.IsConflict(err) || !clock.Sleep(ctx, releaseRetryDelay) {
			return errors.WithMessage(err, "EvenAllocator.Release")
		}
	}
}

// planRelease returns the record in which this instance has released its share, and the revision that it replaces.
func (e *EvenAllocator) planRelease() (membershipRecord, store.Revision, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Contains(e.record.Instances, e.Self) || slices.Contains(e.record.Released, e.Self) {
		return membershipRecord{}, 0, false
	}
	return e.withReleased(append(slices.Clone(e.record.Released), e.Self)), e.kept.revision, true
}

// planReturn returns the record in which this instance takes up its share again, if the process before it released it. The caller holds
// mu.
func (e *EvenAllocator) planReturn() (membershipRecord, bool) {
	if e.leaving || !slices.Contains(e.record.Released, e.Self) {
		return membershipRecord{}, false
	}
	return e.withReleased(slices.DeleteFunc(slices.Clone(e.record.Released), func(name string) bool {
		return name == e.Self
	})), true
}

// withReleased returns the record that follows the current one, with other instances that have released their shares. The caller
// holds mu.
func (e *EvenAllocator) withReleased(released []string) membershipRecord {
	next := e.record
	next.Version++
	next.Released = released
	next.Settles = true
	next.Restores = 0
	next.Era = e.kept.era
	return next
}

// write writes a record over the revision expect, and applies it.
func (e *EvenAllocator) write(ctx context.Context, now time.Time, next membershipRecord, expect store.Revision) error {
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	rev, err := e.KV.Put(ctx, store.Write{
		Key:    e.RecordKey,
		Value:  value,
		Expect: expect,
	})
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	written := next.writtenAt(rev)
	e.kept.note(rev, written)
	if written > e.revision {
		e.applyRecord(now, next, written, value)
	}
	return nil
}
