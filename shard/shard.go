// Package shard provides a map split into shards, each with its own lock, which
// reduces lock contention between goroutines that use different keys.
//
// # Usage
//
//	m := shard.NewMap[model.OrgID, *bucket](func(k model.OrgID) uint64 {
//		return xxhash.Sum64String(string(k))
//	})
//	m.Do(org, func(s map[model.OrgID]*bucket) { ... })
package shard

import "sync"

// shardCount is a power of two well above the number of cores of an instance, so
// that goroutines rarely contend for a shard.
const shardCount = 64

// Map is a sharded map. It is safe for concurrent use.
type Map[K comparable, V any] struct {
	hash   func(K) uint64
	shards [shardCount]lockedMap[K, V]
}

type lockedMap[K comparable, V any] struct {
	mu sync.Mutex
	m  map[K]V
}

// NewMap returns an empty map that assigns keys to shards by hash.
func NewMap[K comparable, V any](hash func(K) uint64) *Map[K, V] {
	m := &Map[K, V]{
		hash: hash,
	}
	for i := range m.shards {
		m.shards[i].m = make(map[K]V)
	}
	return m
}

// Do calls f with the shard of k while it holds the shard's lock.
func (m *Map[K, V]) Do(k K, f func(map[K]V)) {
	s := &m.shards[m.hash(k)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.m)
}

// Each calls f with one shard after another while it holds that shard's lock.
func (m *Map[K, V]) Each(f func(map[K]V)) {
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		f(s.m)
		s.mu.Unlock()
	}
}
