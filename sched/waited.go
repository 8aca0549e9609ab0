package sched

import (
	"sync"
	"time"
)

const (
	// statedPeriod is how long the longest time limit that a group of callers stated counts, and
	// minStated the number of requests of one organisation after which its own counts.
	statedPeriod = 30 * time.Second
	minStated    = 3
	// waitedSlack is the difference between time limits up to which a caller has not waited.
	waitedSlack = 100 * time.Millisecond
	// maxStatedEntries limits the number of groups. When it is reached, all are evicted.
	maxStatedEntries = 4096
)

// Waited estimates for how long callers have waited before they sent a request, because they were
// refused before: a caller that returns states a shorter time limit than usual. It is safe for
// concurrent use.
type Waited struct {
	mu     sync.Mutex
	stated map[string]*statedLimit
}

// statedLimit is the longest time limit of a group of callers.
type statedLimit struct {
	longest time.Duration
	at      time.Time
	count   int
}

// Add records the time limit that a caller stated on a route, and returns for how long the caller
// has waited.
func (w *Waited) Add(now time.Time, route, organisation string, limit time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	usual := w.add(now, route, limit)
	if own := w.add(now, route+"\x00"+organisation, limit); own.count >= minStated {
		usual = own
	}
	if waited := usual.longest - limit; waited > waitedSlack {
		return waited
	}
	return 0
}

// add records a time limit for a group. The caller holds mu.
func (w *Waited) add(now time.Time, group string, limit time.Duration) *statedLimit {
	if w.stated == nil || len(w.stated) >= maxStatedEntries {
		w.stated = make(map[string]*statedLimit)
	}
	s, ok := w.stated[group]
	if !ok {
		s = &statedLimit{}
		w.stated[group] = s
	}
	s.count++
	if limit >= s.longest || now.Sub(s.at) > statedPeriod {
		s.longest, s.at = limit, now
	}
	return s
}
