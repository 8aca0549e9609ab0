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
	Call  *call.Call
	Route *config.Route
	Org   *config.Organisation
	// Until is when the request has to be answered at the latest.
	Until time.Time
	// Status is what the caller got; 0 is a connection that was broken off.
	Status int
	Reason string
	// Target is where the request was sent last, and Sent how often it was.
	Target string
	Sent   int
	// Waited is how long the request waited here before it was sent last, First the
	// time from there to the first byte of the answer, and Pause the longest
	// time between two reads of a stream.
	Waited time.Duration
	First  time.Duration
	Pause  time.Duration

	gate  *Gate
	cfg   *config.Config
	w     http.ResponseWriter
	begun time.Time
	// counted is set once the request has been counted as one for its service.
	counted bool
	// ran is set once a target may have run the request.
	ran bool
	// relayed is set once the caller has got the head of the answer.
	relayed bool
	// events is what of a stream has reached the caller.
	events eventReader
}

// sendResult says how one sending ended.
type sendResult int

const (
	// sentDone means that the caller has its answer, or is gone.
	sentDone sendResult = iota
	// sentNotRun means that the target ran nothing.
	sentNotRun
	// sentLoading means that the target ran nothing because the adapter that it
	// was ordered to load is not there yet.
	sentLoading
	// sentUnknown means that the target may have run the request.
	sentUnknown
	// sentFailed means that the target ran the request and says that it failed.
	sentFailed
	// sentCut means that a stream broke off after its head was passed on.
	sentCut
)

// held is an answer that was read whole and not passed on yet.
type held struct {
	status int
	header http.Header
	body   []byte
}

// leaves is when the caller leaves if it has no answer, or no event of a stream.
func (x *Exchange) leaves() time.Time {
	if x.Route.Kind != config.KindStream {
		return x.Until
	}
	return sched.DisconnectTime(x.begun, x.Until, x.Route.Objective, x.Route.MaxGap)
}

// maxLoading is how often a request goes back to a target whose adapter is late.
const maxLoading = 4

// unsentRetry is when a caller may come back whose request no target took.
const unsentRetry = 300 * time.Millisecond

// serve sends the request until it has an answer or may not be sent again.
func (x *Exchange) serve(ctx context.Context) {
	var last *held
	tried := make(map[string]bool)
	targets, loading := 0, 0
	for {
		place, reason := x.gate.Router.Place(ctx, x, tried)
		if place == nil {
			x.fail(ctx, reason, last)
			return
		}
		end, answer := x.send(ctx, place)
		if end == sentLoading && loading < maxLoading {
			// The adapter is late; the target is asked again when it should be
			// there.
			loading++
			end = sentNotRun
		} else {
			tried[place.Target.ID] = true
		}
		if answer != nil {
			last = answer
		}
		if end == sentDone {
			return
		}
		if end != sentNotRun && end != sentLoading {
			x.ran = true
			targets++
		}
		if !x.again(ctx, end, targets) {
			x.fail(ctx, "target-failed", last)
			return
		}
	}
}

// again reports whether the request may be sent once more.
func (x *Exchange) again(ctx context.Context, end sendResult, targets int) bool {
	if ctx.Err() != nil || targets >= max(x.Route.MaxTargets, 1) {
		return false
	}
	switch end {
	case sentNotRun, sentLoading:
	case sentCut:
		if !x.Route.Resumable {
			return false
		}
	default:
		if !x.Route.Repeatable() && !(x.Route.Resumable && x.Route.Kind == config.KindStream) {
			return false
		}
	}
	return x.gate.Router.MayRepeat(time.Now(), x)
}

// fail answers a request that will not be sent any more.
func (x *Exchange) fail(ctx context.Context, reason string, last *held) {
	switch {
	case x.relayed:
		x.Reason = "broken-off"
		x.abort()
	case last != nil:
		x.Reason = "target-error"
		x.pass(last)
	case x.ran && ctx.Err() != nil:
		x.refuse(Refusal{
			Status: http.StatusGatewayTimeout,
			Reason: "timeout",
		})
	case x.ran:
		x.refuse(Refusal{
			Status: http.StatusBadGateway,
			Reason: reason,
		})
	default:
		x.refuse(Refusal{
			Status:     http.StatusServiceUnavailable,
			Reason:     reason,
			RetryAfter: unsentRetry,
		})
	}
}

// refuse answers with a status of the gate's own.
func (x *Exchange) refuse(r Refusal) {
	x.Status, x.Reason = r.Status, r.Reason
	h := x.w.Header()
	x.gate.Codec.Refusal(h, x.Call, r.RetryAfter)
	h.Set("Content-Length", "0")
	x.w.WriteHeader(r.Status)
}

// pass hands an answer on that was read whole.
func (x *Exchange) pass(a *held) {
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
	took := time.Since(x.begun)
	line := x.gate.Log.Info()
	if x.Call != nil {
		line.Str("request", x.Call.ID).Int64("tokens", x.Call.Tokens())
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
	line.Str("target", x.Target).Int("sent", x.Sent).Int("status", x.Status).Str("reason", x.Reason).
		Dur("waited", x.Waited).Dur("first", x.First).Dur("pause", x.Pause).Dur("took", took).Msg("gate: request")
	if x.gate.Count != nil {
		route, org := "", ""
		if x.Route != nil {
			route = x.Route.Name
		}
		if x.Org != nil {
			org = x.Org.Name
		}
		x.gate.Count(route, org, x)
	}
}

// send sends the request to one target and passes its answer on.
func (x *Exchange) send(ctx context.Context, p *Place) (sendResult, *held) {
	x.Target = p.Target.ID
	x.Sent++
	sent := time.Now()
	x.Waited = sent.Sub(x.begun)
	resp, err := x.gate.Conns.Send(ctx, origin.Request{
		Addr:    p.Target.Addr,
		Method:  x.Call.Method,
		URI:     x.Call.URI,
		Host:    x.Call.Host,
		Body:    x.Call.Body,
		MaxIdle: x.maxIdle(),
		Header: x.gate.Codec.Forward(x.Call, call.Addressing{
			Target:       p.Target.ID,
			Organisation: x.orgName(),
			Left:         x.Until.Sub(sent),
			Priority:     x.priority(),
			HasPriority:  x.Call.Model != "",
			Version:      p.Version,
			LastEvent:    x.resumeFrom(),
		}),
	})
	if err != nil {
		return x.sendFailed(ctx, p, sent, err), nil
	}
	defer resp.Close()
	a := x.gate.Codec.Answer(resp.Header)
	if a.HasLoad {
		p.load(a)
	}
	switch {
	case a.ID != "" && a.ID != x.Call.ID:
		// An answer to another request: this one may have run.
		x.gate.Log.Warn().Str("request", x.Call.ID).Str("got", a.ID).Str("target", x.Target).Msg("gate: answer belongs to another request")
		resp.Response.Close = true
		p.end(sent, endFailed)
		return sentUnknown, nil
	case a.Misdirected || resp.StatusCode == http.StatusMisdirectedRequest:
		x.notRun(p, resp.StatusCode)
		x.drain(resp)
		p.end(sent, endMisdirected)
		if p.held > 0 {
			return sentLoading, nil
		}
		return sentNotRun, nil
	case a.NotRun:
		x.notRun(p, resp.StatusCode)
		x.drain(resp)
		p.end(sent, endNotRun)
		return sentNotRun, nil
	case resp.StatusCode >= 200 && resp.StatusCode < 300 && x.Route.Kind == config.KindStream && a.Signed:
		return x.stream(ctx, p, sent, resp), nil
	default:
		return x.whole(ctx, p, sent, resp, a)
	}
}

// notRun logs a refusal by the target.
func (x *Exchange) notRun(p *Place, status int) {
	x.gate.Log.Info().Str("request", x.Call.ID).Str("target", x.Target).Str("adapter", x.Call.AdapterName()).
		Int("status", status).Dur("held", p.held).Msg("gate: target ran nothing")
}

// sendFailed sorts a request that brought no answer.
func (x *Exchange) sendFailed(ctx context.Context, p *Place, sent time.Time, err error) sendResult {
	var e *origin.SendError
	wasSent := !errors.As(err, &e) || e.Sent
	x.gate.Log.Info().Str("request", x.Call.ID).Str("target", x.Target).Bool("sent", wasSent).Err(err).Msg("gate: no answer")
	if ctx.Err() != nil {
		p.end(sent, endLeft)
	} else {
		p.end(sent, endUnreachable)
	}
	if wasSent {
		return sentUnknown
	}
	return sentNotRun
}

// freshIdle is the longest time for which a connection may have been idle that
// carries a request which may not be sent twice: a target may close an older one
// at any moment.
const freshIdle = time.Second

func (x *Exchange) maxIdle() time.Duration {
	if x.Route.Repeatable() {
		return 0
	}
	return freshIdle
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

// resumeFrom is the event after which the stream goes on.
func (x *Exchange) resumeFrom() string {
	if x.events.last != "" {
		return x.events.last
	}
	return x.Call.LastEvent
}
