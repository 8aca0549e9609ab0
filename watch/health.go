package watch

import (
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"currantstile/store"
)

const (
	// minProbeInterval is left after the first call that the store did not carry out, and
	// twice as long after each further one, up to maxProbe, or up to patientProbe
	// where others read the store for this instance: while the store is away, a
	// large fleet's calls would be many, and each of them is priced.
	minProbeInterval      = 100 * time.Millisecond
	maxProbeInterval      = 800 * time.Millisecond
	listenerProbeInterval = 2400 * time.Millisecond
	// maxFailures is how many misses in a row are told apart.
	maxFailures = 8
)

// Health is when the store was last reached and last missed, and paces the calls
// while it is away. The zero value is ready for use, and a nil Health takes no
// notes.
type Health struct {
	lastSuccess atomic.Int64
	lastFailure atomic.Int64
	// failures counts the calls missed since the last that was carried out.
	failures atomic.Int32
	// lastProbe is when the store was last asked while it was away.
	lastProbe atomic.Int64
	listener  atomic.Bool
}

// AllowCall reports whether the store may be asked now: at any time while it answers,
// and else once after each pause, whoever asks first.
func (h *Health) AllowCall(now time.Time) bool {
	if h == nil || !h.Unavailable() {
		return true
	}
	most := maxProbeInterval
	if h.listener.Load() {
		most = listenerProbeInterval
	}
	pause := min(minProbeInterval<<max(h.failures.Load()-1, 0), most)
	last := h.lastProbe.Load()
	if now.UnixNano()-max(last, h.lastFailure.Load()) < int64(pause) {
		return false
	}
	return h.lastProbe.CompareAndSwap(last, now.UnixNano())
}

// SetListener says whether other instances read the store for this one.
func (h *Health) SetListener(patient bool) {
	if h != nil {
		h.listener.Store(patient)
	}
}

// ResetBackoff notes that the store may be back: another instance has reached it.
func (h *Health) ResetBackoff() {
	if h != nil {
		h.failures.Store(0)
	}
}

// RecordResult takes in how a call ended.
func (h *Health) RecordResult(now time.Time, err error) {
	if err == nil || errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrNotFound) ||
		errors.Is(err, store.ErrLeaseLost) || store.IsConflict(err) {
		h.RecordSuccess(now)
		return
	}
	h.RecordFailure(now)
}

// RecordSuccess notes an answer of the store.
func (h *Health) RecordSuccess(now time.Time) {
	if h != nil {
		h.failures.Store(0)
		h.lastSuccess.Store(now.UnixNano())
	}
}

// RecordFailure notes a call that the store did not carry out.
func (h *Health) RecordFailure(now time.Time) {
	if h != nil {
		h.failures.Store(min(h.failures.Load()+1, maxFailures))
		h.lastFailure.Store(now.UnixNano())
	}
}

// Unavailable reports whether the store was last missed and not reached since.
func (h *Health) Unavailable() bool {
	return h != nil && h.lastFailure.Load() > h.lastSuccess.Load()
}

// SinceFailure is how long ago the store was last missed.
func (h *Health) SinceFailure(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - h.lastFailure.Load())
}

// LastSuccess is when the store last answered.
func (h *Health) LastSuccess() time.Time {
	return time.Unix(0, h.lastSuccess.Load())
}
