package quota

import (
	"math"
	"time"
)

// LoanID identifies a loan. It is unique per borrower.
type LoanID uint64

// loan is weight that one holder has lent to another.
type loan struct {
	id     LoanID
	peer   Peer
	weight int64
	// level is the number of nano-tokens transferred with the loan. It is set at the
	// lender only.
	level int64
	// expiresAt is when the borrower stops using the weight or, at the lender, when the
	// weight is restored.
	expiresAt time.Time
}

// account holds the tokens of one organisation at this instance. Its weight is its base
// share, minus the weight lent, plus the weight borrowed.
type account struct {
	bucket   bucket
	base     int64
	lent     []loan
	borrowed []loan
	demand   rateMeter
	// borrowAfter is when the next borrow attempt is allowed; backoff is the delay after
	// the last attempt that obtained no loan.
	borrowAfter   time.Time
	backoff       time.Duration
	borrowPending bool
	// pendingLoans are the loans requested and not yet received. Replies that arrive after
	// FinishBorrow are ignored.
	pendingLoans []LoanID
}

// removePending removes a loan from the pending loans and reports whether it was pending.
func (a *account) removePending(id LoanID) bool {
	for i, p := range a.pendingLoans {
		if p == id {
			a.pendingLoans = append(a.pendingLoans[:i:i], a.pendingLoans[i+1:]...)
			return true
		}
	}
	return false
}

// advance brings the account forward to now. Loans that end and a base share that expires
// on the way take effect at their own times.
func (a *account) advance(now, expiresAt time.Time) {
	for {
		at, apply := a.nextWeightChange(now, expiresAt)
		if apply == nil {
			break
		}
		a.bucket.refill(at)
		apply()
		a.updateWeight()
	}
	a.bucket.refill(now)
}

// nextWeightChange returns the earliest change of weight up to now and a function that
// applies it. The function is nil if there is none.
func (a *account) nextWeightChange(now, expiresAt time.Time) (time.Time, func()) {
	at := now
	var apply func()
	if a.base > 0 && !expiresAt.After(at) {
		at = expiresAt
		apply = func() {
			a.base = 0
		}
	}
	for i := range a.borrowed {
		if end := a.borrowed[i].expiresAt; !end.After(at) {
			at = end
			apply = func() {
				a.borrowed = removeLoan(a.borrowed, i)
			}
		}
	}
	for i := range a.lent {
		if end := a.lent[i].expiresAt; !end.After(at) {
			at = end
			apply = func() {
				a.lent = removeLoan(a.lent, i)
			}
		}
	}
	return at, apply
}

func removeLoan(loans []loan, i int) []loan {
	return append(loans[:i:i], loans[i+1:]...)
}

// updateWeight recomputes the weight of the bucket from the base share and the loans.
func (a *account) updateWeight() {
	w := a.base
	for _, l := range a.lent {
		w -= l.weight
	}
	for _, l := range a.borrowed {
		w += l.weight
	}
	a.bucket.setWeight(max(w, 0))
}

// lentWeight returns the part of the base share that is lent out.
func (a *account) lentWeight() int64 {
	sum := int64(0)
	for _, l := range a.lent {
		sum += l.weight
	}
	return sum
}

// idle reports whether the account can be discarded because a new one would have the same
// state.
func (a *account) idle(now time.Time) bool {
	return len(a.lent) == 0 && len(a.borrowed) == 0 && !a.borrowPending &&
		a.bucket.level >= a.bucket.capacity() && a.demand.rate(now) == 0
}

// rateMeter estimates a rate as an exponentially decaying average.
type rateMeter struct {
	perSecond float64
	updatedAt time.Time
}

const (
	// meterTimeConstant is the time constant of the exponential decay.
	meterTimeConstant = 2 * time.Second
	// meterMinRate is the rate, in tokens a second, below which the estimate is zero.
	meterMinRate = 0.01
)

// add records tokens used at a point in time.
func (m *rateMeter) add(now time.Time, tokens int64) {
	m.perSecond = m.rate(now) + float64(tokens)/meterTimeConstant.Seconds()
	m.updatedAt = now
}

// rate returns the estimate at a point in time, in tokens a second.
func (m *rateMeter) rate(now time.Time) float64 {
	elapsed := now.Sub(m.updatedAt)
	if elapsed <= 0 {
		return m.perSecond
	}
	remaining := m.perSecond * decayFactor(elapsed)
	if remaining < meterMinRate {
		return 0
	}
	return remaining
}

// decayFactor returns the fraction of an estimate that remains after the elapsed time.
func decayFactor(elapsed time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(meterTimeConstant))
}
