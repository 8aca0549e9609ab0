package proxy

import (
	"context"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"currantstile/accept"
	"currantstile/call"
	"currantstile/config"
	"currantstile/memory"
	"currantstile/origin"
	"currantstile/poison"
	"currantstile/sched"
	"currantstile/stream"
)

// Exchange is the state of a request that the gate is processing.
type Exchange struct {
	Request *call.Request
	Route   *config.Route
	Org     *config.Organisation
	// Deadline is the latest time for the end of the response.
	Deadline time.Time
	// Status is the HTTP status sent to the caller; 0 if the connection was aborted.
	// Reason is how the request ended, for the log and the metrics.
	Status int
	Reason string
	// Target is the ID of the last target tried; Attempts is the number of attempts
	// to send the request.
	Target   string
	Attempts int
	// Waited is the time from the arrival of the request to the last attempt,
	// FirstByte the time from that attempt to the first byte of the response, and
	// MaxPause the longest time between two reads of a stream.
	Waited    time.Duration
	FirstByte time.Duration
	MaxPause  time.Duration
	// Framing is the framing of the last target's response; zero if there was none.
	Framing stream.Framing

	// held is what the exchange holds of the memory of the instance.
	held        heldBytes
	competition competition
	// waits is how the time until the last attempt was spent.
	waits waits
	gate  *Gate
	cfg   *config.Config
	w     http.ResponseWriter
	// conn is the caller's connection if the listener bounds it, else nil.
	conn *accept.Conn
	// cost is what the request was charged to its organisation.
	cost int64
	// protocol is the caller's version of HTTP.
	protocol string
	// caller is the address of the caller's end of the connection.
	caller string
	start  time.Time
	// answered is set once the answer was written to its end; net/http has yet to send the rest of it.
	answered bool
	// bodyUnread is set until the body of the request was read to its end.
	bodyUnread bool
	// statusWritten is set once the head of the answer was written.
	statusWritten bool
	// endedBy is what ended the context of the request before its answer; empty if nothing did.
	endedBy string
	// budgetCounted is set once the request has been counted in the retry budget of
	// its service.
	budgetCounted bool
	// maybeExecuted is set once a target may have executed the request.
	maybeExecuted bool
	// headSent is set once the head of a stream, streamHead, has been written to the caller.
	headSent   bool
	streamHead stream.Head
	// events splits the stream into events and records the last ID for resuming.
	events stream.Splitter
	// executions is the number of targets that may have executed the request. moving is set while a stream goes on
	// at another target, for which a retry was taken.
	executions int
	moving     bool
	// runCounted is set once the current run of a stream has been counted.
	runCounted bool
	// features are what the request has in common with others that may crash targets, and
	// trial is set if the request tries a blocked feature. suspected is set if targets have ended
	// under equal requests: it is not repeated if another one may have.
	features  []poison.Feature
	trial     bool
	suspected bool
	// blockedBy is the feature for which the request was refused.
	blockedBy poison.Feature
	// interrupted is set if the connection of the last attempt broke at the start of the
	// answer. endedTargets counts the targets that ended then.
	interrupted  bool
	endedTargets int
}

// sendResult is the result of one attempt to send a request.
type sendResult int

const (
	// resultDone means that the response was written, or that the caller has
	// disconnected.
	resultDone sendResult = iota
	// resultNotExecuted means that the target did not execute the request.
	resultNotExecuted
	// resultAdapterLoading means that the target did not execute the request
	// because the adapter that it was ordered to load is not loaded yet.
	resultAdapterLoading
	// resultUnknown means that the target may have executed the request.
	resultUnknown
	// resultFailed means that the target executed the request and reported a
	// failure.
	resultFailed
	// resultStreamBroken means that a stream ended early after its head was
	// written to the caller.
	resultStreamBroken
)

// bufferedResponse is a completely read response.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// callerDeadline returns when the caller disconnects if it has received no
// response, or no event of a stream.
func (x *Exchange) callerDeadline() time.Time {
	if x.Route.Kind != config.KindStream {
		return x.Deadline
	}
	return sched.DisconnectTime(x.start, x.Deadline, x.Route.Objective, x.Route.MaxGap)
}

// maxEndedTargets is the number of targets that may end at the start of their answer to one
// request before it is not sent again.
const maxEndedTargets = 2

// maxLoadRetries is how many times a request is sent again to a target that is
// still loading its adapter.
const maxLoadRetries = 4

// unreadBodyTimeout is how long a refusal waits for the rest of a body that is not needed; if it comes in
// time, the connection can be kept.
const unreadBodyTimeout = 200 * time.Millisecond

// unsentRetryAfter is the retry delay for a request that no target has executed.
const unsentRetryAfter = 300 * time.Millisecond

// serve sends the request until there is a response or no retry is allowed.
func (x *Exchange) serve(ctx context.Context) {
	var last *bufferedResponse
	tried := make(map[string]bool)
	executions, loadRetries := 0, 0
	for {
		place, refusal := x.gate.Router.Place(ctx, x, tried)
		if place == nil {
			x.fail(ctx, refusal, last)
			return
		}
		refusal = x.checkDrain(time.Now())
		if refusal == nil {
			refusal = x.checkAgain(ctx)
		}
		if refusal != nil {
			place.release(time.Now(), endNotExecuted)
			x.fail(ctx, refusal, last)
			return
		}
		if !x.gate.Router.isStillValid(place, x.Request.AdapterName()) {
			place.release(time.Now(), endNotExecuted)
			continue
		}
		result, resp := x.send(ctx, place)
		if result == resultAdapterLoading && loadRetries < maxLoadRetries {
			// The adapter is still loading. The target stays eligible, so that
			// the request can be sent to it again once the adapter is expected.
			loadRetries++
			result = resultNotExecuted
		} else {
			tried[place.Target.ID] = true
		}
		if resp != nil {
			last = resp
		}
		if result == resultDone {
			return
		}
		if result != resultNotExecuted && result != resultAdapterLoading {
			x.maybeExecuted = true
			executions++
			x.executions = executions
		}
		if !x.mayRetry(ctx, place, result, executions) {
			x.fail(ctx, newUnsentRefusal("target-failed"), last)
			return
		}
	}
}

// mayRetry reports whether the request may be sent again. It takes a retry from
// the retry budget if so.
func (x *Exchange) mayRetry(ctx context.Context, place *Placement, result sendResult, executions int) bool {
	if ctx.Err() != nil || executions >= max(x.Route.MaxTargets, 1) || x.held.body.isDropped() {
		return false
	}
	if x.interrupted && !x.mayLoseAnother(ctx, place) {
		return false
	}
	if x.moving {
		x.moving = false
		return true
	}
	switch result {
	case resultNotExecuted, resultAdapterLoading:
	case resultStreamBroken:
		if _, ok := x.events.ResumeID(); !ok || !x.Route.Resumable {
			return false
		}
	default:
		if !x.Route.Repeatable() && !(x.Route.Resumable && x.Route.Kind == config.KindStream) {
			return false
		}
	}
	return x.gate.Router.AllowRetry(time.Now(), x)
}

// mayLoseAnother reports whether another target may be lost by the request, whose connection to the
// last one broke: one, but none for a trial or after others have ended under equal requests, as the
// process may have ended although its port is open still.
func (x *Exchange) mayLoseAnother(ctx context.Context, place *Placement) bool {
	if x.trial || x.suspected {
		return false
	}
	if x.gate.Conns.Refuses(ctx, place.Target.Addr) {
		x.endedTargets++
	}
	return x.endedTargets < maxEndedTargets
}

// fail ends a request that will not be sent again: with the last buffered response
// if there is one, else with a refusal for the given reason. The refusal's retry delay
// counts if the request was not executed. A stream whose head was written is aborted.
func (x *Exchange) fail(ctx context.Context, refusal *Refusal, last *bufferedResponse) {
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
			Reason: refusal.Reason,
		})
	default:
		x.refuse(Refusal{
			Status:     http.StatusServiceUnavailable,
			Reason:     refusal.Reason,
			RetryAfter: refusal.RetryAfter,
		})
	}
}

// refuse writes a refusal.
func (x *Exchange) refuse(r Refusal) {
	x.Status, x.Reason = r.Status, r.Reason
	if x.bodyUnread {
		// net/http reads the rest of the body before it sends the answer. Without support for deadlines
		// the answer waits for it.
		_ = http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
	h := x.w.Header()
	x.gate.Codec.SetRefusalHeader(h, x.Request, r.RetryAfter)
	h.Set("Content-Length", "0")
	x.writeStatus(r.Status)
}

// writeStatus writes the status and the header of the answer. The answers of an instance that stops close
// their connections, also if the instance was told to stop while they were made.
func (x *Exchange) writeStatus(status int) {
	if x.gate.draining.Load() {
		x.w.Header().Set("Connection", "close")
	}
	x.statusWritten = true
	x.w.WriteHeader(status)
}

// writeBuffered writes a buffered response to the caller.
func (x *Exchange) writeBuffered(resp *bufferedResponse) {
	x.Status = resp.status
	h := x.w.Header()
	copyHeader(h, resp.header)
	h.Set("Content-Length", strconv.Itoa(len(resp.body)))
	x.writeStatus(resp.status)
	// A write error means that the caller has disconnected; nothing is left to do.
	_, _ = x.w.Write(resp.body)
}

// abort closes the caller's connection without ending the response, so that the
// caller does not take a truncated response for a complete one.
func (x *Exchange) abort() {
	x.Status = 0
	panic(http.ErrAbortHandler)
}

// finish logs the request and reports it to Gate.ObserveRequest.
func (x *Exchange) finish() {
	x.releaseHeld()
	x.recordUnsent()
	elapsed := time.Since(x.start)
	line := x.gate.Log.Info()
	if x.Request != nil {
		line.Str("request", x.Request.ID).Int64("tokens", x.Request.TotalTokens())
		if x.Request.Model != "" {
			line.Str("adapter", x.Request.AdapterName()).Str("parts", x.Request.PartNames())
		}
	}
	if x.Route != nil {
		line.Str("route", x.Route.Name)
	}
	if x.Org != nil {
		line.Str("organisation", x.Org.Name).Int64("rate", x.Org.Rate)
	}
	if x.blockedBy != "" {
		line.Str("feature", string(x.blockedBy))
	}
	if x.cfg != nil {
		line.Uint64("configuration", x.cfg.Version)
	}
	line.Str("target", x.Target).Int("sent", x.Attempts).Int("status", x.Status).Str("reason", x.Reason).
		Str("framing", x.Framing.String()).Int("events", x.events.AllEvents()).Str("protocol", x.protocol).Str("caller", x.caller).Str("ended-by", x.endedBy).
		Str("waits", x.waits.String()).Dur("waited", x.Waited).Dur("first", x.FirstByte).Dur("pause", x.MaxPause).Dur("took", elapsed).Msg("gate: request")
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

// beginRun sets the state of a run at the target of a placement, which begins.
func (x *Exchange) beginRun(now time.Time, p *Placement) {
	x.Target = p.Target.ID
	x.Attempts++
	x.interrupted = false
	x.Waited = now.Sub(x.start)
	x.Framing = 0
	x.events.BeginRun()
	x.runCounted = false
	x.beginAnswer()
	p.countCrossing(x.held.body.size())
}

// send sends the request to one target and relays its response. It also returns a
// response that was buffered but not written.
func (x *Exchange) send(ctx context.Context, p *Placement) (sendResult, *bufferedResponse) {
	sentAt := time.Now()
	x.beginRun(sentAt, p)
	resp, err := x.gate.Conns.Send(ctx, origin.Request{
		ID:        x.Request.ID,
		Addr:      p.Target.Addr,
		Method:    x.Request.Method,
		URI:       x.Request.URI,
		Host:      x.Request.Host,
		Body:      x.held.body.beginSend(),
		Written:   x.onWritten(),
		Held:      &x.held.answer,
		MaxIdle:   x.maxIdle(),
		IdleShare: x.gate.Router.idleShare(x),
		Header: x.gate.Codec.ForwardHeader(x.Request, call.ForwardOptions{
			Target:       p.Target.ID,
			Organisation: x.orgName(),
			Timeout:      x.Deadline.Sub(sentAt),
			Priority:     x.priority(),
			HasPriority:  x.Request.Model != "",
			Version:      p.Version,
			LastEventID:  x.resumeEventID(),
		}),
	})
	x.held.body.endSend()
	if err != nil {
		return x.handleSendError(ctx, p, sentAt, err), nil
	}
	defer resp.Close()
	x.Framing = stream.FramingOf(resp.Response)
	info := x.gate.Codec.ParseResponse(resp.Header)
	if info.HasLoad {
		p.reportLoad(info)
	}
	switch {
	case info.RequestID != x.Request.ID && (info.RequestID != "" || resp.Reused()):
		// The response belongs to another request, or may be an earlier one written once
		// more. This request may have been executed.
		x.gate.Log.Warn().Str("request", x.Request.ID).Str("got", info.RequestID).Str("target", x.Target).Msg("gate: response belongs to another request; connection is closed")
		resp.Response.Close = true
		p.release(sentAt, endFailed)
		return resultUnknown, nil
	}
	x.recordNotice(time.Now(), sentAt, p, resp.StatusCode, info)
	switch {
	case info.WrongTarget || resp.StatusCode == http.StatusMisdirectedRequest:
		x.logNotExecuted(p, resp.StatusCode)
		resp.RecordRefused()
		x.drain(resp)
		p.release(sentAt, endWrongTarget)
		if p.delayedFor > 0 {
			return resultAdapterLoading, nil
		}
		return resultNotExecuted, nil
	case info.NotExecuted:
		x.logNotExecuted(p, resp.StatusCode)
		resp.RecordRefused()
		x.drain(resp)
		p.release(sentAt, endNotExecuted)
		return resultNotExecuted, nil
	case resp.StatusCode >= 200 && resp.StatusCode < 300 && x.Route.Kind == config.KindStream && info.Signed:
		return x.relayStream(ctx, p, sentAt, resp), nil
	default:
		x.recordAnsweredRun(time.Now(), p, resp.StatusCode, info)
		return x.relayBuffered(ctx, p, sentAt, resp, info)
	}
}

// logNotExecuted logs that the target did not execute the request.
func (x *Exchange) logNotExecuted(p *Placement, status int) {
	x.gate.Log.Info().Str("request", x.Request.ID).Str("target", x.Target).Str("adapter", x.Request.AdapterName()).
		Int("status", status).Dur("held", p.delayedFor).Msg("gate: request not executed by target")
}

// handleSendError releases the placement of a request without a response and
// returns whether it may have been executed.
func (x *Exchange) handleSendError(ctx context.Context, p *Placement, sentAt time.Time, err error) sendResult {
	var e *origin.SendError
	maybeSent := !errors.As(err, &e) || e.MaybeSent
	x.gate.Log.Info().Str("request", x.Request.ID).Str("target", x.Target).Bool("sent", maybeSent).Err(err).Msg("gate: no response from target")
	switch {
	case ctx.Err() != nil, errors.Is(err, origin.ErrSilent), errors.Is(err, memory.ErrNoRoom):
		p.release(sentAt, endCancelled)
	case maybeSent:
		p.release(sentAt, endUnreachable)
		x.recordInterruption(p)
	default:
		p.release(sentAt, endUnreachable)
		if errors.Is(err, syscall.ECONNREFUSED) {
			x.gate.crashes.refuse(&p.Target)
		}
	}
	if maybeSent {
		return resultUnknown
	}
	return resultNotExecuted
}

// nonRepeatableMaxIdle is the longest idle time of a connection that is reused for a
// non-repeatable request. A target may close an older connection at any moment,
// which leaves it unknown whether the request was executed.
const nonRepeatableMaxIdle = time.Second

// maxIdle returns the value of origin.Request.MaxIdle for the request.
func (x *Exchange) maxIdle() time.Duration {
	if x.Route.Repeatable() {
		return 0
	}
	return nonRepeatableMaxIdle
}

// orgName returns the name of the caller's organisation, or an empty string if the
// caller was not authenticated.
func (x *Exchange) orgName() string {
	if x.Org == nil {
		return ""
	}
	return x.Org.Name
}

// priority returns the priority of the request at a target; 0 is the most urgent.
func (x *Exchange) priority() int {
	return x.cfg.Rank(x.Route, x.Org)
}

// resumeEventID returns the ID of the event after which the stream continues.
func (x *Exchange) resumeEventID() string {
	if id, _ := x.events.ResumeID(); id != "" {
		return id
	}
	return x.Request.LastEventID
}
