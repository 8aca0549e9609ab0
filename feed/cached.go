package feed

import (
	"context"
	"sync"
	"time"

	"currantstile/store"
)

// Cached answers reads of followed keys from what the feed has brought, unless a
// write has shown that this is too old. All other calls go to the store.
type Cached struct {
	store.KV
	Follower *Follower
	Hub      *Hub

	mu sync.Mutex
	// least is the revision that a key has to have before it is answered from
	// the feed.
	least map[string]store.Revision
}

// cachedTime is how recently the feed must have heard of the store.
const cachedTime = 1200 * time.Millisecond

// Get implements store.KV.
func (c *Cached) Get(ctx context.Context, key string) (store.Entry, error) {
	c.mu.Lock()
	least, written := c.least[key]
	c.mu.Unlock()
	e, ok := c.Follower.Known(key)
	if ok && c.Hub.current(time.Now()) && (!written || e.Revision >= least) {
		return e, nil
	}
	e, err := c.KV.Get(ctx, key)
	if err == nil {
		c.note(key, e.Revision)
	}
	return e, err
}

// Put implements store.KV.
func (c *Cached) Put(ctx context.Context, w store.Write) (store.Revision, error) {
	rev, err := c.KV.Put(ctx, w)
	switch {
	case err == nil:
		c.note(w.Key, rev)
	default:
		c.note(w.Key, w.Expect+1)
	}
	return rev, err
}

func (c *Cached) note(key string, least store.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.least == nil {
		c.least = make(map[string]store.Revision)
	}
	c.least[key] = max(c.least[key], least)
}

// current reports whether the feed is up to date: a reader was heard lately, or
// this instance reads and reaches the store.
func (h *Hub) current(now time.Time) bool {
	h.mu.Lock()
	heard := h.heard
	h.mu.Unlock()
	return now.Sub(heard) < cachedTime || h.fresh(now)
}
