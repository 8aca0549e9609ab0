package rig2

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"currantstile/platform/fake"
)

const (
	// leaseOffset is added to the store's numbers of leases: they are those of a store that draws them from 53 bits, the
	// whole numbers that JSON holds exactly.
	leaseOffset = uint64(1) << 45
	// awayTime is for how long the store is away in the drill, and copyAge how old the copy is from which it returns.
	awayTime = time.Second
	copyAge  = 3 * time.Second
	// recoveryTime is recovery_s, and judgedTime for how long requests are judged after it.
	recoveryTime = 12 * time.Second
	judgedTime   = 8 * time.Second
	// beatTime is heartbeat_interval_ms.
	beatTime = 1200 * time.Millisecond
)

func init() {
	cases["10"] = playDrill
}

// drillStore is the store, with large numbers of leases, which can be away.
type drillStore struct {
	*fake.Store
	away atomic.Bool
}

// serve answers a call.
func (s *drillStore) serve(w http.ResponseWriter, r *http.Request, process http.Handler) {
	if s.away.Load() {
		panic(http.ErrAbortHandler)
	}
	// The stand-in leaves the header out until the first drill.
	w.Header().Set("Store-Era", "0")
	switch {
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"), strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		i := strings.LastIndex(r.URL.Path, "/") + 1
		n, _ := strconv.ParseUint(r.URL.Path[i:], 10, 64)
		r.URL.Path = r.URL.Path[:i] + strconv.FormatUint(inner(n), 10)
	case r.URL.Path == "/kv-txn":
		r.Body = io.NopCloser(bytes.NewReader(innerLeases(r)))
	case r.URL.Path == "/kv-lease":
		grant(w, r, process)
		return
	}
	process.ServeHTTP(w, r)
}

// unknownLease is the number of no lease.
const unknownLease = uint64(1) << 40

// inner returns the number of the stand-in for a lease; that of no lease for a number that was not given out.
func inner(lease uint64) uint64 {
	switch {
	case lease == 0:
		return 0
	case lease <= leaseOffset:
		return unknownLease
	default:
		return lease - leaseOffset
	}
}

// innerLeases returns the body of a write with the stand-in's numbers of leases.
func innerLeases(r *http.Request) []byte {
	var t map[string]any
	d := json.NewDecoder(r.Body)
	d.UseNumber()
	if d.Decode(&t) != nil {
		return nil
	}
	puts, _ := t["puts"].([]any)
	for _, p := range puts {
		if item, ok := p.(map[string]any); ok && item["lease"] != nil {
			n, _ := strconv.ParseUint(fmt.Sprint(item["lease"]), 10, 64)
			item["lease"] = inner(n)
		}
	}
	b, _ := json.Marshal(t)
	return b
}

// grant grants a lease and answers with its large number.
func grant(w http.ResponseWriter, r *http.Request, process http.Handler) {
	rec := httptest.NewRecorder()
	process.ServeHTTP(rec, r)
	var b map[string]uint64
	if json.Unmarshal(rec.Body.Bytes(), &b) == nil && b["lease"] > 0 {
		b["lease"] += leaseOffset
	}
	for name, values := range rec.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(rec.Code)
	_ = json.NewEncoder(w).Encode(b)
}

// playDrill serves, lets the store return from a copy, and ends with the final fault: all processes are killed and started
// again. Without the trouble the store stays as it is.
func playDrill(r *rig) bool {
	r.startPlatform()
	workers := []*worker{r.startWorker("i-llm0", "llm"), r.startWorker("i-llm1", "llm")}
	s := &drillStore{
		Store: r.store,
	}
	r.store.Intercept(s.serve)
	stop := make(chan struct{})
	defer close(stop)
	go r.beat(s, workers, stop)
	var nodes []*node
	for range 3 {
		nodes = append(nodes, r.startNode(r.store.Addr()))
	}
	r.waitReady(nodes...)
	time.Sleep(3 * time.Second)
	before := r.served("before the final fault", nodes, 3*time.Second)
	if r.trouble {
		s.away.Store(true)
		r.logf("the store is away")
		time.Sleep(awayTime)
		era, revision := r.store.Rewind(fake.Rewind{
			Age:        copyAge,
			KeepLeases: true,
		})
		s.away.Store(false)
		r.logf("the store is back from a copy, %s old: era %d, revision %d; operator and workers have written again", copyAge, era, revision)
	}
	for _, n := range nodes {
		r.signal(n, syscall.SIGKILL)
	}
	for _, n := range nodes {
		r.restart(n)
	}
	time.Sleep(recoveryTime)
	after := r.served("later than recovery_s after the machines are back", nodes, judgedTime)
	if before < 0.25 {
		r.Fatalf("too little was served before the fault")
	}
	return after < 0.25
}

// beat writes the entries of workers again and again.
func (r *rig) beat(s *drillStore, workers []*worker, stop <-chan struct{}) {
	for i := 2; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(beatTime):
		}
		if s.away.Load() {
			continue
		}
		for _, w := range workers {
			text := string(w.Entry(w.service, "ready", w.ln.Addr().String()))
			r.store.Write(fake.WorkerPrefix+w.ID, []byte(strings.Replace(text, `"sequence":1`, fmt.Sprintf(`"sequence":%d`, i), 1)))
		}
	}
}

// served sends a request to each instance every 200 ms, for a time, and returns which share of them was served.
func (r *rig) served(when string, nodes []*node, d time.Duration) float64 {
	sent, ok := 0, 0
	answers := make(map[string]int)
	for i, began := 0, time.Now(); time.Since(began) < d; i++ {
		for _, n := range nodes {
			a := send(n, fake.CallerRequest{
				ID:      fmt.Sprintf("look-%s-%d-%d", n.name, i, time.Now().UnixNano()),
				Method:  http.MethodGet,
				Path:    fmt.Sprintf("/look/%d", i),
				Key:     "k1",
				Timeout: 2 * time.Second,
			})
			sent++
			answers[fmt.Sprintf("status %d, error %t", a.status, a.err != nil)]++
			if a.status == http.StatusOK && a.signed && a.err == nil {
				ok++
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	r.logf("%s: %d of %d requests served; %v", when, ok, sent, answers)
	for _, n := range nodes {
		r.logf("%s says that it is ready: %t", n.name, n.isReady())
	}
	return float64(ok) / float64(max(sent, 1))
}
