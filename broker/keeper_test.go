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

	"currantstile/allot"
	"currantstile/member"
	"currantstile/memkv"
	"currantstile/model"
	"currantstile/quota"
	"currantstile/store"
)

// keepers are several keepers on one store, stepped by hand.
type keepers struct {
	kv   *memkv.Store
	view *member.View
	all  []*Keeper
}

func newKeepers(n int) *keepers {
	ks := &keepers{
		kv:   &memkv.Store{},
		view: &member.View{},
	}
	for i := range n {
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+i))
		id := fmt.Sprintf("entry-%d", i)
		ks.view.Entries = append(ks.view.Entries, model.Member{ID: id, Addr: addr})
		k := &Keeper{
			Self:   Part(id+"/1", model.InstanceID(id), addr),
			KV:     ks.kv,
			Ledger: quota.NewLedger(),
			Members: func() *member.View {
				v := *ks.view
				v.Asked = time.Now()
				return &v
			},
			Version: ks.version,
			Log:     log.Logger{Level: log.PanicLevel},
		}
		ks.all = append(ks.all, k)
	}
	return ks
}

func (ks *keepers) version(_ context.Context, addr netip.AddrPort) (uint64, error) {
	for _, k := range ks.all {
		if k.Self.Addr == addr {
			return k.Seen(), nil
		}
	}
	return 0, store.ErrUnavailable
}

func (ks *keepers) step(rounds int) {
	for range rounds {
		for _, k := range ks.all {
			k.nextRead = time.Time{}
			k.step(context.Background())
		}
	}
}

func (ks *keepers) usable() int64 {
	sum := int64(0)
	for _, k := range ks.all {
		sum += k.Usable(time.Now())
	}
	return sum
}

func (ks *keepers) table(t *testing.T) (allot.Table, store.Entry) {
	e, err := ks.kv.Get(context.Background(), tableKey)
	require.NoError(t, err)
	var table allot.Table
	require.NoError(t, json.Unmarshal(e.Value, &table))
	return table, e
}

// A fleet divides the whole, and a store that comes back with an older table, or
// with none, gets the last one again: the parts in use never sum to more than
// the whole, also where a new instance reads the old state first.
func TestKeeperRollback(t *testing.T) {
	for _, lost := range []bool{false, true} {
		t.Run(fmt.Sprintf("table lost %t", lost), func(t *testing.T) {
			ks := newKeepers(3)
			ks.all = ks.all[:2]
			ks.view.Entries = ks.view.Entries[:2]
			ks.step(6)
			old, _ := ks.table(t)
			third := newKeepers(3).all[2]
			third.KV, third.Members, third.Version = ks.kv, ks.all[0].Members, ks.version
			ks.all = append(ks.all, third)
			ks.view.Entries = append(ks.view.Entries, model.Member{ID: "entry-2", Addr: third.Self.Addr})
			ks.step(8)
			require.Equal(t, int64(quota.Whole), ks.usable())
			require.Positive(t, third.Usable(time.Now()))
			last, e := ks.table(t)
			value, err := json.Marshal(old)
			require.NoError(t, err)
			if lost {
				require.NoError(t, ks.kv.Delete(context.Background(), tableKey, e.Revision))
			} else {
				_, err = ks.kv.Put(context.Background(), store.Write{Key: tableKey, Value: value, Expect: e.Revision})
				require.NoError(t, err)
			}
			newcomer := newKeepers(4).all[3]
			newcomer.KV, newcomer.Members, newcomer.Version = ks.kv, ks.all[0].Members, ks.version
			ks.view.Entries = append(ks.view.Entries, model.Member{ID: "entry-3", Addr: newcomer.Self.Addr})
			ks.all = append([]*Keeper{newcomer}, ks.all...)
			for range 12 {
				ks.step(1)
				require.LessOrEqual(t, ks.usable(), int64(quota.Whole))
			}
			now, _ := ks.table(t)
			require.Greater(t, now.Version, last.Version)
			require.Equal(t, int64(quota.Whole), ks.usable())
			require.Positive(t, newcomer.Usable(time.Now()))
		})
	}
}
