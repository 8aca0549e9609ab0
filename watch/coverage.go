package watch

import (
	"context"
	"time"

	"currantstile/store"
)

const (
	// maxProofAge is the maximum age of the proof with which a store reader counts as in sync.
	maxProofAge = time.Second
	// observeInterval is how old the last observed revision may be before a store reader asks for the present
	// one. Watches that return changes show it as well, so that no call is made while targets write.
	observeInterval = 600 * time.Millisecond
	// observeWait is the wait of a watch that only asks for the present revision.
	observeWait = time.Millisecond
	// coverageInterval is the interval at which a store reader checks its coverage.
	coverageInterval = 50 * time.Millisecond
	// answerDelay is how long the response that holds a change may arrive after another one that shows its
	// revision. askAgainInterval is the time between two attempts to receive missing changes.
	answerDelay      = 100 * time.Millisecond
	askAgainInterval = 300 * time.Millisecond
	// maxReceived and maxObservations bound what is kept for a store reader that receives changes but not all.
	maxReceived     = 1 << 14
	maxObservations = 64
)

// coverage decides up to which time an instance is known to have received all changes of all prefixes from the
// store. Its methods decide and do no input or output. The zero value has received nothing.
//
// A response shows the revision that the store had reached at some time after the call was sent. That everything
// up to then was received follows if each revision up to it is that of a received change, or is known of every
// prefix. That calls succeed does not show it: a watch that was lost on its way returns no changes while other
// calls succeed.
type coverage struct {
	// through is the revision up to which all changes have been received, and received holds later ones.
	through  store.Revision
	received map[store.Revision]struct{}
	// observed are the observations beyond through, and latest is the last one of all.
	observed []observation
	latest   observation
	// provenAt is a time up to which all changes have been received.
	provenAt time.Time
}

// observation is a revision that the store had reached at a time or later.
type observation struct {
	revision store.Revision
	at       time.Time
	// due is when the changes up to the revision have to be asked for if they have not arrived.
	due time.Time
}

// receive records changes that the store returned. All prefixes are known up to a revision.
func (c *coverage) receive(entries store.Entries, known store.Revision) {
	if c.received == nil || len(c.received) > maxReceived {
		c.received = make(map[store.Revision]struct{})
	}
	for _, e := range entries {
		if e.Revision > c.through {
			c.received[e.Revision] = struct{}{}
		}
	}
	c.advance(known)
}

// advance moves through to the last revision without a gap, and takes the observations up to it as proofs.
func (c *coverage) advance(known store.Revision) {
	if known > c.through {
		c.through = known
		for r := range c.received {
			if r <= known {
				delete(c.received, r)
			}
		}
	}
	for {
		if _, ok := c.received[c.through+1]; !ok {
			break
		}
		c.through++
		delete(c.received, c.through)
	}
	rest := c.observed[:0]
	for _, o := range c.observed {
		if o.revision > c.through {
			rest = append(rest, o)
		} else if o.at.After(c.provenAt) {
			c.provenAt = o.at
		}
	}
	c.observed = rest
}

// observe records that the store had reached a revision at a time or later. Changes up to it may arrive within
// the delay.
func (c *coverage) observe(now, at time.Time, revision store.Revision, delay time.Duration) {
	if revision > c.latest.revision && c.latest.at.After(at) {
		// The store has reached it after the lower one.
		at = c.latest.at
	}
	o := observation{
		revision: revision,
		at:       at,
		due:      now.Add(delay),
	}
	if revision >= c.latest.revision && at.After(c.latest.at) {
		c.latest = o
	}
	if len(c.observed) >= maxObservations {
		c.observed = c.observed[1:]
	}
	c.observed = append(c.observed, o)
	c.advance(0)
}

// overdue returns the highest observed revision up to which changes should have arrived, and delays the
// observations that it is taken from.
func (c *coverage) overdue(now time.Time) (store.Revision, bool) {
	revision, ok := store.Revision(0), false
	for i := range c.observed {
		if o := &c.observed[i]; !now.Before(o.due) {
			revision, ok = max(revision, o.revision), true
			o.due = now.Add(askAgainInterval)
		}
	}
	return revision, ok
}

// cover records a response of the store, as Follower.cover.
func (h *Hub) cover(now, at time.Time, b store.Batch, delay time.Duration) {
	known := h.knownThrough()
	h.mu.Lock()
	defer h.mu.Unlock()
	if b.Revision.Era() < h.era {
		// It is of a state that the store no longer has.
		return
	}
	h.coverage.receive(b.Entries, known)
	h.coverage.observe(now, at, b.Revision, delay)
}

// knownThrough returns the revision up to which each prefix is known.
func (h *Hub) knownThrough() store.Revision {
	known := store.Revision(0)
	for i, f := range h.Followers {
		if r := store.Revision(f.knownTo.Load()); i == 0 || r < known {
			known = r
		}
	}
	return known
}

// provenAt returns a time up to which this instance has received all changes from the store itself.
func (h *Hub) provenAt() time.Time {
	known := h.knownThrough()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.coverage.advance(known)
	return h.coverage.provenAt
}

// batchDelay is how long changes may arrive after another response that shows their revision: until the end of
// the longest delay between two watches.
func (f *Follower) batchDelay() time.Duration {
	longest := f.watchDelay()
	if f.hub != nil {
		for _, other := range f.hub.Followers {
			longest = max(longest, other.watchDelay())
		}
	}
	return longest + answerDelay
}

// checkCoverage keeps the coverage of this instance complete while it is a store reader: it asks again for
// changes that a watch should have returned, and for the present revision if no response shows it.
func (h *Hub) checkCoverage(ctx context.Context, now time.Time) {
	reading := h.mayRead(now, 1)
	began := reading && !h.covering
	h.covering = reading
	if !reading {
		return
	}
	if began {
		// What was sent before may have been lost, and shows nothing of the present.
		h.askAgain(0)
	}
	h.provenAt()
	h.mu.Lock()
	revision, overdue := h.coverage.overdue(now)
	latest := h.coverage.latest
	h.mu.Unlock()
	if overdue {
		h.askAgain(revision)
	}
	if now.Sub(latest.at) >= observeInterval && now.Sub(h.observedAt) >= observeInterval && h.Followers[0].Listed() && h.Health.AllowCall(now) {
		h.observedAt = now
		h.goContained("Hub.observe", func() {
			h.Followers[0].observe(ctx)
		})
	}
}

// askAgain ends the watches of prefixes that are not known up to a revision, or of all if it is zero, and has
// them sent again.
func (h *Hub) askAgain(revision store.Revision) {
	for _, f := range h.Followers {
		if r := store.Revision(f.knownTo.Load()); revision != 0 && r >= revision {
			continue
		}
		f.short.Store(true)
		if f.cancelWaiting() && revision != 0 {
			h.Log.Info().Uint64("needed", uint64(revision)).Uint64("known", f.knownTo.Load()).
				Msgf("feed: a watch of %s has not returned changes that the store has; sending it again", f.Prefix)
		}
	}
}

// observe asks the store for its present revision, and for the changes of the prefix up to it.
func (f *Follower) observe(ctx context.Context) {
	sent := time.Now()
	b, err := f.KV.Watch(ctx, f.Prefix, f.revision(), observeWait)
	f.Health.RecordResult(time.Now(), err)
	if err != nil {
		if ctx.Err() == nil {
			f.Log.Debug().Err(err).Msg("feed: the store did not tell its revision; asking again")
		}
		return
	}
	f.update(b.Entries, b.Revision, false)
	f.cover(sent, b, answerDelay)
}

// cover records a response of the store, which had reached its revision at a time or later. Changes up to it may
// arrive within the delay.
func (f *Follower) cover(at time.Time, b store.Batch, delay time.Duration) {
	if f.hub != nil {
		f.hub.cover(time.Now(), at, b, delay)
	}
}
