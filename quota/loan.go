package quota

import (
	"time"

	"currantstile/allot"
	"currantstile/model"
)

// Loan is weight lent for a time, with the tokens that belong to it.
type Loan struct {
	ID     LoanID
	Weight int64
	// Level is in nano-tokens.
	Level int64
	// ValidFor counts from when the borrower sent its request for the loan.
	ValidFor time.Duration
}

// NewLoan returns the id of a loan that this instance is about to ask for, while
// it carries out a Want.
func (l *Ledger) NewLoan(org model.OrgID) LoanID {
	id := LoanID(l.lastLoanID.Add(1))
	l.accounts.Do(org, func(m map[model.OrgID]*account) {
		if a, ok := m[org]; ok && a.borrowPending {
			a.pendingLoans = append(a.pendingLoans, id)
		}
	})
	return id
}

// Lend lends a borrower up to a weight, as far as this instance's own demand
// allows. The weight and its tokens are taken here before Lend returns. A
// request that is repeated under the same id gets its loan again. A loan without
// weight is an honest no.
func (l *Ledger) Lend(now time.Time, org model.OrgID, limits Limits, to Peer, id LoanID, weight int64) Loan {
	loan := Loan{
		ID: id,
	}
	l.accounts.Do(org, func(m map[model.OrgID]*account) {
		a := l.account(now, m, org, limits)
		if given, ok := findLoan(a.lent, to, id); ok {
			loan.Weight = given.weight
			loan.Level = given.level
			loan.ValidFor = allot.LoanDuration
			return
		}
		weight = min(weight, a.lendable(now))
		if weight <= 0 {
			return
		}
		loan.Weight = weight
		loan.ValidFor = allot.LoanDuration
		loan.Level = a.lend(now, to, id, weight)
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

// lendable is the weight that this instance's own demand does not need during a
// loan, with what it has saved taken into account. Only base weight is lent:
// what is borrowed goes back to its owner in time.
func (a *account) lendable(now time.Time) int64 {
	free := min(a.base-a.lentWeight(), a.bucket.weight)
	demand := a.demand.rate(now)
	if demand == 0 || free <= 0 {
		return free
	}
	term := (allot.LoanDuration + allot.LoanMargin).Seconds()
	have := float64(max(a.bucket.level, 0))/nano + float64(a.bucket.fillRate())/nano*term
	if have <= 0 {
		return 0
	}
	left := 1 - demand*lendDemandFactor*term/have
	return min(free, int64(left*float64(a.bucket.weight)))
}

// lend takes weight and its share of the level out of the account.
func (a *account) lend(now time.Time, to Peer, id LoanID, weight int64) int64 {
	before := a.bucket.weight
	level := int64(0)
	if a.bucket.level > 0 && before > 0 {
		level = mulDiv(a.bucket.level, weight, before)
	}
	a.bucket.debit(level)
	a.lent = append(a.lent, loan{
		id:        id,
		peer:      to,
		weight:    weight,
		level:     level,
		expiresAt: now.Add(allot.LoanDuration + allot.LoanMargin),
	})
	a.updateWeight()
	return level
}

// AcceptLoan takes in a loan that was asked for at a time, unless it has expired
// meanwhile.
func (l *Ledger) AcceptLoan(now, sent time.Time, org model.OrgID, limits Limits, from Peer, given Loan) {
	expires := sent.Add(given.ValidFor)
	if given.Weight <= 0 || !now.Before(expires) {
		return
	}
	l.accounts.Do(org, func(m map[model.OrgID]*account) {
		a := l.account(now, m, org, limits)
		if !a.removePending(given.ID) {
			return
		}
		a.borrowed = append(a.borrowed, loan{
			id:        given.ID,
			peer:      from,
			weight:    given.Weight,
			expiresAt: expires,
		})
		a.updateWeight()
		a.bucket.minima.record(a.bucket.headroom())
		a.bucket.add(given.Level)
	})
}

// DueLoan is a loan that its borrower should extend or return.
type DueLoan struct {
	Organisation model.OrgID
	Lender       Peer
	ID           LoanID
	// Return reports that the loan is no longer needed. Its weight has been given
	// up here already; Level is what goes back with it, in nano-tokens.
	Return bool
	Level  int64
}

// lendDemandFactor is how much more than its measured demand a lender keeps.
const lendDemandFactor = 1.1

// extendWindow is how long before its end a loan is extended.
const extendWindow = allot.LoanDuration / 2

// DueLoans lists the loans to extend, and gives up those that are not needed.
func (l *Ledger) DueLoans(now time.Time) []DueLoan {
	fence := l.base.Load().expiresAt
	var list []DueLoan
	l.accounts.Each(func(m map[model.OrgID]*account) {
		for org, a := range m {
			if len(a.borrowed) == 0 {
				continue
			}
			a.advance(now, fence)
			list = append(list, a.dueLoans(now, org)...)
		}
	})
	return list
}

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

// releaseLoan takes a borrowed loan out of the account with its share of the level.
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

// Extend extends a loan that this instance made, if its own demand allows. It
// reports false where the loan ends when it was to end.
func (l *Ledger) Extend(now time.Time, org model.OrgID, to Peer, id LoanID) bool {
	fence := l.base.Load().expiresAt
	extended := false
	l.accounts.Do(org, func(m map[model.OrgID]*account) {
		a, ok := m[org]
		if !ok {
			return
		}
		a.advance(now, fence)
		if a.base < a.lentWeight() || a.demand.rate(now) > a.fillRate() {
			return
		}
		for i := range a.lent {
			if a.lent[i].id == id && a.lent[i].peer == to {
				a.lent[i].expiresAt = now.Add(allot.LoanDuration + allot.LoanMargin)
				extended = true
			}
		}
	})
	return extended
}

// fillRate is what the account's present weight brings, in tokens a second.
func (a *account) fillRate() float64 {
	return float64(a.bucket.fillRate()) / nano
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// RecordExtension takes in that a lender has extended a loan, asked for at a time.
func (l *Ledger) RecordExtension(now, sent time.Time, org model.OrgID, from Peer, id LoanID) {
	fence := l.base.Load().expiresAt
	l.accounts.Do(org, func(m map[model.OrgID]*account) {
		a, ok := m[org]
		if !ok {
			return
		}
		a.advance(now, fence)
		for i := range a.borrowed {
			if a.borrowed[i].id == id && a.borrowed[i].peer == from {
				a.borrowed[i].expiresAt = laterOf(a.borrowed[i].expiresAt, sent.Add(allot.LoanDuration))
			}
		}
	})
}

// ReleaseLoan gives up a borrowed loan because its lender needs it. It returns the
// level that goes back with it, in nano-tokens, and false where there is no such
// loan.
func (l *Ledger) ReleaseLoan(now time.Time, org model.OrgID, lender Peer, id LoanID) (int64, bool) {
	fence := l.base.Load().expiresAt
	level, found := int64(0), false
	l.accounts.Do(org, func(m map[model.OrgID]*account) {
		a, ok := m[org]
		if !ok {
			return
		}
		a.advance(now, fence)
		var b loan
		if b, found = findLoan(a.borrowed, lender, id); found {
			level = a.releaseLoan(b)
		}
	})
	return level, found
}

// RecordReturn takes back a loan that its borrower has given up, with what was left
// of its tokens, in nano-tokens. A loan that has come back already is ignored.
func (l *Ledger) RecordReturn(now time.Time, org model.OrgID, by Peer, id LoanID, level int64) {
	fence := l.base.Load().expiresAt
	l.accounts.Do(org, func(m map[model.OrgID]*account) {
		a, ok := m[org]
		if !ok {
			return
		}
		a.advance(now, fence)
		for i := range a.lent {
			if a.lent[i].id != id || a.lent[i].peer != by {
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
