package sims

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"currantstile/store"
)

// maxHistory is the number of latest writes and deletions that a watch can return.
const maxHistory = 4096

// kvLease is a lease with the keys that are deleted when it ends.
type kvLease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]bool
}

// kvModel is the state of the key-value service: a map with revisions, leases and
// a bounded history. It is not safe for concurrent use.
type kvModel struct {
	revision  store.Revision
	entries   map[string]store.Entry
	leases    map[store.LeaseID]*kvLease
	nextLease uint64
	// history holds the latest writes and deletions, oldest first.
	history store.Entries
	// compacted is the newest revision that has been dropped from history.
	compacted store.Revision
}

func newKVModel() *kvModel {
	return &kvModel{
		entries: make(map[string]store.Entry),
		leases:  make(map[store.LeaseID]*kvLease),
	}
}

func (m *kvModel) get(key string) (store.Entry, error) {
	e, ok := m.entries[key]
	if !ok {
		return store.Entry{}, store.ErrNotFound
	}
	return e, nil
}

func (m *kvModel) list(prefix string) store.Batch {
	b := store.Batch{
		Revision: m.revision,
	}
	for k, e := range m.entries {
		if strings.HasPrefix(k, prefix) {
			b.Entries = append(b.Entries, e)
		}
	}
	sort.Slice(b.Entries, func(i, j int) bool {
		return b.Entries[i].Key < b.Entries[j].Key
	})
	return b
}

func (m *kvModel) put(w store.Write) (store.Revision, error) {
	if len(w.Value) > store.MaxValueBytes {
		return 0, store.ErrTooLarge
	}
	if cur := m.entries[w.Key].Revision; cur != w.Expect {
		return 0, &store.ConflictError{
			Key:     w.Key,
			Current: cur,
		}
	}
	if w.Lease != "" {
		lease, ok := m.leases[w.Lease]
		if !ok {
			return 0, store.ErrNotFound
		}
		lease.keys[w.Key] = true
	}
	m.revision++
	e := store.Entry{
		Key:      w.Key,
		Value:    w.Value,
		Revision: m.revision,
	}
	m.entries[w.Key] = e
	m.appendHistory(e)
	return m.revision, nil
}

// deleteIfRevision deletes a key if it exists and expect is its current revision.
func (m *kvModel) deleteIfRevision(key string, expect store.Revision) error {
	if cur := m.entries[key].Revision; cur != expect || cur == 0 {
		return &store.ConflictError{
			Key:     key,
			Current: cur,
		}
	}
	m.deleteKey(key)
	return nil
}

// deleteKey deletes a key unconditionally, if it exists.
func (m *kvModel) deleteKey(key string) {
	if _, ok := m.entries[key]; !ok {
		return
	}
	delete(m.entries, key)
	m.revision++
	m.appendHistory(store.Entry{
		Key:      key,
		Revision: m.revision,
		Deleted:  true,
	})
}

func (m *kvModel) appendHistory(e store.Entry) {
	m.history = append(m.history, e)
	if len(m.history) > maxHistory {
		m.compacted = m.history[0].Revision
		m.history = m.history[1:]
	}
}

// changesSince returns the writes and deletions of keys with a prefix that are newer than
// a revision, or store.ErrCompacted if history does not cover that range.
func (m *kvModel) changesSince(prefix string, after store.Revision) (store.Batch, error) {
	if after < m.compacted || after > m.revision {
		return store.Batch{}, store.ErrCompacted
	}
	b := store.Batch{
		Revision: m.revision,
	}
	for _, e := range m.history {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			b.Entries = append(b.Entries, e)
		}
	}
	return b, nil
}

func (m *kvModel) grant(now time.Time, ttl time.Duration) store.LeaseID {
	m.nextLease++
	id := store.LeaseID("l" + strconv.FormatUint(m.nextLease, 10))
	m.leases[id] = &kvLease{
		ttl:     ttl,
		expires: now.Add(ttl),
		keys:    make(map[string]bool),
	}
	return id
}

func (m *kvModel) renew(now time.Time, id store.LeaseID) error {
	lease, ok := m.leases[id]
	if !ok {
		return store.ErrNotFound
	}
	lease.expires = now.Add(lease.ttl)
	return nil
}

func (m *kvModel) revoke(id store.LeaseID) error {
	lease, ok := m.leases[id]
	if !ok {
		return store.ErrNotFound
	}
	delete(m.leases, id)
	for key := range lease.keys {
		m.deleteKey(key)
	}
	return nil
}

// expireLeases revokes the expired leases and reports whether any key was deleted.
func (m *kvModel) expireLeases(now time.Time) bool {
	before := m.revision
	for id, lease := range m.leases {
		if !now.Before(lease.expires) {
			// The lease exists, so revoke returns no error.
			_ = m.revoke(id)
		}
	}
	return m.revision != before
}

// rollback returns to the state n revisions ago, like a service that is restored
// from an older backup. Only changes that are still in history can be undone; a key
// whose earlier write is no longer in history is removed. Leases stay as they are.
func (m *kvModel) rollback(n uint64) {
	keep := len(m.history) - int(min(n, uint64(len(m.history))))
	undone := m.history[keep:]
	m.history = m.history[:keep]
	for _, e := range undone {
		delete(m.entries, e.Key)
	}
	for _, e := range m.history {
		if e.Deleted {
			delete(m.entries, e.Key)
		} else {
			m.entries[e.Key] = e
		}
	}
	if keep > 0 {
		m.revision = m.history[keep-1].Revision
	} else {
		m.revision = m.compacted
	}
}
