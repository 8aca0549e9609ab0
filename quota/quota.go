// Package quota keeps organisations to their contracted rate and burst over all
// instances together.
//
// Each instance holds a part of every contract, in weight units, and for each
// organisation a token bucket that fills at this part of the rate up to this
// part of the burst. An instance that needs more borrows weight, with the
// tokens that belong to it, from others for a few seconds. The weights of all
// holders sum to at most the whole at every moment, so that in any interval of
// length t the fleet admits at most burst + rate·t, without synchronised clocks
// and without a message per request.
//
// The package opens no sockets. The time is an argument of each call. Weight is
// in millionths of a contract, rates are in tokens a second, bursts and requests
// in tokens, levels inside loans in nano-tokens.
//
// # Usage
//
//	l := quota.NewLedger()
//	l.SetBase(now, quota.Whole/7, fence)
//	switch d := l.Reserve(now, org, limits, tokens).(type) {
//	case quota.Admitted:
//		defer l.Settle(time.Now(), d.Reservation, used)
//	case quota.Short:
//		if !d.Want.Empty() {
//			// ask other holders to lend: they call Lend, this one Borrowed
//		}
//		// wait d.Wait, or refuse with Retry-After
//	case quota.TooLarge: // refuse for good
//	}
package quota

import (
	"time"

	"currantstile/model"
)

// Peer names another holder.
type Peer string

// Reservation is what a request has taken from its organisation's tokens. It is
// settled once.
type Reservation struct {
	Organisation model.OrgID
	// Tokens is how much was taken.
	Tokens int64
	mark   uint64
}

// Decision answers a Reserve. It is one of Admitted, Short and TooLarge.
type Decision interface {
	decision()
}

// Admitted gives a reservation.
type Admitted struct {
	Reservation Reservation
}

// BorrowPlan is what other holders should be asked for. Whoever gets one that is not
// empty asks them, and ends with Asked.
type BorrowPlan struct {
	// Weight is what to borrow, in millionths of the contract.
	Weight int64
	// Recalls names the loans of this instance that should come back early.
	Recalls []Recall
}

// Recall is a loan that its lender wants back early.
type Recall struct {
	Borrower Peer
	ID       LoanID
}

// Empty reports whether nobody is to be asked.
func (w BorrowPlan) Empty() bool {
	return w.Weight <= 0 && len(w.Recalls) == 0
}

// Insufficient means that the tokens are not there now.
type Insufficient struct {
	// Wait is how long they take to come at this instance's present share;
	// below zero if its share is too small for the request.
	Wait time.Duration
	Plan BorrowPlan
	// BorrowPending reports that other holders are being asked already, so that more
	// may come at any moment.
	BorrowPending bool
	// BorrowBackoff is how long this instance leaves the others in peace after an honest
	// no.
	BorrowBackoff time.Duration
}

// TooLarge means that the request is larger than the organisation's burst, so
// that it can never be admitted.
type TooLarge struct{}

func (Admitted) decision()     {}
func (Insufficient) decision() {}
func (TooLarge) decision()     {}
