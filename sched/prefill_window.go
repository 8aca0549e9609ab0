package sched

import (
	"sync"
	"time"
)

const (
	// windowGrowth is the factor by which a PrefillWindow grows with each stream without a
	// long pause, until the first long one; windowRegrowth is the factor after that. With
	// windowReduction they keep long pauses to a few streams in a hundred.
	windowGrowth    = 1.25
	windowRegrowth  = 1.01
	windowReduction = 0.7
	// shortPauseShare is the fraction of the longest pause within the objective up to which
	// a stream's pauses count as short.
	shortPauseShare = 0.9
	// maxWindowShare is the fraction of a target's memory that may be in prompts which it
	// has not read.
	maxWindowShare = 0.25
)

// PrefillWindow is how many prompt tokens may be in transit to a target or being read there
// at once. How long several prompts delay the streams of a target depends on how many tokens
// it reads per batch step, which targets do not report: some read long prompts in small
// pieces and delay no stream. The window starts with the bound for targets that read whole
// prompts, grows while it holds requests back and streams have short pauses, and shrinks
// with each long pause, but not below that bound. The targets of one service that an
// instance manages share a window. It is safe for concurrent use.
type PrefillWindow struct {
	mu     sync.Mutex
	tokens float64
	// limiting is set while a request is held back by the window.
	limiting bool
	// reducedAt is when the window was last reduced; zero before the first long pause.
	reducedAt time.Time
}

// allows reports whether a prompt may be sent to a target with the given number of unread
// tokens, and records if the window holds it back.
func (w *PrefillWindow) allows(l *Limits, unread, prompt int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if unread == 0 || float64(unread+prompt) <= max(w.tokens, float64(l.maxPendingPrefill())) {
		return true
	}
	w.limiting = true
	return false
}

// recordPause adjusts the window to the longest pause of a stream that was granted at the
// given time. Streams granted before the last reduction show its cause once more and have
// no effect.
func (w *PrefillWindow) recordPause(now, grantedAt time.Time, l *Limits, pause time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	floor := float64(l.maxPendingPrefill())
	tokens := max(w.tokens, floor)
	switch longest := l.gapOrDefault(); {
	case pause <= 0:
	case pause > longest:
		if !grantedAt.Before(w.reducedAt) {
			tokens *= windowReduction
			w.reducedAt = now
		}
	case w.limiting && float64(pause) <= shortPauseShare*float64(longest):
		if w.reducedAt.IsZero() {
			tokens *= windowGrowth
		} else {
			tokens *= windowRegrowth
		}
		w.limiting = false
	}
	w.tokens = min(max(tokens, floor), max(floor, maxWindowShare*float64(l.MemoryTokens)))
}

// Tokens returns the present size of the window.
func (w *PrefillWindow) Tokens(l *Limits) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(int64(w.tokens), l.maxPendingPrefill())
}
