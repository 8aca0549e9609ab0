package broker

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/phuslu/log"

	"currantstile/allot"
	"currantstile/model"
	"currantstile/peer"
	"currantstile/quota"
	"currantstile/wire"
)

const (
	// borrowTimeout bounds the calls that borrow and recall loans for one request.
	borrowTimeout = 150 * time.Millisecond
	// loanCheckInterval is the interval between checks for loans to extend or return.
	loanCheckInterval = 250 * time.Millisecond
	extendTimeout     = time.Second
	// borrowFactorTenths is the ratio, in tenths, of the weight requested from each holder
	// to an equal split of the wanted weight.
	borrowFactorTenths = 12
)

// Broker borrows shares of contracts for this instance and lends its own to others.
// Its exported fields are set before Run.
type Broker struct {
	Self   quota.Peer
	Ledger *quota.Ledger
	Peers  *peer.Pool
	// Lenders lists the other holders of shares.
	Lenders Lenders
	// Limits returns an organisation's limits in the current configuration.
	Limits func(model.OrgID) (quota.Limits, bool)
	Log    log.Logger

	mu sync.Mutex
	// backoffUntil is the time before which an unresponsive holder is not called.
	backoffUntil map[quota.Peer]time.Time
}

// unresponsiveBackoff is how long a holder is not called after a failed call.
const unresponsiveBackoff = time.Second

// Lenders lists the holders of shares of the contracts.
type Lenders interface {
	// Holders returns the RPC addresses of the other holders of shares.
	Holders() map[quota.Peer]netip.AddrPort
}

// ExecutePlan carries out a borrow plan: it requests loans from the other holders and
// recalls the loans that the plan lists, all concurrently. It returns when all calls have
// ended or timed out after 150 ms; the tokens obtained can be reserved then.
func (b *Broker) ExecutePlan(ctx context.Context, org model.OrgID, limits quota.Limits, plan quota.BorrowPlan) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), borrowTimeout)
	defer cancel()
	holders := b.Lenders.Holders()
	var wg sync.WaitGroup
	var mu sync.Mutex
	gained := int64(0)
	add := func(weight int64) {
		mu.Lock()
		defer mu.Unlock()
		gained += weight
	}
	for _, r := range plan.Recalls {
		wg.Go(func() {
			add(b.recall(ctx, org, r, holders))
		})
	}
	lenders := b.responsive(time.Now(), holders)
	if plan.Weight > 0 && len(lenders) > 0 {
		weight := plan.Weight*borrowFactorTenths/10/int64(len(lenders)) + 1
		for lender, addr := range lenders {
			wg.Go(func() {
				add(b.borrow(ctx, org, limits, lender, addr, weight))
			})
		}
	}
	wg.Wait()
	b.Ledger.FinishBorrow(time.Now(), org, gained > 0)
}

// responsive returns the holders that are not in backoff.
func (b *Broker) responsive(now time.Time, holders map[quota.Peer]netip.AddrPort) map[quota.Peer]netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make(map[quota.Peer]netip.AddrPort, len(holders))
	for p, addr := range holders {
		if !now.Before(b.backoffUntil[p]) {
			list[p] = addr
		}
	}
	return list
}

func (b *Broker) markUnresponsive(now time.Time, p quota.Peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.backoffUntil == nil {
		b.backoffUntil = make(map[quota.Peer]time.Time)
	}
	b.backoffUntil[p] = now.Add(unresponsiveBackoff)
}

// borrow requests a loan from one holder and returns the weight lent. A call whose
// reply is lost is not retried: the time is better spent on the other holders, and
// the loan expires at the lender within seconds.
func (b *Broker) borrow(ctx context.Context, org model.OrgID, limits quota.Limits, lender quota.Peer, addr netip.AddrPort, weight int64) int64 {
	args := wire.BorrowArgs{
		Borrower:     b.Self,
		Organisation: org,
		ID:           b.Ledger.NewLoan(org),
		Weight:       weight,
	}
	sent := time.Now()
	var reply wire.BorrowReply
	if err := b.Peers.Call(ctx, addr, wire.MethodBorrow, args, &reply); err != nil {
		b.Log.Debug().Err(err).Msg("share: loan request failed; not calling the lender for a while")
		b.markUnresponsive(time.Now(), lender)
		return 0
	}
	b.Ledger.AcceptLoan(time.Now(), sent, org, limits, lender, reply.Loan)
	return reply.Loan.Weight
}

// recall requests a loan back from its borrower. It returns 1 if the loan came back,
// and 0 otherwise.
func (b *Broker) recall(ctx context.Context, org model.OrgID, r quota.Recall, holders map[quota.Peer]netip.AddrPort) int64 {
	addr, ok := holders[r.Borrower]
	if !ok {
		return 0
	}
	args := wire.RecallArgs{
		Lender:       b.Self,
		Organisation: org,
		ID:           r.ID,
	}
	var reply wire.RecallReply
	if err := b.Peers.Call(ctx, addr, wire.MethodRecall, args, &reply); err != nil || !reply.Found {
		return 0
	}
	b.Ledger.RecordReturn(time.Now(), org, r.Borrower, r.ID, reply.Level)
	return 1
}

// Run extends and returns loans until ctx ends.
func (b *Broker) Run(ctx context.Context) {
	t := time.NewTicker(loanCheckInterval)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			b.sendDueLoans(ctx, now)
		case <-ctx.Done():
			return
		}
	}
}

// sendDueLoans sends each lender the extensions and returns of its due loans in one call.
func (b *Broker) sendDueLoans(ctx context.Context, now time.Time) {
	byLender := make(map[quota.Peer][]quota.DueLoan)
	for _, d := range b.Ledger.DueLoans(now) {
		byLender[d.Lender] = append(byLender[d.Lender], d)
	}
	holders := b.Lenders.Holders()
	for lender, dues := range byLender {
		if addr, ok := holders[lender]; ok {
			go b.sendLoanUpdates(ctx, lender, addr, dues)
		}
	}
}

func (b *Broker) sendLoanUpdates(ctx context.Context, lender quota.Peer, addr netip.AddrPort, dues []quota.DueLoan) {
	ctx, cancel := context.WithTimeout(ctx, extendTimeout)
	defer cancel()
	sent := time.Now()
	var reply wire.UpdateLoansReply
	err := b.Peers.Call(ctx, addr, wire.MethodUpdateLoans, wire.UpdateLoansArgs{
		Borrower: b.Self,
		Loans:    dues,
	}, &reply)
	if err != nil || len(reply.Extended) != len(dues) {
		b.Log.Debug().Err(err).Msg("share: sending loan updates failed; loans are not extended")
		return
	}
	for i, d := range dues {
		if reply.Extended[i] {
			b.Ledger.RecordExtension(time.Now(), sent, d.Organisation, lender, d.ID)
		}
	}
}

// Borrow handles a loan request of another instance. Without a contract of the organisation
// the request is declined.
func (b *Broker) Borrow(args wire.BorrowArgs) wire.BorrowReply {
	limits, ok := b.Limits(args.Organisation)
	if !ok {
		return wire.BorrowReply{}
	}
	return wire.BorrowReply{
		Loan: b.Ledger.Lend(time.Now(), args.Organisation, limits, args.Borrower, args.ID, args.Weight),
	}
}

// Recall handles a lender's recall of a loan.
func (b *Broker) Recall(args wire.RecallArgs) wire.RecallReply {
	level, ok := b.Ledger.ReleaseLoan(time.Now(), args.Organisation, args.Lender, args.ID)
	return wire.RecallReply{
		Found: ok,
		Level: level,
	}
}

// UpdateLoans handles a borrower's extensions and returns of loans.
func (b *Broker) UpdateLoans(args wire.UpdateLoansArgs) wire.UpdateLoansReply {
	reply := wire.UpdateLoansReply{
		Extended: make([]bool, len(args.Loans)),
	}
	for i, d := range args.Loans {
		if d.Return {
			b.Ledger.RecordReturn(time.Now(), d.Organisation, args.Borrower, d.ID, d.Level)
			continue
		}
		reply.Extended[i] = b.Ledger.Extend(time.Now(), d.Organisation, args.Borrower, d.ID)
	}
	return reply
}

// NewShare returns the entry of a process in the share table, with no weight yet.
func NewShare(holder string, id model.InstanceID, addr netip.AddrPort) allot.Share {
	return allot.Share{
		Holder:   allot.Holder(holder),
		Instance: id,
		Addr:     addr,
	}
}
