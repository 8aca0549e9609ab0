// Package memkv implements store.KV in memory, with fault injection, for unit tests
// and for programs that embed the coordination packages.
//
// # Usage
//
//	kv := &memkv.Store{}
//	a := &commit.Acceptor{KV: kv}
package memkv

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"currantstile/store"
)

// Store is an in-memory key-value store with a hook for fault injection. Leases
// never expire, and revoking one deletes no keys. The zero value is ready for use.
type Store struct {
	// WriteFault, if set, is called before each Put with its key. It returns the
	// error with which the Put fails, and whether the write is applied anyway.
	WriteFault func(key string) (applied bool, err error)

	mu       sync.Mutex
	revision store.Revision
	era      store.Era
	entries  map[string]store.Entry
	// deleted is the revision of each key's last deletion.
	deleted map[string]store.Revision
}

var _ store.KV = (*Store)(nil)

// Get implements store.KV.
func (m *Store) Get(_ context.Context, key string) (store.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[key]
	if !ok {
		return e, store.ErrNotFound
	}
	return e, nil
}

// List implements store.KV.
func (m *Store) List(_ context.Context, prefix string) (store.Batch, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
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
	return b, nil
}

// Put implements store.KV.
func (m *Store) Put(_ context.Context, w store.Write) (store.Revision, error) {
	var fault error
	if m.WriteFault != nil {
		applied, err := m.WriteFault(w.Key)
		if err != nil && !applied {
			return 0, err
		}
		fault = err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if current := m.entries[w.Key].Revision; current != w.Expect {
		return 0, &store.ConflictError{
			Key:     w.Key,
			Current: current,
		}
	}
	if m.entries == nil {
		m.entries = make(map[string]store.Entry)
	}
	m.revision++
	m.entries[w.Key] = store.Entry{
		Key:      w.Key,
		Value:    w.Value,
		Revision: m.revision,
	}
	return m.revision, fault
}

// Delete implements store.KV.
func (m *Store) Delete(_ context.Context, key string, expect store.Revision) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if current := m.entries[key].Revision; current != expect {
		return &store.ConflictError{
			Key:     key,
			Current: current,
		}
	}
	m.revision++
	delete(m.entries, key)
	if m.deleted == nil {
		m.deleted = make(map[string]store.Revision)
	}
	m.deleted[key] = m.revision
	return nil
}

// Watch implements store.KV. It never waits, and reports the last write or deletion of
// each key.
func (m *Store) Watch(_ context.Context, prefix string, after store.Revision, _ time.Duration) (store.Batch, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after.Era() != m.era {
		return store.Batch{}, store.ErrCompacted
	}
	b := store.Batch{
		Revision: m.revision,
	}
	for k, e := range m.entries {
		if strings.HasPrefix(k, prefix) && e.Revision > after {
			b.Entries = append(b.Entries, e)
		}
	}
	for k, at := range m.deleted {
		if _, exists := m.entries[k]; !exists && strings.HasPrefix(k, prefix) && at > after {
			b.Entries = append(b.Entries, store.Entry{
				Key:      k,
				Revision: at,
				Deleted:  true,
			})
		}
	}
	sort.Slice(b.Entries, func(i, j int) bool {
		return b.Entries[i].Revision < b.Entries[j].Revision
	})
	return b, nil
}

// Grant implements store.KV.
func (m *Store) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return leaseOf(m.era), nil
}

// Renew implements store.KV.
func (m *Store) Renew(_ context.Context, id store.LeaseID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.era != 0 && id != leaseOf(m.era) {
		return store.ErrLeaseLost
	}
	return nil
}

// Revoke implements store.KV.
func (m *Store) Revoke(context.Context, store.LeaseID) error {
	return nil
}

// Reset deletes all data and restarts revisions at zero, like a service that
// restarts without its data.
func (m *Store) Reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision = m.era.Position(0)
	m.entries = nil
	m.deleted = nil
}
