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

// testStart is the present time of tests that inject it.
var testStart = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// followerPair is a store reader and a listener that follow the same prefix.
type followerPair struct {
	kv       *memkv.Store
	reader   *Follower
	listener *Follower
	values   map[string]string
	// hub holds the updates that the reader has queued.
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

// positionOfView returns the position of a follower that knows the prefix up to date.
func positionOfView(t *testing.T, f *Follower) PrefixUpdate {
	p, ok := f.position()
	require.True(t, ok)
	return p
}

func (p *followerPair) queuedUpdates() []PrefixUpdate {
	var updates []PrefixUpdate
	for len(p.hub.queue) > 0 {
		updates = append(updates, <-p.hub.queue)
	}
	return updates
}

func TestListenerAppliesReaderUpdates(t *testing.T) {
	p := newFollowerPair(t)
	p.putAndWatch(t, "a/1", "x")
	p.putAndWatch(t, "a/1", "y")
	for _, update := range p.queuedUpdates() {
		require.True(t, p.listener.receive(testStart, update, "reader"))
	}
	require.Equal(t, map[string]string{"a/1": "y"}, p.values)
}

// Guards against broadcasts of values that Same reports as equivalent, and against
// taking such a skipped value for a missed change.
func TestUnchangedValuesAreNotBroadcast(t *testing.T) {
	p := newFollowerPair(t)
	p.putAndWatch(t, "a/1", "x1")
	require.Len(t, p.queuedUpdates(), 1)
	p.putAndWatch(t, "a/1", "x2")
	require.Empty(t, p.queuedUpdates())
	require.False(t, p.listener.receive(testStart, positionOfView(t, p.reader), "reader"), "the first change was not passed on")
	require.NoError(t, p.listener.watch(context.Background()))
	require.True(t, p.listener.receive(testStart, positionOfView(t, p.reader), "reader"))
}

// Guards against a lost update going unnoticed: the next update shows the gap, and the
// listener reads the store as well if no other instance has filled the gap within maxGapTime.
func TestMissedChangeIsDetected(t *testing.T) {
	p := newFollowerPair(t)
	p.putAndWatch(t, "a/1", "x")
	p.queuedUpdates()
	p.putAndWatch(t, "a/2", "y")
	for _, update := range p.queuedUpdates() {
		require.False(t, p.listener.receive(testStart, update, "reader"))
	}
	_, _, ask := p.listener.missingFrom(testStart.Add(gapDelay))
	require.True(t, ask)
	later := testStart.Add(maxGapTime)
	require.False(t, p.listener.needsStore(testStart))
	_, _, ask = p.listener.missingFrom(later)
	require.True(t, ask, "another instance may have it although the store does not respond")
	require.True(t, p.listener.needsStore(later))
	require.NoError(t, p.listener.watch(context.Background()))
	require.False(t, p.listener.needsStore(later))
	require.Equal(t, map[string]string{"a/1": "x", "a/2": "y"}, p.values)
}

// Guards against a delayed message restoring an older value.
func TestOutOfOrderMessageIsIgnored(t *testing.T) {
	p := newFollowerPair(t)
	p.putAndWatch(t, "a/1", "x")
	first := p.queuedUpdates()
	p.putAndWatch(t, "a/1", "y")
	second := p.queuedUpdates()
	require.NoError(t, p.listener.watch(context.Background()))
	for _, update := range append(second, first...) {
		p.listener.receive(testStart, update, "reader")
	}
	require.Equal(t, "y", p.values["a/1"])
}

// Guards against keeping a key whose deletion is not in the history: a new listing
// must detect it.
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

// Guards against a slow takeover: the time from a store reader's last proof that it has
// received all changes until another instance reads stays below the two seconds within which
// a change must be in force, although it announces itself for as long as it may.
func TestSilentReaderIsReplaced(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	reading := 0
	for _, self := range names {
		h := newTestHub(self, names...)
		for age := time.Duration(0); age < maxProofAge; age += pingInterval {
			h.Receive(now.Add(age), Message{
				From:  "reader",
				Proof: true,
				Age:   age,
			})
			if h.rank() > 0 {
				require.False(t, h.mayRead(now.Add(age), 1), "while messages of a reader arrive")
			}
		}
		if h.mayRead(now, 1) {
			reading++
		}
		latest := now.Add(2*time.Second - pingInterval)
		if h.rank() < 2 {
			require.True(t, h.mayRead(latest, 1), "rank %d", h.rank())
		}
	}
	require.Equal(t, 1, reading, "only the first instance reads while messages of a reader arrive")
}

// Guards against a new instance reading the store in parallel with the readers before
// it could have received a message from one.
func TestStartingInstanceWaitsForReader(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	readers := 0
	for _, self := range []string{"a", "b", "c"} {
		h := newTestHub(self, "a", "b", "c")
		h.startedAt = now
		if h.mayRead(now.Add(100*time.Millisecond), 1) {
			readers++
		}
		require.True(t, h.mayRead(now.Add(2*time.Second), 1))
	}
	require.Equal(t, 1, readers)
}

// Guards against false outages: a reader that has made no call recently, or waits for
// changes, has none; one whose calls fail or get no response has.
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

// Guards against a broadcast storm in a large fleet: only maxRank instances broadcast;
// all others read for themselves while no messages of a reader arrive.
func TestBroadcastingReadersAreLimited(t *testing.T) {
	var names []string
	for i := range 72 {
		names = append(names, fmt.Sprintf("n%02d", i))
	}
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	broadcasting := 0
	for _, self := range names {
		h := newTestHub(self, names...)
		h.queue = make(chan PrefixUpdate, 1)
		h.Receive(now, Message{
			From: "reader",
		})
		require.True(t, h.mayRead(now.Add(2*time.Second), 1))
		h.enqueue(PrefixUpdate{})
		if len(h.queue) > 0 {
			broadcasting++
		}
	}
	require.Equal(t, maxRank, broadcasting)
}

// Guards against counting a local disconnection as an outage of the store: a reader
// that stayed in sync moves the last outage back.
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
	require.Equal(t, time.Minute, now.Sub(h.LastOutage()), "a reader in sync for a shorter time must not move it forward")
}

// Guards against an instance that has just listed the store itself and does not rely on it
// until a reader's message arrives, up to a second later when all instances start.
func TestListingShowsThatThePrefixIsCurrent(t *testing.T) {
	p := newFollowerPair(t)
	now := time.Now()
	require.True(t, p.reader.ListedWithin(now, time.Minute))
	require.False(t, p.reader.ListedWithin(now.Add(time.Hour), time.Minute))
	require.False(t, (&Follower{}).ListedWithin(now, time.Minute))
}

// Guards against an entry that ends the process, again after each start, or keeps the others back.
func TestPanicOfOneEntryIsContained(t *testing.T) {
	p := newFollowerPair(t)
	apply := p.listener.Apply
	p.listener.Apply = func(now time.Time, changes []Change) {
		for _, c := range changes {
			if string(c.Entry.Value) == "odd" {
				panic("odd entry")
			}
			apply(now, []Change{c})
		}
	}
	p.putAndWatch(t, "a/1", "odd")
	p.putAndWatch(t, "a/2", "x")
	require.NoError(t, p.listener.watch(context.Background()))
	require.Equal(t, map[string]string{"a/2": "x"}, p.values)
	p.putAndWatch(t, "a/1", "y")
	require.NoError(t, p.listener.watch(context.Background()))
	require.Equal(t, map[string]string{"a/1": "y", "a/2": "x"}, p.values)
}
