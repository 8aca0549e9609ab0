package watch

import (
	"sync/atomic"
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
	lastSuccess atomic.Int64
	lastFailure atomic.Int64
	// failures counts the failed calls since the last success, up to maxFailures.
	failures atomic.Int32
	// lastProbe is the time of the last call allowed while the store was unavailable.
	lastProbe atomic.Int64
	listener  atomic.Bool
	starting  atomic.Bool
}

// AllowCall reports whether the store may be called now. While the store is
// available every call is allowed; during an outage one call is allowed per probe
// interval, to the first goroutine that requests it.
func (h *Health) AllowCall(now time.Time) bool {
	if h == nil || !h.Unavailable() {
		return true
	}
	limit := maxProbeInterval
	switch {
	case h.starting.Load():
		limit = startProbeInterval
	case h.listener.Load():
		limit = listenerProbeInterval
	}
	pause := min(minProbeInterval<<max(h.failures.Load()-1, 0), limit)
	last := h.lastProbe.Load()
	if now.UnixNano()-max(last, h.lastFailure.Load()) < int64(pause) {
		return false
	}
	return h.lastProbe.CompareAndSwap(last, now.UnixNano())
}

// SetStarting sets whether this instance has not joined the fleet yet.
func (h *Health) SetStarting(starting bool) {
	if h != nil {
		h.starting.Store(starting)
	}
}

// SetListener sets whether other instances read the store on behalf of this one;
// if so, probes back off further.
func (h *Health) SetListener(listener bool) {
	if h != nil {
		h.listener.Store(listener)
	}
}

// ResetBackoff shortens the probe interval to its minimum. It is called when another
// instance has reached the store, which may therefore be available again.
func (h *Health) ResetBackoff() {
	if h != nil {
		h.failures.Store(0)
	}
}

// RecordResult records the result of a call. Errors that the store itself returned,
// such as a conflict, count as success because they show that it is available.
func (h *Health) RecordResult(now time.Time, err error) {
	if err == nil || errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrNotFound) ||
		errors.Is(err, store.ErrLeaseLost) || store.IsConflict(err) {
		h.RecordSuccess(now)
		return
	}
	h.RecordFailure(now)
}

// RecordSuccess records that the store responded.
func (h *Health) RecordSuccess(now time.Time) {
	if h != nil {
		h.failures.Store(0)
		h.lastSuccess.Store(now.UnixNano())
	}
}

// RecordFailure records a call that the store did not carry out. Calls that fail at the
// same time, such as the first ones after a start, count as one failure.
func (h *Health) RecordFailure(now time.Time) {
	if h == nil {
		return
	}
	if h.failures.Load() == 0 || now.UnixNano()-h.lastFailure.Load() >= int64(minProbeInterval)/2 {
		h.failures.Store(min(h.failures.Load()+1, maxFailures))
	}
	h.lastFailure.Store(now.UnixNano())
}

// Unavailable reports whether the last recorded call to the store failed.
func (h *Health) Unavailable() bool {
	return h != nil && h.lastFailure.Load() > h.lastSuccess.Load()
}

// SinceFailure returns the time since the last failed call. It requires a non-nil Health.
func (h *Health) SinceFailure(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - h.lastFailure.Load())
}

// LastSuccess returns the time of the store's last response. It requires a non-nil Health.
func (h *Health) LastSuccess() time.Time {
	return time.Unix(0, h.lastSuccess.Load())
}
