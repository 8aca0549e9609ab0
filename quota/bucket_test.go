package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// use is the actual usage of a request, at the time of its admission.
type use struct {
	at     time.Time
	tokens int64
}

// maxExcess returns the largest excess of usage over burst + rate·t in any interval, in
// nano-tokens. It is at most zero if the limits hold.
func maxExcess(uses []use, l Limits) int64 {
	worst := -l.Burst * nano
	for i := range uses {
		sum := int64(0)
		for _, u := range uses[i:] {
			sum += u.tokens * nano
			span := u.at.Sub(uses[i].at)
			worst = max(worst, sum-l.Burst*nano-l.Rate*int64(span))
		}
	}
	return worst
}

// Guards against usage above the limits in any interval when reservations are refunded at
// arbitrary later times. It fails if refund credits n without the bound minSince(mark), or
// if debit does not record the headroom.
func TestRefundProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := Limits{
			Rate:  rapid.Int64Range(1, 50).Draw(rt, "rate"),
			Burst: rapid.Int64Range(1, 100).Draw(rt, "burst"),
		}
		now := start
		ledger := NewLedger()
		ledger.SetBaseShare(now.Add(-time.Hour), TotalWeight, now.Add(1000*time.Hour))
		type open struct {
			r   Reservation
			use int
		}
		var opened []open
		var uses []use
		rt.Repeat(map[string]func(*rapid.T){
			"reserve": func(rt *rapid.T) {
				n := rapid.Int64Range(1, l.Burst).Draw(rt, "tokens")
				if d, ok := ledger.Reserve(now, "o", l, n).(Admitted); ok {
					opened = append(opened, open{
						r:   d.Reservation,
						use: len(uses),
					})
					uses = append(uses, use{
						at:     now,
						tokens: n,
					})
				}
			},
			"settle": func(rt *rapid.T) {
				if len(opened) == 0 {
					return
				}
				i := rapid.IntRange(0, len(opened)-1).Draw(rt, "which")
				o := opened[i]
				opened = append(opened[:i], opened[i+1:]...)
				used := rapid.Int64Range(0, o.r.Tokens).Draw(rt, "used")
				ledger.Settle(now, o.r, used)
				uses[o.use].tokens = used
			},
			"wait": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond)
			},
			"": func(rt *rapid.T) {
				closed := withoutOpen(uses, func(i int) bool {
					for _, o := range opened {
						if o.use == i {
							return true
						}
					}
					return false
				})
				require.LessOrEqual(rt, maxExcess(closed, l), int64(0))
			},
		})
	})
}

// withoutOpen omits the uses of open reservations, which may still shrink.
func withoutOpen(uses []use, isOpen func(int) bool) []use {
	var list []use
	for i, u := range uses {
		if !isOpen(i) {
			list = append(list, u)
		}
	}
	return list
}

func TestRefundAfterRefill(t *testing.T) {
	l := Limits{
		Rate:  10,
		Burst: 100,
	}
	ledger := NewLedger()
	ledger.SetBaseShare(start.Add(-time.Hour), TotalWeight, start.Add(1000*time.Hour))
	d, ok := ledger.Reserve(start, "o", l, 100).(Admitted)
	require.True(t, ok)
	full := start.Add(20 * time.Second)
	d2, ok := ledger.Reserve(full, "o", l, 100).(Admitted)
	require.True(t, ok, "bucket has refilled")
	ledger.Settle(full, d.Reservation, 0)
	require.IsType(t, Insufficient{}, ledger.Reserve(full, "o", l, 1), "no headroom remains for a credit")
	ledger.Settle(full, d2.Reservation, 40)
	require.IsType(t, Admitted{}, ledger.Reserve(full, "o", l, 60))
}

func TestReserve(t *testing.T) {
	l := Limits{
		Rate:  10,
		Burst: 100,
	}
	ledger := NewLedger()
	ledger.SetBaseShare(start.Add(-time.Hour), TotalWeight/2, start.Add(1000*time.Hour))
	require.Equal(t, TooLarge{}, ledger.Reserve(start, "o", l, 101))
	large, ok := ledger.Reserve(start, "o", l, 51).(Insufficient)
	require.True(t, ok, "request exceeds the capacity of the share")
	require.Equal(t, time.Duration(-1), large.Wait)
	require.False(t, large.Plan.Empty())
	require.IsType(t, Admitted{}, ledger.Reserve(start, "o", l, 50))
	short, ok := ledger.Reserve(start, "o", l, 5).(Insufficient)
	require.True(t, ok)
	require.InDelta(t, time.Second, short.Wait, float64(2*time.Millisecond))
	require.IsType(t, Admitted{}, ledger.Reserve(start.Add(short.Wait), "o", l, 5))
	require.IsType(t, Insufficient{}, ledger.Reserve(start.Add(-time.Hour), "o", l, 5), "time does not run backwards")
}

// Guards against a clock that runs fast, within the drift bound, admitting more than the
// rate.
func TestFastClock(t *testing.T) {
	l := Limits{
		Rate:  1000,
		Burst: 10,
	}
	ledger := NewLedger()
	ledger.SetBaseShare(start.Add(-time.Hour), TotalWeight, start.Add(1000*time.Hour))
	var uses []use
	for passed := time.Duration(0); passed < 10*time.Second; passed += 5 * time.Millisecond {
		local := start.Add(passed + passed/driftDivisor)
		for {
			if _, ok := ledger.Reserve(local, "o", l, 1).(Admitted); !ok {
				break
			}
			uses = append(uses, use{
				at:     start.Add(passed),
				tokens: 1,
			})
		}
	}
	require.Greater(t, len(uses), 9900)
	require.LessOrEqual(t, maxExcess(uses, l), int64(0))
}

// Guards against two refunds that together credit more than the bucket could have held. It
// fails if refund does not reduce the recorded headroom by its credit.
func TestConcurrentRefunds(t *testing.T) {
	l := Limits{
		Rate:  10,
		Burst: 100,
	}
	ledger := NewLedger()
	ledger.SetBaseShare(start.Add(-time.Hour), TotalWeight, start.Add(1000*time.Hour))
	reserve := func(at time.Duration, n int64) Reservation {
		d, ok := ledger.Reserve(start.Add(at), "o", l, n).(Admitted)
		require.True(t, ok)
		return d.Reservation
	}
	first := reserve(0, 50)
	second := reserve(0, 50)
	reserve(3*time.Second+10*time.Millisecond, 30)
	// Without the first two reservations, the bucket would have been full at 3 s and would
	// have dropped 30 tokens by then.
	at := start.Add(4 * time.Second)
	ledger.Settle(at, second, 0)
	ledger.Settle(at, first, 0)
	require.IsType(t, Insufficient{}, ledger.Reserve(at, "o", l, 81))
	require.IsType(t, Admitted{}, ledger.Reserve(at, "o", l, 79))
}
