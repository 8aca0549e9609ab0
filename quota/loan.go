package quota

import (
	"time"

	"currantstile/allot"
	"currantstile/model"
)

// Loan is weight lent for a limited time, together with tokens.
type Loan struct {
	ID     LoanID
	Weight int64
	// Level is the number of nano-tokens transferred with the loan.
	Level int64
	// ValidFor counts from when the borrower sent its request for the loan.
	ValidFor time.Duration
}

// NewLoan returns the ID of a loan that this instance is about to request while it carries
// out a BorrowPlan.
func (l *Ledger) NewLoan(org model.OrgID) LoanID {
	id := LoanID(l.lastLoanID.Add(1))
	l.accounts.Do(org, func(m map[model.OrgID]*account) {
		if a, ok := m[org]; ok && a.borrowPending {
			a.pendingLoans = append(a.pendingLoans, id)
		}
	})
	return id
}

// Lend lends up to the given weight to a borrower, as far as this instance's own demand
// allows. The weight and its tokens are debited before Lend returns. A request repeated
// with the same ID returns the existing loan. A loan without weight means that the request
// was declined.
func (l *Ledger) Lend(now time.Time, org model.OrgID, limits Limits, borrower Peer, id LoanID, weight int64) Loan {
	loan := Loan{
		ID: id,
	}
	l.accounts.Do(org, func(m map[model.OrgID]*account) {
		a := l.account(now, m, org, limits)
		if existing, ok := findLoan(a.lent, borrower, id); ok {
			loan.Weight = existing.weight
			loan.Level = existing.level
			loan.ValidFor = allot.LoanDuration
			return
		}
		weight = min(weight, a.lendable(now))
		if weight <= 0 {
			return
		}
		loan.Weight = weight
		loan.ValidFor = allot.LoanDuration
		loan.Level = a.lend(now, borrower, id, weight)
	})
	return loan
}

func findLoan(loans []loan, peer Peer, id LoanID) (loan, bool) {
	for _, l := range loans {
		if l.peer == peer && l.id == id {
			return l, true
		}
	}
	return loan{}, false
}

// lendable returns the weight that this instance's own demand does not need for the
// duration of a loan, taking the accrued tokens into account. Only weight of the base
// share is lent, because borrowed weight must be returned to its lender in time.
func (a *account) lendable(now time.Time) int64 {
	free := min(a.base-a.lentWeight(), a.bucket.weight)
	demand := a.demand.rate(now)
	if demand == 0 || free <= 0 {
		return free
	}
	term := (allot.LoanDuration + allot.LoanMargin).Seconds()
	available := float64(max(a.bucket.level, 0))/nano + float64(a.bucket.fillRate())/nano*term
	if available <= 0 {
		return 0
	}
	spare := 1 - demand*lendDemandFactor*term/available
	return min(free, int64(spare*float64(a.bucket.weight)))
}

// lend moves weight out of the account with a proportional part of the level. It returns
// that part, in nano-tokens.
func (a *account) lend(now time.Time, borrower Peer, id LoanID, weight int64) int64 {
	before := a.bucket.weight
	level := int64(0)
	if a.bucket.level > 0 && before > 0 {
		level = mulDiv(a.bucket.level, weight, before)
	}
	a.bucket.debit(level)
	a.lent = append(a.lent, loan{
		id:        id,
		peer:      borrower,
		weight:    weight,
		level:     level,
		expiresAt: now.Add(allot.LoanDuration + allot.LoanMargin),
	})
	a.updateWeight()
	return level
}

// AcceptLoan adds a loan that was requested at the time sent. A loan that has expired
// meanwhile or is not pending is ignored.
func (l *Ledger) AcceptLoan(now, sent time.Time, org model.OrgID, limits Limits, lender Peer, granted Loan) {
	expiresAt := sent.Add(granted.ValidFor)
	if granted.Weight <= 0 || !now.Before(expiresAt) {
		return
	}
	l.accounts.Do(org, func(m map[model.OrgID]*account) {
		a := l.account(now, m, org, limits)
		if !a.removePending(granted.ID) {
			return
		}
		a.borrowed = append(a.borrowed, loan{
			id:        granted.ID,
			peer:      lender,
			weight:    granted.Weight,
			expiresAt: expiresAt,
		})
		a.updateWeight()
		a.bucket.minima.record(a.bucket.headroom())
		a.bucket.add(granted.Level)
	})
}

// DueLoan is a loan that its borrower should extend or return.
type DueLoan struct {
	Organisation model.OrgID
	Lender       Peer
	ID           LoanID
	// Return reports that the loan is no longer needed. Its weight has already been
	// released at the borrower; Level is the number of nano-tokens to return with it.
	Return bool
	Level  int64
}

// lendDemandFactor is the ratio of the tokens that a lender keeps to its measured demand.
const lendDemandFactor = 1.1

// extendWindow is the remaining lifetime at which a loan becomes due for extension.
const extendWindow = allot.LoanDuration / 2

// DueLoans returns the loans due for extension or return. Those no longer needed are
// released.
func (l *Ledger) DueLoans(now time.Time) []DueLoan {
	expiresAt := l.base.Load().expiresAt
	var list []DueLoan
	l.accounts.Each(func(m map[model.OrgID]*account) {
		for org, a := range m {
			if len(a.borrowed) == 0 {
				continue
			}
			a.advance(now, expiresAt)
			list = append(list, a.dueLoans(now, org)...)
		}
	})
	return list
}

// dueLoans returns the account's loans due for extension or return, and releases those to
// return.
func (a *account) dueLoans(now time.Time, org model.OrgID) []DueLoan {
	var list []DueLoan
	for _, b := range append([]loan{}, a.borrowed...) {
		if b.expiresAt.Sub(now) > extendWindow {
			continue
		}
		d := DueLoan{
			Organisation: org,
			Lender:       b.peer,
			ID:           b.id,
		}
		if a.targetWeight(now, 0) <= a.bucket.weight-b.weight {
			d.Return = true
			d.Level = a.releaseLoan(b)
		}
		list = append(list, d)
	}
	return list
}

// releaseLoan removes a borrowed loan from the account with a proportional part of the
// level. It returns that part, in nano-tokens.
func (a *account) releaseLoan(b loan) int64 {
	before := a.bucket.weight
	level := int64(0)
	if a.bucket.level > 0 && before > 0 {
		level = mulDiv(a.bucket.level, min(b.weight, before), before)
	}
	a.bucket.debit(level)
	for i := range a.borrowed {
		if a.borrowed[i].id == b.id && a.borrowed[i].peer == b.peer {
			a.borrowed = removeLoan(a.borrowed, i)
			break
		}
	}
	a.updateWeight()
	return level
}

// Extend extends a loan that this instance granted, if its own demand allows. It reports
// whether the loan was extended; otherwise the loan ends at its current expiry.
func (l *Ledger) Extend(now time.Time, org model.OrgID, borrower Peer, id LoanID) bool {
	expiresAt := l.base.Load().expiresAt
	extended := false
	l.accounts.Do(org, func(m map[model.OrgID]*account) {
		a, ok := m[org]
		if !ok {
			return
		}
		a.advance(now, expiresAt)
		if a.base < a.lentWeight() || a.demand.rate(now) > a.fillRate() {
			return
		}
		for i := range a.lent {
			if a.lent[i].id == id && a.lent[i].peer == borrower {
				a.lent[i].expiresAt = now.Add(allot.LoanDuration + allot.LoanMargin)
				extended = true
			}
		}
	})
	return extended
}

// fillRate returns the fill rate at the current weight, in tokens a second.
func (a *account) fillRate() float64 {
	return float64(a.bucket.fillRate()) / nano
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// RecordExtension extends a borrowed loan after its lender granted an extension that was
// requested at the time sent.
func (l *Ledger) RecordExtension(now, sent time.Time, org model.OrgID, lender Peer, id LoanID) {
	expiresAt := l.base.Load().expiresAt
	l.accounts.Do(org, func(m map[model.OrgID]*account) {
		a, ok := m[org]
		if !ok {
			return
		}
		a.advance(now, expiresAt)
		for i := range a.borrowed {
			if a.borrowed[i].id == id && a.borrowed[i].peer == lender {
				a.borrowed[i].expiresAt = laterOf(a.borrowed[i].expiresAt, sent.Add(allot.LoanDuration))
			}
		}
	})
}

// ReleaseLoan releases a borrowed loan that its lender recalls. It returns the number of
// nano-tokens to return with the loan, and false if there is no such loan.
func (l *Ledger) ReleaseLoan(now time.Time, org model.OrgID, lender Peer, id LoanID) (int64, bool) {
	expiresAt := l.base.Load().expiresAt
	level, found := int64(0), false
	l.accounts.Do(org, func(m map[model.OrgID]*account) {
		a, ok := m[org]
		if !ok {
			return
		}
		a.advance(now, expiresAt)
		var b loan
		if b, found = findLoan(a.borrowed, lender, id); found {
			level = a.releaseLoan(b)
		}
	})
	return level, found
}

// RecordReturn restores the weight of a loan that its borrower has released and credits
// the nano-tokens returned with it. A loan that has already been returned is ignored.
func (l *Ledger) RecordReturn(now time.Time, org model.OrgID, borrower Peer, id LoanID, level int64) {
	expiresAt := l.base.Load().expiresAt
	l.accounts.Do(org, func(m map[model.OrgID]*account) {
		a, ok := m[org]
		if !ok {
			return
		}
		a.advance(now, expiresAt)
		for i := range a.lent {
			if a.lent[i].id != id || a.lent[i].peer != borrower {
				continue
			}
			a.lent = removeLoan(a.lent, i)
			a.updateWeight()
			a.bucket.minima.record(a.bucket.headroom())
			a.bucket.add(level)
			return
		}
	})
}
