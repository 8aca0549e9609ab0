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

// session makes a process of an instance whose lease was renewed at a time.
func session(kv store.KV, name string, begun time.Time) *Session {
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
		Health:    &watch.Health{},
		LeaseTime: leaseTime,
		Fenced:    true,
		Log: log.Logger{
			Level: log.PanicLevel,
		},
		begun:     begun,
		renewed:   begun,
		lease:     "1",
		asleep:    suspended(),
		orderFrom: make(map[string]time.Time),
		refused:   make(map[string]uint64),
		revision:  make(map[string]store.Revision),
	}
}

// see lets a session see all keys, with these instances alive.
func see(t *testing.T, s *Session, kv store.KV, alive ...string) {
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

func TestManagerAndItsSuccessors(t *testing.T) {
	ctx := context.Background()
	kv := &memkv.Store{}
	begun := time.Now()
	a := session(kv, "a", begun)
	see(t, a, kv, "a")
	a.claim(ctx, begun)
	require.False(t, a.Manages("t1"), "others may be about to appear")
	now := begun.Add(settleTime + time.Millisecond)
	a.claim(ctx, now)
	require.True(t, a.Manages("t1"))
	first, ok := a.MayOrder(time.Now().Add(time.Millisecond), "t1")
	require.True(t, ok, "nobody managed it before")

	t.Run("another instance leaves it alone while the manager lives", func(t *testing.T) {
		b := session(kv, "b", begun)
		see(t, b, kv, "a", "b")
		b.claim(ctx, now)
		require.False(t, b.Manages("t1"))
	})
	t.Run("a process on the same instance goes on at once with a higher number", func(t *testing.T) {
		again := session(kv, "a", now)
		see(t, again, kv, "a", "b")
		require.False(t, again.Manages("t1"), "the key is of the process before")
		again.claim(ctx, now)
		fence, ok := again.MayOrder(time.Now().Add(time.Millisecond), "t1")
		require.True(t, ok)
		require.Greater(t, fence, first)
		first = fence
	})
	t.Run("another instance waits out the orders of a dead manager", func(t *testing.T) {
		b := session(kv, "b", begun)
		see(t, b, kv, "b")
		b.claim(ctx, now)
		require.True(t, b.Manages("t1"))
		_, ok := b.MayOrder(time.Now(), "t1")
		require.False(t, ok)
		b.renewed = time.Now().Add(leaseTime)
		fence, ok := b.MayOrder(time.Now().Add(leaseTime+time.Millisecond), "t1")
		require.True(t, ok)
		require.Greater(t, fence, first)
		b.Refused("t1", fence)
		_, ok = b.MayOrder(time.Now().Add(leaseTime+time.Millisecond), "t1")
		require.False(t, ok, "a number that was turned away is not used again")
	})
}

func TestNoOrdersWithoutALease(t *testing.T) {
	ctx := context.Background()
	kv := &memkv.Store{}
	begun := time.Now().Add(-settleTime - time.Millisecond)
	a := session(kv, "a", begun)
	see(t, a, kv, "a")
	a.renewed = time.Now()
	a.claim(ctx, time.Now())
	require.True(t, a.Manages("t1"))
	late := time.Now().Add(leaseTime)
	_, ok := a.MayOrder(late, "t1")
	require.False(t, ok, "the lease may have lapsed, and the store is there")
	a.Health.Missed(time.Now())
	_, ok = a.MayOrder(late, "t1")
	require.True(t, ok, "nobody can have followed, and targets check the number")
	a.Fenced = false
	_, ok = a.MayOrder(late, "t1")
	require.False(t, ok, "targets do not check the number")
}

// A claim whose answer is lost ends in one manager.
func TestLostAnswerToAClaim(t *testing.T) {
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
	begun := time.Now().Add(-settleTime - time.Millisecond)
	a := session(kv, "a", begun)
	a.renewed = time.Now()
	see(t, a, kv, "a")
	a.claim(ctx, time.Now())
	require.False(t, a.Manages("t1"))
	see(t, a, kv, "a")
	a.Health.Reached(time.Now())
	a.claim(ctx, time.Now().Add(graceTime))
	require.True(t, a.Manages("t1"))
}
