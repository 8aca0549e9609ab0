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

// Part is what one holder has.
type Part struct {
	Holder   Holder           `json:"holder"`
	Instance model.InstanceID `json:"instance"`
	// Addr is where the holder's process takes calls. Only one process at a
	// time can listen there.
	Addr   netip.AddrPort `json:"address"`
	Weight int64          `json:"weight"`
	// Removed is how much of all that the holder has ever gained came from
	// holders that were removed. Loans of theirs may outlive them.
	Removed int64 `json:"removed,omitempty"`
	// Intent is who wants to take the part back, because its holder is gone.
	Intent Holder `json:"intent,omitempty"`
}

// Parts is sorted by holder.
type Parts []Part

// Table is the division in force. It is never changed after it was built.
type Table struct {
	// Version grows with each change. A store that comes back with an older state
	// shows a lower one.
	Version uint64 `json:"version"`
	// Whole is what the weights sum to.
	Whole int64 `json:"whole"`
	Parts Parts `json:"parts"`
}

// Validate reports whether the weights sum to the whole, none below zero.
func (t Table) Validate() error {
	var errs model.FieldErrors
	sum := int64(0)
	for _, p := range t.Parts {
		if p.Weight < 0 {
			errs.Add("parts", "weight of %s is below zero", p.Holder)
		}
		sum += p.Weight
	}
	if sum != t.Whole {
		errs.Add("parts", "weights sum to %d, not %d", sum, t.Whole)
	}
	return errs.Err()
}

// Find returns a holder's part.
func (t Table) Find(h Holder) (Part, bool) {
	for _, p := range t.Parts {
		if p.Holder == h {
			return p, true
		}
	}
	return Part{}, false
}

// create is the first table: its writer has it all.
func create(self Part, whole int64) Table {
	self.Weight = whole
	return Table{
		Version: 1,
		Whole:   whole,
		Parts:   Parts{self},
	}
}

// edit returns a copy in which f has changed each part.
func (t Table) edit(f func(*Part)) Table {
	parts := append(Parts{}, t.Parts...)
	for i := range parts {
		f(&parts[i])
	}
	return Table{
		Version: t.Version + 1,
		Whole:   t.Whole,
		Parts:   parts,
	}
}

// Again is the same division as a new version, to be written over an older state
// that the store has come back with.
func (t Table) Again() Table {
	return t.edit(func(*Part) {})
}

// join adds a holder that has nothing yet.
func (t Table) join(self Part) Table {
	self.Weight = 0
	next := t.edit(func(*Part) {})
	next.Parts = append(next.Parts, self)
	sort.Slice(next.Parts, func(i, j int) bool {
		return next.Parts[i].Holder < next.Parts[j].Holder
	})
	return next
}

// give moves weight from one holder to another.
func (t Table) give(from, to Holder, weight int64) Table {
	return t.edit(func(p *Part) {
		switch p.Holder {
		case from:
			p.Weight -= weight
		case to:
			p.Weight += weight
		}
	})
}

// remove takes a holder out and divides its part among the others, or gives it
// all to heir if set.
func (t Table) remove(gone Part, heir Holder) Table {
	next := Table{
		Version: t.Version + 1,
		Whole:   t.Whole,
	}
	for _, p := range t.Parts {
		if p.Holder != gone.Holder {
			next.Parts = append(next.Parts, p)
		}
	}
	left := gone.Weight
	for i := range next.Parts {
		p := &next.Parts[i]
		switch {
		case heir == "":
			n := left / int64(len(next.Parts)-i)
			p.Weight += n
			p.Removed += n
			left -= n
		case p.Holder == heir:
			p.Weight += left
			p.Removed += left
		}
	}
	return next
}

// intend marks that somebody wants to take a part back, or clears the mark.
func (t Table) intend(h, by Holder) Table {
	return t.edit(func(p *Part) {
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
	// ListLag is the longest lag of the list that is allowed for.
	ListLag = 4 * time.Second
	// ListDwell is the shortest time for which the list shows an instance.
	ListDwell = 7 * time.Second
	// ListGap is the longest time between two reads of the list after which an
	// absence counts as unbroken.
	ListGap = 2 * time.Second
	// FenceTime is how long a holder uses its part without a sign that it has
	// not been taken back.
	FenceTime = 6 * time.Second
	// ReclaimTime is how long a holder has to be gone, and the intent to take
	// its part back to stand, before that is done.
	ReclaimTime = 11 * time.Second
	// SettleTime is how long a part gained from a removed holder is left unused.
	SettleTime = LoanTime + LoanMargin
	// LoanTime is how long a loan from a part is valid, on the borrower's clock.
	LoanTime = 3 * time.Second
	// LoanMargin is how much longer the lender waits.
	LoanMargin = 300 * time.Millisecond
)
