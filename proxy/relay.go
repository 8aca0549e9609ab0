package proxy

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"currantstile/call"
	"currantstile/memory"
	"currantstile/origin"
	"currantstile/sched"
	"currantstile/stream"
)

const (
	// maxBufferedBody is the largest body in bytes that is buffered before it is
	// relayed.
	maxBufferedBody = 8 << 20
	// maxDrainBytes is the maximum number of bytes read from a response that is
	// not relayed.
	maxDrainBytes = 4 << 10
	// stallFactor is by how much the longest time between two events exceeds that after
	// which callers leave, so that no stream is ended while its caller still waits.
	stallFactor = 1.25
	// senderCheckTimeout bounds the attempt to connect to a target whose answer ended with its
	// connection: several times the longest round trip.
	senderCheckTimeout = 150 * time.Millisecond
	// streamBufferSize is the size of the read buffer for streams.
	streamBufferSize = 4 << 10
)

// hopByHop lists the headers that apply to a single connection, and Content-Length,
// which the gate sets itself.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Connection":    true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
}

// copyHeader copies the header of a response without hop-by-hop fields.
func copyHeader(to, from http.Header) {
	listed := from.Values("Connection")
	for name, values := range from {
		if !hopByHop[name] && !listsHeader(listed, name) {
			to[name] = values
		}
	}
}

// listsHeader reports whether the values of a Connection header list a header name.
func listsHeader(listed []string, name string) bool {
	for _, l := range listed {
		for _, part := range strings.Split(l, ",") {
			if strings.EqualFold(strings.TrimSpace(part), name) {
				return true
			}
		}
	}
	return false
}

// drain reads the rest of a short response, so that its connection can be reused.
func (x *Exchange) drain(resp *origin.Response) {
	// If the body is not read completely, the connection is closed instead.
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxDrainBytes))
}

// relayBuffered reads a response to its end and writes it to the caller. A 5xx response
// is not written but returned, since the request may be retried.
func (x *Exchange) relayBuffered(ctx context.Context, p *Placement, sentAt time.Time, resp *origin.Response, info call.ResponseInfo) (sendResult, *bufferedResponse) {
	body, ok, err := x.readAnswer(resp, info)
	p.countCrossingBytes(len(body))
	if !ok {
		resp.Response.Close = true
		p.release(sentAt, endFailed)
		return resultUnknown, nil
	}
	verdict := x.judgeBody(ctx, p, resp, body, err)
	broken, isBroken := verdict.(stream.BrokenOff)
	if isBroken || resp.Header.Get("Content-Encoding") != "" {
		x.gate.Log.Info().Str("request", x.Request.ID).Str("target", x.Target).Str("framing", x.Framing.String()).Err(broken.Reason).
			Msg("gate: response incomplete or encoded; discarded")
		resp.Response.Close = true
		switch {
		case ctx.Err() != nil || resp.WentSilent():
			p.release(sentAt, endCancelled)
		case isBroken:
			p.release(sentAt, endFailed)
			x.recordInterruption(p)
		default:
			p.release(sentAt, endFailed)
		}
		return resultUnknown, nil
	}
	x.FirstByte = time.Since(sentAt)
	buffered := &bufferedResponse{
		status: resp.StatusCode,
		header: resp.Header,
		body:   body,
	}
	if promisesNotExecuted(resp.StatusCode) {
		if info.RetryAfter > 0 {
			// The pushback keeps requests away; it is no failure.
			p.release(sentAt, endNotExecuted)
		} else {
			p.release(sentAt, endFailed)
		}
		return resultUnknown, nil
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		p.release(sentAt, endFailed)
		x.recordHarmless()
		x.held.answered = x.held.answer.Bytes()
		return resultFailed, buffered
	}
	if !info.Signed {
		// An answer without the signature of the target was not sent by the target: its failure
		// would pass for a denial of ours.
		p.release(sentAt, endFailed)
		return resultUnknown, nil
	}
	p.release(sentAt, endComplete)
	x.recordAnswered(p, sentAt)
	if x.headSent {
		// A buffered response cannot continue a stream that is being resumed.
		return resultFailed, nil
	}
	x.Reason = "answered"
	x.writeBuffered(buffered)
	return resultDone, nil
}

// promisesNotExecuted reports whether a status promises a caller that its request was not
// executed. A target that means this says so in a header; without it the status is not passed on.
func promisesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// judgeBody decides whether a buffered body is complete. A nil err is the end of the body.
func (x *Exchange) judgeBody(ctx context.Context, p *Placement, resp *origin.Response, body []byte, err error) stream.Verdict {
	var events stream.Splitter
	hasEvents := stream.IsEventStream(resp.Header, false)
	if err == nil {
		err = io.EOF
	}
	if hasEvents {
		if _, splitErr := events.Add(body); splitErr != nil {
			err = splitErr
		}
	}
	return x.judge(ctx, p, events.Ending(x.Framing, hasEvents, err))
}

// judge decides whether a body is complete. If that depends on whether the target's process
// ended with it, it tries to connect to the target.
func (x *Exchange) judge(ctx context.Context, p *Placement, e stream.Ending) stream.Verdict {
	if e.DependsOnSender() {
		ctx, cancel := context.WithTimeout(ctx, senderCheckTimeout)
		defer cancel()
		e.SenderEnded = x.gate.Conns.Refuses(ctx, p.Target.Addr)
	}
	return stream.Judge(e)
}

// relayStream relays the events of a stream as they arrive.
func (x *Exchange) relayStream(ctx context.Context, p *Placement, sentAt time.Time, resp *origin.Response) sendResult {
	if !x.acceptsHead(resp) {
		p.release(sentAt, endFailed)
		return x.brokenResult()
	}
	rc := http.NewResponseController(x.w)
	hasEvents := stream.IsEventStream(resp.Header, true)
	buf := make([]byte, streamBufferSize)
	var lastRead time.Time
	// Only whole events are progress: a target that sends a byte now and then would hold
	// the stream until its deadline, and its caller gets nothing meanwhile.
	stalled := time.AfterFunc(x.maxStall(), resp.Abort)
	defer stalled.Stop()
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			lastRead = x.recordRead(time.Now(), p, sentAt, lastRead, n)
		}
		events, splitErr := x.addPart(buf[:n])
		if splitErr != nil {
			err = splitErr
		}
		var verdict stream.Verdict
		if err != nil {
			verdict = x.judge(ctx, p, x.events.Ending(x.Framing, hasEvents, err))
		}
		_, complete := verdict.(stream.Complete)
		if complete {
			events = append(events, x.events.Remainder()...)
		}
		if len(events) > 0 || complete {
			x.writeHead(resp)
		}
		x.recordStreamRun(lastRead, p, hasEvents, len(events))
		if len(events) > 0 {
			// A caller that reads slowly does not make the stream stall.
			stalled.Stop()
			if _, writeErr := x.w.Write(events); writeErr != nil || rc.Flush() != nil {
				p.release(sentAt, endCancelled)
				x.Reason = "caller-left"
				return resultDone
			}
			if stalled.Reset(x.maxStall()); verdict == nil && x.mustMove(time.Now(), p) {
				return x.moveStream(p, sentAt, resp)
			}
		}
		switch v := verdict.(type) {
		case stream.Complete:
			p.release(sentAt, endComplete)
			x.recordAnswered(p, sentAt)
			x.Reason = "answered"
			return resultDone
		case stream.BrokenOff:
			x.logBrokenStream(v.Reason)
			return x.handleBrokenStream(ctx, p, sentAt, resp, splitErr)
		}
	}
}

// addPart adds a part of a stream and returns the events that it completes.
func (x *Exchange) addPart(part []byte) ([]byte, error) {
	events, err := x.events.Add(part)
	noRoom := x.holdEvent()
	return events, cmp.Or(noRoom, err)
}

// acceptsHead reports whether the body of a response can be the stream, or go on with it. If not, it
// lets the connection be closed.
func (x *Exchange) acceptsHead(resp *origin.Response) bool {
	var first *stream.Head
	if x.headSent {
		first = &x.streamHead
	}
	broken, ok := stream.JudgeHead(first, stream.HeadOf(resp.Response)).(stream.BrokenOff)
	if ok {
		resp.Response.Close = true
		x.logBrokenStream(broken.Reason)
	}
	return !ok
}

// recordRead records that a part of a stream of n bytes arrived, and returns its time. lastRead is that of
// the part before, zero for the first one.
func (x *Exchange) recordRead(now time.Time, p *Placement, sentAt, lastRead time.Time, n int) time.Time {
	p.countCrossingBytes(n)
	if lastRead.IsZero() {
		x.FirstByte = now.Sub(sentAt)
		p.reportFirstByte(sentAt)
	} else {
		p.maxPause = max(p.maxPause, now.Sub(lastRead))
		x.MaxPause = max(x.MaxPause, p.maxPause)
	}
	return now
}

// logBrokenStream logs that a stream broke off after its last whole event.
func (x *Exchange) logBrokenStream(reason error) {
	id, _ := x.events.ResumeID()
	x.gate.Log.Info().Str("request", x.Request.ID).Str("target", x.Target).Str("framing", x.Framing.String()).
		Int("events", x.events.AllEvents()).Str("event", id).
		Str("adapter", x.Request.AdapterName()).Str("parts", x.Request.PartNames()).Err(reason).Msg("gate: stream broken; partial event discarded")
}

// maxStall returns how long a stream may go on without a whole event.
func (x *Exchange) maxStall() time.Duration {
	wait := sched.DisconnectWait(x.Route.Objective, x.Route.MaxGap)
	return time.Duration(stallFactor * float64(wait))
}

// handleBrokenStream releases the placement of a stream that ended early and returns
// whether its head was already written to the caller.
// splitErr is the error of the splitter or of the room for an event, if one of them ended the stream.
func (x *Exchange) handleBrokenStream(ctx context.Context, p *Placement, sentAt time.Time, resp *origin.Response, splitErr error) sendResult {
	resp.Response.Close = true
	if errors.Is(splitErr, memory.ErrNoRoom) {
		p.release(sentAt, endFailed)
		return x.brokenResult()
	}
	silent := resp.WentSilent()
	if silent {
		x.gate.Log.Warn().Str("request", x.Request.ID).Str("target", x.Target).Msg("gate: connection to target was silent; given up")
	}
	// A silent connection says nothing about the target.
	if ctx.Err() != nil || silent {
		p.release(sentAt, endCancelled)
	} else {
		p.release(sentAt, endUnreachable)
		x.recordInterruption(p)
	}
	return x.brokenResult()
}

// brokenResult returns the result of a run that ended early: whether the head of the stream was
// already written to the caller.
func (x *Exchange) brokenResult() sendResult {
	if x.headSent {
		return resultStreamBroken
	}
	return resultUnknown
}

// writeHead writes the status and header of a stream to the caller, unless it was
// done before.
func (x *Exchange) writeHead(resp *origin.Response) {
	if x.headSent {
		return
	}
	x.headSent, x.streamHead = true, stream.HeadOf(resp.Response)
	x.Status = resp.StatusCode
	copyHeader(x.w.Header(), resp.Header)
	x.writeStatus(resp.StatusCode)
}
