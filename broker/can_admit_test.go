package broker

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/allot"
	"currantstile/quota"
)

// Guards against an instance that reports itself ready before it has its share: the
// loans it can get while the shares of a new fleet still move are not enough for the
// first requests, which it would refuse.
func TestTableAllocatorCanAdmit(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	table := func(others int, listed bool) *allot.Table {
		out := &allot.Table{
			Total: quota.TotalWeight,
		}
		for i := range others {
			out.Shares = append(out.Shares, allot.Share{
				Holder: allot.Holder(fmt.Sprint("other", i)),
				Weight: quota.TotalWeight / int64(others),
			})
		}
		if listed {
			out.Shares = append(out.Shares, allot.Share{
				Holder: "self",
			})
		}
		return out
	}
	tests := []struct {
		name  string
		table *allot.Table
		share int64
		want  bool
	}{
		{
			name: "table not read yet",
		},
		{
			name:  "usable share",
			table: table(3, true),
			share: 1000,
			want:  true,
		},
		{
			name:  "in the table without a usable share",
			table: table(3, true),
		},
		{
			name:  "not in the table, which has room",
			table: table(3, false),
		},
		{
			name:  "not in the full table, only borrows",
			table: table(maxTableHolders, false),
			want:  true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := &TableAllocator{
				Self: allot.Share{
					Holder: "self",
				},
				Ledger: quota.NewLedger(),
			}
			if tt.table != nil {
				a.lastTable.Store(tt.table)
			}
			a.Ledger.SetBaseShare(now, tt.share, now.Add(time.Second))
			require.Equal(t, tt.want, a.CanAdmit(now))
		})
	}
}
