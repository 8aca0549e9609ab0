package clock

import (
	"time"
	"unsafe"
)

// monotonicReading is set in the first word of a time.Time with a monotonic reading.
const monotonicReading = 1 << 63

// Stepped returns what a clock reads at t once its time of day has been set forward by d, or
// back if d is negative: the monotonic reading stays. It is for tests; package time has no means
// to change one reading alone.
func Stepped(t time.Time, d time.Duration) time.Time {
	// This is how package time has laid out a time.Time since Go 1.9; TestStepped checks it.
	type layout struct {
		wall uint64
		ext  int64
		loc  *time.Location
	}
	p := (*layout)(unsafe.Pointer(&t))
	if p.wall&monotonicReading == 0 {
		return t.Add(d)
	}
	monotonic := p.ext
	t = t.Add(d)
	p.ext = monotonic
	return t
}
