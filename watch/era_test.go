package watch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/memkv"
	"currantstile/store"
)

// Row 3: guards against an instance that counts as up to date since a reader which has not heard of the
// store's return from a copy confirms what is gone.
func TestEvidenceOfEarlierEraIsNone(t *testing.T) {
	first, second := store.Era(1), store.Era(2)
	h := newTestHub("b", "a", "b")
	f := &Follower{
		Prefix: "a/",
		Apply:  func(time.Time, []Change) {},
		Log:    discardLogger,
		hub:    h,
	}
	h.Followers = []*Follower{f}
	now := time.Now()
	ping := func(era store.Era, number uint64) Message {
		return Message{
			From:  "a",
			Proof: true,
			Parts: []PrefixUpdate{
				{
					Prefix: "a/",
					Before: era.At(number),
					UpTo:   era.At(number),
				},
			},
		}
	}
	f.update(nil, first.At(9), true)
	h.Receive(now, ping(first, 9))
	require.True(t, h.Current(now))
	h.Receive(now, ping(second, 4))
	require.False(t, h.Current(now), "a later era is known, and no listing of it")
	h.Peers = newTestHub("b", "b").Peers
	h.Health.RecordSuccess(now)
	require.True(t, h.mayRead(now, 1))
	require.False(t, h.UpToDate(now), "nor does a store that responds show it")
	h.Peers = newTestHub("b", "a", "b").Peers
	era, changes := h.Era()
	require.Equal(t, second, era)
	require.Equal(t, int64(1), changes)
	now = now.Add(readerTimeout)
	f.update(nil, second.At(4), true)
	h.Receive(now, ping(first, 10))
	require.False(t, h.Current(now), "the reader is in the earlier era")
	h.Receive(now, ping(second, 4))
	require.True(t, h.Current(now))
	require.False(t, h.LastOutage().IsZero(), "the change of era is an outage")
}

// Row 5: guards against instances that stay in an earlier era, or hold what only that one had, after the
// era has increased twice within a second; the store rejects one of them throughout.
func TestFleetMeetsInLastEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := startFleet(ctx, t, "a", "b", "c", "d", "e")
		f.write(valuePrefix+"kept", "1")
		copied := f.kv.Copy()
		f.write(valuePrefix+"lost", "1")
		f.instances["e"].kv.refuse("")
		time.Sleep(applyTimeout)
		f.kv.Rewind(copied)
		time.Sleep(400 * time.Millisecond)
		f.write(valuePrefix+"between", "1")
		f.kv.Rewind(copied)
		f.write(valuePrefix+"new", "2")
		time.Sleep(applyTimeout)
		for _, i := range f.instances {
			i.mu.Lock()
			require.Equal(t, "1", i.values["kept"], i.name)
			require.Equal(t, "2", i.values["new"], i.name)
			require.Empty(t, i.values["lost"], i.name)
			require.Empty(t, i.values["between"], i.name)
			i.mu.Unlock()
			require.True(t, i.hub.Current(time.Now()), i.name)
			era, _ := i.hub.Era()
			require.Equal(t, store.Era(2), era, i.name)
		}
	})
}

// waitingKV is a store that holds each watch until its time is over, also after its return from a copy.
type waitingKV struct {
	store.KV
}

// Watch implements store.KV.
func (waitingKV) Watch(ctx context.Context, _ string, _ store.Revision, wait time.Duration) (store.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	<-ctx.Done()
	return store.Batch{}, store.ErrUnavailable
}

// Row 6: guards against a prefix that stays in the earlier era for as long as the store holds its watch, and
// against a watch that was ended for it and counts as a failure of the store.
func TestWatchEndsInNewEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := &memkv.Store{}
		health := &Health{}
		h := newTestHub("a", "a")
		h.Health = health
		quiet := &Follower{
			KV:     waitingKV{kv},
			Prefix: "quiet/",
			Apply:  func(time.Time, []Change) {},
			Health: health,
			Log:    discardLogger,
			hub:    h,
		}
		other := &Follower{
			Prefix: "other/",
			Apply:  func(time.Time, []Change) {},
			Log:    discardLogger,
			hub:    h,
		}
		h.Followers = []*Follower{quiet, other}
		ctx := t.Context()
		quiet.poll(ctx)
		other.update(nil, 1, true)
		go func() {
			time.Sleep(time.Second)
			kv.Rewind(kv.Copy())
			other.update(nil, store.Era(1).Position(1), true)
		}()
		start := time.Now()
		quiet.poll(ctx)
		require.Equal(t, time.Second, time.Since(start))
		require.False(t, health.Unavailable())
		quiet.poll(ctx)
		require.False(t, h.behindEra())
	})
}
