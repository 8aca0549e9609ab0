package duty

import (
	"context"
	"time"
)

// Holds reports whether this process holds a subject and may make calls on it.
func (h *Holder) Holds(now time.Time, s Subject) bool {
	_, _, ok := h.permit(now, s)
	return ok
}

// permit returns the fencing token for a call that is made now, and until when the lease allows it.
func (h *Holder) permit(now time.Time, s Subject) (uint64, time.Time, bool) {
	lease, until, ok := h.Session.ValidLease(now)
	until = until.Add(-h.ThawSlack)
	if !ok || !now.Before(until) {
		return 0, time.Time{}, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdings[s]
	if held == nil || held.lease != lease || now.Before(held.from) {
		return 0, time.Time{}, false
	}
	return held.token, until, true
}

// callInterval returns the least time between two calls on a subject, by which all holders together keep
// CallsPerSecond.
func (h *Holder) callInterval() time.Duration {
	if h.CallsPerSecond <= 0 {
		return minCallInterval
	}
	share := float64(len(h.Subjects())) / h.CallsPerSecond
	return max(minCallInterval, time.Duration(share*float64(time.Second)))
}

// beginCall reports whether a call on a held subject may be made now, and records it.
func (h *Holder) beginCall(now time.Time, s Subject, token uint64) bool {
	interval := h.callInterval()
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdings[s]
	if held == nil || held.token != token || now.Before(held.retryAt) || now.Sub(held.calledAt) < interval {
		return false
	}
	held.calledAt = now
	return true
}

// Call makes one call on a subject if this process holds it. Calls on one subject must not overlap. The lease is
// checked right before send is called, and ends its context.
func (h *Holder) Call(ctx context.Context, s Subject, send func(ctx context.Context, c Credentials) Result) Result {
	token, _, ok := h.permit(time.Now(), s)
	if !ok || !h.beginCall(time.Now(), s, token) {
		return NotHeld{}
	}
	// The process may have been frozen since.
	now := time.Now()
	again, until, ok := h.permit(now, s)
	if !ok || again != token {
		return NotHeld{}
	}
	if limit := now.Add(callTimeout); limit.Before(until) {
		until = limit
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	result := send(ctx, Credentials{
		Holder: h.Self,
		Token:  token,
	})
	h.record(time.Now(), s, token, result)
	if h.Observe != nil {
		h.Observe(s, result)
	}
	return result
}

// record applies the result of a call.
func (h *Holder) record(now time.Time, s Subject, token uint64, result Result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdings[s]
	if held == nil || held.token != token {
		return
	}
	if lost, ok := result.(Lost); !ok {
		delete(h.failingSince, s)
	} else if h.failingSince[s].IsZero() {
		h.failingSince[s] = now
		h.Log.Warn().Err(lost.Err).Str("subject", s.String()).Bool("sent", lost.MaybeSent).Msg("duty: no response from the platform; trying again")
	}
	switch r := result.(type) {
	case Accepted:
	case Fenced:
		h.Log.Warn().Str("subject", s.String()).Uint64("fence", token).Msg("duty: fencing token refused; no further calls with it")
		delete(h.holdings, s)
		h.fenced[s] = true
	case RateLimited:
		wait := r.RetryAfter
		if wait <= 0 {
			wait = defaultRetryAfter
		}
		held.retryAt = now.Add(wait)
	case Rejected:
		h.Log.Warn().Str("subject", s.String()).Int("status", r.Status).Msg("duty: call rejected")
		held.retryAt = now.Add(defaultRetryAfter)
	}
}
