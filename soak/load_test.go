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

// kind is a kind of request.
type kind struct {
	name    string
	path    string
	method  string
	adapter bool
	// once means that a request runs once at most.
	once bool
	cost int
}

var kinds = []kind{
	{
		name:    "chat",
		path:    "/chat/",
		method:  http.MethodPost,
		adapter: true,
		once:    true,
		cost:    engineCost,
	},
	{
		name:    "long",
		path:    "/chat/long/",
		method:  http.MethodPost,
		adapter: true,
		cost:    engineCost,
	},
	{
		name:   "book",
		path:   "/book/",
		method: http.MethodPost,
		once:   true,
		cost:   plainCost,
	},
	{
		name:   "look",
		path:   "/look/",
		method: http.MethodGet,
		cost:   plainCost,
	},
}

// events is how many events a stream has.
const events = 6

// body is the whole answer to a request.
func body(id string, stream bool) string {
	if !stream {
		return "answer to " + id
	}
	var b strings.Builder
	for i := range events {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", i+1, id)
	}
	return b.String()
}

// ledger is what callers and targets saw.
type ledger struct {
	mu     sync.Mutex
	kinds  map[string]kind
	runs   map[string]int
	at     []run
	status map[string]int
	broken []string
	served map[string]int
	seen   map[int]int
}

// run is one run at a target.
type run struct {
	at   time.Time
	cost int
}

func newLedger() *ledger {
	return &ledger{
		kinds:  make(map[string]kind),
		runs:   make(map[string]int),
		status: make(map[string]int),
		served: make(map[string]int),
		seen:   make(map[int]int),
	}
}

func (l *ledger) breaks(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = append(l.broken, fmt.Sprintf(format, args...))
}

// serve is what a target does with a request that it runs. Now and then it runs
// nothing, or breaks an answer off.
func (l *ledger) serve(rng *rand.Rand) http.HandlerFunc {
	var mu sync.Mutex
	pick := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rng.IntN(n)
	}
	return func(w http.ResponseWriter, r *http.Request) {
		id := fake.RequestID(r)
		if pick(20) == 0 {
			fake.NotRun(w)
			return
		}
		l.ran(id, r)
		fake.Sign(w)
		stream := strings.HasPrefix(r.URL.Path, "/chat/")
		cut := pick(25) == 0
		time.Sleep(time.Duration(pick(30)) * time.Millisecond)
		whole := body(id, stream)
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
		for i := from + 1; i <= events; i++ {
			if cut && i == events/2 {
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

// ran notes a run at a target.
func (l *ledger) ran(id string, r *http.Request) {
	if fake.Organisation(r) != "org1" || r.Header.Get("Authorization") != "" {
		l.breaks("%s runs for %q, with key %q", id, fake.Organisation(r), r.Header.Get("Authorization"))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	k, ok := l.kinds[id]
	if !ok {
		l.broken = append(l.broken, fmt.Sprintf("%s was never sent", id))
		return
	}
	if l.runs[id]++; k.once && l.runs[id] > 1 {
		l.broken = append(l.broken, fmt.Sprintf("%s (%s) runs %d times", id, k.name, l.runs[id]))
	}
	l.at = append(l.at, run{
		at:   time.Now(),
		cost: k.cost,
	})
}

// caller sends requests over connections that it keeps until they end.
func (f *fleet) caller(l *ledger, number int, rng *rand.Rand, until time.Time) {
	client := &http.Client{
		Timeout:   4 * time.Second,
		Transport: &http.Transport{},
	}
	defer client.CloseIdleConnections()
	for i := 0; time.Now().Before(until); i++ {
		time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
		k := kinds[rng.IntN(len(kinds))]
		l.send(client, f.nodes[rng.IntN(len(f.nodes))], k, fmt.Sprintf("c%d-%d", number, i), "k1", fmt.Sprint("a", rng.IntN(5)))
	}
}

// send sends one request, judges its answer, and returns the status or 0.
func (l *ledger) send(client *http.Client, n *instance, k kind, id, key, adapter string) int {
	l.mu.Lock()
	l.kinds[id] = k
	l.mu.Unlock()
	c := fake.CallerRequest{
		ID:     id,
		Method: k.method,
		Path:   k.path + id,
		Key:    key,
		Wait:   3 * time.Second,
	}
	if k.adapter {
		c.Adapter = adapter
	}
	r, err := c.HTTP(n.callers)
	if err != nil {
		l.breaks("%s cannot be made: %v", id, err)
		return 0
	}
	resp, err := client.Do(r)
	if err != nil {
		l.note(id, 0)
		return 0
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	l.note(id, resp.StatusCode)
	switch {
	case resp.StatusCode == http.StatusOK && err == nil:
		if want := body(id, k.adapter); string(b) != want || !fake.Signed(resp) {
			l.breaks("%s (%s) is answered with %q", id, k.name, b)
		}
		l.mu.Lock()
		l.served[k.name]++
		l.mu.Unlock()
	case err != nil:
		return 0
	}
	return resp.StatusCode
}

func (l *ledger) note(id string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.status[id] = status
	l.seen[status]++
}

// window is the span in which an organisation's tokens are summed, and overshoot by
// how much the sum may exceed its limit; from the platform's settings.
const (
	window    = 8 * time.Second
	overshoot = 1.1
)

// judge checks what can be said only at the end.
func (l *ledger) judge() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	broken := l.broken
	for id, status := range l.status {
		switch status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if l.kinds[id].once && l.runs[id] > 0 {
				broken = append(broken, fmt.Sprintf("%s was answered %d and ran", id, status))
			}
		}
	}
	bound := overshoot * (rate*window.Seconds() + rate)
	first, sum := 0, 0
	for _, r := range l.at {
		sum += r.cost
		for r.at.Sub(l.at[first].at) > window {
			sum -= l.at[first].cost
			first++
		}
		if float64(sum) > bound {
			broken = append(broken, fmt.Sprintf("%d tokens run within %s, bound %.0f", sum, window, bound))
			break
		}
	}
	return broken
}
