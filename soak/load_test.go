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

// requestKind is a kind of request.
type requestKind struct {
	name    string
	path    string
	method  string
	adapter bool
	// atMostOnce means that a request runs once at most.
	atMostOnce bool
	cost       int
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

// streamEvents is how many events a stream has.
const streamEvents = 6

// responseBody is the whole answer to a request.
func responseBody(id string, stream bool) string {
	if !stream {
		return "answer to " + id
	}
	var b strings.Builder
	for i := range streamEvents {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", i+1, id)
	}
	return b.String()
}

// recorder is what callers and targets saw.
type recorder struct {
	mu                sync.Mutex
	kindByID          map[string]requestKind
	runsByID          map[string]int
	runs              []targetRun
	statusByID        map[string]int
	violations        []string
	servedByKind      map[string]int
	responsesByStatus map[int]int
}

// targetRun is one run at a target.
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
	}
}

func (l *recorder) addViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// targetHandler is what a target does with a request that it runs. Now and then it runs
// nothing, or breaks an answer off.
func (l *recorder) targetHandler(rng *rand.Rand) http.HandlerFunc {
	var mu sync.Mutex
	pick := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rng.IntN(n)
	}
	return func(w http.ResponseWriter, r *http.Request) {
		id := fake.RequestID(r)
		if pick(20) == 0 {
			fake.RejectNotExecuted(w)
			return
		}
		l.recordRun(id, r)
		fake.SetSignature(w)
		stream := strings.HasPrefix(r.URL.Path, "/chat/")
		cut := pick(25) == 0
		time.Sleep(time.Duration(pick(30)) * time.Millisecond)
		whole := responseBody(id, stream)
		if !stream {
			w.Header().Set("Content-Length", fmt.Sprint(len(whole)))
			if cut {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, whole)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		from := 0
		_, _ = fmt.Sscanf(r.Header.Get("Last-Event-Id"), "%d", &from)
		for i := from + 1; i <= streamEvents; i++ {
			if cut && i == streamEvents/2 {
				_, _ = io.WriteString(w, "id: 77\nda")
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, id)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// recordRun notes a run at a target.
func (l *recorder) recordRun(id string, r *http.Request) {
	if fake.Organisation(r) != "org1" || r.Header.Get("Authorization") != "" {
		l.addViolation("%s runs for %q, with key %q", id, fake.Organisation(r), r.Header.Get("Authorization"))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	k, ok := l.kindByID[id]
	if !ok {
		l.violations = append(l.violations, fmt.Sprintf("%s was never sent", id))
		return
	}
	if l.runsByID[id]++; k.atMostOnce && l.runsByID[id] > 1 {
		l.violations = append(l.violations, fmt.Sprintf("%s (%s) runs %d times", id, k.name, l.runsByID[id]))
	}
	l.runs = append(l.runs, targetRun{
		at:   time.Now(),
		cost: k.cost,
	})
}

// runCaller sends requests over connections that it keeps until they end.
func (f *testEnv) runCaller(l *recorder, number int, rng *rand.Rand, until time.Time) {
	client := &http.Client{
		Timeout:   4 * time.Second,
		Transport: &http.Transport{},
	}
	defer client.CloseIdleConnections()
	for i := 0; time.Now().Before(until); i++ {
		time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
		k := requestKinds[rng.IntN(len(requestKinds))]
		l.send(client, f.instances[rng.IntN(len(f.instances))], k, fmt.Sprintf("c%d-%d", number, i), "k1", fmt.Sprint("a", rng.IntN(5)))
	}
}

// send sends one request, judges its answer, and returns the status or 0.
func (l *recorder) send(client *http.Client, n *instance, k requestKind, id, key, adapter string) int {
	l.mu.Lock()
	l.kindByID[id] = k
	l.mu.Unlock()
	c := fake.CallerRequest{
		ID:      id,
		Method:  k.method,
		Path:    k.path + id,
		Key:     key,
		Timeout: 3 * time.Second,
	}
	if k.adapter {
		c.Adapter = adapter
	}
	r, err := c.HTTPRequest(n.callerAddr)
	if err != nil {
		l.addViolation("%s cannot be made: %v", id, err)
		return 0
	}
	resp, err := client.Do(r)
	if err != nil {
		l.recordStatus(id, 0)
		return 0
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	l.recordStatus(id, resp.StatusCode)
	switch {
	case resp.StatusCode == http.StatusOK && err == nil:
		if want := responseBody(id, k.adapter); string(b) != want || !fake.HasSignature(resp) {
			l.addViolation("%s (%s) is answered with %q", id, k.name, b)
		}
		l.mu.Lock()
		l.servedByKind[k.name]++
		l.mu.Unlock()
	case err != nil:
		return 0
	}
	return resp.StatusCode
}

func (l *recorder) recordStatus(id string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statusByID[id] = status
	l.responsesByStatus[status]++
}

// window is the span in which an organisation's tokens are summed, and overshoot by
// how much the sum may exceed its limit; from the platform's settings.
const (
	rateWindow    = 8 * time.Second
	rateTolerance = 1.1
)

// finalViolations checks what can be said only at the end.
func (l *recorder) finalViolations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	broken := l.violations
	for id, status := range l.statusByID {
		switch status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if l.kindByID[id].atMostOnce && l.runsByID[id] > 0 {
				broken = append(broken, fmt.Sprintf("%s was answered %d and ran", id, status))
			}
		}
	}
	bound := rateTolerance * (orgRate*rateWindow.Seconds() + orgRate)
	first, sum := 0, 0
	for _, r := range l.runs {
		sum += r.cost
		for r.at.Sub(l.runs[first].at) > rateWindow {
			sum -= l.runs[first].cost
			first++
		}
		if float64(sum) > bound {
			broken = append(broken, fmt.Sprintf("%d tokens run within %s, bound %.0f", sum, rateWindow, bound))
			break
		}
	}
	return broken
}
