package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"currantstile/call"
	"currantstile/origin"
)

const (
	// maxBufferedBody bounds an answer that is read whole before it is passed on.
	maxBufferedBody = 8 << 20
	// maxDrainBytes bounds what is read of an answer that is not passed on.
	maxDrainBytes = 4 << 10
	// streamBufferSize is how much of a stream is read at once.
	streamBufferSize = 4 << 10
)

// hopByHop are the headers that concern one connection only.
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

// copyHeader copies an answer's header, except what concerns one connection.
func copyHeader(to, from http.Header) {
	listed := from.Values("Connection")
	for name, values := range from {
		if !hopByHop[name] && !listsHeader(listed, name) {
			to[name] = values
		}
	}
}

// listsHeader reports whether a Connection header names another header.
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

// drain reads the rest of a short answer, so that its connection can be used
// again.
func (x *Exchange) drain(resp *origin.Response) {
	// What is not read in full costs the connection and nothing else.
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxDrainBytes))
}

// relayBuffered reads an answer to its end and passes it on. An error of the target on a
// request that may be repeated is held back.
func (x *Exchange) relayBuffered(ctx context.Context, p *Placement, sent time.Time, resp *origin.Response, a call.ResponseInfo) (sendResult, *bufferedResponse) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBody+1))
	if err != nil || len(body) > maxBufferedBody || resp.Header.Get("Content-Encoding") != "" {
		x.gate.Log.Info().Str("request", x.Request.ID).Str("target", x.Target).Err(err).Msg("gate: answer broke off")
		resp.Response.Close = true
		if ctx.Err() != nil {
			p.release(sent, endCancelled)
		} else {
			p.release(sent, endFailed)
		}
		return resultUnknown, nil
	}
	x.FirstByte = time.Since(sent)
	answer := &bufferedResponse{
		status: resp.StatusCode,
		header: resp.Header,
		body:   body,
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		p.release(sent, endFailed)
		return resultFailed, answer
	}
	if resp.StatusCode < 300 && !a.Signed {
		// A success without the target's signature is none of the target's.
		p.release(sent, endFailed)
		return resultUnknown, nil
	}
	p.release(sent, endComplete)
	if x.headSent {
		// In the middle of a stream that is resumed, this is not its rest.
		return resultFailed, nil
	}
	x.Reason = "answered"
	x.writeBuffered(answer)
	return resultDone, nil
}

// relayStream passes events on as they come.
func (x *Exchange) relayStream(ctx context.Context, p *Placement, sent time.Time, resp *origin.Response) sendResult {
	rc := http.NewResponseController(x.w)
	buf := make([]byte, streamBufferSize)
	var last time.Time
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			now := time.Now()
			if last.IsZero() {
				x.FirstByte = now.Sub(sent)
				p.reportFirstByte(sent)
			} else {
				x.MaxPause = max(x.MaxPause, now.Sub(last))
			}
			last = now
		}
		events := x.events.add(buf[:n])
		if err == io.EOF {
			// What follows the last blank line belongs to the answer as well.
			events = append(events, x.events.takeRemainder()...)
		}
		if len(events) > 0 || err == io.EOF {
			x.writeHead(resp)
		}
		if len(events) > 0 {
			if _, werr := x.w.Write(events); werr != nil || rc.Flush() != nil {
				p.release(sent, endCancelled)
				x.Reason = "caller-left"
				return resultDone
			}
		}
		switch {
		case err == io.EOF:
			p.release(sent, endComplete)
			x.Reason = "answered"
			return resultDone
		case err != nil:
			x.events.partial = x.events.partial[:0]
			x.gate.Log.Info().Str("request", x.Request.ID).Str("target", x.Target).Str("event", x.events.lastID).Err(err).Msg("gate: stream broke off")
			return x.handleBrokenStream(ctx, p, sent)
		}
	}
}

// handleBrokenStream sorts a stream that broke off.
func (x *Exchange) handleBrokenStream(ctx context.Context, p *Placement, sent time.Time) sendResult {
	if ctx.Err() != nil {
		p.release(sent, endCancelled)
	} else {
		p.release(sent, endUnreachable)
	}
	if x.headSent {
		return resultStreamBroken
	}
	return resultUnknown
}

// writeHead passes the head of a stream on, once.
func (x *Exchange) writeHead(resp *origin.Response) {
	if x.headSent {
		return
	}
	x.headSent = true
	x.Status = resp.StatusCode
	copyHeader(x.w.Header(), resp.Header)
	x.w.WriteHeader(resp.StatusCode)
}

// eventSplitter cuts a stream into whole events, so that one which broke off in
// the middle can be asked for again.
type eventSplitter struct {
	partial []byte
	// lastID is the ID of the last whole event.
	lastID string
}

// add takes in bytes and returns the events that they complete.
func (e *eventSplitter) add(b []byte) []byte {
	e.partial = append(e.partial, b...)
	end := bytes.LastIndex(e.partial, []byte("\n\n"))
	if end < 0 {
		return nil
	}
	end += 2
	events := append([]byte(nil), e.partial[:end]...)
	e.partial = append(e.partial[:0], e.partial[end:]...)
	e.updateLastID(events)
	return events
}

// takeRemainder returns what follows the last whole event.
func (e *eventSplitter) takeRemainder() []byte {
	rest := e.partial
	e.partial = nil
	return rest
}

// updateLastID finds the last ID in whole events.
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
