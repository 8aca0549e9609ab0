// Package quota enforces the contracted rate and burst of organisations across all
// instances.
//
// Each instance holds a share of every contract, in weight units, and a token bucket
// for each organisation that fills at this share of the rate up to this share of the
// burst. An instance that needs more borrows weight, together with tokens, from other
// instances for a few seconds. The weights of all holders sum to at most TotalWeight at
// every moment, so that in any interval of length t the fleet admits at most
// burst + rate·t, without synchronised clocks and without a message per request.
//
// The package opens no sockets. The current time is an argument of each call. Weight is
// in millionths of a contract, rates are in tokens a second, bursts and requests in
// tokens, levels of loans in nano-tokens.
//
// # Usage
//
//	l := quota.NewLedger()
//	l.SetBaseShare(now, quota.TotalWeight/7, expiresAt)
//	switch d := l.Reserve(now, org, limits, tokens).(type) {
//	case quota.Admitted:
//		defer l.Settle(time.Now(), d.Reservation, used)
//	case quota.Insufficient:
//		if !d.Plan.Empty() {
//			// request loans under IDs from NewLoan: other holders call Lend, this one
//			// calls AcceptLoan for each reply and FinishBorrow at the end
//		}
//		// wait d.Wait, or refuse with Retry-After
//	case quota.TooLarge: // refuse permanently
//	}
package quota

import (
	"time"

	"currantstile/model"
)

// Peer identifies a holder.
type Peer string

// Reservation is the number of tokens debited for a request. It must be settled exactly
// once.
type Reservation struct {
	Organisation model.OrgID
	// Tokens is the number of tokens debited.
	Tokens int64
	// mark identifies the debit in the bucket.
	mark uint64
}

// Decision is the result of Reserve: Admitted, Insufficient or TooLarge.
type Decision interface {
	decision()
}

// Admitted means that the tokens are reserved.
type Admitted struct {
	Reservation Reservation
}

// BorrowPlan is what to request from other holders. The caller that receives a plan that
// is not empty carries it out and then calls FinishBorrow.
type BorrowPlan struct {
	// Weight is the weight to borrow, in millionths of the contract.
	Weight int64
	// Recalls lists the loans granted by this instance that should be returned early.
	Recalls []Recall
}

// Recall identifies a loan that its lender recalls before it expires.
type Recall struct {
	Borrower Peer
	ID       LoanID
}

// Empty reports whether there is nothing to request.
func (p BorrowPlan) Empty() bool {
	return p.Weight <= 0 && len(p.Recalls) == 0
}

// Insufficient means that there are not enough tokens now.
type Insufficient struct {
	// Wait is how long the tokens take to accrue at the current share. It is negative if
	// the share is too small for the request.
	Wait time.Duration
	Plan BorrowPlan
	// BorrowPending reports that a borrow attempt is already in progress, so that tokens
	// may arrive at any moment.
	BorrowPending bool
	// BorrowBackoff is the time until the next borrow attempt is allowed.
	BorrowBackoff time.Duration
}

// TooLarge means that the request exceeds the organisation's burst and can never be
// admitted.
type TooLarge struct{}

func (Admitted) decision()     {}
func (Insufficient) decision() {}
func (TooLarge) decision()     {}
