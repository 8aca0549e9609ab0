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
	// maxWhole bounds an answer that is read whole before it is passed on.
	maxWhole = 8 << 20
	// maxDrain bounds what is read of an answer that is not passed on.
	maxDrain = 4 << 10
	// readSize is how much of a stream is read at once.
	readSize = 4 << 10
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
		if !hopByHop[name] && !named(listed, name) {
			to[name] = values
		}
	}
}

// named reports whether a Connection header names another header.
func named(listed []string, name string) bool {
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
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxDrain))
}

// whole reads an answer to its end and passes it on. An error of the target on a
// request that may be repeated is held back.
func (x *Exchange) whole(ctx context.Context, p *Place, sent time.Time, resp *origin.Response, a call.Answer) (sendResult, *held) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxWhole+1))
	if err != nil || len(body) > maxWhole || resp.Header.Get("Content-Encoding") != "" {
		x.gate.Log.Info().Str("request", x.Call.ID).Str("target", x.Target).Err(err).Msg("gate: answer broke off")
		resp.Response.Close = true
		if ctx.Err() != nil {
			p.end(sent, endLeft)
		} else {
			p.end(sent, endFailed)
		}
		return sentUnknown, nil
	}
	x.First = time.Since(sent)
	answer := &held{
		status: resp.StatusCode,
		header: resp.Header,
		body:   body,
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		p.end(sent, endFailed)
		return sentFailed, answer
	}
	if resp.StatusCode < 300 && !a.Signed {
		// A success without the target's signature is none of the target's.
		p.end(sent, endFailed)
		return sentUnknown, nil
	}
	p.end(sent, endWhole)
	if x.relayed {
		// In the middle of a stream that is resumed, this is not its rest.
		return sentFailed, nil
	}
	x.Reason = "answered"
	x.pass(answer)
	return sentDone, nil
}

// stream passes events on as they come.
func (x *Exchange) stream(ctx context.Context, p *Place, sent time.Time, resp *origin.Response) sendResult {
	rc := http.NewResponseController(x.w)
	buf := make([]byte, readSize)
	var last time.Time
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			now := time.Now()
			if last.IsZero() {
				x.First = now.Sub(sent)
				p.first(sent)
			} else {
				x.Pause = max(x.Pause, now.Sub(last))
			}
			last = now
		}
		events := x.events.add(buf[:n])
		if err == io.EOF {
			// What follows the last blank line belongs to the answer as well.
			events = append(events, x.events.rest()...)
		}
		if len(events) > 0 || err == io.EOF {
			x.head(resp)
		}
		if len(events) > 0 {
			if _, werr := x.w.Write(events); werr != nil || rc.Flush() != nil {
				p.end(sent, endLeft)
				x.Reason = "caller-left"
				return sentDone
			}
		}
		switch {
		case err == io.EOF:
			p.end(sent, endWhole)
			x.Reason = "answered"
			return sentDone
		case err != nil:
			x.events.partial = x.events.partial[:0]
			x.gate.Log.Info().Str("request", x.Call.ID).Str("target", x.Target).Str("event", x.events.last).Err(err).Msg("gate: stream broke off")
			return x.cut(ctx, p, sent)
		}
	}
}

// cut sorts a stream that broke off.
func (x *Exchange) cut(ctx context.Context, p *Place, sent time.Time) sendResult {
	if ctx.Err() != nil {
		p.end(sent, endLeft)
	} else {
		p.end(sent, endUnreachable)
	}
	if x.relayed {
		return sentCut
	}
	return sentUnknown
}

// head passes the head of a stream on, once.
func (x *Exchange) head(resp *origin.Response) {
	if x.relayed {
		return
	}
	x.relayed = true
	x.Status = resp.StatusCode
	copyHeader(x.w.Header(), resp.Header)
	x.w.WriteHeader(resp.StatusCode)
}

// eventReader cuts a stream into whole events, so that one which broke off in
// the middle can be asked for again.
type eventReader struct {
	partial []byte
	// last is the ID of the last whole event.
	last string
}

// add takes in bytes and returns the events that they complete.
func (e *eventReader) add(b []byte) []byte {
	e.partial = append(e.partial, b...)
	end := bytes.LastIndex(e.partial, []byte("\n\n"))
	if end < 0 {
		return nil
	}
	end += 2
	events := append([]byte(nil), e.partial[:end]...)
	e.partial = append(e.partial[:0], e.partial[end:]...)
	e.note(events)
	return events
}

// rest returns what follows the last whole event.
func (e *eventReader) rest() []byte {
	rest := e.partial
	e.partial = nil
	return rest
}

// note finds the last ID in whole events.
func (e *eventReader) note(events []byte) {
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
	e.last = string(bytes.TrimSpace(line))
}
