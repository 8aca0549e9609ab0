package quota

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantstile/model"
	"currantstile/shard"
)

const (
	// headroomFactor is how much more than its measured demand an instance
	// wants to hold.
	headroomFactor = 1.25
	// sizeFactor is how much more weight is asked for than a request's tokens
	// need, and minAsk the least that is asked for.
	sizeFactor = 3
	minAsk     = Whole / 32
	// gainedPause is how soon an instance may ask again after it was lent
	// something.
	gainedPause = 5 * time.Millisecond
	// minBackoff and maxBackoff bound how long an honest no keeps an instance
	// from asking again.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// base is this instance's part of every contract.
type base struct {
	weight int64
	// of is the part of each contract, where they differ; weight counts if nil.
	of func(model.OrgID) int64
	// since is when the part last grew: an account that begins later cannot
	// have saved more than has come since.
	since time.Time
	// fence is when the part stops being usable.
	fence time.Time
}

// Ledger holds the accounts of one instance. It is safe for concurrent use.
type Ledger struct {
	accounts *shard.Map[model.OrgID, *account]
	base     atomic.Pointer[base]
	loans    atomic.Uint64
}

// NewLedger returns a ledger without any part.
func NewLedger() *Ledger {
	l := &Ledger{
		accounts: shard.NewMap[model.OrgID, *account](func(org model.OrgID) uint64 {
			return xxhash.Sum64String(string(org))
		}),
	}
	l.base.Store(&base{})
	return l
}

// weightOf is the part of one contract.
func (b *base) weightOf(org model.OrgID) int64 {
	if b.of == nil {
		return b.weight
	}
	return b.of(org)
}

// SetParts sets this instance's part of each contract, usable until the fence.
// Some is the largest of them, which only tells whether there is any. When it
// returns, no request is admitted from a larger part.
func (l *Ledger) SetParts(now time.Time, some int64, of func(model.OrgID) int64, fence time.Time) {
	old := l.base.Load()
	l.setBases(now, old.fence, &base{})
	l.base.Store(&base{
		weight: some,
		of:     of,
		since:  now,
		fence:  fence,
	})
	l.setBases(now, old.fence, l.base.Load())
}

// ExtendFence sets until when the parts are usable. Parts that have lapsed begin anew.
func (l *Ledger) ExtendFence(now, fence time.Time) {
	old := l.base.Load()
	if !now.Before(old.fence) {
		l.SetParts(now, old.weight, old.of, fence)
		return
	}
	next := *old
	next.fence = fence
	l.base.Store(&next)
}

// SetBase sets this instance's part of every contract, usable until the fence.
// When it returns, no request is admitted from a larger part.
func (l *Ledger) SetBase(now time.Time, weight int64, fence time.Time) {
	old := l.base.Load()
	next := &base{
		weight: weight,
		since:  old.since,
		fence:  fence,
	}
	lapsed := !now.Before(old.fence)
	if weight > old.weight || lapsed {
		next.since = now
	}
	if lapsed {
		// The accounts have to see the lapse before they see a later fence.
		l.setBases(now, old.fence, &base{})
	}
	l.base.Store(next)
	if weight != old.weight || lapsed {
		l.setBases(now, old.fence, next)
	}
}

// Base is this instance's part of every contract that it may use now.
func (l *Ledger) Base(now time.Time) int64 {
	b := l.base.Load()
	if !now.Before(b.fence) {
		return 0
	}
	return b.weight
}

func (l *Ledger) setBases(now, fence time.Time, b *base) {
	l.accounts.Each(func(m map[model.OrgID]*account) {
		for org, a := range m {
			a.advance(now, fence)
			a.base = b.weightOf(org)
			a.reweigh()
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
			d = a.short(now, tokens)
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
				limits: limits,
				weight: b.weightOf(org),
				at:     b.since,
			},
			base: b.weightOf(org),
		}
		m[org] = a
	}
	a.advance(now, b.fence)
	a.bucket.setLimits(limits)
	return a
}

// short describes what is missing for a request, and claims the right to ask
// other holders where that makes sense now.
func (a *account) short(now time.Time, tokens int64) Short {
	s := Short{
		Wait:   a.bucket.wait(tokens * nano),
		Asking: a.asking,
	}
	if a.asking {
		return s
	}
	if s.AskIn = a.askAfter.Sub(now); s.AskIn > 0 {
		return s
	}
	s.AskIn = 0
	a.demand.add(now, tokens)
	s.Want.Weight = a.wanted(now, tokens) - a.bucket.weight
	for _, l := range a.lent {
		s.Want.Recall = append(s.Want.Recall, Recall{
			Borrower: l.peer,
			ID:       l.id,
		})
	}
	a.asking = !s.Want.Empty()
	return s
}

// wanted is the weight that serves the measured demand and a request's size.
func (a *account) wanted(now time.Time, tokens int64) int64 {
	l := a.bucket.limits
	byRate := a.demand.rate(now) * headroomFactor / float64(l.Rate) * Whole
	missing := max(tokens*nano-a.bucket.level, 0)
	if missing == 0 {
		return min(int64(byRate), Whole)
	}
	// What others lend need not be full of tokens, so that a request asks for
	// more weight than would hold its tokens.
	bySize := max(sizeFactor*mulDiv(missing, Whole, l.Burst*nano), minAsk)
	return min(max(int64(byRate), a.bucket.weight+bySize), Whole)
}

// Asked ends what a Want began. Gained reports whether any holder lent
// anything; after an honest no the others are left in peace for a while.
func (l *Ledger) Asked(now time.Time, org model.OrgID, gained bool) {
	l.accounts.Do(org, func(m map[model.OrgID]*account) {
		a, ok := m[org]
		if !ok {
			return
		}
		a.asking = false
		a.pending = nil
		if gained {
			a.backoff = 0
		} else {
			a.backoff = min(max(2*a.backoff, minBackoff), maxBackoff)
		}
		a.askAfter = now.Add(max(a.backoff, gainedPause))
	})
}

// Settle ends a reservation with what the request has really used. What was not
// used is credited; what was used beyond the reservation is taken as well.
func (l *Ledger) Settle(now time.Time, r Reservation, used int64) {
	fence := l.base.Load().fence
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
	fence := l.base.Load().fence
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

// GiveBack returns tokens that were taken and not used. The bucket is as full then
// as if they had not been taken.
func (l *Ledger) GiveBack(now time.Time, org model.OrgID, tokens int64) {
	fence := l.base.Load().fence
	l.accounts.Do(org, func(m map[model.OrgID]*account) {
		if a, ok := m[org]; ok {
			a.advance(now, fence)
			a.bucket.level = min(a.bucket.level+tokens*nano, a.bucket.capacity())
		}
	})
}
