package wire

import (
	"currantstile/model"
	"currantstile/quota"
	"currantstile/store"
)

// BorrowArgs requests from another holder of a share a loan of a part of an
// organisation's contract.
type BorrowArgs struct {
	Borrower     quota.Peer
	Organisation model.OrgID
	ID           quota.LoanID
	// Weight is the requested weight in millionths of the contract.
	Weight int64
}

// BorrowReply is the reply to BorrowArgs. A loan of zero weight means that the
// holder has none to lend.
type BorrowReply struct {
	Loan quota.Loan
}

// RecallArgs recalls a loan from its borrower before it expires.
type RecallArgs struct {
	Lender       quota.Peer
	Organisation model.OrgID
	ID           quota.LoanID
}

// RecallReply is the reply to RecallArgs.
type RecallReply struct {
	// Found is false if the borrower does not have the loan.
	Found bool
	// Level is the number of nano-tokens returned with the loan.
	Level int64
}

// UpdateLoansArgs extends or returns a borrower's loans from one lender.
type UpdateLoansArgs struct {
	Borrower quota.Peer
	Loans    []quota.DueLoan
}

// UpdateLoansReply reports for each loan in UpdateLoansArgs, in the same order,
// whether it was extended.
type UpdateLoansReply struct {
	Extended []bool
}

// AcquireTokensArgs requests tokens of an organisation from a holder of a share.
type AcquireTokensArgs struct {
	Organisation model.OrgID
	Tokens       int64
}

// AcquireTokensReply is the number of tokens granted. The holder has already
// deducted them.
type AcquireTokensReply struct {
	Tokens int64
}

// ReturnTokensArgs returns tokens that were acquired but not used.
type ReturnTokensArgs struct {
	Organisation model.OrgID
	Tokens       int64
}

// ShareRecordArgs asks an instance which membership record it applies. A record that is sent with the
// question is applied if it is newer.
type ShareRecordArgs struct {
	Revision store.Revision
	Record   []byte
}

// ShareRecordReply names the instance, and the revision of the membership record that it applies; it uses no
// share of an earlier one.
type ShareRecordReply struct {
	Name     string
	Revision store.Revision
}
