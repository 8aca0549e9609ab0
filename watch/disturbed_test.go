package watch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/clock"
	"currantstile/memkv"
	"currantstile/store"
)

const (
	// stableTime is how long a link or the store must have been undisturbed before applyTimeout holds.
	stableTime = 3 * time.Second
	// callTime limits a call beyond its wait, as the client of the platform's store does, and renewalTime
	// limits the renewal of a lease.
	callTime    = 1500 * time.Millisecond
	renewalTime = 500 * time.Millisecond
	// slowTime is how long a slow store takes to respond.
	slowTime = 400 * time.Millisecond
	beatKey  = memberPrefix + "beat"
	// disturbedSeeds is the number of days that the test plays.
	disturbedSeeds = 100
)

// disturbance is a fault of the store as some instances see it.
type disturbance struct {
	// kind is silent: calls and responses are lost; held: calls are lost and responses to earlier ones wait
	// for its end; answers: responses are lost; reset or busy: calls fail; slow: responses take slowTime.
	kind string
	// names are the instances; none stands for all.
	names []string
	from  time.Time
	to    time.Time
}

func (d disturbance) String() string {
	return fmt.Sprint(d.kind, d.names, d.from.Format(".000"), d.to.Sub(d.from))
}

func (d disturbance) strikes(name string, at time.Time) bool {
	return (len(d.names) == 0 || slices.Contains(d.names, name)) && !at.Before(d.from) && at.Before(d.to)
}

// disturbedKV is a store whose watches wait, as one instance sees it under disturbances.
type disturbedKV struct {
	*faultyKV
	name string
	day  *disturbedDay
}

// disturbedDay is a fleet, and what happens to it.
type disturbedDay struct {
	*testFleet
	rng *rand.Rand
	// mu guards the disturbances against the goroutines of the instances.
	mu           sync.Mutex
	disturbances []disturbance
	// acked are the times at which the values 1, 2, 3... of the key were acknowledged.
	acked []time.Time
	// killed are the instances that were ended.
	killed map[string]bool
	cancel map[string]context.CancelFunc
}

// newDisturbedDay returns a day of four instances that draws from rng.
func newDisturbedDay(t *testing.T, rng *rand.Rand) *disturbedDay {
	return &disturbedDay{
		testFleet: &testFleet{
			t:         t,
			kv:        &memkv.Store{},
			instances: make(map[string]*testInstance),
			names:     []string{"a", "b", "c", "d"},
		},
		rng:    rng,
		killed: make(map[string]bool),
		cancel: make(map[string]context.CancelFunc),
	}
}

// striking returns the disturbance of an instance at a time.
func (d *disturbedDay) striking(name string, at time.Time) (disturbance, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := slices.IndexFunc(d.disturbances, func(x disturbance) bool {
		return x.strikes(name, at)
	})
	if i < 0 {
		return disturbance{}, false
	}
	return d.disturbances[i], true
}

// send delivers a call to the store. It reports false if the call fails.
func (k disturbedKV) send(ctx context.Context) bool {
	d, ok := k.day.striking(k.name, time.Now())
	switch {
	case !ok || d.kind == "answers":
		return true
	case d.kind == "slow":
		return clock.Sleep(ctx, slowTime)
	case d.kind == "silent" || d.kind == "held":
		<-ctx.Done()
	}
	return false
}

// respond delivers a response. It reports false if that is lost.
func (k disturbedKV) respond(ctx context.Context) bool {
	d, ok := k.day.striking(k.name, time.Now())
	switch {
	case !ok || d.kind == "slow":
		return true
	case d.kind == "held":
		return clock.Sleep(ctx, time.Until(d.to))
	case d.kind == "silent" || d.kind == "answers":
		<-ctx.Done()
	}
	return false
}

func (k disturbedKV) List(ctx context.Context, prefix string) (store.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	if !k.send(ctx) {
		return store.Batch{}, store.ErrUnavailable
	}
	b, err := k.faultyKV.List(ctx, prefix)
	if !k.respond(ctx) {
		return store.Batch{}, store.ErrUnavailable
	}
	return b, err
}

func (k disturbedKV) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTime)
	defer cancel()
	if !k.send(ctx) {
		return store.Batch{}, store.ErrUnavailable
	}
	for end := time.Now().Add(wait); ; {
		b, err := k.faultyKV.Watch(ctx, prefix, after, 0)
		if err != nil || len(b.Entries) > 0 || !time.Now().Before(end) {
			if !k.respond(ctx) {
				return store.Batch{}, store.ErrUnavailable
			}
			return b, err
		}
		if !clock.Sleep(ctx, 4*time.Millisecond) {
			return store.Batch{}, store.ErrUnavailable
		}
	}
}

// renew makes a call as the renewal of a lease does: its success shows nothing of changes.
func (k disturbedKV) renew(ctx context.Context, health *Health) {
	ctx, cancel := context.WithTimeout(ctx, renewalTime)
	defer cancel()
	var err error
	if !k.send(ctx) || !k.respond(ctx) {
		err = store.ErrUnavailable
	}
	health.RecordResult(time.Now(), err)
}

// start starts the fleet and waits until it is at rest.
func (d *disturbedDay) start(ctx context.Context) {
	for _, name := range d.names {
		d.write(memberPrefix+name, name)
	}
	for _, name := range d.names {
		d.add(name)
		i := d.instances[name]
		kv := disturbedKV{
			faultyKV: i.kv,
			name:     name,
			day:      d,
		}
		for _, f := range i.hub.Followers {
			f.KV = kv
		}
		i.hub.Followers[0].Readers = 2
		runCtx, cancel := context.WithCancel(ctx)
		d.cancel[name] = cancel
		go i.hub.Run(runCtx)
		go func() {
			for clock.Sleep(runCtx, callTime) {
				kv.renew(runCtx, i.hub.Health)
			}
		}()
	}
	time.Sleep(5 * time.Second)
}

// draw draws disturbances, of all instances, the readers, one of them or another one.
func (d *disturbedDay) draw(now time.Time) {
	var order []string
	for _, p := range readerOrder(d.instances[d.names[0]].hub.Peers()) {
		order = append(order, p.Name)
	}
	victims := [][]string{nil, nil, order[:1], order[:2], order[1:2], order[len(order)-1:]}
	kinds := []string{"silent", "held", "silent", "held", "answers", "reset", "busy", "slow"}
	at := now.Add(time.Duration(500+d.rng.IntN(1000)) * time.Millisecond)
	d.mu.Lock()
	defer d.mu.Unlock()
	for range 1 + d.rng.IntN(2) {
		length := time.Duration(200*(1+d.rng.IntN(5))) * time.Millisecond
		if d.rng.IntN(2) == 0 {
			length = time.Duration(1000+d.rng.IntN(4000)) * time.Millisecond
		}
		x := disturbance{
			kind:  kinds[d.rng.IntN(len(kinds))],
			names: victims[d.rng.IntN(len(victims))],
			from:  at,
			to:    at.Add(length),
		}
		d.disturbances = append(d.disturbances, x)
		at = x.to.Add(time.Duration(100+d.rng.IntN(3000)) * time.Millisecond)
	}
}

// changes returns when the key is written: before, in and after each disturbance, often close to its ends.
func (d *disturbedDay) changes() []time.Time {
	var times []time.Time
	for _, x := range d.disturbances {
		for _, near := range []time.Time{x.from, x.to} {
			for range 2 {
				times = append(times, near.Add(time.Duration(d.rng.IntN(250)-120)*time.Millisecond))
			}
		}
		times = append(times, x.from.Add(time.Duration(d.rng.Int64N(int64(x.to.Sub(x.from))))), x.to.Add(time.Duration(d.rng.IntN(4000))*time.Millisecond))
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// undisturbed reports whether an instance and the store have been undisturbed for stableTime.
func (d *disturbedDay) undisturbed(name string, now time.Time) bool {
	return !slices.ContainsFunc(d.disturbances, func(x disturbance) bool {
		return (len(x.names) == 0 || slices.Contains(x.names, name)) && x.from.Before(now) && x.to.After(now.Add(-stableTime))
	})
}

// check requires that each instance knows the changes that it says it knows, and those that it must know.
func (d *disturbedDay) check(now time.Time) {
	for _, name := range d.names {
		if d.killed[name] {
			continue
		}
		i := d.instances[name]
		// In this order: a change that arrives in between is known by the evidence that comes with it.
		age, current := i.hub.Evidence(now)
		known, _ := strconv.Atoi(i.value("key"))
		for n, at := range d.acked {
			if n < known {
				continue
			}
			if since := now.Sub(at); current {
				require.LessOrEqual(d.t, since, age, "%s counts as up to date without change %d; %v", name, n+1, d.disturbances)
			}
			if since := now.Sub(at); d.undisturbed(name, now) {
				require.LessOrEqual(d.t, since, applyTimeout, "%s is undisturbed and lacks change %d; %v", name, n+1, d.disturbances)
			}
		}
	}
}

// play plays the day. If kill is set the reader ends in the middle of it, and its key is deleted later.
func (d *disturbedDay) play(beats, kill bool) {
	now := time.Now()
	d.draw(now)
	changes := d.changes()
	end := changes[len(changes)-1].Add(stableTime + applyTimeout)
	killAt, deleteAt := end, end
	if kill {
		killAt = d.disturbances[0].from.Add(time.Duration(d.rng.IntN(1500)-300) * time.Millisecond)
		deleteAt = killAt.Add(3 * time.Second)
	}
	for tick := 0; now.Before(end); tick++ {
		if beats && tick%8 == 0 {
			d.write(beatKey, strconv.Itoa(tick))
		}
		if reader := d.reader(); !now.Before(killAt) && len(d.killed) == 0 {
			d.killed[reader] = true
			d.cancel[reader]()
		}
		for name := range d.killed {
			if !now.Before(deleteAt) {
				d.write(memberPrefix+name, "")
				deleteAt = end
			}
		}
		for len(d.acked) < len(changes) && !now.Before(changes[len(d.acked)]) {
			d.write(valuePrefix+"key", strconv.Itoa(len(d.acked)+1))
			d.acked = append(d.acked, now)
		}
		d.check(now)
		time.Sleep(10 * time.Millisecond)
		now = time.Now()
	}
	for _, name := range d.names {
		if i := d.instances[name]; !d.killed[name] {
			require.Equal(d.t, strconv.Itoa(len(changes)), i.value("key"), name)
			require.True(d.t, i.hub.Current(now), name)
		}
	}
}

// Guards against instances that count as up to date, or stay outdated, because a watch was lost while other calls
// of the reader succeed: the store is silent, slow or rejects calls, for all instances or some of them, around
// changes and around the end of a reader.
func TestChangesAreKnownAroundDisturbances(t *testing.T) {
	for seed := range uint64(disturbedSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer synctest.Wait()
				defer cancel()
				d := newDisturbedDay(t, rand.New(rand.NewPCG(seed, 7)))
				d.start(ctx)
				d.play(seed%2 == 0, seed%5 == 0)
			})
		})
	}
}
