// Package allot divides a countable resource among holders so that no part of it is ever
// allocated twice. The division is a small share table in the key-value service of the
// platform, changed only by compare-and-swap.
//
// A holder lowers its own usable weight before it writes that another holder has it. The
// share of a holder that has disappeared is reclaimed in two steps, an intent and a
// removal. They are far enough apart that a holder that is still alive has either objected
// or stopped using its share. Weight gained from a removed holder is used only after
// SettleDelay, which outlasts every loan that the removed holder granted.
//
// # Usage
//
//	a := &allot.Allocation{Self: share, Total: total}
//	a.Observe(now, sent, table)
//	a.ConfirmListed(sent)
//	usable := a.Usable(now)
//	if next, ok := a.Plan(now, members, exists); ok {
//		// write next by compare-and-swap, then read the table and call Observe
//	}
package allot

import (
	"net/netip"
	"sort"
	"time"

	"currantstile/model"
)

// Holder identifies one run of an instance's process.
type Holder string

// Share is the share of one holder.
type Share struct {
	Holder   Holder           `json:"holder"`
	Instance model.InstanceID `json:"instance"`
	// Addr is the address at which the holder's process accepts calls. Only one process
	// can listen there at a time.
	Addr   netip.AddrPort `json:"address"`
	Weight int64          `json:"weight"`
	// Reclaimed is the cumulative weight that the holder gained from removed holders.
	// Loans granted by those holders may still be in use.
	Reclaimed int64 `json:"removed,omitempty"`
	// Intent is the holder that intends to reclaim the share because its holder has
	// disappeared.
	Intent Holder `json:"intent,omitempty"`
}

// Shares is sorted by holder.
type Shares []Share

// Table is the share table. It is immutable.
type Table struct {
	// Version increases with each change. A store restored to an older state shows a lower
	// version.
	Version uint64 `json:"version"`
	// Total is the sum of the weights.
	Total  int64  `json:"whole"`
	Shares Shares `json:"parts"`
}

// Validate returns an error if a weight is negative or the weights do not sum to the
// total.
func (t Table) Validate() error {
	var errs model.FieldErrors
	sum := int64(0)
	for _, s := range t.Shares {
		if s.Weight < 0 {
			errs.Add("parts", "weight of %s is negative", s.Holder)
		}
		sum += s.Weight
	}
	if sum != t.Total {
		errs.Add("parts", "weights sum to %d, want %d", sum, t.Total)
	}
	return errs.Err()
}

// Find returns a holder's share and whether the holder is in the table.
func (t Table) Find(h Holder) (Share, bool) {
	for _, s := range t.Shares {
		if s.Holder == h {
			return s, true
		}
	}
	return Share{}, false
}

// newTable returns the first table, in which its writer holds the total.
func newTable(self Share, total int64) Table {
	self.Weight = total
	return Table{
		Version: 1,
		Total:   total,
		Shares:  Shares{self},
	}
}

// modified returns a copy of the table, one version higher, with f applied to each share.
func (t Table) modified(f func(*Share)) Table {
	shares := append(Shares{}, t.Shares...)
	for i := range shares {
		f(&shares[i])
	}
	return Table{
		Version: t.Version + 1,
		Total:   t.Total,
		Shares:  shares,
	}
}

// NextVersion returns the same division with the next version number, to overwrite an
// older state to which the store was restored.
func (t Table) NextVersion() Table {
	return t.modified(func(*Share) {})
}

// addHolder adds a holder with zero weight.
func (t Table) addHolder(self Share) Table {
	self.Weight = 0
	next := t.modified(func(*Share) {})
	next.Shares = append(next.Shares, self)
	sort.Slice(next.Shares, func(i, j int) bool {
		return next.Shares[i].Holder < next.Shares[j].Holder
	})
	return next
}

// transfer moves weight from one holder to another.
func (t Table) transfer(from, to Holder, weight int64) Table {
	return t.modified(func(s *Share) {
		switch s.Holder {
		case from:
			s.Weight -= weight
		case to:
			s.Weight += weight
		}
	})
}

// removeHolder removes a holder. Its weight goes to heir or, if heir is empty, is divided
// among the others.
func (t Table) removeHolder(removed Share, heir Holder) Table {
	next := Table{
		Version: t.Version + 1,
		Total:   t.Total,
	}
	for _, s := range t.Shares {
		if s.Holder != removed.Holder {
			next.Shares = append(next.Shares, s)
		}
	}
	remaining := removed.Weight
	for i := range next.Shares {
		s := &next.Shares[i]
		switch {
		case heir == "":
			n := remaining / int64(len(next.Shares)-i)
			s.Weight += n
			s.Reclaimed += n
			remaining -= n
		case s.Holder == heir:
			s.Weight += remaining
			s.Reclaimed += remaining
		}
	}
	return next
}

// setIntent records that a holder intends to reclaim a share. An empty intent clears the
// record.
func (t Table) setIntent(h, by Holder) Table {
	return t.modified(func(s *Share) {
		if s.Holder == h {
			s.Intent = by
		}
	})
}

// Timing of an Allocation. The constants depend on one another and on two properties of the
// list of members: it lags by at most MaxListLag, and an instance that reappears after an
// absence stays listed for at least MinListDwell. These conditions must hold:
// ShareTTL + MaxListLag + clock drift < ReclaimDelay, and
// MaxListLag + MaxListGap < MinListDwell.
const (
	// MaxListLag is the maximum lag of the list that is tolerated.
	MaxListLag = 4 * time.Second
	// MinListDwell is the minimum time for which the list shows an instance.
	MinListDwell = 7 * time.Second
	// MaxListGap is the maximum time between two reads of the list across which an absence
	// counts as unbroken.
	MaxListGap = 2 * time.Second
	// ShareTTL is how long a holder uses its share without confirmation that it has not
	// been reclaimed.
	ShareTTL = 6 * time.Second
	// ReclaimDelay is how long a holder must be missing, and the intent to reclaim its
	// share must have been in the table, before the share is reclaimed.
	ReclaimDelay = 11 * time.Second
	// SettleDelay is how long weight gained from a removed holder stays unused.
	SettleDelay = LoanDuration + LoanMargin
	// LoanDuration is how long a loan is valid on the borrower's clock.
	LoanDuration = 3 * time.Second
	// LoanMargin is how much longer the lender waits before it uses the lent weight again.
	LoanMargin = 300 * time.Millisecond
)
