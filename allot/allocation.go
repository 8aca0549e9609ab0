package allot

import (
	"net/netip"
	"time"

	"currantstile/model"
)

// gain is weight that becomes usable at a later time.
type gain struct {
	weight     int64
	usableFrom time.Time
}

// Allocation tracks how much of a share table one process may use, and plans changes to
// the table. It is not safe for concurrent use.
type Allocation struct {
	// Self describes this process. Its weight is ignored.
	Self Share
	// Total is the total weight of the table that Plan creates if none exists.
	Total int64

	table    Table
	observed bool
	// limit caps the usable weight regardless of the table. It is lowered before a write
	// that transfers weight away.
	limit int64
	gains []gain
	// confirmedAt is the send time of the latest request whose response confirmed that the
	// share had not been reclaimed.
	confirmedAt time.Time
	// intentSince is when an intent of this process was first read back for each holder, and
	// the zero time until then.
	intentSince map[Holder]time.Time
	// missingSince is when each holder was first missing from the list. The absence is
	// unbroken up to listReadAt.
	missingSince map[Holder]time.Time
	listReadAt   time.Time
	// writePending is set while the outcome of a write is unknown.
	writePending bool
}

// unlimited is the limit while no write is pending.
const unlimited = int64(1<<63 - 1)

// Table returns the last table observed.
func (a *Allocation) Table() (Table, bool) {
	return a.table, a.observed
}

// ConfirmListed records that the list of members contained this process; sent is when the
// list was requested. It extends a share that has not expired. A share that has expired
// may have been reclaimed meanwhile, so only a table read can renew it.
func (a *Allocation) ConfirmListed(sent time.Time) {
	if sent.Before(a.ExpiresAt()) {
		a.confirm(sent)
	}
}

func (a *Allocation) confirm(sent time.Time) {
	if sent.After(a.confirmedAt) {
		a.confirmedAt = sent
	}
}

// ExpiresAt returns when the share stops being usable without another confirmation.
func (a *Allocation) ExpiresAt() time.Time {
	return a.confirmedAt.Add(ShareTTL)
}

// Observe records a table that was read; sent is when the read was requested. While the
// outcome of a write is unknown, the caller may pass only a table that the write can no
// longer replace: its own result or that of a competing write. A table older than the last
// one is ignored, because it predates a transfer away from this process or to another one.
func (a *Allocation) Observe(now, sent time.Time, t Table) {
	if a.observed && t.Version < a.table.Version {
		return
	}
	before, _ := a.table.Find(a.Self.Holder)
	a.table = t
	a.observed = true
	a.writePending = false
	a.limit = unlimited
	share, ok := t.Find(a.Self.Holder)
	if ok && share.Intent == "" {
		a.confirm(sent)
	}
	if n := share.Reclaimed - before.Reclaimed; n > 0 {
		a.gains = append(a.gains, gain{
			weight:     n,
			usableFrom: now.Add(SettleDelay),
		})
	}
	for h := range a.intentSince {
		if s, ok := t.Find(h); !ok || s.Intent != a.Self.Holder {
			delete(a.intentSince, h)
		}
	}
}

// ownWeight returns the weight of this process in the table.
func (a *Allocation) ownWeight() int64 {
	s, _ := a.table.Find(a.Self.Holder)
	return s.Weight
}

// Usable returns the weight that may be used now.
func (a *Allocation) Usable(now time.Time) int64 {
	if !a.observed || !now.Before(a.ExpiresAt()) {
		return 0
	}
	return max(min(a.ownWeight()-a.unsettled(now), a.limit), 0)
}

// unsettled returns the weight of this process that may not be used yet.
func (a *Allocation) unsettled(now time.Time) int64 {
	sum := int64(0)
	var pending []gain
	for _, g := range a.gains {
		if now.Before(g.usableFrom) {
			sum += g.weight
			pending = append(pending, g)
		}
	}
	a.gains = pending
	return sum
}

// Members is the view of the membership from the list of members and direct calls.
type Members struct {
	// ReadAt is when the list was last read.
	ReadAt time.Time
	// Listed are the instances that the platform lists, by address.
	Listed map[netip.AddrPort]model.InstanceID
	// Refused are the addresses whose hosts refused the connection. A process closes its
	// listener as its last step, so a refusal shows that it has ended.
	Refused map[netip.AddrPort]bool
	// Eligible are the instances that should hold shares.
	Eligible map[model.InstanceID]bool
	// Leaving is set when this process shuts down.
	Leaving bool
	// Lent is the largest weight that this process has lent of its share.
	Lent int64
}

// Plan returns the next change that this process should write to the table, and whether
// there is one. The process's own usable weight is lowered before Plan returns, so that no
// weight is used twice whatever the outcome of the write. If no table exists, the change
// creates it.
func (a *Allocation) Plan(now time.Time, m Members, exists bool) (next Table, ok bool) {
	if a.writePending {
		return Table{}, false
	}
	if !exists {
		return a.beginWrite(newTable(a.Self, a.Total), 0)
	}
	self, joined := a.table.Find(a.Self.Holder)
	switch {
	case !joined && !m.Leaving && m.Eligible[a.Self.Instance]:
		return a.beginWrite(a.table.addHolder(a.Self), 0)
	case !joined:
		return Table{}, false
	case self.Intent != "":
		return a.beginWrite(a.table.setIntent(self.Holder, ""), a.ownWeight())
	case m.Leaving || !m.Eligible[a.Self.Instance]:
		if len(a.table.Shares) == 1 {
			return Table{}, false
		}
		return a.beginWrite(a.table.removeHolder(self, ""), 0)
	}
	if next, ok := a.planMissing(now, m); ok {
		return next, true
	}
	return a.planTransfer(now, self, m)
}

// beginWrite marks a write as pending. Until its outcome is known, at most limit is
// usable.
func (a *Allocation) beginWrite(next Table, limit int64) (Table, bool) {
	a.writePending = true
	a.limit = min(a.limit, limit)
	return next, true
}

// CancelWrite records that a planned write has not taken effect and never will.
func (a *Allocation) CancelWrite() {
	a.writePending = false
	a.limit = unlimited
}

// planMissing plans the next change for holders that are missing from the list.
func (a *Allocation) planMissing(now time.Time, m Members) (Table, bool) {
	if a.missingSince == nil {
		a.missingSince = make(map[Holder]time.Time)
		a.intentSince = make(map[Holder]time.Time)
	}
	if m.ReadAt.Sub(a.listReadAt) > MaxListGap {
		a.missingSince = make(map[Holder]time.Time)
	}
	a.listReadAt = m.ReadAt
	for _, s := range a.table.Shares {
		if s.Holder == a.Self.Holder {
			continue
		}
		// Only one process can listen at an address, so another holder with the address of
		// this process has ended.
		if s.Addr == a.Self.Addr {
			return a.beginWrite(a.table.removeHolder(s, a.Self.Holder), a.ownWeight())
		}
		if a.isListed(s, m) {
			delete(a.missingSince, s.Holder)
			if s.Intent == a.Self.Holder {
				return a.beginWrite(a.table.setIntent(s.Holder, ""), a.ownWeight())
			}
			continue
		}
		if _, ok := a.missingSince[s.Holder]; !ok {
			a.missingSince[s.Holder] = m.ReadAt
		}
		if m.Refused[s.Addr] {
			return a.beginWrite(a.table.removeHolder(s, ""), a.ownWeight())
		}
		if s.Intent != a.Self.Holder {
			return a.planIntent(now, s)
		}
		if a.canReclaim(now, s.Holder) {
			return a.beginWrite(a.table.removeHolder(s, ""), a.ownWeight())
		}
	}
	return Table{}, false
}

// isListed reports whether the platform lists the holder's instance at the holder's
// address. If the list is empty, every holder counts as listed.
func (a *Allocation) isListed(s Share, m Members) bool {
	return len(m.Listed) == 0 || m.Listed[s.Addr] == s.Instance
}

// planIntent plans an intent to reclaim the share of a missing holder. If another process
// has set one, it is taken over only once the holder has been missing for twice
// ReclaimDelay.
func (a *Allocation) planIntent(now time.Time, s Share) (Table, bool) {
	const takeOverDelay = 2 * ReclaimDelay
	if s.Intent != "" && now.Sub(a.missingSince[s.Holder]) < takeOverDelay {
		return Table{}, false
	}
	a.intentSince[s.Holder] = time.Time{}
	return a.beginWrite(a.table.setIntent(s.Holder, a.Self.Holder), a.ownWeight())
}

// canReclaim reports whether both the holder's absence and this process's intent, as read
// back from the table, have lasted for ReclaimDelay. The first call after the intent was
// read back starts the delay.
func (a *Allocation) canReclaim(now time.Time, h Holder) bool {
	if since, ok := a.intentSince[h]; !ok || since.IsZero() {
		a.intentSince[h] = now
		return false
	}
	return now.Sub(a.intentSince[h]) >= ReclaimDelay && a.listReadAt.Sub(a.missingSince[h]) >= ReclaimDelay
}

// planTransfer balances the shares: a holder with more than an even share transfers weight
// to the holder with the least.
func (a *Allocation) planTransfer(now time.Time, self Share, m Members) (Table, bool) {
	// Weight that is unsettled or lent out cannot be transferred, because its new holder
	// would use it immediately.
	free := self.Weight - a.unsettled(now) - m.Lent
	even := a.table.Total / int64(len(a.table.Shares))
	least := self
	for _, s := range a.table.Shares {
		if s.Weight < least.Weight && s.Intent == "" {
			least = s
		}
	}
	n := min(self.Weight-even, even-least.Weight, free)
	if least.Holder == self.Holder || n <= even/transferTolerance {
		return Table{}, false
	}
	return a.beginWrite(a.table.transfer(self.Holder, least.Holder, n), self.Weight-a.unsettled(now)-n)
}

// transferTolerance is the divisor that gives the tolerance of the division: weight of at
// most 1/transferTolerance of an even share is not transferred.
const transferTolerance = 20
