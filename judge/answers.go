package judge

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// isPromise reports whether a status says that a request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// isSuccess reports whether a status is a success.
func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// decideMixed: a success is a target's own, whole answer to the request; a failure that bears a
// target's signature has the status that it gave; nothing is written while no request waits.
func decideMixed(x *index, v *Verdict) {
	for _, e := range x.Events {
		if s, ok := e.(Stray); ok {
			v.add(s.At(), nil, "bytes without a request from %s: %s", s.Instance, quote(s.Text))
		}
	}
	x.each(func(r *request) {
		for _, a := range r.answers {
			if a.Status == 0 {
				continue
			}
			v.Exercised++
			if text := r.foreign(a); text != "" {
				v.add(a.At(), []string{r.id}, "%s got %s", r.id, text)
			}
		}
	})
}

// foreign returns why an answer is not a target's own, whole answer to the request; empty if it may be.
func (r *request) foreign(a Answered) string {
	switch {
	case a.ResponseID != "" && a.ResponseID != r.id:
		return "the answer to " + a.ResponseID
	case !isSuccess(a.Status):
		if a.Signed && !slices.ContainsFunc(r.replies, func(p Replied) bool { return p.Signed && p.Status == a.Status }) {
			return fmt.Sprintf("a signed %d that no target gave", a.Status)
		}
		return ""
	case !a.Signed:
		return fmt.Sprintf("%d without a target's signature", a.Status)
	case a.Encoded:
		return "an encoded body"
	case a.Whole && !r.first().Kind.Streaming() && !slices.ContainsFunc(r.replies, func(p Replied) bool { return p.isWhole(r.id, a.Body) }):
		return "a success whose body is no target's whole answer: " + quote(a.Body)
	default:
		return ""
	}
}

// isWhole reports whether a target has answered a request so, as a success and whole.
func (p Replied) isWhole(id, body string) bool {
	return isSuccess(p.Status) && p.Signed && p.Whole && p.Body == body && (p.ResponseID == "" || p.ResponseID == id)
}

// decideOrder: a stream that is complete for its caller is one target's whole stream, or goes on
// where the run before it broke off.
func decideOrder(x *index, v *Verdict) {
	x.each(func(r *request) {
		if !r.first().Kind.Streaming() {
			return
		}
		for _, a := range r.answers {
			if !isSuccess(a.Status) {
				continue
			}
			v.Exercised++
			if !isStreamOf(a, r.replies) {
				v.add(a.At(), []string{r.id}, "%s got a stream (whole: %v) that its runs do not make: %s", r.id, a.Whole, quote(a.Body))
			}
		}
	})
}

// isStreamOf reports whether a body, complete or not, is made of the given runs: each goes on where
// the caller's events of the run before ended, and the last one is whole if the body is.
func isStreamOf(a Answered, runs []Replied) bool {
	if a.Body == "" && !a.Whole {
		return true
	}
	for i, p := range runs {
		if !isSuccess(p.Status) || p.Encoded {
			continue
		}
		if a.Whole && p.Whole && p.Body == a.Body || !a.Whole && strings.HasPrefix(p.Body, a.Body) {
			return true
		}
		for _, end := range eventEnds(p.Body) {
			rest := a
			ok := false
			if rest.Body, ok = strings.CutPrefix(a.Body, p.Body[:end]); ok && isStreamOf(rest, runs[i+1:]) {
				return true
			}
		}
	}
	return false
}

// eventEnds returns the positions in a body behind its whole events.
func eventEnds(body string) []int {
	var ends []int
	for i := range len(body) {
		if rest := body[i:]; strings.HasPrefix(rest, "\n\n") {
			ends = append(ends, i+len("\n\n"))
		} else if strings.HasPrefix(rest, "\n\r\n") {
			ends = append(ends, i+len("\n\r\n"))
		}
	}
	return ends
}

// decideUnasked: what a target gets is what its caller sent.
func decideUnasked(x *index, v *Verdict) {
	for _, id := range x.ids {
		r := x.requests[id]
		for _, a := range r.arrivals {
			v.Exercised++
			ids := []string{id}
			if len(r.sent) == 0 {
				v.add(a.At(), ids, "%s got request %q, which no caller sent: %s %s", a.Target, id, a.Method, a.URI)
				continue
			}
			// A request that was sent again may have other bytes.
			s := r.first()
			for _, again := range r.sent {
				if again.asks(a) {
					s = again
				}
			}
			switch {
			case a.Method != s.Method || a.URI != s.URI || a.Body != s.Body:
				v.add(a.At(), ids, "%s got %s %s %s for %s %s %s", a.Target, a.Method, a.URI, quote(a.Body), s.Method, s.URI, quote(s.Body))
			case s.asks(a):
			case a.Model != s.Model || a.Usage != s.Usage || a.Parts != s.Parts:
				v.add(a.At(), ids, "%s got model %q, tokens %q, parts %q for %q, %q, %q", a.Target, a.Model, a.Usage, a.Parts, s.Model, s.Usage, s.Parts)
			default:
				v.add(a.At(), ids, "%s got organisation %q for %q", a.Target, a.Organisation, s.Organisation)
			}
			switch {
			case a.Credentials != "":
				v.add(a.At(), ids, "%s got the caller's key", a.Target)
			case len(a.Reserved) > 0:
				v.add(a.At(), ids, "%s got fields that are an instance's to set: %v", a.Target, a.Reserved)
			}
		}
	}
}

// asks reports whether a target got what the caller sent.
func (s Sent) asks(a Arrived) bool {
	return a.Method == s.Method && a.URI == s.URI && a.Body == s.Body && a.Model == s.Model && a.Usage == s.Usage && a.Parts == s.Parts &&
		a.Organisation == s.Organisation
}

// decideTwice: a request that may not be repeated runs once for each time that it was sent.
func decideTwice(x *index, v *Verdict) {
	x.each(func(r *request) {
		if s := r.first(); s.Kind.Repeatable() || len(r.runs) == 0 {
			return
		}
		v.Exercised++
		if len(r.runs) > len(r.sent) {
			v.add(r.runs[len(r.sent)].At(), []string{r.id}, "%s, sent %d times, ran %d times", r.id, len(r.sent), len(r.runs))
		}
	})
}

// decideRefused: a request that may not be repeated, and whose caller got a promise that it has not run,
// does not run.
func decideRefused(x *index, v *Verdict) {
	x.each(func(r *request) {
		refused := 0
		for _, a := range r.answers {
			if isPromise(a.Status) && a.Whole && !a.Signed {
				refused++
			}
		}
		if r.first().Kind.Repeatable() || refused == 0 {
			return
		}
		v.Exercised++
		if len(r.runs) > len(r.sent)-refused {
			v.add(r.answers[0].At(), []string{r.id}, "%s, sent %d times, was refused %d times and ran %d times", r.id, len(r.sent), refused, len(r.runs))
		}
	})
}

// decideDenied: proper requests are not answered with an error of the caller's.
func decideDenied(x *index, v *Verdict) {
	proper := 0
	var denied []Break
	x.each(func(r *request) {
		if !r.first().Proper {
			return
		}
		proper++
		for _, a := range r.answers {
			if a.Signed || a.Status < http.StatusMultipleChoices || a.Status >= http.StatusInternalServerError || isPromise(a.Status) {
				continue
			}
			b := Break{
				At:       a.At(),
				Text:     r.id + " was denied",
				Requests: []string{r.id},
			}
			switch a.Status {
			case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
				v.add(a.At(), b.Requests, "%s, which each configuration allows, got %d", r.id, a.Status)
			default:
				denied = append(denied, b)
			}
		}
	})
	v.Exercised = proper
	if len(denied) > maxDenied+proper/deniedShare {
		v.Breaks = append(v.Breaks, denied...)
	}
}

// decideRoute: a request is run by a target of the service to which its route leads.
func decideRoute(x *index, v *Verdict) {
	x.each(func(r *request) {
		byTarget := make(map[string]Arrived)
		for _, a := range r.arrivals {
			byTarget[a.Target] = a
		}
		for _, run := range r.runs {
			v.Exercised++
			// A request that was sent again may lead elsewhere.
			if a := byTarget[run.Target]; !slices.ContainsFunc(r.sent, func(s Sent) bool { return s.Service == a.Service }) {
				v.add(run.At(), []string{r.id}, "%s for %s ran at %s of %s", r.id, r.first().Service, run.Target, a.Service)
			}
		}
	})
}
