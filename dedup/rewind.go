package dedup

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"currantstile/clock"
	"currantstile/errs"
	"currantstile/store"
)

const (
	// settleTime is how long after an instance has seen an era it makes no claims: the claims that the
	// store has lost are written again within it, since all instances see the era within two seconds.
	settleTime = 4 * time.Second
	// sendTime is how long after its claim a request may be sent on a store with eras.
	sendTime = time.Second
	// holdTime is how long claims are kept in memory after their last change, which is longer than a copy
	// of the store is old.
	holdTime = time.Minute
	// maxHeld and maxHeldBytes bound the claims in memory and their responses. A response beyond them is
	// restored as an unknown outcome.
	maxHeld      = 1 << 14
	maxHeldBytes = 4 << 20
	// pruneInterval is the least time between two searches for claims to forget.
	pruneInterval = time.Second
	// restoreInterval is the interval of the checks for a new era, and restoreTimeout bounds the writing of
	// one claim.
	restoreInterval = 250 * time.Millisecond
	restoreTimeout  = time.Second
	// maxRestoreTries bounds the attempts at one claim within a check: the lease may be lost, another
	// instance may write, and the era may be known by the write only.
	maxRestoreTries = 5
)

// ErrSettling is returned by Begin in the first seconds of an era of the store, in which a claim under the
// key may be lost. The request has not run.
var ErrSettling = errors.New("the key-value service has just returned from an older copy")

// heldClaim is a claim in memory.
type heldClaim struct {
	ticket   Ticket
	released bool
	at       time.Time
}

// held are the recently changed claims of this process. The zero value is ready for use.
type held struct {
	mu     sync.Mutex
	claims map[string]heldClaim
	bytes  int
	// prunedAt is when claims were last forgotten.
	prunedAt time.Time
}

// keep remembers a claim as it is now.
func (h *held) keep(t Ticket, released bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if h.claims == nil {
		h.claims = make(map[string]heldClaim)
	}
	h.drop(t.key)
	if len(h.claims) >= maxHeld {
		h.prune(now)
	}
	if len(h.claims) >= maxHeld {
		return
	}
	if t.record.Response != nil && h.bytes+len(t.record.Response.Body) > maxHeldBytes {
		t.record.State, t.record.Response = stateUnknown, nil
	}
	if t.record.Response != nil {
		h.bytes += len(t.record.Response.Body)
	}
	h.claims[t.key] = heldClaim{
		ticket:   t,
		released: released,
		at:       now,
	}
}

// drop forgets a claim. The caller holds mu.
func (h *held) drop(key string) {
	if old, ok := h.claims[key]; ok && old.ticket.record.Response != nil {
		h.bytes -= len(old.ticket.record.Response.Body)
	}
	delete(h.claims, key)
}

// prune forgets the claims that are older than holdTime and whose request can't run any more. The caller
// holds mu.
func (h *held) prune(now time.Time) {
	if now.Sub(h.prunedAt) < pruneInterval {
		return
	}
	h.prunedAt = now
	for key, c := range h.claims {
		if now.Sub(c.at) > holdTime && (c.released || c.ticket.record.State != stateRunning || now.After(c.ticket.record.Expires)) {
			h.drop(key)
		}
	}
}

// before returns the claims that were not written in an era or later.
func (h *held) before(now time.Time, era store.Era) []heldClaim {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.prune(now)
	var list []heldClaim
	for _, c := range h.claims {
		if c.ticket.revision.Era() < era {
			list = append(list, c)
		}
	}
	return list
}

// replace remembers the revision of a claim that was written again, unless it has changed meanwhile.
func (h *held) replace(old heldClaim, t Ticket) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c, ok := h.claims[t.key]; ok && c.ticket.record.ID == old.ticket.record.ID && c.ticket.record.State == old.ticket.record.State {
		c.ticket.revision, c.ticket.lease, c.ticket.record.Era = t.revision, t.lease, t.record.Era
		h.claims[t.key] = c
	}
}

// noteEra records the era of a revision, and returns the highest known one and whether claims may be made.
func (c *Claims) noteEra(now time.Time, r store.Revision) (store.Era, bool) {
	era := r.Era()
	if c.Era != nil {
		era = max(era, c.Era())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if era > c.era {
		c.era, c.since, c.lease = era, now, ""
	}
	return c.era, c.era == 0 || now.Sub(c.since) >= settleTime
}

// claim creates a claim. One that is created in a later era than was known is released: a claim that the
// store has lost may exist.
func (c *Claims) claim(ctx context.Context, now time.Time, t Ticket) (Ticket, error) {
	var err error
	if t.lease, err = c.currentLease(ctx, now); err != nil {
		return t, err
	}
	t.revision, err = c.writeClaim(ctx, t, 0)
	switch {
	case errors.Is(err, store.ErrLeaseLost):
		c.dropLease(t.lease)
		return t, err
	case errors.Is(err, store.ErrRewound):
		// The claim is attached to a lease of another instance.
		c.dropLease(t.lease)
		e, getErr := c.KV.Get(ctx, t.key)
		var existing record
		if getErr != nil || json.Unmarshal(e.Value, &existing) != nil || existing.ID != t.record.ID {
			return t, err
		}
		t.revision = e.Revision
	case err != nil:
		return t, err
	}
	c.noteEra(now, t.revision)
	if err == nil && t.revision.Era() == t.record.Era {
		c.held.keep(t, false)
		return t, nil
	}
	if err := c.KV.Delete(ctx, t.key, t.revision); err != nil {
		c.Log.Warn().Err(err).Str("key", t.key).Msg("dedup: claim made in a new era of the store is not released")
	}
	return t, ErrSettling
}

// dropLease lets the next claim get a new lease instead of one that the store has lost.
func (c *Claims) dropLease(lost store.LeaseID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lease == lost {
		c.lease = ""
	}
}

// update writes the state of a claim over its last revision, or restores it if the store has lost that.
func (c *Claims) update(ctx context.Context, t Ticket) error {
	c.held.keep(t, false)
	rev, err := c.writeClaim(ctx, t, t.revision)
	if err == nil {
		t.revision = rev
		c.held.keep(t, false)
		return nil
	}
	if !store.IsConflict(err) && !errors.Is(err, store.ErrRewound) && !errors.Is(err, store.ErrLeaseLost) {
		return err
	}
	e, getErr := c.KV.Get(ctx, t.key)
	// Claims outlive their requests, so that one that is missing on a store with eras was lost.
	lost := errors.Is(err, store.ErrRewound) || t.revision.Era() > 0 && errors.Is(getErr, store.ErrNotFound)
	if era, _ := c.noteEra(time.Now(), e.Revision); !lost && era <= t.revision.Era() {
		return err
	}
	return c.restore(ctx, heldClaim{
		ticket: t,
	})
}

// Run writes the claims that the store has lost again, until ctx ends.
func (c *Claims) Run(ctx context.Context) {
	for clock.Sleep(ctx, restoreInterval) {
		errs.Contain(&c.Log, "Claims.Run", func() {
			c.Step(ctx, time.Now())
		})
	}
}

// Step writes the claims again that are of an earlier era than is known.
func (c *Claims) Step(ctx context.Context, now time.Time) {
	era, _ := c.noteEra(now, 0)
	if era == 0 {
		return
	}
	for _, h := range c.held.before(now, era) {
		if err := c.restore(ctx, h); err != nil {
			c.Log.Info().Err(err).Str("key", h.ticket.key).Msg("dedup: claim that the store has lost is not written; trying again")
		}
	}
}

// restore writes a claim in the present era, or deletes it if it was released. A claim of another instance
// that gives no right to run yields to it.
func (c *Claims) restore(ctx context.Context, h heldClaim) error {
	ctx, cancel := context.WithTimeout(ctx, restoreTimeout)
	defer cancel()
	var err error
	for range maxRestoreTries {
		if err = c.tryRestore(ctx, h); err == nil {
			return nil
		}
	}
	return errs.WithOp(err, "Claims.restore")
}

func (c *Claims) tryRestore(ctx context.Context, h heldClaim) error {
	now, t := time.Now(), h.ticket
	e, err := c.KV.Get(ctx, t.key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	var existing record
	if err == nil {
		if err := json.Unmarshal(e.Value, &existing); err != nil {
			return err
		}
	}
	era, _ := c.noteEra(now, e.Revision)
	own := existing.ID == t.record.ID
	switch {
	case h.released:
		if own {
			if err := c.KV.Delete(ctx, t.key, e.Revision); err != nil {
				return err
			}
		}
		t.revision = era.Position(0)
	case e.Revision != 0 && !own && existing.Era >= e.Revision.Era():
		c.Log.Error().Str("key", t.key).Msg("dedup: another claim was made for a request whose claim the store had lost; both may have run")
		t.revision = e.Revision
	default:
		t.record.Era = era
		if t, err = c.rewrite(ctx, now, t, e.Revision); err != nil {
			return err
		}
	}
	c.held.replace(h, t)
	return nil
}

// rewrite writes a claim over a revision, under a lease of the present era.
func (c *Claims) rewrite(ctx context.Context, now time.Time, t Ticket, expect store.Revision) (Ticket, error) {
	var err error
	if t.lease, err = c.currentLease(ctx, now); err != nil {
		return t, err
	}
	if t.revision, err = c.writeClaim(ctx, t, expect); err != nil {
		if errors.Is(err, store.ErrLeaseLost) || errors.Is(err, store.ErrRewound) {
			c.dropLease(t.lease)
		}
		return t, err
	}
	if t.revision.Era() != t.record.Era {
		// The claim names an earlier era, and would give no right.
		c.noteEra(now, t.revision)
		return t, store.ErrRewound
	}
	c.Log.Info().Str("key", t.key).Str("state", string(t.record.State)).Msg("dedup: claim that the store had lost is written again")
	return t, nil
}
