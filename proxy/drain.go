package proxy

import (
	"context"
	"net/http"
	"time"

	"currantstile/config"
)

const (
	// drainObjectiveShare is the share of its route's objective that a request is expected to
	// take, at the end of an instance's life, until its answer or the first event of a stream.
	drainObjectiveShare = 0.5
	// drainTokenTime is how long one further token of a stream is expected to take.
	drainTokenTime = 20 * time.Millisecond
	// maxDrainTokens bounds the tokens that are counted.
	maxDrainTokens = 1 << 20
	// drainRetryAfter is the retry delay for a request that cannot be answered before the
	// instance ends; the retry goes to another instance.
	drainRetryAfter = 100 * time.Millisecond
	// lastAnswerTime is how long the requests that are ended with the instance may take to be
	// answered.
	lastAnswerTime = 200 * time.Millisecond
)

// expectedTime returns how long an attempt of a request is expected to take.
func expectedTime(route *config.Route, outputTokens int64) time.Duration {
	first := time.Duration(drainObjectiveShare * float64(route.Objective))
	if route.Kind != config.KindStream {
		return first
	}
	return first + time.Duration(min(max(outputTokens, 0), maxDrainTokens))*drainTokenTime
}

// endsInTime reports whether a request that is sent now is expected to be answered until the
// instance ends. A zero time means that it does not end.
func endsInTime(now, until time.Time, route *config.Route, outputTokens int64) bool {
	return until.IsZero() || !now.Add(expectedTime(route, outputTokens)).After(until)
}

// Drain makes every following response close its connection, so that callers move to other
// instances, and refuses requests that are not expected to be answered until the given time.
func (g *Gate) Drain(until time.Time) {
	g.drainUntil.Store(&until)
	g.draining.Store(true)
}

// endsAt returns until when requests are answered; the zero time means that there is no end.
func (g *Gate) endsAt() time.Time {
	if until := g.drainUntil.Load(); until != nil {
		return *until
	}
	return time.Time{}
}

// checkDrain refuses a request that has not been sent if the instance ends before its answer is
// expected. Whether that is so is decided again before each attempt, since requests wait.
func (x *Exchange) checkDrain(now time.Time) *Refusal {
	if x.maybeExecuted || x.headSent || endsInTime(now, x.gate.endsAt(), x.Route, x.Request.OutputTokens) {
		return nil
	}
	return &Refusal{
		Status:     http.StatusServiceUnavailable,
		Reason:     "instance-ends",
		RetryAfter: drainRetryAfter,
	}
}

// endWith cancels a request when the instance ends, in time for an answer. The returned function
// ends that.
func (g *Gate) endWith(cancel context.CancelFunc) func() bool {
	if g.ending == nil {
		// The gate was not started.
		return func() bool { return false }
	}
	return context.AfterFunc(g.ending, cancel)
}
