package usage

import (
	"slices"
	"time"
)

// Shares of the time between the end of a window and the time at which its report is due. A report that is sent
// early leaves time for a successor, which waits for the predecessor's lease and for its own; with a lease of 3 s
// and reports due after 10 s, a holder that ends right before it sends is replaced in time.
const (
	// settleShare is when the counts are first collected: no instance counts for the window any more.
	settleShare = 0.1
	// patienceShare is until when instances that did not answer are asked again.
	patienceShare = 0.55
	// sendShare is until when the report is sent; the rest is for its way.
	sendShare = 0.97
)

// Timing says when the report of a window is due.
type Timing struct {
	// Lateness is how long after the end of the window it is.
	Lateness time.Duration
}

// CollectFrom returns when the counts of a window are first collected.
func (t Timing) CollectFrom(w Window) time.Time {
	return w.End().Add(scaled(t.Lateness, settleShare))
}

// CollectUntil returns until when missing counts are waited for.
func (t Timing) CollectUntil(w Window) time.Time {
	return w.End().Add(scaled(t.Lateness, patienceShare))
}

// SendUntil returns until when the report may be sent. After it the window is missed.
func (t Timing) SendUntil(w Window) time.Time {
	return w.End().Add(scaled(t.Lateness, sendShare))
}

// Open returns the windows that have ended and whose reports may still be sent, the oldest first.
func (t Timing) Open(now time.Time, length time.Duration) []Window {
	var windows []Window
	for w := WindowAt(now, length); ; {
		w.Number--
		if !now.Before(t.SendUntil(w)) {
			break
		}
		windows = append(windows, w)
	}
	slices.Reverse(windows)
	return windows
}

func scaled(d time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(d))
}

// Source identifies a run of an instance's process.
type Source struct {
	Instance string
	Started  int64
}

// Part is what one run of an instance counted in a window.
type Part struct {
	Source Source
	Window int64
	Counts Counts
}

// Collection holds the parts of windows. The zero value is empty. It is not safe for concurrent use.
type Collection struct {
	windows map[int64]map[Source]Counts
}

// Add adds a part. A part that came before from the same source is replaced: it was counted earlier.
func (c *Collection) Add(p Part) {
	if c.windows == nil {
		c.windows = make(map[int64]map[Source]Counts)
	}
	bySource, ok := c.windows[p.Window]
	if !ok {
		bySource = make(map[Source]Counts)
		c.windows[p.Window] = bySource
	}
	if old, ok := bySource[p.Source]; !ok || p.Counts.Total() >= old.Total() {
		bySource[p.Source] = p.Counts
	}
}

// Has reports whether there is a part of a window from a source.
func (c *Collection) Has(window int64, s Source) bool {
	_, ok := c.windows[window][s]
	return ok
}

// Parts returns the parts of a window.
func (c *Collection) Parts(window int64) []Part {
	var parts []Part
	for s, counts := range c.windows[window] {
		parts = append(parts, Part{
			Source: s,
			Window: window,
			Counts: counts,
		})
	}
	return parts
}

// Sum returns the counts of a window over all sources.
func (c *Collection) Sum(window int64) Counts {
	sum := make(Counts)
	for _, counts := range c.windows[window] {
		sum.Add(counts)
	}
	return sum
}

// Prune removes the windows before the given one.
func (c *Collection) Prune(first int64) {
	for w := range c.windows {
		if w < first {
			delete(c.windows, w)
		}
	}
}
