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

// tableFleet are several keepers on one store, stepped by hand.
type tableFleet struct {
	kv         *memkv.Store
	view       *member.View
	allocators []*TableAllocator
}

func newTableFleet(n int) *tableFleet {
	ks := &tableFleet{
		kv:   &memkv.Store{},
		view: &member.View{},
	}
	for i := range n {
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+i))
		id := fmt.Sprintf("entry-%d", i)
		ks.view.Entries = append(ks.view.Entries, model.Member{ID: id, Addr: addr})
		k := &TableAllocator{
			Self:   NewShare(id+"/1", model.InstanceID(id), addr),
			KV:     ks.kv,
			Ledger: quota.NewLedger(),
			Members: func() *member.View {
				v := *ks.view
				v.Asked = time.Now()
				return &v
			},
			TableVersion: ks.tableVersion,
			Log:          log.Logger{Level: log.PanicLevel},
		}
		ks.allocators = append(ks.allocators, k)
	}
	return ks
}

func (ks *tableFleet) tableVersion(_ context.Context, addr netip.AddrPort) (uint64, error) {
	for _, k := range ks.allocators {
		if k.Self.Addr == addr {
			return k.LastVersion(), nil
		}
	}
	return 0, store.ErrUnavailable
}

func (ks *tableFleet) step(rounds int) {
	for range rounds {
		for _, k := range ks.allocators {
			k.nextRead = time.Time{}
			k.step(context.Background())
		}
	}
}

func (ks *tableFleet) usableSum() int64 {
	sum := int64(0)
	for _, k := range ks.allocators {
		sum += k.UsableShare(time.Now())
	}
	return sum
}

func (ks *tableFleet) storedTable(t *testing.T) (allot.Table, store.Entry) {
	e, err := ks.kv.Get(context.Background(), tableKey)
	require.NoError(t, err)
	var table allot.Table
	require.NoError(t, json.Unmarshal(e.Value, &table))
	return table, e
}

// A fleet divides the whole, and a store that comes back with an older table, or
// with none, gets the last one again: the parts in use never sum to more than
// the whole, also where a new instance reads the old state first.
func TestTableAllocatorStoreRollback(t *testing.T) {
	for _, lost := range []bool{false, true} {
		t.Run(fmt.Sprintf("table lost %t", lost), func(t *testing.T) {
			ks := newTableFleet(3)
			ks.allocators = ks.allocators[:2]
			ks.view.Entries = ks.view.Entries[:2]
			ks.step(6)
			old, _ := ks.storedTable(t)
			third := newTableFleet(3).allocators[2]
			third.KV, third.Members, third.TableVersion = ks.kv, ks.allocators[0].Members, ks.tableVersion
			ks.allocators = append(ks.allocators, third)
			ks.view.Entries = append(ks.view.Entries, model.Member{ID: "entry-2", Addr: third.Self.Addr})
			ks.step(8)
			require.Equal(t, int64(quota.Whole), ks.usableSum())
			require.Positive(t, third.UsableShare(time.Now()))
			last, e := ks.storedTable(t)
			value, err := json.Marshal(old)
			require.NoError(t, err)
			if lost {
				require.NoError(t, ks.kv.Delete(context.Background(), tableKey, e.Revision))
			} else {
				_, err = ks.kv.Put(context.Background(), store.Write{Key: tableKey, Value: value, Expect: e.Revision})
				require.NoError(t, err)
			}
			newcomer := newTableFleet(4).allocators[3]
			newcomer.KV, newcomer.Members, newcomer.TableVersion = ks.kv, ks.allocators[0].Members, ks.tableVersion
			ks.view.Entries = append(ks.view.Entries, model.Member{ID: "entry-3", Addr: newcomer.Self.Addr})
			ks.allocators = append([]*TableAllocator{newcomer}, ks.allocators...)
			for range 12 {
				ks.step(1)
				require.LessOrEqual(t, ks.usableSum(), int64(quota.Whole))
			}
			now, _ := ks.storedTable(t)
			require.Greater(t, now.Version, last.Version)
			require.Equal(t, int64(quota.Whole), ks.usableSum())
			require.Positive(t, newcomer.UsableShare(time.Now()))
		})
	}
}
