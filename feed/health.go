package feed

import (
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"currantstile/store"
)

// Health is when the store was last reached and last missed. The zero value is
// ready for use, and a nil Health takes no notes.
type Health struct {
	reached atomic.Int64
	missed  atomic.Int64
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
		h.reached.Store(now.UnixNano())
	}
}

// Missed notes a call that the store did not carry out.
func (h *Health) Missed(now time.Time) {
	if h != nil {
		h.missed.Store(now.UnixNano())
	}
}

// Away reports whether the store was last missed and not reached since.
func (h *Health) Away() bool {
	return h.missed.Load() > h.reached.Load()
}

// SinceMissed is how long ago the store was last missed.
func (h *Health) SinceMissed(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - h.missed.Load())
}

// LastReached is when the store last answered.
func (h *Health) LastReached() time.Time {
	return time.Unix(0, h.reached.Load())
}
