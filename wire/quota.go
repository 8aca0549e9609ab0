package wire

import (
	"currantstile/model"
	"currantstile/quota"
)

// BorrowArgs asks a holder to lend weight of an organisation's contract.
type BorrowArgs struct {
	Borrower     quota.Peer
	Organisation model.OrgID
	ID           quota.LoanID
	// Weight is in millionths of the contract.
	Weight int64
}

// BorrowReply answers BorrowArgs; a loan without weight is an honest no.
type BorrowReply struct {
	Loan quota.Loan
}

// RecallArgs asks a borrower for a loan back before its end.
type RecallArgs struct {
	Lender       quota.Peer
	Organisation model.OrgID
	ID           quota.LoanID
}

// RecallReply answers RecallArgs.
type RecallReply struct {
	// Found is false where the borrower has no such loan.
	Found bool
	// Level is in nano-tokens.
	Level int64
}

// UpdateLoansArgs extends and returns a borrower's loans from one lender.
type UpdateLoansArgs struct {
	Borrower quota.Peer
	Loans    []quota.DueLoan
}

// UpdateLoansReply tells for each loan of the arguments whether it was extended.
type UpdateLoansReply struct {
	Extended []bool
}

// AcquireTokensArgs asks a holder of parts for tokens of an organisation.
type AcquireTokensArgs struct {
	Organisation model.OrgID
	Tokens       int64
}

// AcquireTokensReply tells how many tokens there were; they are taken.
type AcquireTokensReply struct {
	Tokens int64
}

// ReturnTokensArgs gives tokens back that were taken and not used.
type ReturnTokensArgs struct {
	Organisation model.OrgID
	Tokens       int64
}
