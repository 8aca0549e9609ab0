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

func newPutContract(org model.OrgID, rate int64) commit.PutContract {
	c := model.Contract{
		Organisation: org,
		Rate:         rate,
		Burst:        10 * rate,
	}
	c.SetDefaults()
	return commit.PutContract{
		Contract: c,
	}
}

func newChange(id string, edits ...commit.Edit) commit.Change {
	return commit.Change{
		ID:    id,
		By:    "nadia",
		Edits: edits,
	}
}

// awaitView returns the first view that a new follower puts in force.
func awaitView(t *testing.T, kv store.KV) *commit.View {
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
		require.Fail(t, "no configuration in force before the timeout")
	}
	return f.View()
}

// Guards against a change that is lost or made twice when the response to one of its
// writes is lost, whether or not the write took effect: repeated with the same ID, the
// change is made exactly once.
func TestAcceptLostResponses(t *testing.T) {
	for _, applied := range []bool{false, true} {
		for lost := range 4 {
			t.Run(fmt.Sprintf("write %d applied %t", lost, applied), func(t *testing.T) {
				kv := &memkv.Store{}
				a := &commit.Acceptor{KV: kv}
				_, err := a.Accept(context.Background(), now, newChange("c0", newPutContract("a", 1)))
				require.NoError(t, err)
				writes := 0
				kv.WriteFault = func(string) (bool, error) {
					writes++
					if writes-1 == lost {
						return applied, store.ErrAmbiguous
					}
					return false, nil
				}
				accepted, err := a.Accept(context.Background(), now, newChange("c1", newPutContract("b", 2)))
				if err != nil {
					require.True(t, store.IsAmbiguous(err))
					accepted, err = a.Accept(context.Background(), now, newChange("c1", newPutContract("b", 2)))
				}
				require.NoError(t, err)
				require.Equal(t, commit.Revision(2), accepted.Revision)
				v := awaitView(t, kv)
				require.Equal(t, commit.Revision(2), v.Revision())
				require.Equal(t, []model.OrgID{"a", "b"}, v.Organisations())
			})
		}
	}
}

// Guards against applying a change again whose response was lost and on top of which
// another change has been committed.
func TestAcceptRepeatedAfterLaterChange(t *testing.T) {
	kv := &memkv.Store{}
	a := &commit.Acceptor{KV: kv}
	c1 := newChange("c1", newPutContract("a", 1))
	_, err := a.Accept(context.Background(), now, c1)
	require.NoError(t, err)
	_, err = a.Accept(context.Background(), now, newChange("c2", newPutContract("a", 5)))
	require.NoError(t, err)
	again, err := a.Accept(context.Background(), now, c1)
	require.NoError(t, err)
	require.Equal(t, commit.Revision(1), again.Revision)
	x, _ := awaitView(t, kv).Contract("a")
	require.Equal(t, int64(5), x.Contract.Rate, "the later change stays")
}

// Guards against lost updates between concurrent operators: replacing a contract from
// an outdated base is a conflict that names the current revision, while concurrent
// small edits are all applied.
func TestAcceptRace(t *testing.T) {
	kv := &memkv.Store{}
	a := &commit.Acceptor{KV: kv}
	_, err := a.Accept(context.Background(), now, newChange("c0", newPutContract("a", 1)))
	require.NoError(t, err)
	_, err = a.Accept(context.Background(), now, newChange("c1", newPutContract("a", 2)))
	require.NoError(t, err)
	stale := newPutContract("a", 3)
	stale.Base = 1
	_, err = a.Accept(context.Background(), now, newChange("c2", stale))
	var conflict *commit.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, commit.Revision(2), conflict.Revision)
	const operators = 8
	var wg sync.WaitGroup
	errs := make([]error, operators)
	for i := range operators {
		wg.Go(func() {
			_, errs[i] = a.Accept(context.Background(), now, newChange(fmt.Sprintf("z%d", i), commit.TakeOut{
				Kind: model.KindZone,
				Name: fmt.Sprintf("z%d", i),
			}))
		})
	}
	wg.Wait()
	for _, err := range errs {
		require.NoError(t, err)
	}
	v := awaitView(t, kv)
	require.Len(t, v.Fleet.Out, operators)
	require.Equal(t, commit.Revision(2+operators), v.Revision())
}

// Guards against a change of which only some edits are applied.
func TestAcceptIsAtomic(t *testing.T) {
	kv := &memkv.Store{}
	a := &commit.Acceptor{KV: kv}
	_, err := a.Accept(context.Background(), now, newChange("c1", newPutContract("a", 1), commit.RemoveContract{Organisation: "none"}))
	require.ErrorIs(t, err, commit.ErrNoContract)
	_, err = kv.Get(context.Background(), "config/head")
	require.ErrorIs(t, err, store.ErrNotFound)
}

func TestContractKeys(t *testing.T) {
	kv := &memkv.Store{}
	a := &commit.Acceptor{KV: kv}
	ctx := context.Background()
	text, key := model.IssueKey(now, "a")
	parsed, err := model.ParseKey(text)
	require.NoError(t, err)
	_, err = a.Accept(ctx, now, newChange("c1", newPutContract("a", 1), commit.AddKey{Organisation: "a", Key: key}))
	require.NoError(t, err)
	replaced := newPutContract("a", 2)
	replaced.KeepKeys = true
	_, err = a.Accept(ctx, now, newChange("c2", replaced))
	require.NoError(t, err)
	x, _ := awaitView(t, kv).Contract("a")
	require.True(t, x.Accepts(parsed), "a contract without keys keeps those in force")
	_, err = a.Accept(ctx, now, newChange("c3", commit.WithdrawKey{Organisation: "a", ID: key.ID}))
	require.NoError(t, err)
	x, _ = awaitView(t, kv).Contract("a")
	require.False(t, x.Accepts(parsed))
	_, err = a.Accept(ctx, now, newChange("c4", commit.WithdrawKey{Organisation: "a", ID: key.ID}))
	require.ErrorIs(t, err, commit.ErrNoKey)
}

func TestOpenRouteConflict(t *testing.T) {
	a := &commit.Acceptor{KV: &memkv.Store{}}
	first, second := newPutContract("a", 1), newPutContract("b", 1)
	for _, c := range []*commit.PutContract{&first, &second} {
		c.Contract.Routes = model.Routes{{Name: "hours", Open: true}}
		c.Contract.SetDefaults()
	}
	_, err := a.Accept(context.Background(), now, newChange("c1", first))
	require.NoError(t, err)
	_, err = a.Accept(context.Background(), now, newChange("c2", second))
	require.ErrorContains(t, err, "declared by a already")
}

// unavailableKV is a store whose listings fail with store.ErrUnavailable.
type unavailableKV struct {
	memkv.Store
}

// List implements store.KV.
func (*unavailableKV) List(context.Context, string) (store.Batch, error) {
	return store.Batch{}, store.ErrUnavailable
}

// singlePeer provides the configuration of one other instance.
type singlePeer struct {
	follower *commit.Follower
}

// Newer implements commit.Peers.
func (p *singlePeer) Newer(_ context.Context, have commit.Revision) (commit.Snapshot, bool, error) {
	s, newer := p.follower.Snapshot(have)
	return s, newer, nil
}

// Guards against an instance that cannot reach the store staying on an old
// configuration: it receives newer ones, including keys and open routes, from an
// instance that can, and never an older one.
func TestFollowPeers(t *testing.T) {
	kv := &memkv.Store{}
	a := &commit.Acceptor{KV: kv}
	_, key := model.IssueKey(now, "a")
	c := newPutContract("a", 1)
	c.Contract.Keys = model.Keys{key}
	c.Contract.Routes = model.Routes{{Name: "hours", Open: true}}
	c.Contract.SetDefaults()
	_, err := a.Accept(context.Background(), now, newChange("c1", c))
	require.NoError(t, err)
	connected := &commit.Follower{KV: kv}
	isolated := &commit.Follower{KV: &unavailableKV{}, Peers: &singlePeer{follower: connected}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go connected.Run(ctx)
	go isolated.Run(ctx)
	require.Eventually(t, func() bool {
		return isolated.View().Revision() == 1
	}, itest.Timeout, 10*time.Millisecond)
	_, open := isolated.View().OpenRoute("hours")
	require.True(t, open)
	_, err = a.Accept(context.Background(), now, newChange("c2", commit.WithdrawKey{Organisation: "a", ID: key.ID}))
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		x, _ := isolated.View().Contract("a")
		return len(x.Contract.Keys) == 0
	}, itest.Timeout, 10*time.Millisecond)
	_, newer := connected.Snapshot(isolated.View().Revision())
	require.False(t, newer)
}

// Guards against reverting accepted changes when the store is rolled back to an older
// state or loses all data: the followers restore the accepted configuration, and later
// changes are accepted on top of it.
func TestStoreRollback(t *testing.T) {
	for _, lost := range []bool{false, true} {
		t.Run(fmt.Sprintf("all lost %t", lost), func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			kv := &memkv.Store{}
			a := &commit.Acceptor{KV: kv}
			_, err := a.Accept(ctx, now, newChange("c1", newPutContract("a", 1)))
			require.NoError(t, err)
			old, err := kv.List(ctx, "")
			require.NoError(t, err)
			_, key := model.IssueKey(now, "a")
			_, err = a.Accept(ctx, now, newChange("c2", newPutContract("b", 2), commit.AddKey{Organisation: "a", Key: key}))
			require.NoError(t, err)
			followers := []*commit.Follower{{KV: kv}, {KV: kv}}
			firstRun, stopFirstRun := context.WithCancel(ctx)
			for _, f := range followers {
				go f.Run(firstRun)
				require.Eventually(t, func() bool {
					return f.View().Revision() == 2
				}, itest.Timeout, time.Millisecond)
			}
			stopFirstRun()
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
			v := awaitView(t, kv)
			require.Equal(t, []model.OrgID{"a", "b"}, v.Organisations())
			x, _ := v.Contract("a")
			require.Len(t, x.Contract.Keys, 1)
			accepted, err := a.Accept(ctx, now, newChange("c3", newPutContract("c", 3)))
			require.NoError(t, err)
			require.Equal(t, commit.Revision(4), accepted.Revision)
		})
	}
}
