package watch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/memkv"
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
	require.False(t, p.listener.needsStore())
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
	require.False(t, p.listener.receive(testStart, p.reader.position(), "reader"))
	require.True(t, p.listener.receive(testStart, first[0], "reader"))
	source, after, ask := p.listener.missingFrom(testStart.Add(gapDelay))
	require.True(t, ask)
	require.Equal(t, "reader", source)
	changes, known := p.reader.changesAfter(after)
	require.True(t, known)
	require.True(t, p.listener.receive(testStart, changes, "reader"))
	require.Equal(t, map[string]string{"a/2": "y"}, p.values)
	require.True(t, p.listener.receive(testStart, p.reader.position(), "reader"))
}

// An instance must not answer for changes before its own listing: it does not know the
// deletions before it.
func TestChangesBeforeListingAreUnknown(t *testing.T) {
	p := newFollowerPair(t)
	p.putAndWatch(t, "a/1", "x")
	late := &Follower{
		KV:     p.kv,
		Prefix: "a/",
		Apply:  func(time.Time, []Change) {},
		Log:    discardLogger,
	}
	require.NoError(t, late.list(context.Background()))
	_, known := late.changesAfter(0)
	require.False(t, known)
}

// Guards against views that go back or never meet: updates of two readers arrive in any
// order, some twice and some never, at instances that ask each other for what they miss.
func TestViewsNeverGoBackAndMeet(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			playRandomUpdates(t, rand.New(rand.NewPCG(seed, 1)))
		})
	}
}

// instanceView is an instance that applies updates and checks that no key goes back.
type instanceView struct {
	follower *Follower
	values   map[string]int
	highest  map[string]store.Revision
}

func newInstanceView(t *testing.T, kv store.KV) *instanceView {
	v := &instanceView{
		values:  make(map[string]int),
		highest: make(map[string]store.Revision),
	}
	v.follower = &Follower{
		KV:     kv,
		Prefix: "a/",
		Log:    discardLogger,
		Apply: func(_ time.Time, changes []Change) {
			for _, c := range changes {
				require.Greater(t, c.Entry.Revision, v.highest[c.Entry.Key], "key %s went back", c.Entry.Key)
				v.highest[c.Entry.Key] = c.Entry.Revision
				if c.Entry.Deleted {
					delete(v.values, c.Entry.Key)
					continue
				}
				n, err := strconv.Atoi(string(c.Entry.Value))
				require.NoError(t, err)
				v.values[c.Entry.Key] = n
			}
		},
	}
	require.NoError(t, v.follower.list(context.Background()))
	return v
}

func playRandomUpdates(t *testing.T, r *rand.Rand) {
	const readers, instances, keys, steps = 2, 6, 4, 120
	kv := &memkv.Store{}
	views := make([]*instanceView, 0, instances)
	for range instances {
		views = append(views, newInstanceView(t, kv))
	}
	type delivery struct {
		update   PrefixUpdate
		from, to int
	}
	var inFlight []delivery
	now := testStart
	expected := make(map[string]int)
	deliver := func(d delivery) {
		views[d.to].follower.receive(now, d.update, strconv.Itoa(d.from))
	}
	send := func(from int, p PrefixUpdate) {
		for to := range views {
			if to != from && r.Float64() < 0.8 {
				inFlight = append(inFlight, delivery{update: p, from: from, to: to})
			}
		}
	}
	for step := range steps {
		now = now.Add(20 * time.Millisecond)
		key := fmt.Sprintf("a/%d", r.IntN(keys))
		e, err := kv.Get(context.Background(), key)
		switch {
		case err == nil && r.IntN(3) == 0:
			require.NoError(t, kv.Delete(context.Background(), key, e.Revision))
			delete(expected, key)
		default:
			_, err := kv.Put(context.Background(), store.Write{
				Key:    key,
				Value:  []byte(strconv.Itoa(step)),
				Expect: e.Revision,
			})
			require.NoError(t, err)
			expected[key] = step
		}
		for reader := range readers {
			if r.IntN(2) == 0 {
				continue
			}
			f := views[reader].follower
			before := f.position()
			require.NoError(t, f.watch(context.Background()))
			if changes, ok := f.changesAfter(before.UpTo); ok {
				changes.Before = before.Before
				send(reader, changes)
			}
			send(reader, f.position())
		}
		r.Shuffle(len(inFlight), func(i, j int) {
			inFlight[i], inFlight[j] = inFlight[j], inFlight[i]
		})
		for n := r.IntN(len(inFlight) + 1); n > 0; n-- {
			d := inFlight[0]
			inFlight = inFlight[1:]
			deliver(d)
			if r.IntN(10) == 0 {
				deliver(d)
			}
		}
		for to, v := range views {
			source, after, ok := v.follower.missingFrom(now)
			if from, err := strconv.Atoi(source); ok && err == nil && r.IntN(4) > 0 {
				if changes, known := views[from].follower.changesAfter(after); known {
					deliver(delivery{update: changes, from: from, to: to})
				}
			}
		}
	}
	require.NoError(t, views[0].follower.watch(context.Background()))
	for i, v := range views {
		now = now.Add(maxGapTime)
		v.follower.receive(now, views[0].follower.position(), "0")
		v.follower.missingFrom(now.Add(maxGapTime))
		if v.follower.needsStore() {
			require.NoError(t, v.follower.watch(context.Background()))
		}
		require.Equal(t, expected, v.values, "instance %d", i)
	}
}
