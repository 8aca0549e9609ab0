// Package allot divides something countable among holders so that it is never
// handed out twice. The division is a small table in the platform's key-value
// service, changed only by compare-and-swap.
//
// A holder lowers its own part before it writes that another one has it. A part
// of a holder that is gone is taken back in two steps, an intent and a removal,
// far enough apart that a holder which is alive after all has either objected
// or stopped using its part. What is gained from a removed holder is used only
// after a settling time, which outlasts every loan that it made.
//
// # Usage
//
//	r := &allot.Right{Self: part}
//	r.Observe(now, table)
//	r.Sighted(sent)
//	use := r.Usable(now)
//	if next, ok := r.Plan(now, members, exists); ok {
//		// write next by compare-and-swap, then read the table and call Observe
//	}
package allot

import (
	"net/netip"
	"sort"
	"time"

	"currantstile/model"
)

// Holder is one run of an instance's process.
type Holder string

// Share is what one holder has.
type Share struct {
	Holder   Holder           `json:"holder"`
	Instance model.InstanceID `json:"instance"`
	// Addr is where the holder's process takes calls. Only one process at a
	// time can listen there.
	Addr   netip.AddrPort `json:"address"`
	Weight int64          `json:"weight"`
	// Reclaimed is how much of all that the holder has ever gained came from
	// holders that were removed. Loans of theirs may outlive them.
	Reclaimed int64 `json:"removed,omitempty"`
	// Intent is who wants to take the part back, because its holder is gone.
	Intent Holder `json:"intent,omitempty"`
}

// Shares is sorted by holder.
type Shares []Share

// Table is the division in force. It is never changed after it was built.
type Table struct {
	// Version grows with each change. A store that comes back with an older state
	// shows a lower one.
	Version uint64 `json:"version"`
	// Total is what the weights sum to.
	Total  int64  `json:"whole"`
	Shares Shares `json:"parts"`
}

// Validate reports whether the weights sum to the whole, none below zero.
func (t Table) Validate() error {
	var errs model.FieldErrors
	sum := int64(0)
	for _, p := range t.Shares {
		if p.Weight < 0 {
			errs.Add("parts", "weight of %s is below zero", p.Holder)
		}
		sum += p.Weight
	}
	if sum != t.Total {
		errs.Add("parts", "weights sum to %d, not %d", sum, t.Total)
	}
	return errs.Err()
}

// Find returns a holder's part.
func (t Table) Find(h Holder) (Share, bool) {
	for _, p := range t.Shares {
		if p.Holder == h {
			return p, true
		}
	}
	return Share{}, false
}

// newTable is the first table: its writer has it all.
func newTable(self Share, whole int64) Table {
	self.Weight = whole
	return Table{
		Version: 1,
		Total:   whole,
		Shares:  Shares{self},
	}
}

// modified returns a copy in which f has changed each part.
func (t Table) modified(f func(*Share)) Table {
	parts := append(Shares{}, t.Shares...)
	for i := range parts {
		f(&parts[i])
	}
	return Table{
		Version: t.Version + 1,
		Total:   t.Total,
		Shares:  parts,
	}
}

// NextVersion is the same division as a new version, to be written over an older state
// that the store has come back with.
func (t Table) NextVersion() Table {
	return t.modified(func(*Share) {})
}

// addHolder adds a holder that has nothing yet.
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
	return t.modified(func(p *Share) {
		switch p.Holder {
		case from:
			p.Weight -= weight
		case to:
			p.Weight += weight
		}
	})
}

// removeHolder takes a holder out and divides its part among the others, or gives it
// all to heir if set.
func (t Table) removeHolder(gone Share, heir Holder) Table {
	next := Table{
		Version: t.Version + 1,
		Total:   t.Total,
	}
	for _, p := range t.Shares {
		if p.Holder != gone.Holder {
			next.Shares = append(next.Shares, p)
		}
	}
	left := gone.Weight
	for i := range next.Shares {
		p := &next.Shares[i]
		switch {
		case heir == "":
			n := left / int64(len(next.Shares)-i)
			p.Weight += n
			p.Reclaimed += n
			left -= n
		case p.Holder == heir:
			p.Weight += left
			p.Reclaimed += left
		}
	}
	return next
}

// setIntent marks that somebody wants to take a part back, or clears the mark.
func (t Table) setIntent(h, by Holder) Table {
	return t.modified(func(p *Share) {
		if p.Holder == h {
			p.Intent = by
		}
	})
}

// Timing of a Right. They depend on one another, and on two bounds on the list of
// members: it lags by at most ListLag, and an instance that it shows again after
// an absence it shows for at least ListDwell. FenceTime, ListLag and clock drift
// together stay below ReclaimTime; ListLag and ListGap together below ListDwell.
const (
	// MaxListLag is the longest lag of the list that is allowed for.
	MaxListLag = 4 * time.Second
	// MinListDwell is the shortest time for which the list shows an instance.
	MinListDwell = 7 * time.Second
	// MaxListGap is the longest time between two reads of the list after which an
	// absence counts as unbroken.
	MaxListGap = 2 * time.Second
	// ShareTTL is how long a holder uses its part without a sign that it has
	// not been taken back.
	ShareTTL = 6 * time.Second
	// ReclaimDelay is how long a holder has to be gone, and the intent to take
	// its part back to stand, before that is done.
	ReclaimDelay = 11 * time.Second
	// SettleDelay is how long a part gained from a removed holder is left unused.
	SettleDelay = LoanDuration + LoanMargin
	// LoanDuration is how long a loan from a part is valid, on the borrower's clock.
	LoanDuration = 3 * time.Second
	// LoanMargin is how much longer the lender waits.
	LoanMargin = 300 * time.Millisecond
)
