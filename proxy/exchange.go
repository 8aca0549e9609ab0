package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"currantstile/call"
	"currantstile/config"
	"currantstile/origin"
	"currantstile/sched"
)

// Exchange is one request on its way through the gate.
type Exchange struct {
	Request *call.Request
	Route   *config.Route
	Org     *config.Organisation
	// Deadline is when the request has to be answered at the latest.
	Deadline time.Time
	// Status is what the caller got; 0 is a connection that was broken off.
	Status int
	Reason string
	// Target is where the request was sent last, and Sent how often it was.
	Target   string
	Attempts int
	// Waited is how long the request waited here before it was sent last, First the
	// time from there to the first byte of the answer, and Pause the longest
	// time between two reads of a stream.
	Waited    time.Duration
	FirstByte time.Duration
	MaxPause  time.Duration

	gate  *Gate
	cfg   *config.Config
	w     http.ResponseWriter
	start time.Time
	// budgetCounted is set once the request has been counted as one for its service.
	budgetCounted bool
	// maybeExecuted is set once a target may have run the request.
	maybeExecuted bool
	// headSent is set once the caller has got the head of the answer.
	headSent bool
	// events is what of a stream has reached the caller.
	events eventSplitter
}

// sendResult says how one sending ended.
type sendResult int

const (
	// resultDone means that the caller has its answer, or is gone.
	resultDone sendResult = iota
	// resultNotExecuted means that the target ran nothing.
	resultNotExecuted
	// resultAdapterLoading means that the target ran nothing because the adapter that it
	// was ordered to load is not there yet.
	resultAdapterLoading
	// resultUnknown means that the target may have run the request.
	resultUnknown
	// resultFailed means that the target ran the request and says that it failed.
	resultFailed
	// resultStreamBroken means that a stream broke off after its head was passed on.
	resultStreamBroken
)

// bufferedResponse is an answer that was read whole and not passed on yet.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// callerDeadline is when the caller leaves if it has no answer, or no event of a stream.
func (x *Exchange) callerDeadline() time.Time {
	if x.Route.Kind != config.KindStream {
		return x.Deadline
	}
	return sched.DisconnectTime(x.start, x.Deadline, x.Route.Objective, x.Route.MaxGap)
}

// maxLoadRetries is how often a request goes back to a target whose adapter is late.
const maxLoadRetries = 4

// unsentRetryAfter is when a caller may come back whose request no target took.
const unsentRetryAfter = 300 * time.Millisecond

// serve sends the request until it has an answer or may not be sent again.
func (x *Exchange) serve(ctx context.Context) {
	var last *bufferedResponse
	tried := make(map[string]bool)
	targets, loading := 0, 0
	for {
		place, reason := x.gate.Router.Place(ctx, x, tried)
		if place == nil {
			x.fail(ctx, reason, last)
			return
		}
		end, answer := x.send(ctx, place)
		if end == resultAdapterLoading && loading < maxLoadRetries {
			// The adapter is late; the target is asked again when it should be
			// there.
			loading++
			end = resultNotExecuted
		} else {
			tried[place.Target.ID] = true
		}
		if answer != nil {
			last = answer
		}
		if end == resultDone {
			return
		}
		if end != resultNotExecuted && end != resultAdapterLoading {
			x.maybeExecuted = true
			targets++
		}
		if !x.mayRetry(ctx, end, targets) {
			x.fail(ctx, "target-failed", last)
			return
		}
	}
}

// mayRetry reports whether the request may be sent once more.
func (x *Exchange) mayRetry(ctx context.Context, end sendResult, targets int) bool {
	if ctx.Err() != nil || targets >= max(x.Route.MaxTargets, 1) {
		return false
	}
	switch end {
	case resultNotExecuted, resultAdapterLoading:
	case resultStreamBroken:
		if !x.Route.Resumable {
			return false
		}
	default:
		if !x.Route.Repeatable() && !(x.Route.Resumable && x.Route.Kind == config.KindStream) {
			return false
		}
	}
	return x.gate.Router.AllowRetry(time.Now(), x)
}

// fail answers a request that will not be sent any more.
func (x *Exchange) fail(ctx context.Context, reason string, last *bufferedResponse) {
	switch {
	case x.headSent:
		x.Reason = "broken-off"
		x.abort()
	case last != nil:
		x.Reason = "target-error"
		x.writeBuffered(last)
	case x.maybeExecuted && ctx.Err() != nil:
		x.refuse(Refusal{
			Status: http.StatusGatewayTimeout,
			Reason: "timeout",
		})
	case x.maybeExecuted:
		x.refuse(Refusal{
			Status: http.StatusBadGateway,
			Reason: reason,
		})
	default:
		x.refuse(Refusal{
			Status:     http.StatusServiceUnavailable,
			Reason:     reason,
			RetryAfter: unsentRetryAfter,
		})
	}
}

// refuse answers with a status of the gate's own.
func (x *Exchange) refuse(r Refusal) {
	x.Status, x.Reason = r.Status, r.Reason
	h := x.w.Header()
	x.gate.Codec.SetRefusalHeader(h, x.Request, r.RetryAfter)
	h.Set("Content-Length", "0")
	x.w.WriteHeader(r.Status)
}

// writeBuffered hands an answer on that was read whole.
func (x *Exchange) writeBuffered(a *bufferedResponse) {
	x.Status = a.status
	h := x.w.Header()
	copyHeader(h, a.header)
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	x.w.WriteHeader(a.status)
	// A caller that is gone gets nothing; there is nobody to tell.
	_, _ = x.w.Write(a.body)
}

// abort closes the caller's connection in the middle of an answer, so that it
// cannot pass for a whole one.
func (x *Exchange) abort() {
	x.Status = 0
	panic(http.ErrAbortHandler)
}

// finish logs and counts the request.
func (x *Exchange) finish() {
	took := time.Since(x.start)
	line := x.gate.Log.Info()
	if x.Request != nil {
		line.Str("request", x.Request.ID).Int64("tokens", x.Request.TotalTokens())
	}
	if x.Route != nil {
		line.Str("route", x.Route.Name)
	}
	if x.Org != nil {
		line.Str("organisation", x.Org.Name).Int64("rate", x.Org.Rate)
	}
	if x.cfg != nil {
		line.Uint64("configuration", x.cfg.Version)
	}
	line.Str("target", x.Target).Int("sent", x.Attempts).Int("status", x.Status).Str("reason", x.Reason).
		Dur("waited", x.Waited).Dur("first", x.FirstByte).Dur("pause", x.MaxPause).Dur("took", took).Msg("gate: request")
	if x.gate.ObserveRequest != nil {
		route, org := "", ""
		if x.Route != nil {
			route = x.Route.Name
		}
		if x.Org != nil {
			org = x.Org.Name
		}
		x.gate.ObserveRequest(route, org, x)
	}
}

// send sends the request to one target and passes its answer on.
func (x *Exchange) send(ctx context.Context, p *Placement) (sendResult, *bufferedResponse) {
	x.Target = p.Target.ID
	x.Attempts++
	sent := time.Now()
	x.Waited = sent.Sub(x.start)
	resp, err := x.gate.Conns.Send(ctx, origin.Request{
		Addr:    p.Target.Addr,
		Method:  x.Request.Method,
		URI:     x.Request.URI,
		Host:    x.Request.Host,
		Body:    x.Request.Body,
		MaxIdle: x.maxIdle(),
		Header: x.gate.Codec.ForwardHeader(x.Request, call.ForwardOptions{
			Target:       p.Target.ID,
			Organisation: x.orgName(),
			Timeout:      x.Deadline.Sub(sent),
			Priority:     x.priority(),
			HasPriority:  x.Request.Model != "",
			Version:      p.Version,
			LastEventID:  x.resumeEventID(),
		}),
	})
	if err != nil {
		return x.handleSendError(ctx, p, sent, err), nil
	}
	defer resp.Close()
	a := x.gate.Codec.ParseResponse(resp.Header)
	if a.HasLoad {
		p.reportLoad(a)
	}
	switch {
	case a.RequestID != "" && a.RequestID != x.Request.ID:
		// An answer to another request: this one may have run.
		x.gate.Log.Warn().Str("request", x.Request.ID).Str("got", a.RequestID).Str("target", x.Target).Msg("gate: answer belongs to another request")
		resp.Response.Close = true
		p.release(sent, endFailed)
		return resultUnknown, nil
	case a.WrongTarget || resp.StatusCode == http.StatusMisdirectedRequest:
		x.logNotExecuted(p, resp.StatusCode)
		x.drain(resp)
		p.release(sent, endWrongTarget)
		if p.heldFor > 0 {
			return resultAdapterLoading, nil
		}
		return resultNotExecuted, nil
	case a.NotExecuted:
		x.logNotExecuted(p, resp.StatusCode)
		x.drain(resp)
		p.release(sent, endNotExecuted)
		return resultNotExecuted, nil
	case resp.StatusCode >= 200 && resp.StatusCode < 300 && x.Route.Kind == config.KindStream && a.Signed:
		return x.relayStream(ctx, p, sent, resp), nil
	default:
		return x.relayBuffered(ctx, p, sent, resp, a)
	}
}

// logNotExecuted logs a refusal by the target.
func (x *Exchange) logNotExecuted(p *Placement, status int) {
	x.gate.Log.Info().Str("request", x.Request.ID).Str("target", x.Target).Str("adapter", x.Request.AdapterName()).
		Int("status", status).Dur("held", p.heldFor).Msg("gate: target ran nothing")
}

// handleSendError sorts a request that brought no answer.
func (x *Exchange) handleSendError(ctx context.Context, p *Placement, sent time.Time, err error) sendResult {
	var e *origin.SendError
	wasSent := !errors.As(err, &e) || e.MaybeSent
	x.gate.Log.Info().Str("request", x.Request.ID).Str("target", x.Target).Bool("sent", wasSent).Err(err).Msg("gate: no answer")
	if ctx.Err() != nil {
		p.release(sent, endCancelled)
	} else {
		p.release(sent, endUnreachable)
	}
	if wasSent {
		return resultUnknown
	}
	return resultNotExecuted
}

// nonRepeatableMaxIdle is the longest time for which a connection may have been idle that
// carries a request which may not be sent twice: a target may close an older one
// at any moment.
const nonRepeatableMaxIdle = time.Second

func (x *Exchange) maxIdle() time.Duration {
	if x.Route.Repeatable() {
		return 0
	}
	return nonRepeatableMaxIdle
}

func (x *Exchange) orgName() string {
	if x.Org == nil {
		return ""
	}
	return x.Org.Name
}

// priority is the request's rank at a target.
func (x *Exchange) priority() int {
	return x.cfg.Rank(x.Route, x.Org)
}

// resumeEventID is the event after which the stream goes on.
func (x *Exchange) resumeEventID() string {
	if x.events.lastID != "" {
		return x.events.lastID
	}
	return x.Request.LastEventID
}
