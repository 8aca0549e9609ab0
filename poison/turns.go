package poison

import (
	"sync"
	"time"
)

const (
	// suspectInterval is how long an instance sends no second copy of a suspected request: by then
	// the first one is answered, or its target's end is known to all.
	suspectInterval = 2 * time.Second
	// suspectStagger is by how much later the next instance sends its first copy.
	suspectStagger = 300 * time.Millisecond
	// MaxTurnRank is the rank from which all instances have the same turn.
	MaxTurnRank = 8
	// maxSentCopies bounds the requests that are remembered.
	maxSentCopies = 256
)

// Turns decides which copies of a suspected request an instance sends: one after the other, and after
// the instances that rank before it, so that not each copy reaches a target before the first
// has ended one. The zero value is ready for use.
type Turns struct {
	mu     sync.Mutex
	copies map[Feature]sentCopy
}

// sentCopy is the last copy of a suspected request that may be sent.
type sentCopy struct {
	id string
	at time.Time
}

// Take returns how long a copy with the given ID has to wait, or zero if it may be sent. A copy that
// may be sent keeps its turn when it asks again.
func (t *Turns) Take(now time.Time, id string, s Suspected, rank int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	last, ok := t.copies[s.Feature]
	switch wait := suspectInterval - now.Sub(last.at); {
	case ok && last.id == id:
		return 0
	case ok && wait > 0:
		return wait
	}
	if wait := time.Duration(min(rank, MaxTurnRank))*suspectStagger - s.Since; wait > 0 {
		return wait
	}
	if t.copies == nil || len(t.copies) >= maxSentCopies {
		t.copies = make(map[Feature]sentCopy)
	}
	t.copies[s.Feature] = sentCopy{
		id: id,
		at: now,
	}
	return 0
}
