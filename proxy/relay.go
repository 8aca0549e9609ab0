package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"currantstile/call"
	"currantstile/origin"
	"currantstile/sched"
)

const (
	// maxBufferedBody is the largest body in bytes that is buffered before it is
	// relayed.
	maxBufferedBody = 8 << 20
	// maxDrainBytes is the maximum number of bytes read from a response that is
	// not relayed.
	maxDrainBytes = 4 << 10
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// stallFactor is by how much the longest time between two events exceeds that after
	// which callers leave, so that no stream is ended while its caller still waits.
	stallFactor = 1.25
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBody+1))
	if err != nil || len(body) > maxBufferedBody || resp.Header.Get("Content-Encoding") != "" {
		x.gate.Log.Info().Str("request", x.Request.ID).Str("target", x.Target).Err(err).Msg("gate: response incomplete, too large or encoded; discarded")
		resp.Response.Close = true
		if ctx.Err() != nil {
			p.release(sentAt, endCancelled)
		} else {
			p.release(sentAt, endFailed)
		}
		return resultUnknown, nil
	}
	x.FirstByte = time.Since(sentAt)
	x.recordAnswered()
	buffered := &bufferedResponse{
		status: resp.StatusCode,
		header: resp.Header,
		body:   body,
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		p.release(sentAt, endFailed)
		return resultFailed, buffered
	}
	if resp.StatusCode < 300 && !info.Signed {
		// A success without the signature of the target was not sent by the target.
		p.release(sentAt, endFailed)
		return resultUnknown, nil
	}
	p.release(sentAt, endComplete)
	if x.headSent {
		// A buffered response cannot continue a stream that is being resumed.
		return resultFailed, nil
	}
	x.Reason = "answered"
	x.writeBuffered(buffered)
	return resultDone, nil
}

// relayStream relays the events of a stream as they arrive.
func (x *Exchange) relayStream(ctx context.Context, p *Placement, sentAt time.Time, resp *origin.Response) sendResult {
	rc := http.NewResponseController(x.w)
	buf := make([]byte, streamBufferSize)
	var lastRead time.Time
	// Only whole events are progress: a target that sends a byte now and then would hold
	// the stream until its deadline, and its caller gets nothing meanwhile.
	stalled := time.AfterFunc(x.maxStall(), resp.Abort)
	defer stalled.Stop()
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			now := time.Now()
			if lastRead.IsZero() {
				x.FirstByte = now.Sub(sentAt)
				p.reportFirstByte(sentAt)
			} else {
				p.maxPause = max(p.maxPause, now.Sub(lastRead))
				x.MaxPause = max(x.MaxPause, p.maxPause)
			}
			lastRead = now
		}
		events, err := x.events.next(buf[:n], err, hasEvents(resp.Header))
		if errors.Is(err, errEventTooLarge) || errors.Is(err, errInsideEvent) {
			resp.Response.Close = true
		}
		if len(events) > 0 || err == io.EOF {
			x.writeHead(resp)
		}
		if len(events) > 0 {
			// A caller that reads slowly does not make the stream stall.
			stalled.Stop()
			if _, writeErr := x.w.Write(events); writeErr != nil || rc.Flush() != nil {
				p.release(sentAt, endCancelled)
				x.Reason = "caller-left"
				return resultDone
			}
			stalled.Reset(x.maxStall())
		}
		switch {
		case err == io.EOF:
			p.release(sentAt, endComplete)
			x.recordAnswered()
			x.Reason = "answered"
			return resultDone
		case err != nil:
			x.events.partial = x.events.partial[:0]
			x.gate.Log.Info().Str("request", x.Request.ID).Str("target", x.Target).Str("framing", x.Framing.String()).
				Int("events", x.events.count).Str("event", x.events.lastID).
				Str("adapter", x.Request.AdapterName()).Str("parts", x.Request.PartNames()).Err(err).Msg("gate: stream broken; partial event discarded")
			return x.handleBrokenStream(ctx, p, sentAt)
		}
	}
}

var (
	// errEventTooLarge ends a stream whose event does not end within maxEventBytes.
	errEventTooLarge = errors.New("event of the stream is too large")
	// errInsideEvent is the error of a stream that ended inside an event, or without any.
	errInsideEvent = errors.New("stream ended inside an event")
)

// maxStall returns how long a stream may go on without a whole event.
func (x *Exchange) maxStall() time.Duration {
	wait := sched.DisconnectWait(x.Route.Objective, x.Route.MaxGap)
	return time.Duration(stallFactor * float64(wait))
}

// handleBrokenStream releases the placement of a stream that ended early and returns
// whether its head was already written to the caller.
func (x *Exchange) handleBrokenStream(ctx context.Context, p *Placement, sentAt time.Time) sendResult {
	if ctx.Err() != nil {
		p.release(sentAt, endCancelled)
	} else {
		p.release(sentAt, endUnreachable)
		x.recordInterruption(p)
	}
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
	x.headSent = true
	x.Status = resp.StatusCode
	copyHeader(x.w.Header(), resp.Header)
	x.w.WriteHeader(resp.StatusCode)
}

// eventSplitter splits a stream into complete events, so that after an interruption
// the stream can be resumed from the last complete event.
type eventSplitter struct {
	partial []byte
	// lastID is the ID of the last complete event, and count the number of complete
	// events, separators included.
	lastID string
	count  int
}

// next returns the events that are complete after a read of b with the given error, and that
// error or a more exact one. The framing does not always tell whether a target broke off,
// since an answer may end with its connection: a stream that hasEvents is complete only
// after whole events.
func (e *eventSplitter) next(b []byte, err error, hasEvents bool) ([]byte, error) {
	events := e.add(b)
	switch {
	case err == nil && len(e.partial) > maxEventBytes:
		return events, errEventTooLarge
	case err != io.EOF:
		return events, err
	case hasEvents && (e.insideEvent() || e.count == 0):
		return events, errInsideEvent
	default:
		// Comments after the last event are part of the response as well.
		return append(events, e.takeRemainder()...), err
	}
}

// eventEnds are the ends of an event: a blank line, with either kind of line end.
var eventEnds = [][]byte{[]byte("\n\n"), []byte("\n\r\n")}

// add appends bytes and returns the events that are now complete.
func (e *eventSplitter) add(b []byte) []byte {
	e.partial = append(e.partial, b...)
	end := 0
	for _, mark := range eventEnds {
		if i := bytes.LastIndex(e.partial, mark); i >= 0 {
			end = max(end, i+len(mark))
		}
	}
	if end == 0 {
		return nil
	}
	events := append([]byte(nil), e.partial[:end]...)
	e.partial = append(e.partial[:0], e.partial[end:]...)
	for _, mark := range eventEnds {
		e.count += bytes.Count(events, mark)
	}
	e.updateLastID(events)
	return events
}

// insideEvent reports whether the data after the last complete event belongs to another
// event. Blank lines and comments do not.
func (e *eventSplitter) insideEvent() bool {
	for line := range bytes.Lines(e.partial) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// hasEvents reports whether a response is a stream of events by its media type. One without
// a media type is, since only streams are relayed here.
func hasEvents(h http.Header) bool {
	media, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	media = strings.TrimSpace(media)
	return media == "" || strings.EqualFold(media, "text/event-stream")
}

// takeRemainder removes and returns the data after the last complete event.
func (e *eventSplitter) takeRemainder() []byte {
	remainder := e.partial
	e.partial = nil
	return remainder
}

// updateLastID sets lastID to the last ID in complete events.
func (e *eventSplitter) updateLastID(events []byte) {
	i := bytes.LastIndex(events, []byte("id:"))
	for i > 0 && events[i-1] != '\n' {
		i = bytes.LastIndex(events[:i], []byte("id:"))
	}
	if i < 0 {
		return
	}
	line := events[i+len("id:"):]
	if end := bytes.IndexByte(line, '\n'); end >= 0 {
		line = line[:end]
	}
	e.lastID = string(bytes.TrimSpace(line))
}
