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

var quiet = log.Logger{
	Level: log.PanicLevel,
}

// pair is a reader and a listener of one store.
type pair struct {
	kv       *memkv.Store
	reader   *Follower
	listener *Follower
	seen     map[string]string
	// told are the parts that the reader has queued.
	hub *Hub
}

func newPair(t *testing.T) *pair {
	p := &pair{
		kv:   &memkv.Store{},
		seen: make(map[string]string),
	}
	p.reader = &Follower{
		KV:     p.kv,
		Prefix: "a/",
		Apply:  func(time.Time, []Change) {},
		Log:    quiet,
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
		Log:       quiet,
		queue:     make(chan Part, 16),
	}
	p.reader.hub = p.hub
	p.listener = &Follower{
		KV:     p.kv,
		Prefix: "a/",
		Log:    quiet,
		Apply: func(_ time.Time, changes []Change) {
			for _, c := range changes {
				if c.Entry.Deleted {
					delete(p.seen, c.Entry.Key)
					continue
				}
				p.seen[c.Entry.Key] = string(c.Entry.Value)
			}
		},
	}
	for _, f := range []*Follower{p.reader, p.listener} {
		require.NoError(t, f.list(context.Background()))
	}
	return p
}

func (p *pair) put(t *testing.T, key, value string) {
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

func (p *pair) told() []Part {
	var parts []Part
	for len(p.hub.queue) > 0 {
		parts = append(parts, <-p.hub.queue)
	}
	return parts
}

func TestListenerFollowsTheReader(t *testing.T) {
	p := newPair(t)
	p.put(t, "a/1", "x")
	p.put(t, "a/1", "y")
	for _, part := range p.told() {
		require.True(t, p.listener.receive(part))
	}
	require.Equal(t, map[string]string{"a/1": "y"}, p.seen)
}

// What says nothing new is not told, and is no gap.
func TestHeartbeatsAreNotTold(t *testing.T) {
	p := newPair(t)
	p.put(t, "a/1", "x1")
	require.Len(t, p.told(), 1)
	p.put(t, "a/1", "x2")
	require.Empty(t, p.told())
	require.False(t, p.listener.receive(p.reader.mark()), "the first change was not passed on")
	require.NoError(t, p.listener.watch(context.Background()))
	require.True(t, p.listener.receive(p.reader.mark()))
}

// A listener that missed a change is told so by the next ping, and asks the store.
func TestMissedChangeShows(t *testing.T) {
	p := newPair(t)
	p.put(t, "a/1", "x")
	p.told()
	p.put(t, "a/2", "y")
	for _, part := range p.told() {
		require.False(t, p.listener.receive(part))
	}
	require.True(t, p.listener.needsStore())
	require.NoError(t, p.listener.watch(context.Background()))
	require.False(t, p.listener.needsStore())
	require.Equal(t, map[string]string{"a/1": "x", "a/2": "y"}, p.seen)
}

// Messages that arrive out of order bring nothing back.
func TestLateMessageChangesNothing(t *testing.T) {
	p := newPair(t)
	p.put(t, "a/1", "x")
	first := p.told()
	p.put(t, "a/1", "y")
	second := p.told()
	require.NoError(t, p.listener.watch(context.Background()))
	for _, part := range append(second, first...) {
		p.listener.receive(part)
	}
	require.Equal(t, "y", p.seen["a/1"])
}

// A key that vanished while the history was lost is found to be gone.
func TestListingFindsWhatIsGone(t *testing.T) {
	p := newPair(t)
	p.put(t, "a/1", "x")
	require.NoError(t, p.listener.watch(context.Background()))
	e, err := p.kv.Get(context.Background(), "a/1")
	require.NoError(t, err)
	require.NoError(t, p.kv.Delete(context.Background(), "a/1", e.Revision))
	require.NoError(t, p.listener.list(context.Background()))
	require.Empty(t, p.seen)
}

func hub(self string, names ...string) *Hub {
	return &Hub{
		Self:   self,
		Health: &Health{},
		Log:    quiet,
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
		h := hub(self, names...)
		h.Receive(now, Message{
			From: "reader",
		})
		if h.mayRead(now, 1) {
			reading++
		}
		latest := now.Add(2*time.Second - freshTime - pingTime)
		if h.rank() < 2 {
			require.True(t, h.mayRead(latest, 1), "rank %d", h.rank())
		}
	}
	require.Equal(t, 1, reading, "only the first one reads while it is heard")
}

// An instance that has just started does not read beside the readers before it could
// have heard of one.
func TestStartingInstanceListensFirst(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	readers := 0
	for _, self := range []string{"a", "b", "c"} {
		h := hub(self, "a", "b", "c")
		h.begun = now
		if h.mayRead(now.Add(100*time.Millisecond), 1) {
			readers++
		}
		require.True(t, h.mayRead(now.Add(2*time.Second), 1))
	}
	require.Equal(t, 1, readers)
}

// A reader that has just not asked, or waits for changes, has no outage; one that the
// store turns away or leaves without an answer has.
func TestPauseIsNoOutage(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	h := hub("a", "a", "b")
	h.Health.Reached(now)
	h.noteOutage(now.Add(time.Second))
	require.True(t, h.LastOutage().IsZero())
	h.noteOutage(now.Add(answerTime))
	require.Equal(t, now.Add(answerTime), h.LastOutage())
	later := now.Add(time.Minute)
	h.Health.Reached(later)
	h.Health.Missed(later.Add(time.Millisecond))
	h.noteOutage(later.Add(2 * time.Millisecond))
	require.Equal(t, later.Add(2*time.Millisecond), h.LastOutage())
}

// In a large fleet few instances read for the others; all others read for themselves
// while they hear of no reader.
func TestFewTellTheOthers(t *testing.T) {
	var names []string
	for i := range 72 {
		names = append(names, fmt.Sprintf("n%02d", i))
	}
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	tell := 0
	for _, self := range names {
		h := hub(self, names...)
		h.queue = make(chan Part, 1)
		h.Receive(now, Message{
			From: "reader",
		})
		require.True(t, h.mayRead(now.Add(2*time.Second), 1))
		h.push(Part{})
		if len(h.queue) > 0 {
			tell++
		}
	}
	require.Equal(t, maxRank, tell)
}

// An instance that was cut off alone learns that the store was not.
func TestOutageIsTheFleetsNotOnesOwn(t *testing.T) {
	now := time.Now()
	h := hub("a", "a", "b")
	h.outage = now
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
