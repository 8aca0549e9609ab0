package elect

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"currantstile/fleet"
	"currantstile/memkv"
	"currantstile/store"
	"currantstile/watch"
)

const leaseTime = 3 * time.Second

// newSession makes a process of an instance whose lease was renewed at a time.
func newSession(kv store.KV, name string, begun time.Time) *Session {
	return &Session{
		Self: fleet.Instance{
			Name:  name,
			Peers: netip.MustParseAddrPort("10.0.0.1:1"),
		},
		KV:   kv,
		Book: fleet.NewBook(),
		Targets: func() []string {
			return []string{"t1"}
		},
		Health:          &watch.Health{},
		LeaseTime:       leaseTime,
		FencingEnforced: true,
		Log: log.Logger{
			Level: log.PanicLevel,
		},
		startedAt:        begun,
		renewedAt:        begun,
		lease:            "1",
		suspendedTotal:   suspendedTime(),
		orderFrom:        make(map[string]time.Time),
		refusedTokens:    make(map[string]uint64),
		managerRevisions: make(map[string]store.Revision),
	}
}

// applyListing lets a session see all keys, with these instances alive.
func applyListing(t *testing.T, s *Session, kv store.KV, alive ...string) {
	b, err := kv.List(context.Background(), Prefix)
	require.NoError(t, err)
	var changes []watch.Change
	for _, e := range b.Entries {
		changes = append(changes, watch.Change{
			Entry: e,
		})
	}
	for _, name := range alive {
		s.Book.SetInstance(fleet.Instance{
			Name: name,
		})
	}
	s.Apply(time.Now(), changes)
}

func TestManagerSuccession(t *testing.T) {
	ctx := context.Background()
	kv := &memkv.Store{}
	begun := time.Now()
	a := newSession(kv, "a", begun)
	applyListing(t, a, kv, "a")
	a.claimTargets(ctx, begun)
	require.False(t, a.Manages("t1"), "others may be about to appear")
	now := begun.Add(discoveryTime + time.Millisecond)
	a.claimTargets(ctx, now)
	require.True(t, a.Manages("t1"))
	first, ok := a.MayOrder(time.Now().Add(time.Millisecond), "t1")
	require.True(t, ok, "nobody managed it before")

	t.Run("another instance leaves it alone while the manager lives", func(t *testing.T) {
		b := newSession(kv, "b", begun)
		applyListing(t, b, kv, "a", "b")
		b.claimTargets(ctx, now)
		require.False(t, b.Manages("t1"))
	})
	t.Run("a process on the same instance goes on at once with a higher number", func(t *testing.T) {
		again := newSession(kv, "a", now)
		applyListing(t, again, kv, "a", "b")
		require.False(t, again.Manages("t1"), "the key is of the process before")
		again.claimTargets(ctx, now)
		fence, ok := again.MayOrder(time.Now().Add(time.Millisecond), "t1")
		require.True(t, ok)
		require.Greater(t, fence, first)
		first = fence
	})
	t.Run("another instance waits out the orders of a dead manager", func(t *testing.T) {
		b := newSession(kv, "b", begun)
		applyListing(t, b, kv, "b")
		b.claimTargets(ctx, now)
		require.True(t, b.Manages("t1"))
		_, ok := b.MayOrder(time.Now(), "t1")
		require.False(t, ok)
		b.renewedAt = time.Now().Add(leaseTime)
		fence, ok := b.MayOrder(time.Now().Add(leaseTime+time.Millisecond), "t1")
		require.True(t, ok)
		require.Greater(t, fence, first)
		b.RecordRefusal("t1", fence)
		_, ok = b.MayOrder(time.Now().Add(leaseTime+time.Millisecond), "t1")
		require.False(t, ok, "a number that was turned away is not used again")
	})
}

func TestMayOrderAfterLeaseExpiry(t *testing.T) {
	ctx := context.Background()
	kv := &memkv.Store{}
	begun := time.Now().Add(-discoveryTime - time.Millisecond)
	a := newSession(kv, "a", begun)
	applyListing(t, a, kv, "a")
	a.renewedAt = time.Now()
	a.claimTargets(ctx, time.Now())
	require.True(t, a.Manages("t1"))
	late := time.Now().Add(leaseTime)
	_, ok := a.MayOrder(late, "t1")
	require.False(t, ok, "the lease may have lapsed, and the store is there")
	a.Health.Missed(time.Now())
	_, ok = a.MayOrder(late, "t1")
	require.True(t, ok, "nobody can have followed, and targets check the number")
	a.FencingEnforced = false
	_, ok = a.MayOrder(late, "t1")
	require.False(t, ok, "targets do not check the number")
}

// A claim whose answer is lost ends in one manager.
func TestClaimWithLostReply(t *testing.T) {
	ctx := context.Background()
	lost := false
	kv := &memkv.Store{
		Fault: func(string) (bool, error) {
			if lost {
				return false, nil
			}
			lost = true
			return true, store.ErrAmbiguous
		},
	}
	begun := time.Now().Add(-discoveryTime - time.Millisecond)
	a := newSession(kv, "a", begun)
	a.renewedAt = time.Now()
	applyListing(t, a, kv, "a")
	a.claimTargets(ctx, time.Now())
	require.False(t, a.Manages("t1"))
	applyListing(t, a, kv, "a")
	a.Health.Reached(time.Now())
	a.claimTargets(ctx, time.Now().Add(outageGrace))
	require.True(t, a.Manages("t1"))
}
