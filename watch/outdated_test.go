package watch

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"currantstile/clock"
	"currantstile/memkv"
	"currantstile/store"
)

// applyTimeout is how long after its acknowledgement a change may be unknown to an instance
// that can reach another one.
const applyTimeout = 2 * time.Second

// faultyKV is the store as one instance sees it.
type faultyKV struct {
	*memkv.Store

	mu sync.Mutex
	// refused are the prefixes of which the store rejects this instance's calls; an empty prefix
	// stands for all. Listings are rejected as well if noListing is set. forgotten is the revision
	// up to which the history is gone.
	refused   []string
	noListing bool
	forgotten store.Revision
}

// refuse lets the store reject calls that concern any of the prefixes, and no others.
func (k *faultyKV) refuse(prefixes ...string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refused = prefixes
}

// forget drops the history up to the present revision, and rejects listings from now on.
func (k *faultyKV) forget(t *testing.T) {
	b, err := k.Store.List(context.Background(), "")
	require.NoError(t, err)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.forgotten = b.Revision + 1
	k.noListing = true
}

func (k *faultyKV) check(prefix string) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, p := range k.refused {
		if strings.HasPrefix(prefix, p) {
			return store.ErrUnavailable
		}
	}
	return nil
}

func (k *faultyKV) List(ctx context.Context, prefix string) (store.Batch, error) {
	if err := k.check(prefix); err != nil {
		return store.Batch{}, err
	}
	k.mu.Lock()
	rejected := k.noListing
	k.mu.Unlock()
	if rejected {
		return store.Batch{}, store.ErrUnavailable
	}
	return k.Store.List(ctx, prefix)
}

func (k *faultyKV) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Batch, error) {
	if err := k.check(prefix); err != nil {
		return store.Batch{}, err
	}
	k.mu.Lock()
	forgotten := k.forgotten
	k.mu.Unlock()
	if after < forgotten {
		return store.Batch{}, store.ErrCompacted
	}
	return k.Store.Watch(ctx, prefix, after, wait)
}

// Prefixes of the keys in a testFleet.
const (
	memberPrefix = "members/"
	valuePrefix  = "values/"
)

// testFleet is a fleet of hubs with one store. Its instances know each other by the keys
// under memberPrefix.
type testFleet struct {
	t         *testing.T
	kv        *memkv.Store
	instances map[string]*testInstance
	names     []string
}

// testInstance is an instance of a testFleet.
type testInstance struct {
	name string
	kv   *faultyKV
	hub  *Hub

	mu      sync.Mutex
	members map[string]bool
	values  map[string]string
	// cut is set while no other instance is reached, and deafened while none reaches this one.
	cut      bool
	deafened bool
}

// startFleet starts a fleet in a bubble of synctest and waits until it is at rest.
func startFleet(ctx context.Context, t *testing.T, names ...string) *testFleet {
	f := &testFleet{
		t:         t,
		kv:        &memkv.Store{},
		instances: make(map[string]*testInstance),
		names:     names,
	}
	for _, name := range names {
		f.write(memberPrefix+name, name)
		f.add(name)
	}
	for _, name := range names {
		go f.instances[name].hub.Run(ctx)
	}
	time.Sleep(5 * time.Second)
	return f
}

func (f *testFleet) add(name string) {
	i := &testInstance{
		name:    name,
		members: make(map[string]bool),
		values:  make(map[string]string),
		kv: &faultyKV{
			Store: f.kv,
		},
	}
	f.instances[name] = i
	health := &Health{}
	follower := func(prefix string, apply func(Change)) *Follower {
		return &Follower{
			KV:     i.kv,
			Prefix: prefix,
			Health: health,
			Log:    discardLogger,
			Apply: func(_ time.Time, changes []Change) {
				i.mu.Lock()
				defer i.mu.Unlock()
				for _, c := range changes {
					apply(c)
				}
			},
		}
	}
	i.hub = &Hub{
		Self:   name,
		Zone:   "z",
		Health: health,
		Log:    discardLogger,
		Followers: []*Follower{
			follower(valuePrefix, func(c Change) {
				i.values[strings.TrimPrefix(c.Entry.Key, valuePrefix)] = string(c.Entry.Value)
			}),
			follower(memberPrefix, func(c Change) {
				if member := strings.TrimPrefix(c.Entry.Key, memberPrefix); c.Entry.Deleted {
					delete(i.members, member)
				} else {
					i.members[member] = true
				}
			}),
		},
		Peers: func() []Peer {
			i.mu.Lock()
			defer i.mu.Unlock()
			var peers []Peer
			for _, n := range f.names {
				if i.members[n] {
					peers = append(peers, Peer{
						Name: n,
						Zone: "z",
					})
				}
			}
			return peers
		},
		Send: func(_ context.Context, to Peer, m Message) error {
			other, err := f.reach(i, to)
			if err == nil {
				other.hub.Receive(time.Now(), m)
			}
			return err
		},
		Fetch: func(_ context.Context, from Peer, args FetchArgs) (FetchReply, error) {
			other, err := f.reach(i, from)
			if err != nil {
				return FetchReply{}, err
			}
			return other.hub.Changes(time.Now(), args), nil
		},
	}
}

// reach returns an instance unless a link to it is cut.
func (f *testFleet) reach(from *testInstance, to Peer) (*testInstance, error) {
	other := f.instances[to.Name]
	if out, _ := from.links(); out {
		return nil, errors.New("no response")
	}
	if _, in := other.links(); in {
		return nil, errors.New("no response")
	}
	return other, nil
}

// links returns whether the links from and to the instance are cut.
func (i *testInstance) links() (out, in bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.cut, i.deafened
}

func (i *testInstance) setLinks(out, in bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cut, i.deafened = out, in
}

// value returns the value of a key as the instance knows it.
func (i *testInstance) value(key string) string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.values[key]
}

// write writes or, with an empty value, deletes a key.
func (f *testFleet) write(key, value string) {
	var expect store.Revision
	if e, err := f.kv.Get(context.Background(), key); err == nil {
		expect = e.Revision
	}
	if value == "" {
		require.NoError(f.t, f.kv.Delete(context.Background(), key, expect))
		return
	}
	_, err := f.kv.Put(context.Background(), store.Write{
		Key:    key,
		Value:  []byte(value),
		Expect: expect,
	})
	require.NoError(f.t, err)
}

// requireValue waits for applyTimeout and requires each instance to know the value of a key.
func (f *testFleet) requireValue(key, value string) {
	f.t.Helper()
	time.Sleep(applyTimeout)
	for _, name := range f.names {
		require.Equal(f.t, value, f.instances[name].value(key), "%s", name)
	}
}

// reader returns the name of the store reader.
func (f *testFleet) reader() string {
	for _, name := range f.names {
		if f.instances[name].hub.rank() == 0 {
			return name
		}
	}
	f.t.Fatal("no instance is the reader")
	return ""
}

// listener returns the name of an instance that is not the reader.
func (f *testFleet) listener() string {
	reader := f.reader()
	for _, name := range f.names {
		if name != reader {
			return name
		}
	}
	f.t.Fatal("all instances are readers")
	return ""
}

// playFleet plays a fleet of three instances in simulated time.
func playFleet(t *testing.T, play func(f *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		play(startFleet(ctx, t, "a", "b", "c"))
	})
}

// Guards against an instance that waits for a listing after its history was dropped, while the
// store rejects it and others send it each change.
func TestChangesApplyWhileListingIsRefused(t *testing.T) {
	playFleet(t, func(f *testFleet) {
		i := f.instances[f.listener()]
		i.setLinks(true, true)
		i.kv.forget(t)
		time.Sleep(3 * time.Second)
		i.setLinks(false, false)
		f.write(valuePrefix+"route", "added")
		f.requireValue("route", "added")
	})
}

// Guards against an instance that stops asking others for a missed change, while the store
// rejects it.
func TestMissedChangeIsReceivedWhileStoreRefuses(t *testing.T) {
	playFleet(t, func(f *testFleet) {
		i := f.instances[f.listener()]
		i.kv.refuse("")
		i.setLinks(true, true)
		f.write(valuePrefix+"route", "added")
		time.Sleep(200 * time.Millisecond)
		i.setLinks(true, false)
		time.Sleep(2 * maxGapTime)
		i.setLinks(false, false)
		f.write(valuePrefix+"route", "moved")
		f.requireValue("route", "moved")
	})
}

// Guards against an instance that gets no changes once its own key has expired, since the store
// rejects its renewals, although the others can reach it.
func TestExpiredInstanceStaysCurrent(t *testing.T) {
	playFleet(t, func(f *testFleet) {
		i := f.instances[f.listener()]
		i.kv.refuse("")
		time.Sleep(time.Second)
		f.write(memberPrefix+i.name, "")
		time.Sleep(time.Second)
		f.write(valuePrefix+"route", "added")
		f.requireValue("route", "added")
	})
}

// Guards against an instance that knows no other any more, since the keys of all had expired when it
// got its last message, and asks nobody.
func TestInstanceAsksOthersThatWereListed(t *testing.T) {
	playFleet(t, func(f *testFleet) {
		i := f.instances[f.listener()]
		i.kv.refuse("")
		for _, name := range f.names {
			if name != i.name {
				f.write(memberPrefix+name, "")
			}
		}
		time.Sleep(300 * time.Millisecond)
		f.write(memberPrefix+i.name, "")
		time.Sleep(time.Second)
		for _, name := range f.names {
			if name != i.name {
				f.write(memberPrefix+name, name)
			}
		}
		f.write(valuePrefix+"route", "added")
		f.requireValue("route", "added")
	})
}

// Guards against an instance that stays outdated because it has never known those that are up to date: since its
// process started the store has rejected its calls, or those of the others.
func TestInstanceAsksOthersThatAreRecorded(t *testing.T) {
	playFleet(t, func(f *testFleet) {
		i, reader := f.instances[f.listener()], f.reader()
		i.hub.Recorded = func() []Peer {
			return []Peer{
				{
					Name: reader,
				},
			}
		}
		i.kv.refuse("")
		i.hub.mu.Lock()
		i.hub.remembered = nil
		i.hub.mu.Unlock()
		i.mu.Lock()
		clear(i.members)
		i.mu.Unlock()
		f.write(memberPrefix+i.name, "")
		time.Sleep(time.Second)
		f.write(valuePrefix+"route", "added")
		f.requireValue("route", "added")
	})
}

// Guards against instances that keep each other up to date while the store rejects all of them: what
// they say is as old as what they have heard from the store.
func TestInstancesCutOffTogetherAreNotCurrent(t *testing.T) {
	playFleet(t, func(f *testFleet) {
		for _, i := range f.instances {
			require.True(t, i.hub.Current(time.Now()))
			i.kv.refuse("")
		}
		time.Sleep(10 * time.Second)
		for name, i := range f.instances {
			require.False(t, i.hub.Current(time.Now()), name)
		}
		f.write(valuePrefix+"route", "added")
		f.instances[f.listener()].kv.refuse()
		f.requireValue("route", "added")
		for name, i := range f.instances {
			require.True(t, i.hub.Current(time.Now()), name)
		}
	})
}

// Guards against a reader that takes the store's last response for a recent one after its time
// of day was set back, and keeps the others from reading.
func TestReaderWithClockSetBackIsReplaced(t *testing.T) {
	h := newTestHub("a", "a", "b")
	now := time.Now()
	h.cover(now, now, store.Batch{}, 0)
	require.True(t, h.inSync(now.Add(maxProofAge/2)))
	later := now.Add(2 * maxProofAge)
	require.False(t, h.inSync(later))
	require.False(t, h.inSync(clock.Stepped(later, -15*time.Second)))
	require.True(t, h.inSync(clock.Stepped(now.Add(maxProofAge/2), 15*time.Second)), "set ahead")
}

// Guards against a store that counts as unavailable until the time of day of its last failure
// comes again.
func TestResponseAfterClockWasSetBackCounts(t *testing.T) {
	for _, step := range []time.Duration{-30 * time.Second, -2 * time.Second, 30 * time.Second} {
		h := &Health{}
		now := time.Now()
		h.RecordFailure(now)
		require.True(t, h.Unavailable())
		later := clock.Stepped(now.Add(time.Second), step)
		require.True(t, h.AllowCall(later), "step %v", step)
		h.RecordSuccess(later)
		require.False(t, h.Unavailable(), "step %v", step)
		require.Equal(t, time.Second, h.SinceFailure(later))
	}
}
