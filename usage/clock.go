package usage

import (
	"slices"
	"sync"
	"time"
)

const (
	// clockSamples is how many statements of the true time are kept. A statement that took long to arrive is
	// behind; the one that is least behind counts, of as many as arrive in about a minute.
	clockSamples = 12
	// maxBehind is how many statements in a row that are behind by more than maxStep replace the earlier ones. A
	// process that was frozen receives up to two at once that waited meanwhile.
	maxBehind = 3
	// maxStep is by how much a statement may differ from the estimate without replacing all earlier ones: more
	// than a message takes, less than a clock jumps.
	maxStep = time.Second
)

// Clock estimates the true time from the monotonic clock. At first it trusts the wall clock as it was at its
// start; later jumps of the wall clock have no effect. It is safe for concurrent use.
type Clock struct {
	mu sync.Mutex
	// start is a time with a monotonic reading, and wall the wall clock at that time.
	start time.Time
	wall  time.Time
	// offsets are the differences between the true time, as it was stated, and Wall.
	offsets []time.Duration
	// behind is how many statements in a row were behind by more than maxStep.
	behind int
}

// NewClock returns a clock that is started now, when the wall clock shows wall. now must have a monotonic reading.
func NewClock(now, wall time.Time) *Clock {
	return &Clock{
		start: now,
		wall:  wall.Round(0),
	}
}

// Wall returns what the wall clock would show if it had not been set since the start.
func (c *Clock) Wall(now time.Time) time.Time {
	return c.wall.Add(now.Sub(c.start))
}

// Synchronised reports whether the true time has been stated.
func (c *Clock) Synchronised() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.offsets) > 0
}

// True returns the estimated true time.
func (c *Clock) True(now time.Time) time.Time {
	return c.Wall(now).Add(c.offset())
}

// Local returns the time on the monotonic clock at the given true time.
func (c *Clock) Local(t time.Time) time.Time {
	return c.start.Add(t.Sub(c.wall) - c.offset())
}

func (c *Clock) offset() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.offsets) == 0 {
		return 0
	}
	return slices.Max(c.offsets)
}

// Record records a statement of the true time that arrived now.
func (c *Clock) Record(now, stated time.Time) {
	offset := stated.Sub(c.Wall(now))
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.offsets) > 0 {
		step := offset - slices.Max(c.offsets)
		if step < -maxStep {
			c.behind++
		} else {
			c.behind = 0
		}
		if step > maxStep || c.behind >= maxBehind {
			c.offsets, c.behind = nil, 0
		} else if step < -maxStep {
			return
		}
	}
	c.offsets = append(c.offsets, offset)
	if len(c.offsets) > clockSamples {
		c.offsets = c.offsets[1:]
	}
}

// Vote is what one instance's clock said of the true time.
type Vote struct {
	// Sent and Received are when the clock was asked and its answer arrived, on the clock of the instance
	// that asked.
	Sent     time.Time
	Received time.Time
	// Wall is what the other clock showed in between.
	Wall time.Time
}

// MedianOffset returns the median over the clocks of the difference to the clock that asked. It reports false
// without votes.
func MedianOffset(own *Clock, votes []Vote) (time.Duration, bool) {
	if len(votes) == 0 {
		return 0, false
	}
	offsets := make([]time.Duration, 0, len(votes))
	for _, v := range votes {
		half := v.Received.Sub(v.Sent) / 2
		offset := v.Wall.Sub(own.Wall(v.Sent.Add(half)))
		// A difference that the way of the messages explains is none.
		if offset > 0 {
			offset = max(offset-half, 0)
		} else {
			offset = min(offset+half, 0)
		}
		offsets = append(offsets, offset)
	}
	slices.Sort(offsets)
	return offsets[(len(offsets)-1)/2], true
}
