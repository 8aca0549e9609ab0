package broker

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"currantstile/memkv"
	"currantstile/model"
	"currantstile/quota"
)

var testStart = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// evenFleet is a set of instances that share one store.
type evenFleet struct {
	t          *testing.T
	kv         *memkv.Store
	allocators map[string]*EvenAllocator
	alive      map[string]netip.AddrPort
	now        time.Time
	// isolated holds the instances that cannot reach the store.
	isolated map[string]bool
	// partialHolders is set if each contract is held by only some of the instances, so that
	// the sum of their shares may exceed the total.
	partialHolders bool
}

func newEvenFleet(t *testing.T, names ...string) *evenFleet {
	f := &evenFleet{
		t:          t,
		kv:         &memkv.Store{},
		allocators: make(map[string]*EvenAllocator),
		alive:      make(map[string]netip.AddrPort),
		now:        testStart,
		isolated:   make(map[string]bool),
	}
	for _, n := range names {
		f.start(n)
	}
	return f
}

// start starts a process on an instance, replacing any earlier one.
func (f *evenFleet) start(name string) {
	e := &EvenAllocator{
		Self:      name,
		KV:        f.kv,
		RecordKey: "roll",
		Ledger:    quota.NewLedger(),
		Alive: func() map[string]netip.AddrPort {
			return f.alive
		},
		Current: func(time.Time) bool {
			return !f.isolated[name]
		},
		Log: log.Logger{
			Level: log.PanicLevel,
		},
		startedAt:   f.now,
		absentSince: make(map[string]time.Time),
	}
	f.allocators[name] = e
	f.alive[name] = netip.MustParseAddrPort("10.0.0.1:1")
	if entry, err := f.kv.Get(context.Background(), "roll"); err == nil {
		e.Apply(f.now, entry)
	}
	e.MarkListed()
}

// advance steps all instances until d has passed, and checks after each step that the
// usable shares do not exceed the total.
func (f *evenFleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(evenStepInterval) {
		for name, e := range f.allocators {
			if entry, err := f.kv.Get(context.Background(), "roll"); err == nil && !f.isolated[name] {
				e.Apply(f.now, entry)
			}
			e.step(context.Background(), f.now)
		}
		if !f.partialHolders {
			require.LessOrEqual(f.t, f.usableSum(), int64(quota.TotalWeight), "at %s", f.now.Sub(testStart))
		}
	}
}

func (f *evenFleet) usableSum() int64 {
	sum := int64(0)
	for _, e := range f.allocators {
		sum += e.UsableShare(f.now)
	}
	return sum
}

func TestEvenAllocatorEqualShares(t *testing.T) {
	f := newEvenFleet(t, "a", "b", "c", "d")
	f.advance(3 * time.Second)
	for _, e := range f.allocators {
		require.Equal(t, int64(quota.TotalWeight/4), e.UsableShare(f.now))
	}
}

// Guards against an outage after a restart of all instances: a process that replaces
// another on its instance must have its share at once, even if all are killed at the
// same time.
func TestEvenAllocatorRestartOfAll(t *testing.T) {
	f := newEvenFleet(t, "a", "b", "c")
	f.advance(3 * time.Second)
	for _, name := range []string{"a", "b", "c"} {
		f.start(name)
	}
	f.advance(2 * evenStepInterval)
	for _, e := range f.allocators {
		require.Equal(t, int64(quota.TotalWeight/3), e.UsableShare(f.now))
	}
}

// Guards against shares that exceed the total while an instance joins: it must use its
// share only after the others have reduced theirs.
func TestEvenAllocatorJoin(t *testing.T) {
	f := newEvenFleet(t, "a", "b")
	f.advance(3 * time.Second)
	f.start("c")
	f.advance(10 * time.Second)
	require.Equal(t, int64(quota.TotalWeight/3), f.allocators["c"].UsableShare(f.now))
	require.Equal(t, int64(quota.TotalWeight/3), f.allocators["a"].UsableShare(f.now))
}

// Guards against double use of a share: an instance that is cut off from the store must
// stop using its share before the others take it over.
func TestEvenAllocatorIsolatedInstance(t *testing.T) {
	f := newEvenFleet(t, "a", "b", "c")
	f.advance(3 * time.Second)
	f.isolated["c"] = true
	delete(f.alive, "c")
	f.advance(EvenShareTTL - time.Second)
	require.NotZero(t, f.allocators["c"].UsableShare(f.now), "share lost during a store outage that the design covers")
	f.advance(EvenReclaimDelay)
	require.Zero(t, f.allocators["c"].UsableShare(f.now))
	require.Equal(t, int64(quota.TotalWeight/2), f.allocators["a"].UsableShare(f.now))
}

// Guards against an absence that is counted on from an earlier one: an instance that was away and came back
// keeps its share when it is away again.
func TestEvenAllocatorAbsentTwice(t *testing.T) {
	f := newEvenFleet(t, "a", "b")
	f.advance(3 * time.Second)
	addr := f.alive["a"]
	delete(f.alive, "a")
	f.advance(time.Second)
	f.alive["a"] = addr
	f.advance(EvenReclaimDelay)
	f.isolated["a"] = true
	delete(f.alive, "a")
	f.advance(EvenReclaimDelay + time.Second)
	require.Equal(t, int64(quota.TotalWeight), f.allocators["b"].UsableShare(f.now))
}

// Guards against shares too small for a request in a large fleet: at most maxEvenHolders
// instances hold shares of a contract, and shares of different contracts are held by
// different instances.
func TestEvenAllocatorLimitsHolders(t *testing.T) {
	var names []string
	for i := range 40 {
		names = append(names, fmt.Sprintf("n%02d", i))
	}
	f := newEvenFleet(t)
	f.partialHolders = true
	for _, n := range names {
		f.start(n)
	}
	f.advance(4 * time.Second)
	limits := quota.Limits{
		Rate:  700,
		Burst: 7000,
	}
	seen := map[string]bool{}
	for _, org := range []model.OrgID{"x", "y", "z"} {
		taken, holders := int64(0), 0
		for name, e := range f.allocators {
			n := e.Ledger.Take(f.now.Add(EvenShareTTL-2*time.Second), org, limits, 1_000_000)
			taken += n
			if n > 0 {
				holders++
				seen[name] = true
			}
		}
		require.LessOrEqual(t, taken, limits.Burst)
		require.LessOrEqual(t, holders, maxEvenHolders)
	}
	require.Greater(t, len(seen), maxEvenHolders)
}

func TestEvenAllocatorIgnoresMalformedRecord(t *testing.T) {
	f := newEvenFleet(t, "a")
	f.advance(3 * time.Second)
	e, err := f.kv.Get(context.Background(), "roll")
	require.NoError(t, err)
	var r membershipRecord
	require.NoError(t, json.Unmarshal(e.Value, &r))
	require.Equal(t, []string{"a"}, r.Instances)
	bad := e
	bad.Revision++
	bad.Value = []byte("{")
	f.allocators["a"].Apply(f.now, bad)
	require.Equal(t, int64(quota.TotalWeight), f.allocators["a"].UsableShare(f.now))
}
