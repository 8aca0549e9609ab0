package rig2

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"currantstile/platform/fake"
)

const (
	// noticeTime is the time between the notice of a worker that is taken away and its end.
	noticeTime = 2 * time.Second
	// bulkEvents and bulkPause make a stream of 5.7 s.
	bulkEvents = 20
	bulkPause  = 300 * time.Millisecond
	// bulkStreams is how many run at the worker; they begin within bulkSpread of each other.
	bulkStreams = 12
	bulkSpread  = 900 * time.Millisecond
	// noticeAfter is when the notice comes after the first stream began: all streams end before the worker does.
	noticeAfter = 4900 * time.Millisecond
)

// bulkRoute is a route whose streams may be resumed, before the others.
const bulkRoute = `"routes":[{"name":"bulk","hostname":"a.example","path_prefix":"/bulk/","kind":"streaming","timeout_ms":15000,` +
	`"target_latency_ms":1000,"priority":2,"service":"llm","max_attempts":2,"resumable":true,"target_gap_ms":400},`

func init() {
	cases["9"] = playMoved
}

// bulkRuns are the streams of a worker.
type bulkRuns struct {
	*worker
	whole, running atomic.Int64
}

// serve answers with events, after the last one that the request names.
func (b *bulkRuns) serve(rw http.ResponseWriter, req *http.Request) {
	b.running.Add(1)
	defer b.running.Add(-1)
	fake.SetSignature(rw)
	rw.Header().Set("Content-Type", "text/event-stream")
	// A request without the field starts before the first event.
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	for e := after + 1; e <= bulkEvents; e++ {
		_, err := fmt.Fprintf(rw, "id: %d\ndata: event %d of %d\n\n", e, e, bulkEvents)
		if err != nil || http.NewResponseController(rw).Flush() != nil || req.Context().Err() != nil {
			b.rig.logf("worker %s: %s is broken off by the instance before event %d", b.ID, req.Header.Get("X-Request-Id"), e)
			return
		}
		if e < bulkEvents {
			time.Sleep(bulkPause)
		}
	}
	b.whole.Add(1)
	b.rig.logf("worker %s: %s ran to its end", b.ID, req.Header.Get("X-Request-Id"))
}

// playMoved takes one of the model workers away at short notice, the one that sends the streams of an adapter and ends
// them all in time; the others are idle. Without the trouble no notice comes.
func playMoved(r *rig) bool {
	r.startPlatform()
	r.store.Write(fake.ConfigKey, []byte(strings.Replace(fmt.Sprintf(config, 2), `"routes":[`, bulkRoute, 1)))
	var workers []*bulkRuns
	for i := range modelWorkers {
		b := &bulkRuns{
			worker: r.startWorker(fmt.Sprintf("i-llm%d", i), "llm"),
		}
		b.SetHandler(b.serve)
		workers = append(workers, b)
	}
	n := r.startNode(r.store.Addr())
	r.waitReady(n)
	time.Sleep(4 * time.Second)
	began := time.Now()
	var wg sync.WaitGroup
	var cut atomic.Int64
	for i := range bulkStreams {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * bulkSpread / bulkStreams)
			if !r.streamOnKept(n, "bulk", "/bulk/", i) {
				cut.Add(1)
			}
		})
	}
	time.Sleep(time.Until(began.Add(noticeAfter)))
	home := slices.MaxFunc(workers, func(a, b *bulkRuns) int {
		return cmp.Compare(a.running.Load(), b.running.Load())
	})
	r.logf("%d of %d streams run at worker %s", home.running.Load(), bulkStreams, home.ID)
	if r.trouble {
		text := string(home.Entry("llm", "draining", home.ln.Addr().String()))
		r.store.Write(fake.WorkerPrefix+home.ID, []byte(strings.Replace(text, `"state":`, fmt.Sprintf(`"remaining_ms":%d,"state":`, noticeTime.Milliseconds()), 1)))
		r.logf("worker %s: the store has its notice: draining, it is gone in %s", home.ID, noticeTime)
	}
	wg.Wait()
	whole := int64(0)
	for _, b := range workers {
		whole += b.whole.Load()
	}
	r.logf("streams that ran to their end: %d of %d; broken off at the client: %d; the last one ended %s after the first began", whole, bulkStreams, cut.Load(), time.Since(began))
	return cut.Load() > 3
}
