package quota

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantstile/model"
	"currantstile/shard"
)

const (
	// borrowDemandFactor is how much more than its measured demand an instance
	// wants to hold.
	borrowDemandFactor = 1.25
	// borrowSizeFactor is how much more weight is asked for than a request's tokens
	// need, and minAsk the least that is asked for.
	borrowSizeFactor = 3
	minBorrow        = TotalWeight / 32
	// minBorrowInterval is how soon an instance may ask again after it was lent
	// something.
	minBorrowInterval = 5 * time.Millisecond
	// minBorrowBackoff and maxBackoff bound how long an honest no keeps an instance
	// from asking again.
	minBorrowBackoff = 50 * time.Millisecond
	maxBorrowBackoff = 2 * time.Second
)

// baseShare is this instance's part of every contract.
type baseShare struct {
	weight int64
	// weightByOrg is the part of each contract, where they differ; weight counts if nil.
	weightByOrg func(model.OrgID) int64
	// grownAt is when the part last grew: an account that begins later cannot
	// have saved more than has come since.
	grownAt time.Time
	// expiresAt is when the part stops being usable.
	expiresAt time.Time
}

// Ledger holds the accounts of one instance. It is safe for concurrent use.
type Ledger struct {
	accounts   *shard.Map[model.OrgID, *account]
	base       atomic.Pointer[baseShare]
	lastLoanID atomic.Uint64
}

// NewLedger returns a ledger without any part.
func NewLedger() *Ledger {
	l := &Ledger{
		accounts: shard.NewMap[model.OrgID, *account](func(org model.OrgID) uint64 {
			return xxhash.Sum64String(string(org))
		}),
	}
	l.base.Store(&baseShare{})
	return l
}

// weightOf is the part of one contract.
func (b *baseShare) weightOf(org model.OrgID) int64 {
	if b.weightByOrg == nil {
		return b.weight
	}
	return b.weightByOrg(org)
}

// SetBaseShares sets this instance's part of each contract, usable until the fence.
// Some is the largest of them, which only tells whether there is any. When it
// returns, no request is admitted from a larger part.
func (l *Ledger) SetBaseShares(now time.Time, some int64, of func(model.OrgID) int64, fence time.Time) {
	old := l.base.Load()
	l.applyBaseShare(now, old.expiresAt, &baseShare{})
	l.base.Store(&baseShare{
		weight:      some,
		weightByOrg: of,
		grownAt:     now,
		expiresAt:   fence,
	})
	l.applyBaseShare(now, old.expiresAt, l.base.Load())
}

// ExtendExpiry sets until when the parts are usable. Parts that have lapsed begin anew.
func (l *Ledger) ExtendExpiry(now, fence time.Time) {
	old := l.base.Load()
	if !now.Before(old.expiresAt) {
		l.SetBaseShares(now, old.weight, old.weightByOrg, fence)
		return
	}
	next := *old
	next.expiresAt = fence
	l.base.Store(&next)
}

// SetBaseShare sets this instance's part of every contract, usable until the fence.
// When it returns, no request is admitted from a larger part.
func (l *Ledger) SetBaseShare(now time.Time, weight int64, fence time.Time) {
	old := l.base.Load()
	next := &baseShare{
		weight:    weight,
		grownAt:   old.grownAt,
		expiresAt: fence,
	}
	lapsed := !now.Before(old.expiresAt)
	if weight > old.weight || lapsed {
		next.grownAt = now
	}
	if lapsed {
		// The accounts have to see the lapse before they see a later fence.
		l.applyBaseShare(now, old.expiresAt, &baseShare{})
	}
	l.base.Store(next)
	if weight != old.weight || lapsed {
		l.applyBaseShare(now, old.expiresAt, next)
	}
}

// BaseShare is this instance's part of every contract that it may use now.
func (l *Ledger) BaseShare(now time.Time) int64 {
	b := l.base.Load()
	if !now.Before(b.expiresAt) {
		return 0
	}
	return b.weight
}

func (l *Ledger) applyBaseShare(now, fence time.Time, b *baseShare) {
	l.accounts.Each(func(m map[model.OrgID]*account) {
		for org, a := range m {
			a.advance(now, fence)
			a.base = b.weightOf(org)
			a.updateWeight()
			if a.idle(now) {
				delete(m, org)
			}
		}
	})
}

// Reserve takes tokens for a request. The time is read at the moment of the
// call, so that a process which was paused does not spend by an old clock.
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

// account returns an organisation's account as of now, with the limits in
// force. A new account has what a bucket that nobody used would have saved since
// the part last grew.
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

// insufficient describes what is missing for a request, and claims the right to ask
// other holders where that makes sense now.
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

// targetWeight is the weight that serves the measured demand and a request's size.
func (a *account) targetWeight(now time.Time, tokens int64) int64 {
	l := a.bucket.limits
	byRate := a.demand.rate(now) * borrowDemandFactor / float64(l.Rate) * TotalWeight
	missing := max(tokens*nano-a.bucket.level, 0)
	if missing == 0 {
		return min(int64(byRate), TotalWeight)
	}
	// What others lend need not be full of tokens, so that a request asks for
	// more weight than would hold its tokens.
	bySize := max(borrowSizeFactor*mulDiv(missing, TotalWeight, l.Burst*nano), minBorrow)
	return min(max(int64(byRate), a.bucket.weight+bySize), TotalWeight)
}

// FinishBorrow ends what a Want began. Gained reports whether any holder lent
// anything; after an honest no the others are left in peace for a while.
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

// Settle ends a reservation with what the request has really used. What was not
// used is credited; what was used beyond the reservation is taken as well.
func (l *Ledger) Settle(now time.Time, r Reservation, used int64) {
	fence := l.base.Load().expiresAt
	l.accounts.Do(r.Organisation, func(m map[model.OrgID]*account) {
		a, ok := m[r.Organisation]
		if !ok {
			return
		}
		a.advance(now, fence)
		if used > r.Tokens {
			a.bucket.debit((used - r.Tokens) * nano)
			return
		}
		a.bucket.refund(r.mark, (r.Tokens-used)*nano)
	})
}

// MaxLent is the most that is lent of any organisation's part at a moment.
func (l *Ledger) MaxLent(now time.Time) int64 {
	most := int64(0)
	l.sweep(now, func(_ model.OrgID, a *account) {
		most = max(most, a.lentWeight())
	})
	return most
}

// sweep brings all accounts up to a moment, forgets those that are idle, and
// visits the others.
func (l *Ledger) sweep(now time.Time, visit func(model.OrgID, *account)) {
	fence := l.base.Load().expiresAt
	l.accounts.Each(func(m map[model.OrgID]*account) {
		for org, a := range m {
			a.advance(now, fence)
			if a.idle(now) {
				delete(m, org)
				continue
			}
			visit(org, a)
		}
	})
}

// Usage is one organisation's state at this instance.
type Usage struct {
	Organisation model.OrgID
	// Weight is in millionths of the contract, Level in tokens, Demand in tokens
	// a second.
	Weight   int64
	Level    int64
	Demand   float64
	Lent     int
	Borrowed int
}

// Usages lists the accounts as of a moment, forgetting the idle ones.
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

// Take takes up to so many tokens from this instance's part of a contract, and
// returns how many there were.
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

// Refund returns tokens that were taken and not used. The bucket is as full then
// as if they had not been taken.
func (l *Ledger) Refund(now time.Time, org model.OrgID, tokens int64) {
	fence := l.base.Load().expiresAt
	l.accounts.Do(org, func(m map[model.OrgID]*account) {
		if a, ok := m[org]; ok {
			a.advance(now, fence)
			a.bucket.level = min(a.bucket.level+tokens*nano, a.bucket.capacity())
		}
	})
}
