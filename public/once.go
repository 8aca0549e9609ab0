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

// recordTimeout bounds the writing of an outcome.
const recordTimeout = 5 * time.Second

var (
	errKeyTooLong = notRun(http.StatusBadRequest, kindInvalid, "bad-idempotency-key", "the Idempotency-Key is longer than 255 bytes")
	errDifferent  = notRun(http.StatusUnprocessableEntity, kindInvalid, "idempotency-key-used", "another request was sent with this Idempotency-Key")
	errNoClaim    = notRun(http.StatusServiceUnavailable, kindServer, "no-claim", "the request could not be claimed; send it again with the same Idempotency-Key")
	errRunning    = refusal{
		status:  http.StatusConflict,
		kind:    kindInvalid,
		code:    "running",
		message: "the request with this Idempotency-Key is running; send it again to learn its outcome",
		outcome: model.Unknown{},
	}
	errUnknown = refusal{
		status:  http.StatusConflict,
		kind:    kindServer,
		code:    "outcome-unknown",
		message: "the request with this Idempotency-Key may have run; it will not be run again",
		outcome: model.Unknown{},
	}
)

// serveOnce runs a request that may not be repeated under its caller's
// idempotency key, and returns how many tokens it used.
func (s *Server) serveOnce(ctx context.Context, c *app.RequestContext, x *exchange, contract *model.ContractIndex, r send.ServiceRequest, key string, cost int64) int64 {
	if len(key) > dedup.MaxKeyBytes {
		s.refused(c, x, errKeyTooLong)
		return 0
	}
	now := time.Now()
	deadline := now.Add(time.Duration(contract.Contract.Deadline))
	// The outcome is recorded for whoever asks again, also when this caller
	// leaves.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	d, err := s.Claims.Begin(ctx, now, dedup.Request{
		Organisation: x.org,
		Key:          key,
		Content:      []byte(r.Call.Method + " " + r.Service + r.Call.Path + "\n" + string(r.Call.Body)),
		Deadline:     deadline,
	})
	if err != nil {
		s.Log.Warn().Err(err).Msgf("caller: request %s could not be claimed", x.id)
		s.refused(c, x, errNoClaim)
		return 0
	}
	switch d := d.(type) {
	case dedup.Claimed:
		return s.runClaimed(ctx, c, x, r, d.Ticket, cost)
	case dedup.Recorded:
		c.Response.Header.Set("Idempotency-Replayed", "true")
		s.Stats.Count(string(x.org), metric.CountComplete)
		writeAnswer(c, rest.Answer{
			Status: d.Response.Status,
			Header: http.Header{"Content-Type": {d.Response.ContentType}},
			Body:   d.Response.Body,
		})
	case dedup.InProgress:
		r := errRunning
		r.retryAfter = max(d.Until.Sub(now), time.Second)
		s.refused(c, x, r)
	case dedup.KeyReused:
		s.refused(c, x, errDifferent)
	default:
		s.refused(c, x, errUnknown)
	}
	return 0
}

// runClaimed sends a claimed request once and records its outcome.
func (s *Server) runClaimed(ctx context.Context, c *app.RequestContext, x *exchange, r send.ServiceRequest, t dedup.Ticket, cost int64) int64 {
	if !t.MayRun(time.Now()) {
		s.record(x, func(ctx context.Context) error {
			return s.Claims.Release(ctx, t)
		})
		s.refused(c, x, errDeadline)
		return 0
	}
	answer, err := s.Sender.Serve(ctx, r)
	s.record(x, func(ctx context.Context) error {
		if err == nil {
			return s.Claims.Record(ctx, t, dedup.Response{
				Status:      answer.Status,
				ContentType: answer.Header.Get("Content-Type"),
				Body:        answer.Body,
			})
		}
		if _, ok := refusalOf(err).outcome.(model.NotRun); ok {
			return s.Claims.Release(ctx, t)
		}
		return s.Claims.RecordUnknown(ctx, t)
	})
	return s.finish(c, x, answer, err, cost)
}

// record writes an outcome. One that cannot be written is unknown to whoever
// asks again.
func (s *Server) record(x *exchange, write func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if err := write(ctx); err != nil {
		s.Log.Warn().Err(err).Msgf("caller: outcome of %s was not recorded", x.id)
	}
}
