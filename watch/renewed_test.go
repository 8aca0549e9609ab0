package watch

import (
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"currantstile/store"
)

// Guards against the deletion of an entry that was written after an outage of the store and counts as one
// that expired in it, and against the reverse, at a store reader and at an instance that reads nothing.
func TestDeletionsAfterAnOutage(t *testing.T) {
	const prefix = "targets/"
	entry := func(key string, at store.Revision, value string) store.Entry {
		return store.Entry{
			Key:      prefix + key,
			Revision: at,
			Value:    []byte(value),
		}
	}
	deleted := func(key string, at store.Revision) store.Entry {
		return store.Entry{
			Key:      prefix + key,
			Revision: at,
			Deleted:  true,
		}
	}
	follower := func(self string) (*Follower, map[string]Change) {
		seen := make(map[string]Change)
		h := newTestHub(self, "a", "b")
		f := &Follower{
			Prefix: prefix,
			Same: func(before, after []byte) bool {
				return before[0] == after[0]
			},
			Apply: func(_ time.Time, changes []Change) {
				for _, c := range changes {
					if c.Entry.Deleted {
						seen[c.Entry.Key] = c
					}
				}
			},
			Log: log.Logger{
				Level: log.PanicLevel,
			},
			hub: h,
		}
		h.Followers = []*Follower{f}
		return f, seen
	}
	reader, seenByReader := follower("a")
	listener, seenByListener := follower("b")
	reader.hub.queue = make(chan PrefixUpdate, 10)
	deliver := func() {
		for len(reader.hub.queue) > 0 {
			listener.receive(time.Now(), <-reader.hub.queue, "a")
		}
	}
	all := store.Entries{entry("expires", 1, "r1"), entry("expires-late", 2, "r1"), entry("leaves", 3, "r1")}
	reader.update(all, 3, true)
	listener.update(all, 3, true)
	known := time.Now()
	reader.hub.lastOutage, listener.hub.lastOutage = known.Add(time.Nanosecond), known.Add(time.Nanosecond)

	reader.update(store.Entries{deleted("expires", 5)}, 5, false)
	deliver()
	// Only the reader learns of a write that changes nothing else.
	reader.update(store.Entries{entry("leaves", 6, "r2")}, 6, false)
	require.Empty(t, reader.hub.queue)
	reader.update(store.Entries{deleted("expires-late", 7)}, 7, false)
	reader.update(store.Entries{deleted("leaves", 8)}, 8, false)
	deliver()

	for who, seen := range map[string]map[string]Change{
		"reader":   seenByReader,
		"listener": seenByListener,
	} {
		require.False(t, seen[prefix+"expires"].Renewed, who)
		require.False(t, seen[prefix+"expires-late"].Renewed, who)
		require.True(t, seen[prefix+"leaves"].Renewed, who)
	}
}
