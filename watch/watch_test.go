package watch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"currantstile/memkv"
	"currantstile/store"
)

var discardLogger = log.Logger{
	Level: log.PanicLevel,
}

// followerPair is a reader and a listener of one store.
type followerPair struct {
	kv       *memkv.Store
	reader   *Follower
	listener *Follower
	values   map[string]string
	// told are the parts that the reader has queued.
	hub *Hub
}

func newFollowerPair(t *testing.T) *followerPair {
	p := &followerPair{
		kv:     &memkv.Store{},
		values: make(map[string]string),
	}
	p.reader = &Follower{
		KV:     p.kv,
		Prefix: "a/",
		Apply:  func(time.Time, []Change) {},
		Log:    discardLogger,
		Same: func(before, after []byte) bool {
			return before[0] == after[0]
		},
	}
	p.hub = &Hub{
		Self: "reader",
		Peers: func() []Peer {
			return nil
		},
		Followers: []*Follower{p.reader},
		Log:       discardLogger,
		queue:     make(chan PrefixUpdate, 16),
	}
	p.reader.hub = p.hub
	p.listener = &Follower{
		KV:     p.kv,
		Prefix: "a/",
		Log:    discardLogger,
		Apply: func(_ time.Time, changes []Change) {
			for _, c := range changes {
				if c.Entry.Deleted {
					delete(p.values, c.Entry.Key)
					continue
				}
				p.values[c.Entry.Key] = string(c.Entry.Value)
			}
		},
	}
	for _, f := range []*Follower{p.reader, p.listener} {
		require.NoError(t, f.list(context.Background()))
	}
	return p
}

func (p *followerPair) putAndWatch(t *testing.T, key, value string) {
	expect := store.Revision(0)
	if e, err := p.kv.Get(context.Background(), key); err == nil {
		expect = e.Revision
	}
	_, err := p.kv.Put(context.Background(), store.Write{
		Key:    key,
		Value:  []byte(value),
		Expect: expect,
	})
	require.NoError(t, err)
	require.NoError(t, p.reader.watch(context.Background()))
}

func (p *followerPair) queuedUpdates() []PrefixUpdate {
	var parts []PrefixUpdate
	for len(p.hub.queue) > 0 {
		parts = append(parts, <-p.hub.queue)
	}
	return parts
}

func TestListenerAppliesReaderUpdates(t *testing.T) {
	p := newFollowerPair(t)
	p.putAndWatch(t, "a/1", "x")
	p.putAndWatch(t, "a/1", "y")
	for _, part := range p.queuedUpdates() {
		require.True(t, p.listener.receive(part))
	}
	require.Equal(t, map[string]string{"a/1": "y"}, p.values)
}

// What says nothing new is not told, and is no gap.
func TestUnchangedValuesAreNotBroadcast(t *testing.T) {
	p := newFollowerPair(t)
	p.putAndWatch(t, "a/1", "x1")
	require.Len(t, p.queuedUpdates(), 1)
	p.putAndWatch(t, "a/1", "x2")
	require.Empty(t, p.queuedUpdates())
	require.False(t, p.listener.receive(p.reader.position()), "the first change was not passed on")
	require.NoError(t, p.listener.watch(context.Background()))
	require.True(t, p.listener.receive(p.reader.position()))
}

// A listener that missed a change is told so by the next ping, and asks the store.
func TestMissedChangeIsDetected(t *testing.T) {
	p := newFollowerPair(t)
	p.putAndWatch(t, "a/1", "x")
	p.queuedUpdates()
	p.putAndWatch(t, "a/2", "y")
	for _, part := range p.queuedUpdates() {
		require.False(t, p.listener.receive(part))
	}
	require.True(t, p.listener.needsStore())
	require.NoError(t, p.listener.watch(context.Background()))
	require.False(t, p.listener.needsStore())
	require.Equal(t, map[string]string{"a/1": "x", "a/2": "y"}, p.values)
}

// Messages that arrive out of order bring nothing back.
func TestOutOfOrderMessageIsIgnored(t *testing.T) {
	p := newFollowerPair(t)
	p.putAndWatch(t, "a/1", "x")
	first := p.queuedUpdates()
	p.putAndWatch(t, "a/1", "y")
	second := p.queuedUpdates()
	require.NoError(t, p.listener.watch(context.Background()))
	for _, part := range append(second, first...) {
		p.listener.receive(part)
	}
	require.Equal(t, "y", p.values["a/1"])
}

// A key that vanished while the history was lost is found to be gone.
func TestListingDetectsDeletedKey(t *testing.T) {
	p := newFollowerPair(t)
	p.putAndWatch(t, "a/1", "x")
	require.NoError(t, p.listener.watch(context.Background()))
	e, err := p.kv.Get(context.Background(), "a/1")
	require.NoError(t, err)
	require.NoError(t, p.kv.Delete(context.Background(), "a/1", e.Revision))
	require.NoError(t, p.listener.list(context.Background()))
	require.Empty(t, p.values)
}

func newTestHub(self string, names ...string) *Hub {
	return &Hub{
		Self:   self,
		Health: &Health{},
		Log:    discardLogger,
		Peers: func() []Peer {
			var list []Peer
			for _, n := range names {
				list = append(list, Peer{
					Name: n,
				})
			}
			return list
		},
	}
}

// The time from a reader's last word with the store until another one reads stays
// below the two seconds in which a change has to be in force.
func TestSilentReaderIsReplaced(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	reading := 0
	for _, self := range names {
		h := newTestHub(self, names...)
		h.Receive(now, Message{
			From: "reader",
		})
		if h.mayRead(now, 1) {
			reading++
		}
		latest := now.Add(2*time.Second - maxReadAge - pingInterval)
		if h.rank() < 2 {
			require.True(t, h.mayRead(latest, 1), "rank %d", h.rank())
		}
	}
	require.Equal(t, 1, reading, "only the first one reads while it is heard")
}

// An instance that has just started does not read beside the readers before it could
// have heard of one.
func TestStartingInstanceWaitsForReader(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	readers := 0
	for _, self := range []string{"a", "b", "c"} {
		h := newTestHub(self, "a", "b", "c")
		h.started = now
		if h.mayRead(now.Add(100*time.Millisecond), 1) {
			readers++
		}
		require.True(t, h.mayRead(now.Add(2*time.Second), 1))
	}
	require.Equal(t, 1, readers)
}

// A reader that has just not asked, or waits for changes, has no outage; one that the
// store turns away or leaves without an answer has.
func TestIdleStoreIsNoOutage(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	h := newTestHub("a", "a", "b")
	h.Health.RecordSuccess(now)
	h.recordOutage(now.Add(time.Second))
	require.True(t, h.LastOutage().IsZero())
	h.recordOutage(now.Add(storeTimeout))
	require.Equal(t, now.Add(storeTimeout), h.LastOutage())
	later := now.Add(time.Minute)
	h.Health.RecordSuccess(later)
	h.Health.RecordFailure(later.Add(time.Millisecond))
	h.recordOutage(later.Add(2 * time.Millisecond))
	require.Equal(t, later.Add(2*time.Millisecond), h.LastOutage())
}

// In a large fleet few instances read for the others; all others read for themselves
// while they hear of no reader.
func TestBroadcastingReadersAreLimited(t *testing.T) {
	var names []string
	for i := range 72 {
		names = append(names, fmt.Sprintf("n%02d", i))
	}
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	tell := 0
	for _, self := range names {
		h := newTestHub(self, names...)
		h.queue = make(chan PrefixUpdate, 1)
		h.Receive(now, Message{
			From: "reader",
		})
		require.True(t, h.mayRead(now.Add(2*time.Second), 1))
		h.enqueue(PrefixUpdate{})
		if len(h.queue) > 0 {
			tell++
		}
	}
	require.Equal(t, maxRank, tell)
}

// An instance that was cut off alone learns that the store was not.
func TestLocalOutageIsDiscarded(t *testing.T) {
	now := time.Now()
	h := newTestHub("a", "a", "b")
	h.lastOutage = now
	h.Receive(now, Message{
		From: "b",
		Calm: time.Minute,
	})
	require.Equal(t, time.Minute, now.Sub(h.LastOutage()))
	h.Receive(now, Message{
		From: "b",
		Calm: time.Second,
	})
	require.Equal(t, time.Minute, now.Sub(h.LastOutage()), "a younger reader knows less")
}
