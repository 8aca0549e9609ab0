package allot

import (
	"net/netip"
	"time"

	"currantstile/model"
)

// gain is weight that may be used from a time on.
type gain struct {
	weight     int64
	usableFrom time.Time
}

// Allocation is what one process may use of a table. It is not safe for concurrent
// use.
type Allocation struct {
	// Self is this process; its weight is ignored.
	Self Share
	// Total is what a table that does not exist yet is created with.
	Total int64

	table    Table
	observed bool
	// limit is the most that may be used, whatever the table says: it is
	// lowered before a write that gives weight away.
	limit int64
	gains []gain
	// confirmedAt is when the last sign was asked for that the part has not been
	// taken back.
	confirmedAt time.Time
	// intentSince is since when each holder has been seen with an intent of this
	// process.
	intentSince map[Holder]time.Time
	// missingSince is since when each holder has been missing from the list, as seen
	// without a gap up to listRead.
	missingSince map[Holder]time.Time
	listReadAt   time.Time
	// writePending is set while the fate of a write is not known.
	writePending bool
}

// unlimited is the limit while no write is under way.
const unlimited = int64(1<<63 - 1)

// Table returns the table as last observed.
func (r *Allocation) Table() (Table, bool) {
	return r.table, r.observed
}

// ConfirmListed takes in that the list of members showed this process, asked for at a
// time. That keeps a part usable that still is; one whose fence has passed may
// have been taken back meanwhile, and only the table can tell.
func (r *Allocation) ConfirmListed(asked time.Time) {
	if asked.Before(r.ExpiresAt()) {
		r.confirm(asked)
	}
}

func (r *Allocation) confirm(asked time.Time) {
	if asked.After(r.confirmedAt) {
		r.confirmedAt = asked
	}
}

// ExpiresAt is when the part stops being usable without another sign.
func (r *Allocation) ExpiresAt() time.Time {
	return r.confirmedAt.Add(ShareTTL)
}

// Observe takes in a table that was read; the read was asked for at a time. While
// the fate of a write is unknown, only a table that the write can no longer
// replace may be given: its own result, or a rival's. A table older than the last
// one is ignored: it is from before this process gave something away, or from
// before somebody else gained it.
func (r *Allocation) Observe(now, asked time.Time, t Table) {
	if r.observed && t.Version < r.table.Version {
		return
	}
	before, _ := r.table.Find(r.Self.Holder)
	r.table = t
	r.observed = true
	r.writePending = false
	r.limit = unlimited
	part, ok := t.Find(r.Self.Holder)
	if ok && part.Intent == "" {
		r.confirm(asked)
	}
	if n := part.Reclaimed - before.Reclaimed; n > 0 {
		r.gains = append(r.gains, gain{
			weight:     n,
			usableFrom: now.Add(SettleDelay),
		})
	}
	for h := range r.intentSince {
		if p, ok := t.Find(h); !ok || p.Intent != r.Self.Holder {
			delete(r.intentSince, h)
		}
	}
}

// ownWeight is this process's part in the table.
func (r *Allocation) ownWeight() int64 {
	p, _ := r.table.Find(r.Self.Holder)
	return p.Weight
}

// Usable is how much may be used now.
func (r *Allocation) Usable(now time.Time) int64 {
	if !r.observed || !now.Before(r.ExpiresAt()) {
		return 0
	}
	return max(min(r.ownWeight()-r.unsettled(now), r.limit), 0)
}

// unsettled is how much of the part may not be used yet.
func (r *Allocation) unsettled(now time.Time) int64 {
	sum := int64(0)
	var left []gain
	for _, g := range r.gains {
		if now.Before(g.usableFrom) {
			sum += g.weight
			left = append(left, g)
		}
	}
	r.gains = left
	return sum
}

// Members is what the list of members and direct calls tell.
type Members struct {
	// ReadAt is when the list was last read.
	ReadAt time.Time
	// Listed are the instances that the platform lists, by address.
	Listed map[netip.AddrPort]model.InstanceID
	// Refused are the addresses whose hosts answered that nobody listens there. A
	// process closes its listener last of all.
	Refused map[netip.AddrPort]bool
	// Eligible are the instances that are to hold parts.
	Eligible map[model.InstanceID]bool
	// Leaving is set when this process shuts down.
	Leaving bool
	// Lent is the most that this process has lent of its part.
	Lent int64
}

// Plan returns the next change that this process should write to the table. Its
// own use is lowered before Plan returns, so that nothing is used twice however
// the write ends. The table is created where none exists.
func (r *Allocation) Plan(now time.Time, m Members, exists bool) (next Table, ok bool) {
	if r.writePending {
		return Table{}, false
	}
	if !exists {
		return r.beginWrite(newTable(r.Self, r.Total), 0)
	}
	self, joined := r.table.Find(r.Self.Holder)
	switch {
	case !joined && !m.Leaving && m.Eligible[r.Self.Instance]:
		return r.beginWrite(r.table.addHolder(r.Self), 0)
	case !joined:
		return Table{}, false
	case self.Intent != "":
		return r.beginWrite(r.table.setIntent(self.Holder, ""), r.ownWeight())
	case m.Leaving || !m.Eligible[r.Self.Instance]:
		if len(r.table.Shares) == 1 {
			return Table{}, false
		}
		return r.beginWrite(r.table.removeHolder(self, ""), 0)
	}
	if next, ok := r.planMissing(now, m); ok {
		return next, true
	}
	return r.planTransfer(now, self, m)
}

// beginWrite notes that a write is under way, until whose end at most limit is used.
func (r *Allocation) beginWrite(next Table, limit int64) (Table, bool) {
	r.writePending = true
	r.limit = min(r.limit, limit)
	return next, true
}

// CancelWrite takes in that a planned write certainly did not and will not take
// effect.
func (r *Allocation) CancelWrite() {
	r.writePending = false
	r.limit = unlimited
}

// planMissing deals with the holders that are gone.
func (r *Allocation) planMissing(now time.Time, m Members) (Table, bool) {
	if r.missingSince == nil {
		r.missingSince = make(map[Holder]time.Time)
		r.intentSince = make(map[Holder]time.Time)
	}
	if m.ReadAt.Sub(r.listReadAt) > MaxListGap {
		r.missingSince = make(map[Holder]time.Time)
	}
	r.listReadAt = m.ReadAt
	for _, p := range r.table.Shares {
		if p.Holder == r.Self.Holder {
			continue
		}
		// A process that listens where another one did proves that the other
		// one has ended.
		if p.Addr == r.Self.Addr {
			return r.beginWrite(r.table.removeHolder(p, r.Self.Holder), r.ownWeight())
		}
		if r.isListed(p, m) {
			delete(r.missingSince, p.Holder)
			if p.Intent == r.Self.Holder {
				return r.beginWrite(r.table.setIntent(p.Holder, ""), r.ownWeight())
			}
			continue
		}
		if _, ok := r.missingSince[p.Holder]; !ok {
			r.missingSince[p.Holder] = m.ReadAt
		}
		if m.Refused[p.Addr] {
			return r.beginWrite(r.table.removeHolder(p, ""), r.ownWeight())
		}
		if p.Intent != r.Self.Holder {
			return r.planIntent(now, p)
		}
		if r.canReclaim(now, p.Holder) {
			return r.beginWrite(r.table.removeHolder(p, ""), r.ownWeight())
		}
	}
	return Table{}, false
}

// isListed reports whether the platform lists the holder's instance where the
// holder listens.
func (r *Allocation) isListed(p Share, m Members) bool {
	return len(m.Listed) == 0 || m.Listed[p.Addr] == p.Instance
}

// planIntent marks a gone holder, unless somebody else's intent is still young.
func (r *Allocation) planIntent(now time.Time, p Share) (Table, bool) {
	const takeOver = 2 * ReclaimDelay
	if p.Intent != "" && now.Sub(r.missingSince[p.Holder]) < takeOver {
		return Table{}, false
	}
	r.intentSince[p.Holder] = time.Time{}
	return r.beginWrite(r.table.setIntent(p.Holder, r.Self.Holder), r.ownWeight())
}

// canReclaim reports whether both the holder's absence and this process's
// intent, as read back from the table, are old enough.
func (r *Allocation) canReclaim(now time.Time, h Holder) bool {
	if since, ok := r.intentSince[h]; !ok || since.IsZero() {
		r.intentSince[h] = now
		return false
	}
	return now.Sub(r.intentSince[h]) >= ReclaimDelay && r.listReadAt.Sub(r.missingSince[h]) >= ReclaimDelay
}

// planTransfer evens out the parts: a holder with more than an even part gives to
// the one that has least.
func (r *Allocation) planTransfer(now time.Time, self Share, m Members) (Table, bool) {
	// What is not settled or is lent out stays here: the one who gains it would
	// use it at once.
	free := self.Weight - r.unsettled(now) - m.Lent
	even := r.table.Total / int64(len(r.table.Shares))
	least := self
	for _, p := range r.table.Shares {
		if p.Weight < least.Weight && p.Intent == "" {
			least = p
		}
	}
	n := min(self.Weight-even, even-least.Weight, free)
	if least.Holder == self.Holder || n <= even/transferTolerance {
		return Table{}, false
	}
	return r.beginWrite(r.table.transfer(self.Holder, least.Holder, n), self.Weight-r.unsettled(now)-n)
}

// transferTolerance is the part of an even part by which holders may differ.
const transferTolerance = 20
