package quota

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantstile/model"
	"currantstile/shard"
)

const (
	// borrowDemandFactor is the ratio of the weight that an instance aims to hold to the
	// weight for its measured demand.
	borrowDemandFactor = 1.25
	// borrowSizeFactor is the ratio of the weight requested to the weight whose burst equals
	// the tokens that a request lacks. minBorrow is the least weight requested for them.
	borrowSizeFactor = 3
	minBorrow        = TotalWeight / 32
	// minBorrowInterval is the least time between borrow attempts, also after an attempt
	// that obtained a loan.
	minBorrowInterval = 5 * time.Millisecond
	// minBorrowBackoff and maxBorrowBackoff bound the delay after a borrow attempt that
	// obtained no loan.
	minBorrowBackoff = 50 * time.Millisecond
	maxBorrowBackoff = 2 * time.Second
)

// baseShare is the share that this instance holds of every contract.
type baseShare struct {
	// weight is the largest share of any contract.
	weight int64
	// weightByOrg returns the share per contract. If nil, weight applies to all contracts.
	weightByOrg func(model.OrgID) int64
	// grownAt is when the share last grew. An account created later starts with at most
	// the tokens accrued since then.
	grownAt time.Time
	// expiresAt is when the share stops being usable.
	expiresAt time.Time
}

// Ledger holds the accounts of one instance. It is safe for concurrent use.
type Ledger struct {
	accounts   *shard.Map[model.OrgID, *account]
	base       atomic.Pointer[baseShare]
	lastLoanID atomic.Uint64
}

// NewLedger returns a ledger without a base share.
func NewLedger() *Ledger {
	l := &Ledger{
		accounts: shard.NewMap[model.OrgID, *account](func(org model.OrgID) uint64 {
			return xxhash.Sum64String(string(org))
		}),
	}
	l.base.Store(&baseShare{})
	return l
}

// weightOf returns the share of one contract.
func (b *baseShare) weightOf(org model.OrgID) int64 {
	if b.weightByOrg == nil {
		return b.weight
	}
	return b.weightByOrg(org)
}

// SetBaseShares sets this instance's share of each contract, usable until expiresAt. The
// argument largest is the largest of the shares; BaseShare returns it to show whether
// there is any. After SetBaseShares returns, no request is admitted from a larger share.
func (l *Ledger) SetBaseShares(
	now time.Time, largest int64, weightByOrg func(model.OrgID) int64, expiresAt time.Time,
) {
	old := l.base.Load()
	if !now.Before(old.expiresAt) {
		// The accounts must process the expiry before a later one is set.
		l.applyBaseShare(now, old.expiresAt, &baseShare{})
	}
	next := &baseShare{
		weight:      largest,
		weightByOrg: weightByOrg,
		grownAt:     now,
		expiresAt:   expiresAt,
	}
	l.base.Store(next)
	l.applyBaseShare(now, old.expiresAt, next)
}

// ExtendExpiry sets the time until which the shares are usable. Shares that have expired
// are set again, so that tokens accrue only from now on.
func (l *Ledger) ExtendExpiry(now, expiresAt time.Time) {
	old := l.base.Load()
	if !now.Before(old.expiresAt) {
		l.SetBaseShares(now, old.weight, old.weightByOrg, expiresAt)
		return
	}
	next := *old
	next.expiresAt = expiresAt
	l.base.Store(&next)
}

// SetBaseShare sets this instance's share of every contract, usable until expiresAt. After
// it returns, no request is admitted from a larger share.
func (l *Ledger) SetBaseShare(now time.Time, weight int64, expiresAt time.Time) {
	old := l.base.Load()
	next := &baseShare{
		weight:    weight,
		grownAt:   old.grownAt,
		expiresAt: expiresAt,
	}
	expired := !now.Before(old.expiresAt)
	if weight > old.weight || expired {
		next.grownAt = now
	}
	if expired {
		// The accounts must process the expiry before a later one is set.
		l.applyBaseShare(now, old.expiresAt, &baseShare{})
	}
	l.base.Store(next)
	if weight != old.weight || expired {
		l.applyBaseShare(now, old.expiresAt, next)
	}
}

// BaseShare returns the share of every contract that this instance may use now, or the
// largest one if the shares differ. It is zero once the share has expired.
func (l *Ledger) BaseShare(now time.Time) int64 {
	b := l.base.Load()
	if !now.Before(b.expiresAt) {
		return 0
	}
	return b.weight
}

// applyBaseShare brings all accounts forward to now, with the given expiry of their current
// base shares, and then sets the base shares from b. Idle accounts without a share are discarded; others
// hold tokens that a new one would not have.
func (l *Ledger) applyBaseShare(now, expiresAt time.Time, b *baseShare) {
	l.accounts.Each(func(m map[model.OrgID]*account) {
		for org, a := range m {
			a.advance(now, expiresAt)
			a.base = b.weightOf(org)
			a.updateWeight()
			if a.base == 0 && a.idle(now) {
				delete(m, org)
			}
		}
	})
}

// Reserve debits tokens for a request. The caller reads the clock immediately before the
// call, so that a process that was paused does not spend tokens by an outdated time.
func (l *Ledger) Reserve(now time.Time, org model.OrgID, limits Limits, tokens int64) Decision {
	if tokens > limits.Burst {
		return TooLarge{}
	}
	var d Decision
	l.accounts.Do(org, func(m map[model.OrgID]*account) {
		a := l.account(now, m, org, limits)
		if a.bucket.level < tokens*nano {
			d = a.insufficient(now, tokens)
			return
		}
		a.demand.add(now, tokens)
		a.backoff = 0
		d = Admitted{
			Reservation: Reservation{
				Organisation: org,
				Tokens:       tokens,
				mark:         a.bucket.debit(tokens * nano),
			},
		}
	})
	return d
}

// account returns the account of an organisation as of now, with the limits in force. A
// new account starts with the tokens that an unused bucket would have accrued since the
// share last grew.
func (l *Ledger) account(now time.Time, m map[model.OrgID]*account, org model.OrgID, limits Limits) *account {
	b := l.base.Load()
	a, ok := m[org]
	if !ok {
		a = &account{
			bucket: bucket{
				limits:    limits,
				weight:    b.weightOf(org),
				updatedAt: b.grownAt,
			},
			base: b.weightOf(org),
		}
		m[org] = a
	}
	a.advance(now, b.expiresAt)
	a.bucket.setLimits(limits)
	return a
}

// insufficient describes what a request lacks. If a borrow attempt is allowed now, it
// returns a plan and marks the attempt as pending.
func (a *account) insufficient(now time.Time, tokens int64) Insufficient {
	s := Insufficient{
		Wait:          a.bucket.timeUntil(tokens * nano),
		BorrowPending: a.borrowPending,
	}
	if a.borrowPending {
		return s
	}
	if s.BorrowBackoff = a.borrowAfter.Sub(now); s.BorrowBackoff > 0 {
		return s
	}
	s.BorrowBackoff = 0
	a.demand.add(now, tokens)
	s.Plan.Weight = a.targetWeight(now, tokens) - a.bucket.weight
	for _, l := range a.lent {
		s.Plan.Recalls = append(s.Plan.Recalls, Recall{
			Borrower: l.peer,
			ID:       l.id,
		})
	}
	a.borrowPending = !s.Plan.Empty()
	return s
}

// targetWeight returns the weight that covers the measured demand and the size of a
// request.
func (a *account) targetWeight(now time.Time, tokens int64) int64 {
	l := a.bucket.limits
	byRate := a.demand.rate(now) * borrowDemandFactor / float64(l.Rate) * TotalWeight
	missing := max(tokens*nano-a.bucket.level, 0)
	if missing == 0 {
		return min(int64(byRate), TotalWeight)
	}
	// Lenders' buckets need not be full, so more weight is requested than would hold the
	// tokens of the request.
	bySize := max(borrowSizeFactor*mulDiv(missing, TotalWeight, l.Burst*nano), minBorrow)
	return min(max(int64(byRate), a.bucket.weight+bySize), TotalWeight)
}

// FinishBorrow ends the borrow attempt that a BorrowPlan began. The argument gained
// reports whether any holder granted a loan; if not, the next attempt waits for an
// exponential backoff.
func (l *Ledger) FinishBorrow(now time.Time, org model.OrgID, gained bool) {
	l.accounts.Do(org, func(m map[model.OrgID]*account) {
		a, ok := m[org]
		if !ok {
			return
		}
		a.borrowPending = false
		a.pendingLoans = nil
		if gained {
			a.backoff = 0
		} else {
			a.backoff = min(max(2*a.backoff, minBorrowBackoff), maxBorrowBackoff)
		}
		a.borrowAfter = now.Add(max(a.backoff, minBorrowInterval))
	})
}

// Settle closes a reservation with the tokens that the request actually used. Unused
// tokens are credited; usage beyond the reservation is debited.
func (l *Ledger) Settle(now time.Time, r Reservation, used int64) {
	expiresAt := l.base.Load().expiresAt
	l.accounts.Do(r.Organisation, func(m map[model.OrgID]*account) {
		a, ok := m[r.Organisation]
		if !ok {
			return
		}
		a.advance(now, expiresAt)
		if used > r.Tokens {
			a.bucket.debit((used - r.Tokens) * nano)
			return
		}
		a.bucket.refund(r.mark, (r.Tokens-used)*nano)
	})
}

// MaxLent returns the largest weight lent out for any organisation as of now.
func (l *Ledger) MaxLent(now time.Time) int64 {
	maxLent := int64(0)
	l.sweep(now, func(_ model.OrgID, a *account) {
		maxLent = max(maxLent, a.lentWeight())
	})
	return maxLent
}

// sweep brings all accounts forward to now, discards the idle ones and visits the others.
func (l *Ledger) sweep(now time.Time, visit func(model.OrgID, *account)) {
	expiresAt := l.base.Load().expiresAt
	l.accounts.Each(func(m map[model.OrgID]*account) {
		for org, a := range m {
			a.advance(now, expiresAt)
			if a.idle(now) {
				delete(m, org)
				continue
			}
			visit(org, a)
		}
	})
}

// Usage is the state of one organisation at this instance.
type Usage struct {
	Organisation model.OrgID
	// Weight is in millionths of the contract, Level in tokens, Demand in tokens a second.
	Weight int64
	Level  int64
	Demand float64
	// Lent and Borrowed are numbers of loans.
	Lent     int
	Borrowed int
}

// Usages returns the state of all accounts as of now and discards the idle ones.
func (l *Ledger) Usages(now time.Time) []Usage {
	var list []Usage
	l.sweep(now, func(org model.OrgID, a *account) {
		list = append(list, Usage{
			Organisation: org,
			Weight:       a.bucket.weight,
			Level:        a.bucket.level / nano,
			Demand:       a.demand.rate(now),
			Lent:         len(a.lent),
			Borrowed:     len(a.borrowed),
		})
	})
	return list
}

// Take debits up to the given number of tokens from this instance's share of a contract
// and returns the number debited.
func (l *Ledger) Take(now time.Time, org model.OrgID, limits Limits, tokens int64) int64 {
	taken := int64(0)
	l.accounts.Do(org, func(m map[model.OrgID]*account) {
		a := l.account(now, m, org, limits)
		taken = max(min(tokens, a.bucket.level/nano), 0)
		a.bucket.debit(taken * nano)
		a.demand.add(now, taken)
	})
	return taken
}

// Refund credits tokens that were taken and not used, up to the capacity of the bucket.
func (l *Ledger) Refund(now time.Time, org model.OrgID, tokens int64) {
	expiresAt := l.base.Load().expiresAt
	l.accounts.Do(org, func(m map[model.OrgID]*account) {
		if a, ok := m[org]; ok {
			a.advance(now, expiresAt)
			a.bucket.level = min(a.bucket.level+tokens*nano, a.bucket.capacity())
		}
	})
}
