package rig3

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"currantstile/platform/fake"
)

// heartbeatInterval is how often a worker writes its entry.
const heartbeatInterval = 1200 * time.Millisecond

// streamPath is the prefix of the paths whose answers are streams.
const streamPath = "/bulk/"

// worker is a worker of a plain service. It runs as many requests at once as it has slots and queues some more.
type worker struct {
	rig     *rig
	id      string
	service string
	zone    string
	addr    string
	slots   int
	// cold is for how long the worker is cold after a start.
	cold time.Duration
	// work is how long it works on a request.
	work time.Duration

	mu       sync.Mutex
	srv      *http.Server
	ended    chan struct{}
	born     time.Time
	state    string
	running  chan struct{}
	queued   atomic.Int64
	arrivals []arrival
}

// arrival is a request that a worker received.
type arrival struct {
	at     time.Time
	worker string
	id     string
	path   string
	tenant string
	ran    bool
	// ended is when the worker's work on it ended; zero while it lasts.
	ended time.Time
}

// start starts the worker's process: it listens and registers itself.
func (w *worker) start() {
	addr := w.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		panic(cannotRun(err.Error()))
	}
	w.mu.Lock()
	w.addr, w.born, w.state, w.ended = ln.Addr().String(), time.Now(), "ready", make(chan struct{})
	w.running = make(chan struct{}, w.slots)
	w.queued.Store(0)
	srv := &http.Server{
		Handler: w,
	}
	w.srv = srv
	ended := w.ended
	w.mu.Unlock()
	w.rig.record.add("worker", "%s starts, cold for %v", w.id, w.cold)
	w.register()
	go func() {
		_ = srv.Serve(ln)
	}()
	go func() {
		t := time.NewTicker(heartbeatInterval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				w.register()
			case <-ended:
				return
			}
		}
	}()
}

// register writes the worker's entry.
func (w *worker) register() {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.ended:
		return
	default:
	}
	cold := max(w.cold-time.Since(w.born), 0)
	w.rig.store.Write(fake.WorkerPrefix+w.id, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"sequence":%d,"cold_remaining_ms":%d,"born":%d,"models":[]}`,
		w.service, w.addr, w.zone, w.slots, w.state, time.Since(w.born)/heartbeatInterval, cold.Milliseconds(), w.born.UnixMilli()))
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.mu.Lock()
	running := w.running
	w.mu.Unlock()
	rw.Header().Set("X-Request-Id", id)
	rw.Header().Set("X-Instance-Load", fmt.Sprintf("%d,%d,%d", len(running), w.queued.Load(), w.slots))
	if r.Header.Get("X-Expect-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.queued.Add(1) > int64(4*w.slots) {
		w.queued.Add(-1)
		_ = w.note(r, false)
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case running <- struct{}{}:
		w.queued.Add(-1)
	case <-r.Context().Done():
		w.queued.Add(-1)
		return
	}
	defer func() {
		<-running
	}()
	i := w.note(r, true)
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
	}
	defer w.end(i)
	if r.Context().Err() != nil {
		return
	}
	rw.Header().Set("X-Response-Signature", "sig-"+w.id)
	text := "answer to " + id + " of " + strconv.Itoa(len(body)) + " bytes by " + w.id
	if strings.HasPrefix(r.URL.Path, streamPath) {
		rw.Header().Set("Content-Type", "text/event-stream")
		text = "id: 1\ndata: " + text + "\n\nid: 2\ndata: end\n\n"
	}
	rw.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(rw, text)
}

// end records the end of the work on an arrival.
func (w *worker) end(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := &w.arrivals[i]
	a.ended = time.Now()
	w.rig.record.add("end", "%s at %s after %v", a.id, w.id, a.ended.Sub(a.at).Round(time.Millisecond))
}

// note records an arrival and returns its place in the list.
func (w *worker) note(r *http.Request, ran bool) int {
	a := arrival{
		at:     time.Now(),
		worker: w.id,
		id:     r.Header.Get("X-Request-Id"),
		path:   r.URL.Path,
		tenant: r.Header.Get("X-Tenant"),
		ran:    ran,
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, a)
	w.rig.record.add("run", "%s at %s, ran %v", a.id, w.id, ran)
	return len(w.arrivals) - 1
}

// list returns the arrivals so far.
func (w *worker) list() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]arrival(nil), w.arrivals...)
}
