package wire

import (
	"bytes"
	"encoding/gob"
	"net/rpc"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/cache"
	"currantstile/model"
	"currantstile/quota"
)

// BenchmarkCallBytes measures the bytes of one call with its reply on a connection
// that has carried such a call before, so that gob's type definitions, which are
// sent only once, do not count.
func BenchmarkCallBytes(b *testing.B) {
	adapter := model.Adapter{
		Name:    "inspect-dealers-ost-0001",
		Version: "v1",
	}
	due := quota.DueLoan{
		Organisation: "dealers-ost",
		Lender:       "entry-3/0123456789abcdef",
		ID:           1234,
	}
	pin := cache.HeldPin{
		Adapter:     adapter,
		Incarnation: "engine-07-1",
		Slots:       2,
		Asked:       12345,
	}
	calls := []struct {
		method string
		args   any
		reply  any
	}{
		{
			method: MethodBorrow,
			args: BorrowArgs{
				Borrower:     "entry-3/0123456789abcdef",
				Organisation: "dealers-ost",
				ID:           1234,
				Weight:       31250,
			},
			reply: BorrowReply{
				Loan: quota.Loan{
					ID:       1234,
					Weight:   31250,
					Level:    312_000_000_000,
					ValidFor: 3 * time.Second,
				},
			},
		},
		{
			method: MethodUpdateLoans,
			args: UpdateLoansArgs{
				Borrower: "entry-3/0123456789abcdef",
				Loans:    []quota.DueLoan{due, due, due, due, due},
			},
			reply: UpdateLoansReply{
				Extended: make([]bool, 5),
			},
		},
		{
			method: MethodAcquire,
			args: AcquireArgs{
				Target: "engine-07",
				Ask: cache.PinRequest{
					Holder:       "entry-3/0123456789abcdef",
					Adapter:      adapter,
					Organisation: "dealers-ost",
					Priority:     10,
					Slots:        1,
					ID:           12345,
				},
				Wait: time.Second,
			},
			reply: AcquireReply{
				Result: AcquireGranted,
				Pin: cache.Pin{
					Incarnation: "engine-07-1",
					Adapter:     adapter,
					Slots:       1,
					ValidFor:    cache.PinTTL,
				},
			},
		},
		{
			method: MethodRenew,
			args: RenewArgs{
				Holder: "entry-3/0123456789abcdef",
				Targets: []TargetHolds{
					{
						Target: "engine-07",
						Holds:  []cache.HeldPin{pin, pin, pin, pin},
					},
				},
			},
			reply: RenewReply{},
		},
	}
	for _, c := range calls {
		b.Run(c.method, func(b *testing.B) {
			var buf bytes.Buffer
			e := gob.NewEncoder(&buf)
			for i := range max(b.N, 2) {
				buf.Reset()
				require.NoError(b, e.Encode(rpc.Request{
					ServiceMethod: c.method,
					Seq:           uint64(1000 + i),
				}))
				require.NoError(b, e.Encode(c.args))
				require.NoError(b, e.Encode(rpc.Response{
					ServiceMethod: c.method,
					Seq:           uint64(1000 + i),
				}))
				require.NoError(b, e.Encode(c.reply))
			}
			b.ReportMetric(float64(buf.Len()), "B/call")
		})
	}
}
