package watch

import (
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"currantstile/store"
)

const (
	// minProbe is left after the first call that the store did not carry out, and
	// twice as long after each further one, up to maxProbe, or up to patientProbe
	// where others read the store for this instance: while the store is away, a
	// large fleet's calls would be many, and each of them is priced.
	minProbe     = 100 * time.Millisecond
	maxProbe     = 800 * time.Millisecond
	patientProbe = 2400 * time.Millisecond
	// maxMisses is how many misses in a row are told apart.
	maxMisses = 8
)

// Health is when the store was last reached and last missed, and paces the calls
// while it is away. The zero value is ready for use, and a nil Health takes no
// notes.
type Health struct {
	reached atomic.Int64
	missed  atomic.Int64
	// misses counts the calls missed since the last that was carried out.
	misses atomic.Int32
	// probed is when the store was last asked while it was away.
	probed  atomic.Int64
	patient atomic.Bool
}

// MayAsk reports whether the store may be asked now: at any time while it answers,
// and else once after each pause, whoever asks first.
func (h *Health) MayAsk(now time.Time) bool {
	if h == nil || !h.Away() {
		return true
	}
	most := maxProbe
	if h.patient.Load() {
		most = patientProbe
	}
	pause := min(minProbe<<max(h.misses.Load()-1, 0), most)
	last := h.probed.Load()
	if now.UnixNano()-max(last, h.missed.Load()) < int64(pause) {
		return false
	}
	return h.probed.CompareAndSwap(last, now.UnixNano())
}

// SetPatient says whether other instances read the store for this one.
func (h *Health) SetPatient(patient bool) {
	if h != nil {
		h.patient.Store(patient)
	}
}

// Returned notes that the store may be back: another instance has reached it.
func (h *Health) Returned() {
	if h != nil {
		h.misses.Store(0)
	}
}

// Note takes in how a call ended.
func (h *Health) Note(now time.Time, err error) {
	if err == nil || errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrNotFound) ||
		errors.Is(err, store.ErrLeaseLost) || store.IsConflict(err) {
		h.Reached(now)
		return
	}
	h.Missed(now)
}

// Reached notes an answer of the store.
func (h *Health) Reached(now time.Time) {
	if h != nil {
		h.misses.Store(0)
		h.reached.Store(now.UnixNano())
	}
}

// Missed notes a call that the store did not carry out.
func (h *Health) Missed(now time.Time) {
	if h != nil {
		h.misses.Store(min(h.misses.Load()+1, maxMisses))
		h.missed.Store(now.UnixNano())
	}
}

// Away reports whether the store was last missed and not reached since.
func (h *Health) Away() bool {
	return h != nil && h.missed.Load() > h.reached.Load()
}

// SinceMissed is how long ago the store was last missed.
func (h *Health) SinceMissed(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - h.missed.Load())
}

// LastReached is when the store last answered.
func (h *Health) LastReached() time.Time {
	return time.Unix(0, h.reached.Load())
}
