package watch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/store"
)

// A message that overtakes another one must not cost a store call per instance: it is
// held back, and both are applied once the first one has arrived.
func TestOvertakingMessageIsHeldBack(t *testing.T) {
	p := newFollowerPair(t)
	p.putAndWatch(t, "a/1", "x")
	p.putAndWatch(t, "a/2", "y")
	updates := p.queuedUpdates()
	require.False(t, p.listener.receive(testStart, updates[1], "reader"))
	require.Empty(t, p.values)
	require.True(t, p.listener.receive(testStart, updates[0], "reader"))
	require.Equal(t, map[string]string{"a/1": "x", "a/2": "y"}, p.values)
	_, _, ask := p.listener.missingFrom(testStart.Add(maxGapTime))
	require.False(t, ask)
	require.False(t, p.listener.needsStore(testStart))
}

// A lost message is replaced by the changes that its sender keeps, deletions included,
// without a store call. A redundant message meanwhile must not hide the gap.
func TestLostMessageIsRequestedFromSender(t *testing.T) {
	p := newFollowerPair(t)
	p.putAndWatch(t, "a/1", "x")
	first := p.queuedUpdates()
	require.True(t, p.listener.receive(testStart, first[0], "reader"))
	e, err := p.kv.Get(context.Background(), "a/1")
	require.NoError(t, err)
	require.NoError(t, p.kv.Delete(context.Background(), "a/1", e.Revision))
	require.NoError(t, p.reader.watch(context.Background()))
	p.putAndWatch(t, "a/2", "y")
	p.queuedUpdates()
	require.False(t, p.listener.receive(testStart, positionOfView(t, p.reader), "reader"))
	require.True(t, p.listener.receive(testStart, first[0], "reader"))
	source, after, ask := p.listener.missingFrom(testStart.Add(gapDelay))
	require.True(t, ask)
	require.Equal(t, "reader", source)
	changes, known := p.reader.changesAfter(after)
	require.True(t, known)
	require.True(t, p.listener.receive(testStart, changes, "reader"))
	require.Equal(t, map[string]string{"a/2": "y"}, p.values)
	require.True(t, p.listener.receive(testStart, positionOfView(t, p.reader), "reader"))
}

// An instance does not know the deletions before its own listing: it returns all entries, by which
// the other one finds them.
func TestChangesBeforeListingAreComplete(t *testing.T) {
	p := newFollowerPair(t)
	p.putAndWatch(t, "a/1", "x")
	late := &Follower{
		KV:     p.kv,
		Prefix: "a/",
		Apply:  func(time.Time, []Change) {},
		Log:    discardLogger,
	}
	p.putAndWatch(t, "a/2", "y")
	require.NoError(t, p.listener.watch(context.Background()))
	e, err := p.kv.Get(context.Background(), "a/1")
	require.NoError(t, err)
	require.NoError(t, p.kv.Delete(context.Background(), "a/1", e.Revision))
	require.NoError(t, late.list(context.Background()))
	all, known := late.changesAfter(p.listener.revision())
	require.True(t, known)
	require.True(t, all.Complete)
	require.True(t, p.listener.receive(testStart, all, "late"))
	require.Equal(t, map[string]string{"a/2": "y"}, p.values)
	require.False(t, p.listener.needsStore(testStart))
	_, known = late.changesAfter(late.revision())
	require.False(t, known)
}

// receiveAll lets the listener receive updates of the reader, and ask it once for what is missing.
func (p *followerPair) receiveAll(updates []PrefixUpdate) {
	for _, update := range updates {
		p.listener.receive(testStart, update, "reader")
	}
	if _, after, ok := p.listener.missingFrom(testStart.Add(gapDelay)); ok {
		if changes, known := p.reader.changesAfter(after); known {
			p.listener.receive(testStart, changes, "reader")
		}
	}
}

// Guards against a key that is never deleted: the reader, whose history was dropped, does not see
// that a key has come and gone since its last revision, but the listener has seen it come.
func TestListingDoesNotHideDeletions(t *testing.T) {
	p := newFollowerPair(t)
	p.putAndWatch(t, "a/0", "x")
	p.receiveAll(p.queuedUpdates())
	rev, err := p.kv.Put(context.Background(), store.Write{
		Key:   "a/1",
		Value: []byte("y"),
	})
	require.NoError(t, err)
	require.NoError(t, p.listener.watch(context.Background()))
	require.NoError(t, p.kv.Delete(context.Background(), "a/1", rev))
	_, err = p.kv.Put(context.Background(), store.Write{
		Key:   "a/2",
		Value: []byte("z"),
	})
	require.NoError(t, err)
	require.NoError(t, p.reader.list(context.Background()))
	p.receiveAll(p.queuedUpdates())
	require.Equal(t, map[string]string{"a/0": "x", "a/2": "z"}, p.values)
}

// Guards against a change that no other instance learns: a later page of the reader's listing
// shows a write that is newer than the listing, so that its next watch returns nothing new.
func TestWriteDuringListingReachesOthers(t *testing.T) {
	p := newFollowerPair(t)
	p.putAndWatch(t, "a/0", "x")
	p.receiveAll(p.queuedUpdates())
	listed, err := p.kv.List(context.Background(), "a/")
	require.NoError(t, err)
	_, err = p.kv.Put(context.Background(), store.Write{
		Key:   "a/1",
		Value: []byte("y"),
	})
	require.NoError(t, err)
	later, err := p.kv.List(context.Background(), "a/")
	require.NoError(t, err)
	p.reader.update(later.Entries, listed.Revision, true)
	p.queuedUpdates()
	require.NoError(t, p.reader.watch(context.Background()))
	p.receiveAll(append(p.queuedUpdates(), positionOfView(t, p.reader)))
	require.Equal(t, map[string]string{"a/0": "x", "a/1": "y"}, p.values)
}

// Guards against changes that are lost at a limit: of the updates that are queued or held back, or of
// the deletions that are kept. One request brings the listener up to date each time.
func TestLimitsLoseNoChange(t *testing.T) {
	put := func(t *testing.T, p *followerPair, key string) store.Revision {
		rev, err := p.kv.Put(context.Background(), store.Write{
			Key:   key,
			Value: []byte("x"),
		})
		require.NoError(t, err)
		return rev
	}
	tests := []struct {
		name string
		play func(t *testing.T, p *followerPair)
	}{
		{
			name: "queue of updates",
			play: func(t *testing.T, p *followerPair) {
				for n := range 2 * cap(p.hub.queue) {
					p.putAndWatch(t, fmt.Sprint("a/", n), "x")
				}
			},
		},
		{
			name: "updates held back",
			play: func(t *testing.T, p *followerPair) {
				p.putAndWatch(t, "a/first", "x")
				p.queuedUpdates()
				for n := range 2 * maxHeldUpdates {
					p.putAndWatch(t, fmt.Sprint("a/", n), "x")
					for _, update := range p.queuedUpdates() {
						require.False(t, p.listener.receive(testStart, update, "reader"))
					}
				}
				require.Len(t, p.listener.view.held, maxHeldUpdates)
			},
		},
		{
			name: "deletions",
			play: func(t *testing.T, p *followerPair) {
				for n := range maxDeletions + 10 {
					rev := put(t, p, fmt.Sprint("a/", n))
					if n == 0 {
						require.NoError(t, p.listener.watch(context.Background()))
					}
					require.NoError(t, p.kv.Delete(context.Background(), fmt.Sprint("a/", n), rev))
				}
				require.NoError(t, p.reader.watch(context.Background()))
				p.queuedUpdates()
				require.LessOrEqual(t, len(p.reader.view.deletions), maxDeletions)
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newFollowerPair(t)
			tt.play(t, p)
			p.receiveAll(append(p.queuedUpdates(), positionOfView(t, p.reader)))
			require.Len(t, p.values, len(p.reader.view.entries))
			require.False(t, p.listener.needsStore(testStart.Add(maxGapTime)))
		})
	}
}
