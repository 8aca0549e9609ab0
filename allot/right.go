package allot

import (
	"net/netip"
	"time"

	"currantstile/model"
)

// gain is weight that may be used from a time on.
type gain struct {
	weight int64
	from   time.Time
}

// Right is what one process may use of a table. It is not safe for concurrent
// use.
type Right struct {
	// Self is this process; its weight is ignored.
	Self Part
	// Whole is what a table that does not exist yet is created with.
	Whole int64

	table    Table
	observed bool
	// limit is the most that may be used, whatever the table says: it is
	// lowered before a write that gives weight away.
	limit int64
	gains []gain
	// sighted is when the last sign was asked for that the part has not been
	// taken back.
	sighted time.Time
	// intents is since when each holder has been seen with an intent of this
	// process.
	intents map[Holder]time.Time
	// gone is since when each holder has been missing from the list, as seen
	// without a gap up to listRead.
	gone     map[Holder]time.Time
	listRead time.Time
	// writing is set while the fate of a write is not known.
	writing bool
}

// unlimited is the limit while no write is under way.
const unlimited = int64(1<<63 - 1)

// Table returns the table as last observed.
func (r *Right) Table() (Table, bool) {
	return r.table, r.observed
}

// Sighted takes in that the list of members showed this process, asked for at a
// time. That keeps a part usable that still is; one whose fence has passed may
// have been taken back meanwhile, and only the table can tell.
func (r *Right) Sighted(asked time.Time) {
	if asked.Before(r.FencedAt()) {
		r.sight(asked)
	}
}

func (r *Right) sight(asked time.Time) {
	if asked.After(r.sighted) {
		r.sighted = asked
	}
}

// FencedAt is when the part stops being usable without another sign.
func (r *Right) FencedAt() time.Time {
	return r.sighted.Add(FenceTime)
}

// Observe takes in a table that was read; the read was asked for at a time. While
// the fate of a write is unknown, only a table that the write can no longer
// replace may be given: its own result, or a rival's. A table older than the last
// one is ignored: it is from before this process gave something away, or from
// before somebody else gained it.
func (r *Right) Observe(now, asked time.Time, t Table) {
	if r.observed && t.Version < r.table.Version {
		return
	}
	before, _ := r.table.Find(r.Self.Holder)
	r.table = t
	r.observed = true
	r.writing = false
	r.limit = unlimited
	part, ok := t.Find(r.Self.Holder)
	if ok && part.Intent == "" {
		r.sight(asked)
	}
	if n := part.Removed - before.Removed; n > 0 {
		r.gains = append(r.gains, gain{
			weight: n,
			from:   now.Add(SettleTime),
		})
	}
	for h := range r.intents {
		if p, ok := t.Find(h); !ok || p.Intent != r.Self.Holder {
			delete(r.intents, h)
		}
	}
}

// weight is this process's part in the table.
func (r *Right) weight() int64 {
	p, _ := r.table.Find(r.Self.Holder)
	return p.Weight
}

// Usable is how much may be used now.
func (r *Right) Usable(now time.Time) int64 {
	if !r.observed || !now.Before(r.FencedAt()) {
		return 0
	}
	return max(min(r.weight()-r.unsettled(now), r.limit), 0)
}

// unsettled is how much of the part may not be used yet.
func (r *Right) unsettled(now time.Time) int64 {
	sum := int64(0)
	var left []gain
	for _, g := range r.gains {
		if now.Before(g.from) {
			sum += g.weight
			left = append(left, g)
		}
	}
	r.gains = left
	return sum
}

// Members is what the list of members and direct calls tell.
type Members struct {
	// Read is when the list was last read.
	Read time.Time
	// Listed are the instances that the platform lists, by address.
	Listed map[netip.AddrPort]model.InstanceID
	// Refused are the addresses whose hosts answered that nobody listens there. A
	// process closes its listener last of all.
	Refused map[netip.AddrPort]bool
	// Home are the instances that are to hold parts.
	Home map[model.InstanceID]bool
	// Leaving is set when this process shuts down.
	Leaving bool
	// Lent is the most that this process has lent of its part.
	Lent int64
}

// Plan returns the next change that this process should write to the table. Its
// own use is lowered before Plan returns, so that nothing is used twice however
// the write ends. The table is created where none exists.
func (r *Right) Plan(now time.Time, m Members, exists bool) (next Table, ok bool) {
	if r.writing {
		return Table{}, false
	}
	if !exists {
		return r.begin(create(r.Self, r.Whole), 0)
	}
	self, joined := r.table.Find(r.Self.Holder)
	switch {
	case !joined && !m.Leaving && m.Home[r.Self.Instance]:
		return r.begin(r.table.join(r.Self), 0)
	case !joined:
		return Table{}, false
	case self.Intent != "":
		return r.begin(r.table.intend(self.Holder, ""), r.weight())
	case m.Leaving || !m.Home[r.Self.Instance]:
		if len(r.table.Parts) == 1 {
			return Table{}, false
		}
		return r.begin(r.table.remove(self, ""), 0)
	}
	if next, ok := r.planGone(now, m); ok {
		return next, true
	}
	return r.planGive(now, self, m)
}

// begin notes that a write is under way, until whose end at most limit is used.
func (r *Right) begin(next Table, limit int64) (Table, bool) {
	r.writing = true
	r.limit = min(r.limit, limit)
	return next, true
}

// Cancel takes in that a planned write certainly did not and will not take
// effect.
func (r *Right) Cancel() {
	r.writing = false
	r.limit = unlimited
}

// planGone deals with the holders that are gone.
func (r *Right) planGone(now time.Time, m Members) (Table, bool) {
	if r.gone == nil {
		r.gone = make(map[Holder]time.Time)
		r.intents = make(map[Holder]time.Time)
	}
	if m.Read.Sub(r.listRead) > ListGap {
		r.gone = make(map[Holder]time.Time)
	}
	r.listRead = m.Read
	for _, p := range r.table.Parts {
		if p.Holder == r.Self.Holder {
			continue
		}
		// A process that listens where another one did proves that the other
		// one has ended.
		if p.Addr == r.Self.Addr {
			return r.begin(r.table.remove(p, r.Self.Holder), r.weight())
		}
		if r.isListed(p, m) {
			delete(r.gone, p.Holder)
			if p.Intent == r.Self.Holder {
				return r.begin(r.table.intend(p.Holder, ""), r.weight())
			}
			continue
		}
		if _, ok := r.gone[p.Holder]; !ok {
			r.gone[p.Holder] = m.Read
		}
		if m.Refused[p.Addr] {
			return r.begin(r.table.remove(p, ""), r.weight())
		}
		if p.Intent != r.Self.Holder {
			return r.planIntent(now, p)
		}
		if r.mayReclaim(now, p.Holder) {
			return r.begin(r.table.remove(p, ""), r.weight())
		}
	}
	return Table{}, false
}

// isListed reports whether the platform lists the holder's instance where the
// holder listens.
func (r *Right) isListed(p Part, m Members) bool {
	return len(m.Listed) == 0 || m.Listed[p.Addr] == p.Instance
}

// planIntent marks a gone holder, unless somebody else's intent is still young.
func (r *Right) planIntent(now time.Time, p Part) (Table, bool) {
	const takeOver = 2 * ReclaimTime
	if p.Intent != "" && now.Sub(r.gone[p.Holder]) < takeOver {
		return Table{}, false
	}
	r.intents[p.Holder] = time.Time{}
	return r.begin(r.table.intend(p.Holder, r.Self.Holder), r.weight())
}

// mayReclaim reports whether both the holder's absence and this process's
// intent, as read back from the table, are old enough.
func (r *Right) mayReclaim(now time.Time, h Holder) bool {
	if since, ok := r.intents[h]; !ok || since.IsZero() {
		r.intents[h] = now
		return false
	}
	return now.Sub(r.intents[h]) >= ReclaimTime && r.listRead.Sub(r.gone[h]) >= ReclaimTime
}

// planGive evens out the parts: a holder with more than an even part gives to
// the one that has least.
func (r *Right) planGive(now time.Time, self Part, m Members) (Table, bool) {
	// What is not settled or is lent out stays here: the one who gains it would
	// use it at once.
	free := self.Weight - r.unsettled(now) - m.Lent
	even := r.table.Whole / int64(len(r.table.Parts))
	least := self
	for _, p := range r.table.Parts {
		if p.Weight < least.Weight && p.Intent == "" {
			least = p
		}
	}
	n := min(self.Weight-even, even-least.Weight, free)
	if least.Holder == self.Holder || n <= even/giveSlack {
		return Table{}, false
	}
	return r.begin(r.table.give(self.Holder, least.Holder, n), self.Weight-r.unsettled(now)-n)
}

// giveSlack is the part of an even part by which holders may differ.
const giveSlack = 20
