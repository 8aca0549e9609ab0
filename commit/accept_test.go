package commit_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/commit"
	"currantstile/itest"
	"currantstile/memkv"
	"currantstile/model"
	"currantstile/store"
)

var now = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func contract(org model.OrgID, rate int64) commit.PutContract {
	c := model.Contract{
		Organisation: org,
		Rate:         rate,
		Burst:        10 * rate,
	}
	c.Defaults()
	return commit.PutContract{
		Contract: c,
	}
}

func change(id string, edits ...commit.Edit) commit.Change {
	return commit.Change{
		ID:    id,
		By:    "nadia",
		Edits: edits,
	}
}

// inForce returns what a new follower would put in force.
func inForce(t *testing.T, kv store.KV) *commit.View {
	f := &commit.Follower{
		KV: kv,
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	changed := f.Changed()
	go f.Run(ctx)
	select {
	case <-changed:
	case <-time.After(itest.Timeout):
		require.Fail(t, "no configuration came into force")
	}
	return f.View()
}

// The answers of each step can be lost, with the write in effect or not: the
// change, sent again with its id until it succeeds, is made once.
func TestAcceptLostAnswers(t *testing.T) {
	for _, applied := range []bool{false, true} {
		for lost := range 4 {
			t.Run(fmt.Sprintf("write %d applied %t", lost, applied), func(t *testing.T) {
				kv := &memkv.Store{}
				a := &commit.Acceptor{KV: kv}
				_, err := a.Accept(context.Background(), now, change("c0", contract("a", 1)))
				require.NoError(t, err)
				writes := 0
				kv.Fault = func(string) (bool, error) {
					writes++
					if writes-1 == lost {
						return applied, store.ErrAmbiguous
					}
					return false, nil
				}
				accepted, err := a.Accept(context.Background(), now, change("c1", contract("b", 2)))
				if err != nil {
					require.True(t, store.Ambiguous(err))
					accepted, err = a.Accept(context.Background(), now, change("c1", contract("b", 2)))
				}
				require.NoError(t, err)
				require.Equal(t, commit.Revision(2), accepted.Revision)
				v := inForce(t, kv)
				require.Equal(t, commit.Revision(2), v.Revision())
				require.Equal(t, []model.OrgID{"a", "b"}, v.Organisations())
			})
		}
	}
}

// A change whose answer was lost and on which another was built is recognised.
func TestAcceptLostThenBuiltUpon(t *testing.T) {
	kv := &memkv.Store{}
	a := &commit.Acceptor{KV: kv}
	c1 := change("c1", contract("a", 1))
	_, err := a.Accept(context.Background(), now, c1)
	require.NoError(t, err)
	_, err = a.Accept(context.Background(), now, change("c2", contract("a", 5)))
	require.NoError(t, err)
	again, err := a.Accept(context.Background(), now, c1)
	require.NoError(t, err)
	require.Equal(t, commit.Revision(1), again.Revision)
	x, _ := inForce(t, kv).Contract("a")
	require.Equal(t, int64(5), x.Contract.Rate, "the later change stays")
}

// Of operators who race to replace a contract one wins, and the others are told
// by whom; small edits are all made.
func TestAcceptRace(t *testing.T) {
	kv := &memkv.Store{}
	a := &commit.Acceptor{KV: kv}
	_, err := a.Accept(context.Background(), now, change("c0", contract("a", 1)))
	require.NoError(t, err)
	_, err = a.Accept(context.Background(), now, change("c1", contract("a", 2)))
	require.NoError(t, err)
	stale := contract("a", 3)
	stale.Base = 1
	_, err = a.Accept(context.Background(), now, change("c2", stale))
	var conflict *commit.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, commit.Revision(2), conflict.Revision)
	const operators = 8
	var wg sync.WaitGroup
	errs := make([]error, operators)
	for i := range operators {
		wg.Go(func() {
			_, errs[i] = a.Accept(context.Background(), now, change(fmt.Sprintf("z%d", i), commit.TakeOut{
				Kind: model.KindZone,
				Name: fmt.Sprintf("z%d", i),
			}))
		})
	}
	wg.Wait()
	for _, err := range errs {
		require.NoError(t, err)
	}
	v := inForce(t, kv)
	require.Len(t, v.Fleet.Out, operators)
	require.Equal(t, commit.Revision(2+operators), v.Revision())
}

// Several edits are made together or not at all.
func TestAcceptTogether(t *testing.T) {
	kv := &memkv.Store{}
	a := &commit.Acceptor{KV: kv}
	_, err := a.Accept(context.Background(), now, change("c1", contract("a", 1), commit.RemoveContract{Organisation: "none"}))
	require.ErrorIs(t, err, commit.ErrNoContract)
	_, err = kv.Get(context.Background(), "config/head")
	require.ErrorIs(t, err, store.ErrNotFound)
}

func TestKeysOfAContract(t *testing.T) {
	kv := &memkv.Store{}
	a := &commit.Acceptor{KV: kv}
	ctx := context.Background()
	text, key := model.IssueKey(now, "a")
	parsed, err := model.ParseKey(text)
	require.NoError(t, err)
	_, err = a.Accept(ctx, now, change("c1", contract("a", 1), commit.AddKey{Organisation: "a", Key: key}))
	require.NoError(t, err)
	replaced := contract("a", 2)
	replaced.KeepKeys = true
	_, err = a.Accept(ctx, now, change("c2", replaced))
	require.NoError(t, err)
	x, _ := inForce(t, kv).Contract("a")
	require.True(t, x.Accepts(parsed), "a contract without keys keeps those in force")
	_, err = a.Accept(ctx, now, change("c3", commit.WithdrawKey{Organisation: "a", ID: key.ID}))
	require.NoError(t, err)
	x, _ = inForce(t, kv).Contract("a")
	require.False(t, x.Accepts(parsed))
	_, err = a.Accept(ctx, now, change("c4", commit.WithdrawKey{Organisation: "a", ID: key.ID}))
	require.ErrorIs(t, err, commit.ErrNoKey)
}

func TestOpenRouteOfTwoContracts(t *testing.T) {
	a := &commit.Acceptor{KV: &memkv.Store{}}
	first, second := contract("a", 1), contract("b", 1)
	for _, c := range []*commit.PutContract{&first, &second} {
		c.Contract.Routes = model.Routes{{Name: "hours", Open: true}}
		c.Contract.Defaults()
	}
	_, err := a.Accept(context.Background(), now, change("c1", first))
	require.NoError(t, err)
	_, err = a.Accept(context.Background(), now, change("c2", second))
	require.ErrorContains(t, err, "declared by a already")
}

// deadKV is a store that cannot be reached.
type deadKV struct {
	memkv.Store
}

// List implements store.KV.
func (*deadKV) List(context.Context, string) (store.Batch, error) {
	return store.Batch{}, store.ErrUnavailable
}

// peers is another instance with a configuration of its own.
type peers struct {
	follower *commit.Follower
}

// Newer implements commit.Peers.
func (p *peers) Newer(_ context.Context, have commit.Revision) (commit.Snapshot, bool, error) {
	s, newer := p.follower.Snapshot(have)
	return s, newer, nil
}

// An instance that cannot reach the store takes the configuration from one that
// can, keys and open routes included, and never an older one.
func TestFollowPeers(t *testing.T) {
	kv := &memkv.Store{}
	a := &commit.Acceptor{KV: kv}
	_, key := model.IssueKey(now, "a")
	c := contract("a", 1)
	c.Contract.Keys = model.Keys{key}
	c.Contract.Routes = model.Routes{{Name: "hours", Open: true}}
	c.Contract.Defaults()
	_, err := a.Accept(context.Background(), now, change("c1", c))
	require.NoError(t, err)
	near := &commit.Follower{KV: kv}
	far := &commit.Follower{KV: &deadKV{}, Peers: &peers{follower: near}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go near.Run(ctx)
	go far.Run(ctx)
	require.Eventually(t, func() bool {
		return far.View().Revision() == 1
	}, itest.Timeout, 10*time.Millisecond)
	_, open := far.View().OpenRoute("hours")
	require.True(t, open)
	_, err = a.Accept(context.Background(), now, change("c2", commit.WithdrawKey{Organisation: "a", ID: key.ID}))
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		x, _ := far.View().Contract("a")
		return len(x.Contract.Keys) == 0
	}, itest.Timeout, 10*time.Millisecond)
	_, newer := near.Snapshot(far.View().Revision())
	require.False(t, newer)
}

// A store that comes back with an older state, or with none, gets the accepted
// configuration again; nothing reverts, and later changes are in force.
func TestStoreRollback(t *testing.T) {
	for _, lost := range []bool{false, true} {
		t.Run(fmt.Sprintf("all lost %t", lost), func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			kv := &memkv.Store{}
			a := &commit.Acceptor{KV: kv}
			_, err := a.Accept(ctx, now, change("c1", contract("a", 1)))
			require.NoError(t, err)
			old, err := kv.List(ctx, "")
			require.NoError(t, err)
			_, key := model.IssueKey(now, "a")
			_, err = a.Accept(ctx, now, change("c2", contract("b", 2), commit.AddKey{Organisation: "a", Key: key}))
			require.NoError(t, err)
			followers := []*commit.Follower{{KV: kv}, {KV: kv}}
			stop, pause := context.WithCancel(ctx)
			for _, f := range followers {
				go f.Run(stop)
				require.Eventually(t, func() bool {
					return f.View().Revision() == 2
				}, itest.Timeout, time.Millisecond)
			}
			pause()
			kv.Reset()
			if !lost {
				for _, e := range old.Entries {
					_, err := kv.Put(ctx, store.Write{Key: e.Key, Value: e.Value})
					require.NoError(t, err)
				}
			}
			for _, f := range followers {
				go f.Run(ctx)
			}
			require.Eventually(t, func() bool {
				return followers[0].View().Revision() == 3 && followers[1].View().Revision() == 3
			}, itest.Timeout, time.Millisecond)
			v := inForce(t, kv)
			require.Equal(t, []model.OrgID{"a", "b"}, v.Organisations())
			x, _ := v.Contract("a")
			require.Len(t, x.Contract.Keys, 1)
			accepted, err := a.Accept(ctx, now, change("c3", contract("c", 3)))
			require.NoError(t, err)
			require.Equal(t, commit.Revision(4), accepted.Revision)
		})
	}
}
