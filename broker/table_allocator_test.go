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

// tableFleet is a set of allocators that share one store and are stepped by the test.
type tableFleet struct {
	kv         *memkv.Store
	view       *member.View
	allocators []*TableAllocator
}

func newTableFleet(n int) *tableFleet {
	f := &tableFleet{
		kv:   &memkv.Store{},
		view: &member.View{},
	}
	for i := range n {
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+i))
		id := fmt.Sprintf("entry-%d", i)
		f.view.Entries = append(f.view.Entries, model.Member{ID: id, Addr: addr})
		a := &TableAllocator{
			Self:   NewShare(id+"/1", model.InstanceID(id), addr),
			KV:     f.kv,
			Ledger: quota.NewLedger(),
			Members: func() *member.View {
				v := *f.view
				v.RequestedAt = time.Now()
				return &v
			},
			TableVersion: f.tableVersion,
			Log:          log.Logger{Level: log.PanicLevel},
		}
		f.allocators = append(f.allocators, a)
	}
	return f
}

func (f *tableFleet) tableVersion(_ context.Context, addr netip.AddrPort) (uint64, error) {
	for _, a := range f.allocators {
		if a.Self.Addr == addr {
			return a.LastVersion(), nil
		}
	}
	return 0, store.ErrUnavailable
}

func (f *tableFleet) step(rounds int) {
	for range rounds {
		for _, a := range f.allocators {
			a.nextRead = time.Time{}
			a.step(context.Background())
		}
	}
}

func (f *tableFleet) usableSum() int64 {
	sum := int64(0)
	for _, a := range f.allocators {
		sum += a.UsableShare(time.Now())
	}
	return sum
}

func (f *tableFleet) storedTable(t *testing.T) (allot.Table, store.Entry) {
	e, err := f.kv.Get(context.Background(), tableKey)
	require.NoError(t, err)
	var table allot.Table
	require.NoError(t, json.Unmarshal(e.Value, &table))
	return table, e
}

// Guards against shares that exceed the total after the store was rolled back to an older
// table or lost it: the instances must restore the last table, even if a new instance
// reads the old state first.
func TestTableAllocatorStoreRollback(t *testing.T) {
	for _, lost := range []bool{false, true} {
		t.Run(fmt.Sprintf("table lost %t", lost), func(t *testing.T) {
			f := newTableFleet(3)
			f.allocators = f.allocators[:2]
			f.view.Entries = f.view.Entries[:2]
			f.step(6)
			old, _ := f.storedTable(t)
			third := newTableFleet(3).allocators[2]
			third.KV, third.Members, third.TableVersion = f.kv, f.allocators[0].Members, f.tableVersion
			f.allocators = append(f.allocators, third)
			f.view.Entries = append(f.view.Entries, model.Member{ID: "entry-2", Addr: third.Self.Addr})
			f.step(8)
			require.Equal(t, int64(quota.TotalWeight), f.usableSum())
			require.Positive(t, third.UsableShare(time.Now()))
			last, e := f.storedTable(t)
			value, err := json.Marshal(old)
			require.NoError(t, err)
			if lost {
				require.NoError(t, f.kv.Delete(context.Background(), tableKey, e.Revision))
			} else {
				_, err = f.kv.Put(context.Background(), store.Write{Key: tableKey, Value: value, Expect: e.Revision})
				require.NoError(t, err)
			}
			newcomer := newTableFleet(4).allocators[3]
			newcomer.KV, newcomer.Members, newcomer.TableVersion = f.kv, f.allocators[0].Members, f.tableVersion
			f.view.Entries = append(f.view.Entries, model.Member{ID: "entry-3", Addr: newcomer.Self.Addr})
			f.allocators = append([]*TableAllocator{newcomer}, f.allocators...)
			for range 12 {
				f.step(1)
				require.LessOrEqual(t, f.usableSum(), int64(quota.TotalWeight))
			}
			now, _ := f.storedTable(t)
			require.Greater(t, now.Version, last.Version)
			require.Equal(t, int64(quota.TotalWeight), f.usableSum())
			require.Positive(t, newcomer.UsableShare(time.Now()))
		})
	}
}
