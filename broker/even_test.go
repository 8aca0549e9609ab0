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

var evenStart = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// crowd is several instances on one store.
type crowd struct {
	t     *testing.T
	kv    *memkv.Store
	evens map[string]*Even
	alive map[string]netip.AddrPort
	now   time.Time
	// cut are the instances that hear nothing of the store.
	cut map[string]bool
	// wide is set where the instances hold parts of different contracts.
	wide bool
}

func newCrowd(t *testing.T, names ...string) *crowd {
	c := &crowd{
		t:     t,
		kv:    &memkv.Store{},
		evens: make(map[string]*Even),
		alive: make(map[string]netip.AddrPort),
		now:   evenStart,
		cut:   make(map[string]bool),
	}
	for _, n := range names {
		c.start(n)
	}
	return c
}

// start starts a process on an instance, in place of one before it.
func (c *crowd) start(name string) {
	e := &Even{
		Self:   name,
		KV:     c.kv,
		Key:    "roll",
		Ledger: quota.NewLedger(),
		Alive: func() map[string]netip.AddrPort {
			return c.alive
		},
		Current: func(time.Time) bool {
			return !c.cut[name]
		},
		Log: log.Logger{
			Level: log.PanicLevel,
		},
		begun: c.now,
		gone:  make(map[string]time.Time),
	}
	c.evens[name] = e
	c.alive[name] = netip.MustParseAddrPort("10.0.0.1:1")
	if entry, err := c.kv.Get(context.Background(), "roll"); err == nil {
		e.Apply(c.now, entry)
	}
	e.Listed()
}

// run lets time pass.
func (c *crowd) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(evenTick) {
		for name, e := range c.evens {
			if entry, err := c.kv.Get(context.Background(), "roll"); err == nil && !c.cut[name] {
				e.Apply(c.now, entry)
			}
			e.step(context.Background(), c.now)
		}
		if !c.wide {
			require.LessOrEqual(c.t, c.sum(), int64(quota.Whole), "at %s", c.now.Sub(evenStart))
		}
	}
}

func (c *crowd) sum() int64 {
	sum := int64(0)
	for _, e := range c.evens {
		sum += e.Usable(c.now)
	}
	return sum
}

func TestEvenDividesAmongAll(t *testing.T) {
	c := newCrowd(t, "a", "b", "c", "d")
	c.run(3 * time.Second)
	for _, e := range c.evens {
		require.Equal(t, int64(quota.Whole/4), e.Usable(c.now))
	}
}

// A process that follows another one on its instance has its part at once, also if
// all are killed at the same moment.
func TestEvenAfterAllAreKilled(t *testing.T) {
	c := newCrowd(t, "a", "b", "c")
	c.run(3 * time.Second)
	for _, name := range []string{"a", "b", "c"} {
		c.start(name)
	}
	c.run(2 * evenTick)
	for _, e := range c.evens {
		require.Equal(t, int64(quota.Whole/3), e.Usable(c.now))
	}
}

// Who joins uses its part only once the others have made theirs smaller.
func TestEvenJoiner(t *testing.T) {
	c := newCrowd(t, "a", "b")
	c.run(3 * time.Second)
	c.start("c")
	c.run(10 * time.Second)
	require.Equal(t, int64(quota.Whole/3), c.evens["c"].Usable(c.now))
	require.Equal(t, int64(quota.Whole/3), c.evens["a"].Usable(c.now))
}

// An instance that is cut off stops using its part before the others take it.
func TestEvenInstanceThatIsCutOff(t *testing.T) {
	c := newCrowd(t, "a", "b", "c")
	c.run(3 * time.Second)
	c.cut["c"] = true
	delete(c.alive, "c")
	c.run(EvenFence - time.Second)
	require.NotZero(t, c.evens["c"].Usable(c.now), "an outage that is planned for")
	c.run(EvenReclaim)
	require.Zero(t, c.evens["c"].Usable(c.now))
	require.Equal(t, int64(quota.Whole/2), c.evens["a"].Usable(c.now))
}

// In a large fleet a few instances hold parts of each contract that a request fits
// into, others for each one.
func TestEvenHoldersAreFew(t *testing.T) {
	var names []string
	for i := range 40 {
		names = append(names, fmt.Sprintf("n%02d", i))
	}
	c := newCrowd(t)
	c.wide = true
	for _, n := range names {
		c.start(n)
	}
	c.run(4 * time.Second)
	limits := quota.Limits{
		Rate:  700,
		Burst: 7000,
	}
	seen := map[string]bool{}
	for _, org := range []model.OrgID{"x", "y", "z"} {
		taken, holders := int64(0), 0
		for name, e := range c.evens {
			n := e.Ledger.Take(c.now.Add(EvenFence-2*time.Second), org, limits, 1_000_000)
			taken += n
			if n > 0 {
				holders++
				seen[name] = true
			}
		}
		require.LessOrEqual(t, taken, limits.Burst)
		require.LessOrEqual(t, holders, evenHolders)
	}
	require.Greater(t, len(seen), evenHolders)
}

func TestEvenIgnoresWhatCannotBeRead(t *testing.T) {
	c := newCrowd(t, "a")
	c.run(3 * time.Second)
	e, err := c.kv.Get(context.Background(), "roll")
	require.NoError(t, err)
	var r roll
	require.NoError(t, json.Unmarshal(e.Value, &r))
	require.Equal(t, []string{"a"}, r.Instances)
	bad := e
	bad.Revision++
	bad.Value = []byte("{")
	c.evens["a"].Apply(c.now, bad)
	require.Equal(t, int64(quota.Whole), c.evens["a"].Usable(c.now))
}
