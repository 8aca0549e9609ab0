package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"currantstile/platform/fake"
)

// requestKind is a kind of request that callers send.
type requestKind struct {
	name   string
	path   string
	method string
	// adapter reports whether requests name an adapter and get a stream in response.
	adapter bool
	// atMostOnce reports whether targets may execute a request only once.
	atMostOnce bool
	// cost is the charge for one request in tokens.
	cost int
}

var requestKinds = []requestKind{
	{
		name:       "chat",
		path:       "/chat/",
		method:     http.MethodPost,
		adapter:    true,
		atMostOnce: true,
		cost:       engineCost,
	},
	{
		name:    "long",
		path:    "/chat/long/",
		method:  http.MethodPost,
		adapter: true,
		cost:    engineCost,
	},
	{
		name:       "book",
		path:       "/book/",
		method:     http.MethodPost,
		atMostOnce: true,
		cost:       plainCost,
	},
	{
		name:   "look",
		path:   "/look/",
		method: http.MethodGet,
		cost:   plainCost,
	},
}

// streamEvents is the number of events in a complete stream.
const streamEvents = 6

// streamEvent returns an event of the stream that answers a request.
func streamEvent(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", number, id)
}

// responseBody returns the body of the complete response to a request, without the given
// number of events.
func responseBody(id string, stream bool, without int) string {
	if !stream {
		return "answer to " + id
	}
	var b strings.Builder
	for i := without; i < streamEvents; i++ {
		b.WriteString(streamEvent(id, i+1))
	}
	return b.String()
}

// recorder records requests, executions and responses as callers and targets observe them,
// and the violations found in them.
type recorder struct {
	mu                sync.Mutex
	kindByID          map[string]requestKind
	runsByID          map[string]int
	runs              []targetRun
	statusByID        map[string]int
	violations        []string
	servedByKind      map[string]int
	responsesByStatus map[int]int
	// crashes are the times at which engines crashed on a prompt.
	crashes []time.Time
	// reached are the requests that targets received, and lost those whose connection ended
	// without an answer.
	reached map[string]bool
	lost    []lostRequest
}

// targetRun is the execution of a request at a target.
type targetRun struct {
	at   time.Time
	cost int
}

func newRecorder() *recorder {
	return &recorder{
		kindByID:          make(map[string]requestKind),
		runsByID:          make(map[string]int),
		statusByID:        make(map[string]int),
		servedByKind:      make(map[string]int),
		responsesByStatus: make(map[int]int),
		reached:           make(map[string]bool),
	}
}

func (rec *recorder) addViolation(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.violations = append(rec.violations, fmt.Sprintf(format, args...))
}

// crashingPart is the part of a prompt on which engines crash.
const crashingPart = "bad0"

// engineHandler returns the handler of requests at an engine, which crashes in the first event
// of its answer to a prompt with crashingPart.
func (e *testEnv) engineHandler(w *fake.Worker, rng *rand.Rand) http.HandlerFunc {
	next := e.rec.targetHandler(rng)
	return func(rw http.ResponseWriter, r *http.Request) {
		if !fake.HasPart(r, crashingPart) {
			next(rw, r)
			return
		}
		e.rec.recordRun(fake.RequestID(r), r)
		fake.SetSignature(rw)
		_, _ = io.WriteString(rw, "id: 1\nda")
		_ = http.NewResponseController(rw).Flush()
		e.rec.mu.Lock()
		e.rec.crashes = append(e.rec.crashes, time.Now())
		e.rec.mu.Unlock()
		e.crashEngine(w)
	}
}

// crashCount returns the number of engines that crashed on a prompt.
func (rec *recorder) crashCount() int {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return len(rec.crashes)
}

// sendCrashing sends a request with crashingPart and returns the status of its response.
func (rec *recorder) sendCrashing(n *instance, id string) int {
	client := &http.Client{
		Timeout: 4 * time.Second,
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	return rec.sendPart(client, n, requestKinds[0], id, "k1", "a0", crashingPart)
}

// targetHandler returns the handler of requests at a target. It rejects about 1 in 20
// requests as not executed and breaks off about 1 in 25 of the other responses, and 1 in 4
// of those that resume a stream.
// A nil rng makes it answer each request soundly.
func (rec *recorder) targetHandler(rng *rand.Rand) http.HandlerFunc {
	var mu sync.Mutex
	pick := func(n int) int {
		if rng == nil {
			return n - 1
		}
		mu.Lock()
		defer mu.Unlock()
		return rng.IntN(n)
	}
	return func(w http.ResponseWriter, r *http.Request) {
		id := fake.RequestID(r)
		rec.recordReached(id)
		if pick(20) == 0 {
			fake.RejectNotExecuted(w)
			return
		}
		rec.recordRun(id, r)
		stream := strings.HasPrefix(r.URL.Path, "/chat/")
		from := 0
		_, _ = fmt.Sscanf(r.Header.Get("Last-Event-Id"), "%d", &from)
		time.Sleep(time.Duration(pick(30)) * time.Millisecond)
		if from == 0 && pick(25) == 0 || from > 0 && pick(4) == 0 {
			breakOff(responseBody(id, stream, from), stream, pick).WriteTo(w, r)
			return
		}
		fake.SetSignature(w)
		if !stream {
			full := responseBody(id, stream, from)
			w.Header().Set("Content-Length", fmt.Sprint(len(full)))
			_, _ = io.WriteString(w, full)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for i := from; i < streamEvents; i++ {
			_, _ = io.WriteString(w, streamEvent(id, i+1))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// breakOff returns an answer that breaks off at a random byte, in a random framing, with or
// without a reset. One that ends with its connection breaks off before the end of its first
// event: later a link that cuts it between two events would leave no trace of that.
func breakOff(body string, stream bool, pick func(int) int) fake.Answer {
	a := fake.Answer{
		Body:    body,
		Framing: []string{fake.Length, fake.Chunks, fake.Close}[pick(3)],
		Reset:   pick(2) == 0,
	}
	if !stream && a.Framing == fake.Close {
		a.Framing = fake.Length
	}
	end := len(body)
	if a.Framing == fake.Close {
		end = strings.Index(body+"\n\n", "\n\n")
	}
	a.Cut = pick(max(end, 1))
	return a
}

// recordRun records that a target executes a request. It is a violation if the request
// names another organisation, carries the caller's key, was never sent, or runs again
// although it may run at most once.
func (rec *recorder) recordRun(id string, r *http.Request) {
	if fake.Organisation(r) != "org1" || r.Header.Get("Authorization") != "" {
		rec.addViolation("%s runs for organisation %q, with credentials %q", id, fake.Organisation(r), r.Header.Get("Authorization"))
	}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	k, ok := rec.kindByID[id]
	if !ok {
		rec.violations = append(rec.violations, fmt.Sprintf("%s runs, but no caller sent it", id))
		return
	}
	if rec.runsByID[id]++; k.atMostOnce && rec.runsByID[id] > 1 {
		rec.violations = append(rec.violations, fmt.Sprintf("%s (%s) runs %d times, at most once allowed", id, k.name, rec.runsByID[id]))
	}
	rec.runs = append(rec.runs, targetRun{
		at:   time.Now(),
		cost: k.cost,
	})
}

// runCaller sends random requests to random instances until the given time, over persistent
// connections.
func (e *testEnv) runCaller(rec *recorder, number int, rng *rand.Rand, until time.Time) {
	client := &http.Client{
		Timeout:   4 * time.Second,
		Transport: &http.Transport{},
	}
	defer client.CloseIdleConnections()
	for i := 0; time.Now().Before(until); i++ {
		time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
		k := requestKinds[rng.IntN(len(requestKinds))]
		rec.send(client, e.instances[rng.IntN(len(e.instances))], k, fmt.Sprintf("c%d-%d", number, i), "k1", fmt.Sprint("a", rng.IntN(5)))
	}
}

// send sends a request and checks the response. It returns the response's status, or 0 if
// no complete response was received.
func (rec *recorder) send(client *http.Client, n *instance, k requestKind, id, key, adapter string) int {
	return rec.sendPart(client, n, k, id, key, adapter, "")
}

// sendPart is send with the part that the prompt shares with others.
func (rec *recorder) sendPart(client *http.Client, n *instance, k requestKind, id, key, adapter, part string) int {
	rec.mu.Lock()
	rec.kindByID[id] = k
	rec.mu.Unlock()
	c := fake.CallerRequest{
		ID:      id,
		Method:  k.method,
		Path:    k.path + id,
		Key:     key,
		Timeout: 3 * time.Second,
	}
	if k.adapter {
		c.Adapter, c.Part = adapter, part
	}
	r, err := c.HTTPRequest(n.callerAddr)
	if err != nil {
		rec.addViolation("creating request %s failed: %v", id, err)
		return 0
	}
	start := time.Now()
	resp, err := client.Do(r)
	if err != nil {
		rec.recordStatus(id, 0)
		rec.recordLost(n, id, start, err)
		return 0
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	rec.recordStatus(id, resp.StatusCode)
	switch {
	case resp.StatusCode == http.StatusOK && err == nil:
		if want := responseBody(id, k.adapter, 0); string(b) != want || !fake.HasSignature(resp) {
			rec.addViolation("%s (%s): response with a wrong body or no signature: %q", id, k.name, b)
		}
		rec.mu.Lock()
		rec.servedByKind[k.name]++
		rec.mu.Unlock()
	case err != nil:
		return 0
	}
	return resp.StatusCode
}

// recordStatus records the status that a caller received, or 0 if it got no response.
func (rec *recorder) recordStatus(id string, status int) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.statusByID[id] = status
	rec.responsesByStatus[status]++
}

// rateWindow is the period over which an organisation's tokens are summed, and rateTolerance
// the factor by which the sum may exceed the rate and burst; both are from the platform's
// settings.
const (
	rateWindow    = 8 * time.Second
	rateTolerance = 1.1
)

// finalViolations returns the recorded violations and those that are visible only at the
// end: requests that were executed although their response says that they were not, and
// more tokens within rateWindow than the organisation's rate and burst allow.
func (rec *recorder) finalViolations() []string {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	violations := append(rec.violations, rec.lostViolations()...)
	for id, status := range rec.statusByID {
		switch status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if rec.kindByID[id].atMostOnce && rec.runsByID[id] > 0 {
				violations = append(violations, fmt.Sprintf("%s was executed, but answered with status %d", id, status))
			}
		}
	}
	bound := rateTolerance * (orgRate*rateWindow.Seconds() + orgRate)
	first, sum := 0, 0
	for _, r := range rec.runs {
		sum += r.cost
		for r.at.Sub(rec.runs[first].at) > rateWindow {
			sum -= rec.runs[first].cost
			first++
		}
		if float64(sum) > bound {
			violations = append(violations, fmt.Sprintf("targets executed %d tokens within %s, bound %.0f", sum, rateWindow, bound))
			break
		}
	}
	return violations
}
