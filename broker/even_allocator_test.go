package broker

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"currantstile/memkv"
	"currantstile/model"
	"currantstile/quota"
	"currantstile/store"
	"currantstile/wire"
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
	// silent holds the instances that can reach no other instance.
	silent map[string]bool
	// rng decides the order of the instances in each step; nil for that of their names.
	rng *rand.Rand
	// late holds for how many steps more instances don't read the record.
	late map[string]int
	// numbers holds the instances' numbers in their addresses.
	numbers map[string]int
	// partialHolders is set if each contract is held by only some of the instances, so that
	// the sum of their shares may exceed the total.
	partialHolders bool
	// rewound is set once the store has returned from a copy, and eras is what each instance knows of that.
	rewound bool
	eras    map[string]store.Era
}

func newEvenFleet(t *testing.T, names ...string) *evenFleet {
	f := &evenFleet{
		t:          t,
		kv:         &memkv.Store{},
		allocators: make(map[string]*EvenAllocator),
		alive:      make(map[string]netip.AddrPort),
		now:        testStart,
		isolated:   make(map[string]bool),
		silent:     make(map[string]bool),
		late:       make(map[string]int),
		numbers:    make(map[string]int),
		eras:       make(map[string]store.Era),
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
		Era: func() store.Era {
			return f.eras[name]
		},
		Log: log.Logger{
			Level: log.PanicLevel,
		},
		Ask: f.ask(name),
	}
	e.start(f.now)
	f.allocators[name] = e
	f.alive[name] = f.addr(name)
	if entry, err := f.kv.Get(context.Background(), "roll"); err == nil {
		e.Apply(f.now, entry)
	}
	e.MarkListed()
}

// ask returns the calls of an instance, which reach all that are not silent.
func (f *evenFleet) ask(from string) func(context.Context, netip.AddrPort, wire.ShareRecordArgs) (wire.ShareRecordReply, error) {
	return func(_ context.Context, addr netip.AddrPort, args wire.ShareRecordArgs) (wire.ShareRecordReply, error) {
		for name, e := range f.allocators {
			if f.addr(name) == addr && !f.silent[name] && !f.silent[from] {
				return e.Acknowledge(f.now, args), nil
			}
		}
		return wire.ShareRecordReply{}, errors.New("no answer")
	}
}

// addr returns the address of an instance.
func (f *evenFleet) addr(name string) netip.AddrPort {
	i, ok := f.numbers[name]
	if !ok {
		i = len(f.numbers) + 1
		f.numbers[name] = i
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
}

// advance steps all instances until d has passed, and checks after each step that the
// usable shares do not exceed the total.
func (f *evenFleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(evenStepInterval) {
		names := slices.Sorted(maps.Keys(f.allocators))
		if f.rng != nil {
			f.rng.Shuffle(len(names), func(i, j int) {
				names[i], names[j] = names[j], names[i]
			})
		}
		for _, name := range names {
			e := f.allocators[name]
			if f.late[name] == 0 && !f.isolated[name] {
				f.eras[name] = f.revision().Era()
			}
			if f.late[name] > 0 {
				f.late[name]--
			} else if entry, err := f.kv.Get(context.Background(), "roll"); err == nil && !f.isolated[name] {
				e.Apply(f.now, entry)
			} else if f.rewound && errors.Is(err, store.ErrNotFound) && !f.isolated[name] {
				e.Apply(f.now, store.Entry{
					Key:      "roll",
					Revision: f.revision(),
					Deleted:  true,
					Rewound:  true,
				})
			}
			e.step(context.Background(), f.now)
		}
		if !f.partialHolders {
			require.LessOrEqual(f.t, f.usableSum(), int64(quota.TotalWeight), "at %s", f.now.Sub(testStart))
		}
		for _, org := range []model.OrgID{"x", "y", "z"} {
			require.LessOrEqual(f.t, f.usableSumOf(org), int64(quota.TotalWeight), "of %s at %s", org, f.now.Sub(testStart))
		}
	}
}

// revision returns the present revision of the store.
func (f *evenFleet) revision() store.Revision {
	b, err := f.kv.List(context.Background(), "")
	require.NoError(f.t, err)
	return b.Revision
}

// usableSumOf returns the sum of the usable shares of one contract.
func (f *evenFleet) usableSumOf(org model.OrgID) int64 {
	sum := int64(0)
	for name, e := range f.allocators {
		if holders := shareHolders(e.record, org); e.UsableShare(f.now) > 0 && slices.Contains(holders, name) {
			sum += quota.TotalWeight / int64(len(holders))
		}
	}
	return sum
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

// Guards against a deployment that counts as started for the first time after a restart of all its instances.
func TestEvenAllocatorKeepsWhenTheDeploymentStarted(t *testing.T) {
	f := newEvenFleet(t, "a", "b")
	f.advance(3 * time.Second)
	first, known := f.allocators["a"].RunningSince()
	require.True(t, known)
	require.WithinDuration(t, f.now.Add(-3*time.Second), first, time.Millisecond)
	f.start("c")
	f.advance(EvenReclaimDelay)
	for _, name := range []string{"a", "b", "c"} {
		f.start(name)
	}
	f.advance(EvenReclaimDelay)
	for _, name := range []string{"a", "b", "c"} {
		since, known := f.allocators[name].RunningSince()
		require.True(t, known)
		require.Equal(t, first, since, name)
	}
	require.Greater(t, f.allocators["a"].record.Version, uint64(1))
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

// Guards against two shares of one limit: an instance that joins while a holder is cut off from the
// store and the others waits for as long as that one uses its old share.
func TestEvenAllocatorJoinBesideIsolatedHolder(t *testing.T) {
	f := newEvenFleet(t, "a")
	f.advance(3 * time.Second)
	f.isolated["a"], f.silent["a"] = true, true
	delete(f.alive, "a")
	f.start("b")
	f.start("c")
	f.advance(EvenReclaimDelay)
	require.NotZero(t, f.allocators["b"].UsableShare(f.now))
}

// Guards against an instance cut off from the store that shrinks its share and can't take tokens of
// those for which it did so.
func TestEvenAllocatorJoinBesideHolderWithoutStore(t *testing.T) {
	f := newEvenFleet(t, "a")
	f.advance(3 * time.Second)
	f.isolated["a"] = true
	own := map[string]netip.AddrPort{
		"a": f.addr("a"),
	}
	f.allocators["a"].Alive = func() map[string]netip.AddrPort {
		return own
	}
	f.start("b")
	f.advance(4 * joinDelay)
	require.Equal(t, int64(quota.TotalWeight/2), f.allocators["a"].UsableShare(f.now))
	require.Equal(t, int64(quota.TotalWeight/2), f.allocators["b"].UsableShare(f.now))
	require.Contains(t, f.allocators["a"].Holders("x"), "b")
}

// Guards against two shares of one limit: an instance whose entry has expired is about to be removed from
// the record, though others keep it up to date.
func TestEvenAllocatorUnlistedInstance(t *testing.T) {
	f := newEvenFleet(t, "a", "b")
	f.advance(3 * time.Second)
	delete(f.alive, "b")
	f.advance(EvenShareTTL + evenStepInterval)
	require.Zero(t, f.allocators["b"].UsableShare(f.now))
	f.alive["b"] = f.addr("b")
	f.advance(evenStepInterval)
	require.Zero(t, f.allocators["b"].UsableShare(f.now), "used while the others may be about to remove it")
	f.advance(activationDelay)
	require.Equal(t, int64(quota.TotalWeight/2), f.allocators["b"].UsableShare(f.now))
}

// Guards against two shares of one limit: a process that starts after another has added its instance
// to the record is no process that replaces one.
func TestEvenAllocatorJoinAddedByOthers(t *testing.T) {
	f := newEvenFleet(t, "a", "b")
	f.advance(3 * time.Second)
	f.isolated["b"], f.silent["b"] = true, true
	delete(f.alive, "b")
	f.alive["c"] = f.addr("c")
	f.advance(time.Second)
	f.start("c")
	f.advance(EvenReclaimDelay)
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
