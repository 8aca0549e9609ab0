package memory

import (
	"runtime/debug"
	"runtime/metrics"
	"sync"
	"time"
)

const (
	// usualShare is the part of an instance's memory up to which memory is not returned to the system early.
	usualShare = 0.25
	// returnInterval is the shortest time between two returns, each of which is a collection of garbage.
	returnInterval = 10 * time.Second
)

// ShouldReturn reports whether memory should be returned to the system: so many bytes are in use, of those that
// the instance may use, and it was last returned at the given time.
func ShouldReturn(now, last time.Time, inUse, memoryBytes int64) bool {
	return float64(inUse) > usualShare*float64(memoryBytes) && now.Sub(last) >= returnInterval
}

// Returner returns memory that a burst has left to the system. The runtime alone keeps most of it for minutes
// when little is allocated afterwards.
type Returner struct {
	// MemoryBytes is the memory that the instance may use.
	MemoryBytes int64
}

var (
	returnMu sync.Mutex
	// lastReturn is when memory was last returned, by any instance of the process.
	lastReturn time.Time
)

// Step returns memory if that is due.
func (r *Returner) Step(now time.Time) {
	if !returnMu.TryLock() {
		return
	}
	defer returnMu.Unlock()
	if ShouldReturn(now, lastReturn, inUse(), r.MemoryBytes) {
		lastReturn = now
		debug.FreeOSMemory()
	}
}

// inUse returns the bytes that the runtime has from the system.
func inUse() int64 {
	samples := []metrics.Sample{
		{Name: "/memory/classes/total:bytes"},
		{Name: "/memory/classes/heap/released:bytes"},
	}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}
