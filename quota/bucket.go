package quota

import (
	"math/bits"
	"time"
)

// Units of the bucket's arithmetic.
const (
	// TotalWeight is the number of weight units that make up a whole contract.
	TotalWeight = 1_000_000
	// nano is the number of nano-tokens in a token. A rate in tokens a second is
	// the same number in nano-tokens a nanosecond.
	nano = 1_000_000_000
	// driftDivisor is the bound on clock drift: one part in so many. Buckets fill
	// more slowly by it, so that a fast clock never exceeds the rate.
	driftDivisor = 1000
)

// Limits are an organisation's limits over the whole fleet.
type Limits struct {
	// Rate is in tokens a second.
	Rate int64
	// Burst is in tokens.
	Burst int64
}

// bucket is a token bucket that holds a share, in weight units, of an
// organisation's limits. While the weights of all holders sum to at most Whole,
// their buckets together admit at most burst + rate·t in any interval t,
// whatever tokens and weight they pass to one another.
type bucket struct {
	limits Limits
	weight int64
	// level is in nano-tokens; it is below zero after a request that used more
	// than it had reserved.
	level     int64
	updatedAt time.Time
	// minima holds the least headroom since each debit, for refunds.
	minima minStack
}

// scaleByWeight scales v by weight/Whole, rounding down, without overflow.
func scaleByWeight(v, weight int64) int64 {
	hi, lo := bits.Mul64(uint64(v), uint64(weight))
	q, _ := bits.Div64(hi, lo, TotalWeight)
	return int64(q)
}

// capacity is what the bucket holds at most, in nano-tokens.
func (b *bucket) capacity() int64 {
	return scaleByWeight(b.limits.Burst*nano, b.weight)
}

// fillRate is in nano-tokens a second.
func (b *bucket) fillRate() int64 {
	perSecond := scaleByWeight(b.limits.Rate*nano, b.weight)
	return perSecond - perSecond/driftDivisor
}

// refill brings the level up to a moment. A moment before the last one changes
// nothing.
func (b *bucket) refill(now time.Time) {
	if b.updatedAt.IsZero() {
		b.updatedAt = now
	}
	elapsed := now.Sub(b.updatedAt)
	if elapsed <= 0 {
		return
	}
	b.updatedAt = now
	b.add(mulDiv(b.fillRate(), int64(elapsed), nano))
}

// mulDiv returns a·b/c, or the largest int64 where that is larger.
func mulDiv(a, b, c int64) int64 {
	hi, lo := bits.Mul64(uint64(a), uint64(b))
	if hi >= uint64(c) {
		return 1<<63 - 1
	}
	q, _ := bits.Div64(hi, lo, uint64(c))
	if q > 1<<63-1 {
		return 1<<63 - 1
	}
	return int64(q)
}

// add credits nano-tokens up to the capacity.
func (b *bucket) add(n int64) {
	room := b.capacity() - b.level
	b.level += min(n, max(room, 0))
}

// setWeight changes the share. Tokens beyond the new capacity are dropped.
func (b *bucket) setWeight(weight int64) {
	b.minima.record(b.headroom())
	b.weight = weight
	b.level = min(b.level, b.capacity())
	b.minima.record(b.headroom())
}

// setLimits changes the limits. Tokens beyond the new capacity are dropped.
func (b *bucket) setLimits(l Limits) {
	if l == b.limits {
		return
	}
	b.minima.record(b.headroom())
	b.limits = l
	b.level = min(b.level, b.capacity())
	b.minima.record(b.headroom())
}

func (b *bucket) headroom() int64 {
	return max(b.capacity()-b.level, 0)
}

// debit takes nano-tokens and returns a mark for a later refund.
func (b *bucket) debit(n int64) uint64 {
	b.minima.record(b.headroom())
	b.level -= n
	return b.minima.nextMark()
}

// refund credits what a reservation did not use, as if it had never been
// taken: whatever the bucket would have dropped meanwhile at its capacity is
// not credited, because the bucket has been filled in its place.
func (b *bucket) refund(mark uint64, n int64) {
	credit := min(n, b.minima.minSince(mark), b.headroom())
	b.level += max(credit, 0)
	// The credit lowers the headroom of every moment since then, for the
	// reservations that are still open.
	b.minima.reduce(mark, credit)
	b.minima.record(b.headroom())
}

// timeUntil is how long the level takes to reach n nano-tokens at the present share,
// or a negative duration where it never does.
func (b *bucket) timeUntil(n int64) time.Duration {
	missing := n - b.level
	if missing <= 0 {
		return 0
	}
	rate := b.fillRate()
	if n > b.capacity() || rate <= 0 {
		return -1
	}
	return time.Duration(mulDiv(missing, nano, rate)) + 1
}

// minStack answers what the least headroom has been since a mark. It keeps, in
// order of time, each headroom that no later one has undercut.
type minStack struct {
	seq    uint64
	minima []minimum
}

type minimum struct {
	// seq is the last mark before the headroom was noted.
	seq      uint64
	headroom int64
}

// nextMark returns a new mark.
func (s *minStack) nextMark() uint64 {
	s.seq++
	return s.seq
}

// record takes in the headroom of this moment.
func (s *minStack) record(headroom int64) {
	for n := len(s.minima); n > 0 && s.minima[n-1].headroom >= headroom; n = len(s.minima) {
		s.minima = s.minima[:n-1]
	}
	s.minima = append(s.minima, minimum{
		seq:      s.seq,
		headroom: headroom,
	})
	if len(s.minima) > maxMinima {
		// The oldest low, which is the least, stands in for the next one. That
		// can only make refunds smaller.
		s.minima[0].seq = s.minima[1].seq
		s.minima = append(s.minima[:1], s.minima[2:]...)
	}
}

// maxMinima bounds the memory of one bucket.
const maxMinima = 256

// minSince returns the least headroom noted since a mark.
func (s *minStack) minSince(mark uint64) int64 {
	least := int64(1<<63 - 1)
	for i := len(s.minima) - 1; i >= 0 && s.minima[i].seq >= mark; i-- {
		least = min(least, s.minima[i].headroom)
	}
	return least
}

// reduce takes n from every headroom noted since a mark.
func (s *minStack) reduce(mark uint64, n int64) {
	for i := len(s.minima) - 1; i >= 0 && s.minima[i].seq >= mark; i-- {
		s.minima[i].headroom -= n
	}
}
