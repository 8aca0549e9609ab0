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

// evenFleet is several instances on one store.
type evenFleet struct {
	t          *testing.T
	kv         *memkv.Store
	allocators map[string]*EvenAllocator
	alive      map[string]netip.AddrPort
	now        time.Time
	// isolated are the instances that hear nothing of the store.
	isolated map[string]bool
	// partialHolders is set where the instances hold parts of different contracts.
	partialHolders bool
}

func newEvenFleet(t *testing.T, names ...string) *evenFleet {
	c := &evenFleet{
		t:          t,
		kv:         &memkv.Store{},
		allocators: make(map[string]*EvenAllocator),
		alive:      make(map[string]netip.AddrPort),
		now:        testStart,
		isolated:   make(map[string]bool),
	}
	for _, n := range names {
		c.start(n)
	}
	return c
}

// start starts a process on an instance, in place of one before it.
func (c *evenFleet) start(name string) {
	e := &EvenAllocator{
		Self:      name,
		KV:        c.kv,
		RecordKey: "roll",
		Ledger:    quota.NewLedger(),
		Alive: func() map[string]netip.AddrPort {
			return c.alive
		},
		Current: func(time.Time) bool {
			return !c.isolated[name]
		},
		Log: log.Logger{
			Level: log.PanicLevel,
		},
		startedAt:   c.now,
		absentSince: make(map[string]time.Time),
	}
	c.allocators[name] = e
	c.alive[name] = netip.MustParseAddrPort("10.0.0.1:1")
	if entry, err := c.kv.Get(context.Background(), "roll"); err == nil {
		e.Apply(c.now, entry)
	}
	e.MarkListed()
}

// advance lets time pass.
func (c *evenFleet) advance(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(evenStepInterval) {
		for name, e := range c.allocators {
			if entry, err := c.kv.Get(context.Background(), "roll"); err == nil && !c.isolated[name] {
				e.Apply(c.now, entry)
			}
			e.step(context.Background(), c.now)
		}
		if !c.partialHolders {
			require.LessOrEqual(c.t, c.usableSum(), int64(quota.Whole), "at %s", c.now.Sub(testStart))
		}
	}
}

func (c *evenFleet) usableSum() int64 {
	sum := int64(0)
	for _, e := range c.allocators {
		sum += e.UsableShare(c.now)
	}
	return sum
}

func TestEvenAllocatorEqualShares(t *testing.T) {
	c := newEvenFleet(t, "a", "b", "c", "d")
	c.advance(3 * time.Second)
	for _, e := range c.allocators {
		require.Equal(t, int64(quota.Whole/4), e.UsableShare(c.now))
	}
}

// A process that follows another one on its instance has its part at once, also if
// all are killed at the same moment.
func TestEvenAllocatorRestartOfAll(t *testing.T) {
	c := newEvenFleet(t, "a", "b", "c")
	c.advance(3 * time.Second)
	for _, name := range []string{"a", "b", "c"} {
		c.start(name)
	}
	c.advance(2 * evenStepInterval)
	for _, e := range c.allocators {
		require.Equal(t, int64(quota.Whole/3), e.UsableShare(c.now))
	}
}

// Who joins uses its part only once the others have made theirs smaller.
func TestEvenAllocatorJoin(t *testing.T) {
	c := newEvenFleet(t, "a", "b")
	c.advance(3 * time.Second)
	c.start("c")
	c.advance(10 * time.Second)
	require.Equal(t, int64(quota.Whole/3), c.allocators["c"].UsableShare(c.now))
	require.Equal(t, int64(quota.Whole/3), c.allocators["a"].UsableShare(c.now))
}

// An instance that is cut off stops using its part before the others take it.
func TestEvenAllocatorIsolatedInstance(t *testing.T) {
	c := newEvenFleet(t, "a", "b", "c")
	c.advance(3 * time.Second)
	c.isolated["c"] = true
	delete(c.alive, "c")
	c.advance(EvenFenceTime - time.Second)
	require.NotZero(t, c.allocators["c"].UsableShare(c.now), "an outage that is planned for")
	c.advance(EvenReclaimTime)
	require.Zero(t, c.allocators["c"].UsableShare(c.now))
	require.Equal(t, int64(quota.Whole/2), c.allocators["a"].UsableShare(c.now))
}

// In a large fleet a few instances hold parts of each contract that a request fits
// into, others for each one.
func TestEvenAllocatorLimitsHolders(t *testing.T) {
	var names []string
	for i := range 40 {
		names = append(names, fmt.Sprintf("n%02d", i))
	}
	c := newEvenFleet(t)
	c.partialHolders = true
	for _, n := range names {
		c.start(n)
	}
	c.advance(4 * time.Second)
	limits := quota.Limits{
		Rate:  700,
		Burst: 7000,
	}
	seen := map[string]bool{}
	for _, org := range []model.OrgID{"x", "y", "z"} {
		taken, holders := int64(0), 0
		for name, e := range c.allocators {
			n := e.Ledger.Take(c.now.Add(EvenFenceTime-2*time.Second), org, limits, 1_000_000)
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
	c := newEvenFleet(t, "a")
	c.advance(3 * time.Second)
	e, err := c.kv.Get(context.Background(), "roll")
	require.NoError(t, err)
	var r membershipRecord
	require.NoError(t, json.Unmarshal(e.Value, &r))
	require.Equal(t, []string{"a"}, r.Instances)
	bad := e
	bad.Revision++
	bad.Value = []byte("{")
	c.allocators["a"].Apply(c.now, bad)
	require.Equal(t, int64(quota.Whole), c.allocators["a"].UsableShare(c.now))
}
