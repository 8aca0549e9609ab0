package broker

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/allot"
	"currantstile/quota"
)

// An instance that is to have a part and has none yet does not call itself ready:
// what it could borrow while the parts of a fresh fleet still move is not enough for
// the first requests.
func TestTableAllocatorCanAdmit(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	table := func(others int, joined bool) *allot.Table {
		out := &allot.Table{
			Whole: quota.Whole,
		}
		for i := range others {
			out.Parts = append(out.Parts, allot.Part{
				Holder: allot.Holder(fmt.Sprint("other", i)),
				Weight: quota.Whole / int64(others),
			})
		}
		if joined {
			out.Parts = append(out.Parts, allot.Part{
				Holder: "self",
			})
		}
		return out
	}
	tests := []struct {
		name  string
		table *allot.Table
		part  int64
		want  bool
	}{
		{
			name: "nothing is known",
		},
		{
			name:  "a part",
			table: table(3, true),
			part:  1000,
			want:  true,
		},
		{
			name:  "joined without a part yet",
			table: table(3, true),
		},
		{
			name:  "not joined yet",
			table: table(3, false),
		},
		{
			name:  "one of those that only borrow",
			table: table(maxTableHolders, false),
			want:  true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			k := &TableAllocator{
				Self: allot.Part{
					Holder: "self",
				},
				Ledger: quota.NewLedger(),
			}
			if tt.table != nil {
				k.lastTable.Store(tt.table)
			}
			k.Ledger.SetBase(now, tt.part, now.Add(time.Second))
			require.Equal(t, tt.want, k.CanAdmit(now))
		})
	}
}
