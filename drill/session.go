package drill

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"currantstile/clock"
	"currantstile/judge"
	"currantstile/platform/fake"
	"currantstile/socket"
)

// session is one connection to a target.
type session struct {
	x        *process
	c        net.Conn
	br       *bufio.Reader
	instance string
	// earlier is the last answer, and pending what is written when the next request has arrived.
	earlier string
	pending string
	// preceded is set if something was written before the answer to the present request, and extra
	// if something was written behind the answer to the last one.
	preceded bool
	extra    bool
}

func (x *process) serve(c net.Conn) {
	defer c.Close()
	s := &session{
		x:        x,
		c:        c,
		br:       bufio.NewReader(c),
		instance: x.p.instanceAt(c.RemoteAddr()),
	}
	for {
		a, err := fake.ReadArrival(s.br)
		if err != nil {
			return
		}
		s.preceded, s.extra = s.extra || s.pending != "", false
		if s.pending != "" {
			if _, err := io.WriteString(c, s.pending); err != nil {
				return
			}
			s.pending = ""
		}
		if a.Own {
			if !s.answerOwn(a) {
				return
			}
			continue
		}
		if !s.handle(a) {
			return
		}
	}
}

// answerOwn answers an order or a report.
func (s *session) answerOwn(a fake.Arrival) bool {
	text, ok := s.x.worker.AnswerOwn(a)
	x := s.x
	if held, places := x.worker.Adapters(); held > 0 {
		x.p.record(judge.Loaded{
			Time:   x.p.now(),
			Target: x.name,
			Count:  held,
			Places: places,
		})
	}
	if !ok {
		socket.Reset(s.c)
		return false
	}
	_, err := io.WriteString(s.c, text)
	return err == nil
}

// handle answers a request of a caller. It reports whether the connection may be used again.
func (s *session) handle(a fake.Arrival) bool {
	x, now := s.x, time.Now()
	x.mu.Lock()
	push, leaving, cold, grey, limit := x.pushUntil.Sub(now), x.leaving, now.Before(x.coldUntil), x.grey, x.limit
	x.mu.Unlock()
	x.p.record(judge.Arrived{
		Time:         x.p.now(),
		ID:           a.ID,
		Target:       x.name,
		Instance:     s.instance,
		HeldUp:       x.place.heldUp(now),
		Service:      x.place.service,
		Organisation: a.Organisation,
		Credentials:  a.Credentials,
		Method:       a.Method,
		URI:          a.URI,
		Body:         a.Body,
		Model:        a.Model,
		Usage:        a.Usage,
		Parts:        a.Parts,
		Misdirected:  a.Expected != x.id,
		Reserved:     a.Reserved,
		TimeLeft:     a.TimeLeft,
		LastEvent:    a.LastEvent,
		Cold:         cold,
	})
	refusal := fake.Reply{
		ID:          a.ID,
		Leaving:     leaving,
		Limit:       limit,
		NotExecuted: true,
		Framing:     fake.Length,
	}
	switch {
	case !x.worker.Accepts(a):
		refusal.Status = http.StatusMisdirectedRequest
		return s.write(a, 0, refusal, nil, nil)
	case push > 0:
		refusal.Status, refusal.RetryAfter = http.StatusServiceUnavailable, push
		return s.write(a, 0, refusal, nil, nil)
	}
	select {
	case x.queue <- struct{}{}:
	default:
		refusal.Status = http.StatusServiceUnavailable
		return s.write(a, 0, refusal, nil, nil)
	}
	gone, watched := s.watchCaller()
	defer watched()
	reply, run, ok := s.execute(a, gone)
	<-x.queue
	if !ok {
		return false
	}
	sound := x.soundReply(a, leaving)
	if grey && run%2 == 0 {
		sound.Status, sound.Body, sound.ContentType, sound.Framing = http.StatusInternalServerError, "error", "text/plain", fake.Length
	}
	return s.write(a, run, sound, reply.Mutations, gone)
}

// execute waits for a slot and works on a request. It returns how the request is to be answered and
// the number of the run, 0 if there is none, and reports false if the caller or the process went.
func (s *session) execute(a fake.Arrival, gone <-chan struct{}) (Reply, int, bool) {
	x := s.x
	select {
	case x.slots <- struct{}{}:
		defer func() { <-x.slots }()
	case <-gone:
		return Reply{}, 0, false
	case <-x.ctx.Done():
		return Reply{}, 0, false
	}
	arrival := x.p.countArrival(a.ID)
	reply := x.p.replyFor(a.ID, arrival)
	stub := fake.Reply{
		Status: http.StatusOK,
	}
	reply.Mutations.applyReply(&stub)
	// A target that says that it has not executed a request has not.
	if stub.NotExecuted || stub.Status == http.StatusMisdirectedRequest {
		return reply, 0, true
	}
	run := x.p.nextRun()
	x.p.record(judge.Ran{
		Time:   x.p.now(),
		ID:     a.ID,
		Target: x.name,
		Run:    run,
	})
	x.mu.Lock()
	slowBy := x.slowBy
	x.mu.Unlock()
	return reply, run, s.work(gone, x.workOf(a)+reply.Delay+slowBy)
}

// watchCaller returns a channel that is closed when the other end closes the connection, and a
// function that ends the watch.
func (s *session) watchCaller() (<-chan struct{}, func()) {
	gone, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		if _, err := s.br.Peek(1); err != nil && !isTimeout(err) {
			close(gone)
		}
	}()
	return gone, func() {
		// The watch ends by a deadline that has passed; the next read has none.
		_ = s.c.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = s.c.SetReadDeadline(time.Time{})
	}
}

func isTimeout(err error) bool {
	t, ok := err.(interface{ Timeout() bool })
	return ok && t.Timeout()
}

// work waits for the time of a run. It reports false if the caller or the process went.
func (s *session) work(gone <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-gone:
		return false
	case <-s.x.ctx.Done():
		return false
	}
}

// scriptOf returns the script of a reply: events come one after another.
func scriptOf(r fake.Reply, m Mutations) *script {
	m.applyReply(&r)
	parts := []string{r.Body}
	if strings.HasPrefix(r.Body, "id: ") {
		parts = strings.SplitAfter(r.Body, "\n\n")
	}
	s := &script{}
	for i, piece := range r.Pieces(parts) {
		wait := eventWork
		if i <= 1 || piece == "" {
			wait = 0
		}
		s.steps = append(s.steps, step{
			wait: wait,
			data: piece,
		})
	}
	if r.Framing == fake.Close || r.HTTP10 || r.LastResponse {
		s.end = endClose
	}
	m.applyBytes(s)
	return s
}

// write writes a reply as its mutations say and records it. It reports whether the connection may
// be used again.
func (s *session) write(a fake.Arrival, run int, r fake.Reply, m Mutations, gone <-chan struct{}) bool {
	sc := scriptOf(r, m)
	var sent strings.Builder
	if sc.earlier {
		if _, err := io.WriteString(s.c, s.earlier); err != nil {
			return false
		}
		sent.WriteString(s.earlier)
	}
	head, complete := s.writeSteps(sc, &sent, gone)
	// What follows may be taken for the rest of the body.
	switch {
	case sc.noEnd:
		sent.WriteString(strings.Repeat(endlessByte, maxEndlessBody))
	case complete && sc.again && !sc.againNext && !sc.crash:
		sent.WriteString(sc.text())
	}
	s.record(a, run, sc, sent.String(), head, complete)
	if !complete {
		return false
	}
	s.earlier = sc.text()
	switch {
	case sc.noEnd:
		s.writeEndless(gone)
		return false
	case sc.crash:
		s.x.p.crash(s.x, a.ID, sc.crashAfter)
		return false
	case sc.again && sc.againNext:
		s.pending = sc.text()
	case sc.again:
		if !clock.Sleep(s.x.ctx, sc.againAfter) {
			return false
		}
		s.extra = true
		if _, err := io.WriteString(s.c, sc.text()); err != nil {
			return false
		}
	}
	return s.endConn(sc, gone)
}

// endConn ends the connection as a script says. It reports whether it may be used again.
func (s *session) endConn(sc *script, gone <-chan struct{}) bool {
	switch sc.end {
	case "":
		return true
	case endReset:
		socket.Reset(s.c)
	case endHalf:
		if h, ok := s.c.(interface{ CloseWrite() error }); ok {
			// A connection that has ended needs no half close.
			_ = h.CloseWrite()
		}
		s.waitGone(gone)
	case endSilence:
		s.waitGone(gone)
	}
	return false
}

// waitGone waits until the other end has closed the connection.
func (s *session) waitGone(gone <-chan struct{}) {
	select {
	case <-gone:
	case <-s.x.ctx.Done():
	}
}

// writeSteps writes a script. It returns when the head of an answer was written, zero if it was not, and
// whether all could be written.
func (s *session) writeSteps(sc *script, sent *strings.Builder, gone <-chan struct{}) (time.Duration, bool) {
	head := time.Duration(0)
	for _, x := range sc.steps {
		if x.wait > 0 && !s.work(gone, x.wait) {
			return head, false
		}
		if x.data == "" {
			continue
		}
		// Not a byte more than could be sent counts.
		n, err := io.WriteString(s.c, x.data)
		sent.WriteString(x.data[:n])
		if err != nil {
			return head, false
		}
		if head == 0 && strings.Contains(sent.String(), "\r\n\r\n") {
			head = time.Duration(s.x.p.now())
		}
	}
	return head, true
}

func (s *session) writeEndless(gone <-chan struct{}) {
	piece := strings.Repeat(endlessByte, endlessPiece)
	for {
		if _, err := io.WriteString(s.c, piece); err != nil {
			return
		}
		if !s.work(gone, time.Millisecond) {
			return
		}
	}
}

// endsBody reports whether the end of the connection is the end of a body that has no other one.
func (s *script) endsBody() bool {
	return !s.noEnd && (s.end == endClose || s.end == endHalf) && (!s.crash || s.crashAfter > 0)
}

// isWholeStream reports whether a body of events ends behind one. The rest of a stream may be empty if
// its framing says so, a stream is not.
func isWholeStream(resp fake.Response, after int) bool {
	return !resp.Events || endsEvent(resp.Body) || resp.Body == "" && after > 0 && !resp.ToEnd
}

// endsEvent reports whether a body ends with a blank line.
func endsEvent(body string) bool {
	return strings.HasSuffix(body, "\n\n") || strings.HasSuffix(body, "\n\r\n")
}

// record records what a careful reader makes of the bytes that were written.
func (s *session) record(a fake.Arrival, run int, sc *script, sent string, head time.Duration, complete bool) {
	x := s.x
	resp, ok := fake.ReadResponse(bufio.NewReader(strings.NewReader(sent)), a.Method)
	e := judge.Replied{
		Time:     x.p.now(),
		ID:       a.ID,
		Target:   x.name,
		Instance: s.instance,
		Run:      run,
		Garbled:  sc.changed,
		Head:     head,
		HeldUp:   s.preceded || x.p.net.IsCut(x.place.addr.Addr(), addrOf(s.c.RemoteAddr())),
	}
	if ok {
		e.Status, e.ResponseID, e.Signed, e.NotExecuted = resp.Status, resp.ID, resp.Signed, resp.NotExecuted
		e.Encoded, e.Body, e.Leaving, e.ToEnd = resp.Encoded, resp.Body, resp.Leaving, resp.ToEnd
		e.Limit = resp.Limit
		e.Whole = resp.Whole && (!resp.ToEnd || complete && sc.endsBody()) && (a.Model == "" || isWholeStream(resp, a.LastEvent))
		if d, err := time.ParseDuration(resp.RetryAfter + "s"); err == nil {
			e.RetryAfter = d
		}
	}
	x.p.record(e)
}
