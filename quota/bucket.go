package quota

import (
	"math/bits"
	"time"
)

// Units of the bucket arithmetic.
const (
	// TotalWeight is the number of weight units in a complete contract.
	TotalWeight = 1_000_000
	// nano is the number of nano-tokens in a token. A rate in tokens a second has the same
	// value in nano-tokens a nanosecond.
	nano = 1_000_000_000
	// driftDivisor bounds clock drift to 1/driftDivisor. Buckets fill more slowly by this
	// fraction, so that a fast clock never exceeds the rate.
	driftDivisor = 1000
)

// Limits are the limits of an organisation over the whole fleet.
type Limits struct {
	// Rate is in tokens a second.
	Rate int64
	// Burst is in tokens.
	Burst int64
}

// bucket is a token bucket with a share, in weight units, of the limits of an
// organisation. While the weights of all holders sum to at most TotalWeight, their buckets
// together admit at most burst + rate·t in any interval of length t, however tokens and
// weight move between them.
type bucket struct {
	limits Limits
	weight int64
	// level is in nano-tokens. It is negative after a request used more than it had
	// reserved.
	level     int64
	updatedAt time.Time
	// minima tracks the least headroom since each debit, which bounds refunds.
	minima minStack
}

// scaleByWeight returns v·weight/TotalWeight, rounded down, without overflow.
func scaleByWeight(v, weight int64) int64 {
	hi, lo := bits.Mul64(uint64(v), uint64(weight))
	q, _ := bits.Div64(hi, lo, TotalWeight)
	return int64(q)
}

// capacity returns the maximum level, in nano-tokens.
func (b *bucket) capacity() int64 {
	return scaleByWeight(b.limits.Burst*nano, b.weight)
}

// fillRate returns the fill rate, in nano-tokens a second.
func (b *bucket) fillRate() int64 {
	perSecond := scaleByWeight(b.limits.Rate*nano, b.weight)
	return perSecond - perSecond/driftDivisor
}

// refill brings the level forward to now. A time before the last refill has no effect.
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

// mulDiv returns a·b/c, saturating at the largest int64.
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

// add credits n nano-tokens, up to the capacity.
func (b *bucket) add(n int64) {
	room := b.capacity() - b.level
	b.level += min(n, max(room, 0))
}

// setWeight changes the weight. Tokens beyond the new capacity are dropped.
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

// debit subtracts n nano-tokens and returns a mark that a later refund refers to.
func (b *bucket) debit(n int64) uint64 {
	b.minima.record(b.headroom())
	b.level -= n
	return b.minima.nextMark()
}

// refund credits n unused nano-tokens of a reservation as if they had never been debited.
// The bucket may have refilled since: the credit is limited to the least headroom since
// the debit, because tokens beyond the capacity would have been dropped.
func (b *bucket) refund(mark uint64, n int64) {
	credit := min(n, b.minima.minSince(mark), b.headroom())
	b.level += max(credit, 0)
	// The credit reduces the headroom at every moment since the mark, also for the
	// reservations that are still open.
	b.minima.reduce(mark, credit)
	b.minima.record(b.headroom())
}

// timeUntil returns how long the level takes to reach n nano-tokens at the current weight,
// or a negative duration if it never does.
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

// minStack returns the least headroom since a mark. It keeps, in order of time, each
// headroom that is lower than all later ones.
type minStack struct {
	seq    uint64
	minima []minimum
}

type minimum struct {
	// seq is the last mark issued before the headroom was recorded.
	seq      uint64
	headroom int64
}

// nextMark returns a new mark.
func (s *minStack) nextMark() uint64 {
	s.seq++
	return s.seq
}

// record adds the current headroom.
func (s *minStack) record(headroom int64) {
	for n := len(s.minima); n > 0 && s.minima[n-1].headroom >= headroom; n = len(s.minima) {
		s.minima = s.minima[:n-1]
	}
	s.minima = append(s.minima, minimum{
		seq:      s.seq,
		headroom: headroom,
	})
	if len(s.minima) > maxMinima {
		// The oldest minimum, which is also the least, replaces the next one. This can
		// only make refunds smaller.
		s.minima[0].seq = s.minima[1].seq
		s.minima = append(s.minima[:1], s.minima[2:]...)
	}
}

// maxMinima bounds the memory of one bucket.
const maxMinima = 256

// minSince returns the least headroom recorded since a mark.
func (s *minStack) minSince(mark uint64) int64 {
	least := int64(1<<63 - 1)
	for i := len(s.minima) - 1; i >= 0 && s.minima[i].seq >= mark; i-- {
		least = min(least, s.minima[i].headroom)
	}
	return least
}

// reduce subtracts n from every headroom recorded since a mark.
func (s *minStack) reduce(mark uint64, n int64) {
	for i := len(s.minima) - 1; i >= 0 && s.minima[i].seq >= mark; i-- {
		s.minima[i].headroom -= n
	}
}
