package quota

import (
	"math"
	"time"
)

// LoanID names a loan; it is unique for its borrower.
type LoanID uint64

// loan is weight that one holder has lent another one.
type loan struct {
	id     LoanID
	peer   Peer
	weight int64
	// level is what went with the loan, in nano-tokens, at the lender.
	level int64
	// expiresAt is when the borrower stops using the weight or, at the lender,
	// when the weight comes back.
	expiresAt time.Time
}

// account is one organisation's tokens at this instance. Its weight is its base
// part, less what it has lent, plus what it has borrowed.
type account struct {
	bucket   bucket
	base     int64
	lent     []loan
	borrowed []loan
	demand   rateMeter
	// borrowAfter is when other holders may be asked again; backoff is how long the
	// next honest no keeps this instance from asking.
	borrowAfter   time.Time
	backoff       time.Duration
	borrowPending bool
	// pendingLoans are the loans that were asked for and not yet answered. An answer
	// that comes later than Asked is ignored.
	pendingLoans []LoanID
}

// removePending reports whether a loan's answer is awaited, and ends that.
func (a *account) removePending(id LoanID) bool {
	for i, p := range a.pendingLoans {
		if p == id {
			a.pendingLoans = append(a.pendingLoans[:i:i], a.pendingLoans[i+1:]...)
			return true
		}
	}
	return false
}

// advance brings the account up to a moment, in which loans end and the base
// part may lapse, each at its own time.
func (a *account) advance(now, fence time.Time) {
	for {
		at, apply := a.nextWeightChange(now, fence)
		if apply == nil {
			break
		}
		a.bucket.refill(at)
		apply()
		a.updateWeight()
	}
	a.bucket.refill(now)
}

// nextWeightChange finds the earliest change of weight up to a moment.
func (a *account) nextWeightChange(now, fence time.Time) (time.Time, func()) {
	at := now
	var apply func()
	if a.base > 0 && !fence.After(at) {
		at = fence
		apply = func() {
			a.base = 0
		}
	}
	for i := range a.borrowed {
		if e := a.borrowed[i].expiresAt; !e.After(at) {
			at = e
			apply = func() {
				a.borrowed = removeLoan(a.borrowed, i)
			}
		}
	}
	for i := range a.lent {
		if e := a.lent[i].expiresAt; !e.After(at) {
			at = e
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

// updateWeight gives the bucket its present weight.
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

// lentWeight is how much of the base part is lent.
func (a *account) lentWeight() int64 {
	sum := int64(0)
	for _, l := range a.lent {
		sum += l.weight
	}
	return sum
}

// idle reports whether the account can be forgotten: a new one would be the
// same.
func (a *account) idle(now time.Time) bool {
	return len(a.lent) == 0 && len(a.borrowed) == 0 && !a.borrowPending &&
		a.bucket.level >= a.bucket.capacity() && a.demand.rate(now) == 0
}

// rateMeter estimates a rate over the last seconds.
type rateMeter struct {
	perSecond float64
	updatedAt time.Time
}

const (
	// meterTimeConstant is the time over which the estimate forgets.
	meterTimeConstant = 2 * time.Second
	// meterMinRate is the rate that counts as none.
	meterMinRate = 0.01
)

// add counts tokens at a moment.
func (m *rateMeter) add(now time.Time, tokens int64) {
	m.perSecond = m.rate(now) + float64(tokens)/meterTimeConstant.Seconds()
	m.updatedAt = now
}

// rate is the estimate at a moment, in tokens a second.
func (m *rateMeter) rate(now time.Time) float64 {
	elapsed := now.Sub(m.updatedAt)
	if elapsed <= 0 {
		return m.perSecond
	}
	left := m.perSecond * decayFactor(elapsed)
	if left < meterMinRate {
		return 0
	}
	return left
}

// decayFactor is what is left of an estimate after a time.
func decayFactor(elapsed time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(meterTimeConstant))
}
