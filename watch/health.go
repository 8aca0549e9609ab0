package watch

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"currantstile/store"
)

const (
	// minProbeInterval is the pause after the first failed call. It doubles with each
	// further failure, up to maxProbeInterval, or up to listenerProbeInterval on
	// instances that receive changes from store readers. Without back-off a large
	// fleet would make many calls during an outage, and each call is billed.
	minProbeInterval      = 100 * time.Millisecond
	maxProbeInterval      = 800 * time.Millisecond
	listenerProbeInterval = 2400 * time.Millisecond
	// startProbeInterval replaces maxProbeInterval on an instance that has not joined the
	// fleet and cannot serve before the store is back.
	startProbeInterval = 300 * time.Millisecond
	// maxFailures caps the count of consecutive failures, and so the back-off exponent.
	maxFailures = 8
)

// Health records the last successful and the last failed call to the store, and
// limits the rate of calls while the store is unavailable. The zero value is ready
// for use; a nil Health records nothing and allows every call.
type Health struct {
	mu sync.Mutex
	// The times keep their monotonic readings: a step of the time of day changes no age.
	lastSuccess time.Time
	lastFailure time.Time
	// available is the result of the last recorded call.
	available bool
	// failures counts the failed calls since the last success, up to maxFailures.
	failures int
	// lastProbe is the time of the last call allowed while the store was unavailable.
	lastProbe time.Time
	listener  bool
	starting  bool
}

// AllowCall reports whether the store may be called now. While the store is
// available every call is allowed; during an outage one call is allowed per probe
// interval, to the first goroutine that requests it.
func (h *Health) AllowCall(now time.Time) bool {
	if h == nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.isUnavailable() {
		return true
	}
	limit := maxProbeInterval
	switch {
	case h.starting:
		limit = startProbeInterval
	case h.listener:
		limit = listenerProbeInterval
	}
	pause := min(minProbeInterval<<max(h.failures-1, 0), limit)
	if now.Sub(h.lastFailure) < pause || !h.lastProbe.IsZero() && now.Sub(h.lastProbe) < pause {
		return false
	}
	h.lastProbe = now
	return true
}

// SetStarting sets whether this instance has not joined the fleet yet.
func (h *Health) SetStarting(starting bool) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.starting = starting
}

// SetListener sets whether other instances read the store on behalf of this one;
// if so, probes back off further.
func (h *Health) SetListener(listener bool) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listener = listener
}

// ResetBackoff shortens the probe interval to its minimum. It is called when another
// instance has reached the store, which may therefore be available again.
func (h *Health) ResetBackoff() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures = 0
}

// RecordResult records the result of a call. Errors that the store itself returned,
// such as a conflict, count as success because they show that it is available.
func (h *Health) RecordResult(now time.Time, err error) {
	if err == nil || errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrNotFound) ||
		errors.Is(err, store.ErrLeaseLost) || errors.Is(err, store.ErrRewound) || store.IsConflict(err) {
		h.RecordSuccess(now)
		return
	}
	h.RecordFailure(now)
}

// RecordSuccess records that the store responded.
func (h *Health) RecordSuccess(now time.Time) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures = 0
	h.lastSuccess = now
	h.available = true
}

// RecordFailure records a call that the store did not carry out. Calls that fail at the
// same time, such as the first ones after a start, count as one failure.
func (h *Health) RecordFailure(now time.Time) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failures == 0 || now.Sub(h.lastFailure) >= minProbeInterval/2 {
		h.failures = min(h.failures+1, maxFailures)
	}
	h.lastFailure = now
	h.available = false
}

// Unavailable reports whether the last recorded call to the store failed.
func (h *Health) Unavailable() bool {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.isUnavailable()
}

// isUnavailable is Unavailable for callers that hold mu.
func (h *Health) isUnavailable() bool {
	return !h.available && !h.lastFailure.IsZero()
}

// SinceFailure returns the time since the last failed call, or the longest duration if none has
// failed. It requires a non-nil Health.
func (h *Health) SinceFailure(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.lastFailure)
}

// LastSuccess returns the time of the store's last response, or the zero time. It requires a
// non-nil Health.
func (h *Health) LastSuccess() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastSuccess
}
