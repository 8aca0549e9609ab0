package public

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"currantstile/dedup"
	"currantstile/metric"
	"currantstile/model"
	"currantstile/rest"
	"currantstile/send"
)

// recordTimeout bounds the write of an outcome to the store.
const recordTimeout = 5 * time.Second

var (
	errIdempotencyKeyTooLong = newNotRunError(http.StatusBadRequest, errorTypeInvalidRequest, "bad-idempotency-key", "the Idempotency-Key is longer than 255 bytes")
	errIdempotencyKeyReused  = newNotRunError(http.StatusUnprocessableEntity, errorTypeInvalidRequest, "idempotency-key-used", "another request was sent with this Idempotency-Key")
	errClaimFailed           = newNotRunError(http.StatusServiceUnavailable, errorTypeServer, "no-claim", "the request could not be claimed; send it again with the same Idempotency-Key")
	errInProgress            = errorResponse{
		status:    http.StatusConflict,
		errorType: errorTypeInvalidRequest,
		code:      "running",
		message:   "the request with this Idempotency-Key is running; send it again to learn its outcome",
		outcome:   model.Unknown{},
	}
	errOutcomeUnknown = errorResponse{
		status:    http.StatusConflict,
		errorType: errorTypeServer,
		code:      "outcome-unknown",
		message:   "the request with this Idempotency-Key may have run; it will not be run again",
		outcome:   model.Unknown{},
	}
)

// serveIdempotent runs a non-repeatable request at most once per idempotency key and
// returns the number of tokens to charge. A later request with the
// same key gets the recorded response, or an error response that says what is known of
// the outcome.
func (s *Server) serveIdempotent(ctx context.Context, c *app.RequestContext, x *exchange, contract *model.ContractIndex, r send.ServiceRequest, key string, cost int64) int64 {
	if len(key) > dedup.MaxKeyBytes {
		s.reject(c, x, errIdempotencyKeyTooLong)
		return 0
	}
	now := time.Now()
	deadline := now.Add(time.Duration(contract.Contract.Deadline))
	// The outcome is recorded for later requests with the same key even if this caller
	// disconnects.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	d, err := s.Claims.Begin(ctx, now, dedup.Request{
		Organisation: x.org,
		Key:          key,
		Content:      []byte(r.Call.Method + " " + r.Service + r.Call.Path + "\n" + string(r.Call.Body)),
		Deadline:     deadline,
	})
	if err != nil {
		s.Log.Warn().Err(err).Msgf("caller: cannot claim idempotency key of request %s; rejecting it as not run", x.id)
		s.reject(c, x, errClaimFailed)
		return 0
	}
	switch d := d.(type) {
	case dedup.Claimed:
		return s.runClaimed(ctx, c, x, r, d.Ticket, cost)
	case dedup.Recorded:
		c.Response.Header.Set("Idempotency-Replayed", "true")
		s.Stats.Count(string(x.org), metric.CountComplete)
		writeResponse(c, rest.Response{
			Status: d.Response.Status,
			Header: http.Header{"Content-Type": {d.Response.ContentType}},
			Body:   d.Response.Body,
		})
	case dedup.InProgress:
		r := errInProgress
		r.retryAfter = max(d.Until.Sub(now), time.Second)
		s.reject(c, x, r)
	case dedup.KeyReused:
		s.reject(c, x, errIdempotencyKeyReused)
	default:
		s.reject(c, x, errOutcomeUnknown)
	}
	return 0
}

// runClaimed sends a claimed request once, records its outcome, and returns the number
// of tokens to charge.
func (s *Server) runClaimed(ctx context.Context, c *app.RequestContext, x *exchange, r send.ServiceRequest, t dedup.Ticket, cost int64) int64 {
	if !t.MayRun(time.Now()) {
		s.recordOutcome(x, func(ctx context.Context) error {
			return s.Claims.Release(ctx, t)
		})
		s.reject(c, x, errDeadline)
		return 0
	}
	resp, err := s.Sender.Serve(ctx, r)
	s.recordOutcome(x, func(ctx context.Context) error {
		if err == nil {
			return s.Claims.Record(ctx, t, dedup.Response{
				Status:      resp.Status,
				ContentType: resp.Header.Get("Content-Type"),
				Body:        resp.Body,
			})
		}
		if _, ok := errorResponseFor(err).outcome.(model.NotRun); ok {
			return s.Claims.Release(ctx, t)
		}
		return s.Claims.RecordUnknown(ctx, t)
	})
	return s.finishService(c, x, resp, err, cost)
}

// recordOutcome calls write to store an outcome, independently of the caller's context.
// If that fails, later requests with the same key get an unknown outcome.
func (s *Server) recordOutcome(x *exchange, write func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if err := write(ctx); err != nil {
		s.Log.Warn().Err(err).Msgf("caller: cannot record outcome of request %s; it is unknown to repeated requests", x.id)
	}
}
