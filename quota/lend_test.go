package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"currantstile/allot"
	"currantstile/model"
)

const org = "o"

// simHolder is one holder in a simulated fleet, with its own clock.
type simHolder struct {
	peer   Peer
	ledger *Ledger
	// drift is the clock drift in units of 1/driftDivisor, between -1 and 1.
	drift  float64
	offset time.Duration
}

func (p *simHolder) clock(at time.Duration) time.Time {
	return start.Add(p.offset + at + time.Duration(p.drift*float64(at)/driftDivisor))
}

// message is a message in transit. It may be lost, duplicated or reordered.
type message struct {
	to      int
	deliver func(*fleetModel)
}

// fleetModel simulates a fleet of holders connected by a network. Its field real is the
// true time since the start, from which the clocks of the holders drift.
type fleetModel struct {
	limits  Limits
	real    time.Duration
	holders []*simHolder
	network []message
	uses    []use
	// borrowPending is the set of holders that are carrying out a BorrowPlan.
	borrowPending map[int]bool
}

func newFleetModel(limits Limits, drifts []float64) *fleetModel {
	f := &fleetModel{
		limits:        limits,
		borrowPending: make(map[int]bool),
	}
	for i, d := range drifts {
		p := &simHolder{
			peer:   Peer(fmt.Sprintf("p%d", i)),
			ledger: NewLedger(),
			drift:  d,
			offset: time.Duration(i) * time.Hour,
		}
		p.ledger.SetBaseShare(p.clock(0).Add(-time.Hour), TotalWeight/int64(len(drifts)), p.clock(0).Add(100*time.Hour))
		f.holders = append(f.holders, p)
	}
	return f
}

func (f *fleetModel) now(i int) time.Time {
	return f.holders[i].clock(f.real)
}

func (f *fleetModel) send(to int, deliver func(*fleetModel)) {
	f.network = append(f.network, message{
		to:      to,
		deliver: deliver,
	})
}

func (f *fleetModel) index(p Peer) int {
	for i := range f.holders {
		if f.holders[i].peer == p {
			return i
		}
	}
	return -1
}

// reserve attempts a reservation and, if there are not enough tokens, carries out the
// borrow plan.
func (f *fleetModel) reserve(i int, tokens int64) bool {
	p := f.holders[i]
	switch d := p.ledger.Reserve(f.now(i), org, f.limits, tokens).(type) {
	case Admitted:
		f.uses = append(f.uses, use{
			at:     start.Add(f.real),
			tokens: tokens,
		})
		return true
	case Insufficient:
		if !d.Plan.Empty() {
			f.requestLoans(i, d.Plan)
		}
	}
	return false
}

func (f *fleetModel) requestLoans(i int, plan BorrowPlan) {
	p := f.holders[i]
	f.borrowPending[i] = true
	for _, r := range plan.Recalls {
		j := f.index(r.Borrower)
		f.send(j, func(f *fleetModel) {
			level, ok := f.holders[j].ledger.ReleaseLoan(f.now(j), org, p.peer, r.ID)
			if ok {
				f.send(i, func(f *fleetModel) {
					p.ledger.RecordReturn(f.now(i), org, f.holders[j].peer, r.ID, level)
				})
			}
		})
	}
	if plan.Weight <= 0 {
		return
	}
	for j := range f.holders {
		if j == i {
			continue
		}
		id := p.ledger.NewLoan(org)
		sent := f.now(i)
		f.send(j, func(f *fleetModel) {
			loan := f.holders[j].ledger.Lend(f.now(j), org, f.limits, p.peer, id, plan.Weight)
			f.send(i, func(f *fleetModel) {
				p.ledger.AcceptLoan(f.now(i), sent, org, f.limits, f.holders[j].peer, loan)
			})
		})
	}
}

// processDueLoans extends or returns the due loans of a holder.
func (f *fleetModel) processDueLoans(i int) {
	p := f.holders[i]
	for _, d := range p.ledger.DueLoans(f.now(i)) {
		j := f.index(d.Lender)
		sent := f.now(i)
		f.send(j, func(f *fleetModel) {
			if d.Return {
				f.holders[j].ledger.RecordReturn(f.now(j), org, p.peer, d.ID, d.Level)
				return
			}
			if f.holders[j].ledger.Extend(f.now(j), org, p.peer, d.ID) {
				f.send(i, func(f *fleetModel) {
					p.ledger.RecordExtension(f.now(i), sent, org, f.holders[j].peer, d.ID)
				})
			}
		})
	}
}

// totals returns the weight that all holders may use now, and the tokens used so far plus
// those still available, in nano-tokens.
func (f *fleetModel) totals() (weight, tokens int64) {
	for i, p := range f.holders {
		p.ledger.accounts.Do(org, func(m map[model.OrgID]*account) {
			if a, ok := m[org]; ok {
				a.advance(f.now(i), p.ledger.base.Load().expiresAt)
				weight += a.bucket.weight
				tokens += a.bucket.level
			}
		})
	}
	for _, u := range f.uses {
		tokens += u.tokens * nano
	}
	return weight, tokens
}

func (f *fleetModel) deliver(k int, duplicate bool) {
	m := f.network[k]
	if !duplicate {
		f.network = append(f.network[:k:k], f.network[k+1:]...)
	}
	m.deliver(f)
}

// Guards the invariants of lending under lost, duplicated and reordered messages, clocks
// that drift within the bound, and holders that are silent for any time: no interval
// admits more than burst and rate allow, the weights sum to at most TotalWeight, and no
// tokens are created. The test was seen to fail without the debit in lend and in
// releaseLoan, when the lender's loan ends 1% early, without removePending, when the
// expiry counts from the arrival of the response, and when the lender does not record an
// extension.
func TestLendingProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		drift := rapid.Float64Range(-1, 1)
		f := newFleetModel(Limits{
			Rate:  rapid.Int64Range(5, 100).Draw(rt, "rate"),
			Burst: rapid.Int64Range(20, 300).Draw(rt, "burst"),
		}, []float64{drift.Draw(rt, "d0"), drift.Draw(rt, "d1"), drift.Draw(rt, "d2")})
		holder := rapid.IntRange(0, 2)
		rt.Repeat(map[string]func(*rapid.T){
			"reserve": func(rt *rapid.T) {
				f.reserve(holder.Draw(rt, "party"), rapid.Int64Range(1, f.limits.Burst).Draw(rt, "tokens"))
			},
			"drain": func(rt *rapid.T) {
				i := holder.Draw(rt, "party")
				for f.reserve(i, 1+f.limits.Burst/20) {
					continue
				}
			},
			"gather": func(rt *rapid.T) {
				i := holder.Draw(rt, "party")
				f.reserve(i, f.limits.Burst)
				for n := 0; len(f.network) > 0 && n < 100; n++ {
					f.deliver(0, false)
				}
				f.holders[i].ledger.FinishBorrow(f.now(i), org, true)
				f.real += 60 * time.Millisecond
			},
			"deliver": func(rt *rapid.T) {
				if len(f.network) > 0 {
					f.deliver(rapid.IntRange(0, len(f.network)-1).Draw(rt, "message"), rapid.IntRange(0, 3).Draw(rt, "repeat") == 0)
				}
			},
			"deliver all": func(*rapid.T) {
				for n := 0; len(f.network) > 0 && n < 100; n++ {
					f.deliver(0, false)
				}
			},
			"lose": func(rt *rapid.T) {
				if len(f.network) > 0 {
					k := rapid.IntRange(0, len(f.network)-1).Draw(rt, "message")
					f.network = append(f.network[:k:k], f.network[k+1:]...)
				}
			},
			"asked": func(rt *rapid.T) {
				i := holder.Draw(rt, "party")
				f.holders[i].ledger.FinishBorrow(f.now(i), org, rapid.Bool().Draw(rt, "gained"))
			},
			"dues": func(rt *rapid.T) {
				f.processDueLoans(holder.Draw(rt, "party"))
			},
			"wait": func(rt *rapid.T) {
				f.real += time.Duration(rapid.IntRange(0, 2000).Draw(rt, "ms")) * time.Millisecond
			},
			"wait long": func(rt *rapid.T) {
				f.real += time.Duration(rapid.IntRange(2900, 3400).Draw(rt, "ms")) * time.Millisecond
			},
			"": func(rt *rapid.T) {
				require.LessOrEqual(rt, maxExcess(f.uses, f.limits), int64(0))
				weight, tokens := f.totals()
				require.LessOrEqual(rt, weight, int64(TotalWeight), "sum of the weights of all holders")
				require.LessOrEqual(rt, tokens, f.limits.Burst*nano+f.limits.Rate*int64(f.real), "tokens used and available")
			},
		})
	})
}

// Guards against borrowing that leaves part of a contract unused: after the first 10 s, an
// organisation that sends all requests to one instance at 0.95 of its rate is admitted at
// 0.95 of the rate, and one that sends twice its rate at 99 in 100, each with a tolerance of
// 0.005.
func TestLendingLiveness(t *testing.T) {
	tests := []struct {
		name string
		load float64
		want float64
	}{
		{
			name: "within the rate",
			load: 0.95,
			want: 0.95,
		},
		{
			name: "twice the rate",
			load: 2,
			want: 0.99,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const size, seconds, settle = 10, 60, 10
			f := newFleetModel(Limits{
				Rate:  1000,
				Burst: 1000,
			}, []float64{0, 1, -1, 0, 0, 1, -1})
			step := time.Duration(float64(time.Second) * size / (1000 * tt.load))
			admitted := 0.0
			for f.real = 0; f.real < seconds*time.Second; f.real += step {
				f.tick(step)
				if f.reserve(0, size) && f.real >= settle*time.Second {
					admitted += size
				}
			}
			require.GreaterOrEqual(t, admitted/(1000*(seconds-settle)), tt.want-0.005)
			require.LessOrEqual(t, maxExcess(f.uses, f.limits), int64(0))
		})
	}
}

// tick delivers all messages in transit, processes due loans every quarter second and
// finishes borrow attempts.
func (f *fleetModel) tick(step time.Duration) {
	const interval = 250 * time.Millisecond
	for len(f.network) > 0 {
		f.deliver(0, false)
	}
	for i, p := range f.holders {
		if f.real/interval != (f.real-step)/interval {
			f.processDueLoans(i)
		}
		if f.borrowPending[i] {
			delete(f.borrowPending, i)
			p.ledger.FinishBorrow(f.now(i), org, p.ledger.hasLoans())
		}
	}
}

// hasLoans reports whether any account holds a borrowed loan.
func (l *Ledger) hasLoans() bool {
	for _, u := range l.Usages(time.Time{}) {
		if u.Borrowed > 0 {
			return true
		}
	}
	return false
}

// Guards against the use of a base share that expired while the process was paused, and
// against tokens accruing before the share is granted again.
func TestBaseShareExpiry(t *testing.T) {
	l := Limits{
		Rate:  100,
		Burst: 1000,
	}
	ledger := NewLedger()
	ledger.SetBaseShare(start, TotalWeight, start.Add(time.Second))
	require.IsType(t, Admitted{}, ledger.Reserve(start.Add(900*time.Millisecond), org, l, 80))
	require.IsType(t, Insufficient{}, ledger.Reserve(start.Add(30*time.Second), org, l, 1))
	renewedAt := start.Add(31 * time.Second)
	ledger.SetBaseShare(renewedAt, TotalWeight, renewedAt.Add(time.Minute))
	require.IsType(t, Insufficient{}, ledger.Reserve(renewedAt, org, l, 1), "no tokens accrue while the share is expired")
	require.IsType(t, Admitted{}, ledger.Reserve(renewedAt.Add(time.Second), org, l, 99))
}

// Guards against a repeated loan request being granted a second loan, and against a loan
// being credited twice when its return is repeated.
func TestLendIdempotent(t *testing.T) {
	l := Limits{
		Rate:  100,
		Burst: 1000,
	}
	ledger := NewLedger()
	ledger.SetBaseShare(start.Add(-time.Hour), TotalWeight/2, start.Add(time.Hour))
	first := ledger.Lend(start, org, l, "p", 1, TotalWeight/4)
	require.Equal(t, int64(TotalWeight/4), first.Weight)
	require.Equal(t, int64(250*nano), first.Level)
	repeated := ledger.Lend(start, org, l, "p", 1, TotalWeight/4)
	require.Equal(t, first.Weight, repeated.Weight)
	require.Equal(t, first.Level, repeated.Level)
	ledger.RecordReturn(start, org, "p", 1, first.Level)
	ledger.RecordReturn(start, org, "p", 1, first.Level)
	require.Equal(t, int64(TotalWeight/2), ledger.Lend(start, org, l, "q", 2, TotalWeight).Weight)
	ended := start.Add(allot.LoanDuration + allot.LoanMargin)
	require.Equal(t, int64(TotalWeight/2), ledger.Lend(ended, org, l, "r", 3, TotalWeight).Weight, "the loan has expired")
}

// Guards against a leak of ended loans and idle accounts.
func TestSweepIdleAccounts(t *testing.T) {
	l := Limits{
		Rate:  100,
		Burst: 1000,
	}
	ledger := NewLedger()
	ledger.SetBaseShare(start.Add(-time.Hour), TotalWeight/2, start.Add(time.Hour))
	require.Positive(t, ledger.Lend(start, org, l, "p", 1, TotalWeight/4).Weight)
	require.Equal(t, int64(TotalWeight/4), ledger.MaxLent(start))
	require.Zero(t, ledger.MaxLent(start.Add(allot.LoanDuration+allot.LoanMargin)))
	require.Len(t, ledger.Usages(start.Add(4*time.Second)), 1, "bucket is not full yet")
	require.Empty(t, ledger.Usages(start.Add(time.Minute)))
}

// Guards against tokens accrued under old limits outliving a change of contract: lower
// limits apply at once, and higher limits fill at the new rate without an initial credit.
func TestContractChanges(t *testing.T) {
	old := Limits{
		Rate:  100,
		Burst: 1000,
	}
	lower := Limits{
		Rate:  10,
		Burst: 100,
	}
	ledger := NewLedger()
	ledger.SetBaseShare(start.Add(-time.Hour), TotalWeight, start.Add(time.Hour))
	require.IsType(t, Admitted{}, ledger.Reserve(start, org, old, 100))
	require.Equal(t, TooLarge{}, ledger.Reserve(start, org, lower, 101))
	require.IsType(t, Admitted{}, ledger.Reserve(start, org, lower, 100))
	require.IsType(t, Insufficient{}, ledger.Reserve(start, org, lower, 1), "tokens accrued under the old limits are dropped")
	require.IsType(t, Insufficient{}, ledger.Reserve(start, org, old, 1), "raising the limits credits no tokens")
	require.IsType(t, Insufficient{}, ledger.Reserve(start.Add(time.Second), org, old, 101))
	require.IsType(t, Admitted{}, ledger.Reserve(start.Add(time.Second), org, old, 99))
}
