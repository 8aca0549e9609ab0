//go:build review

package rig

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// bodiesConfig returns a configuration with an unsafe and a safe route, whose limits are those of the users'
// deployments.
func bodiesConfig() []byte {
	return []byte(`{"version":1,"routes":[
 {"name":"consign-book","hostname":"a.example","path_prefix":"/book/","kind":"unsafe","timeout_ms":8000,"target_latency_ms":5000,"priority":2,"service":"app","max_attempts":1},
 {"name":"stock-lookup","hostname":"a.example","path_prefix":"/look/","kind":"safe","timeout_ms":8000,"target_latency_ms":5000,"priority":2,"service":"app","max_attempts":1}],
"services":[{"name":"app","connection_limit":400}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"dealer","api_keys":["key-of-dealer"],"unit":"tokens","plain_tokens":200}]}`)
}

// residentMB returns the resident memory of a process in MiB, without the pages of its program file.
func residentMB(pid int) (int, error) {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		if text, ok := strings.CutPrefix(s.Text(), "RssAnon:"); ok {
			kb, err := strconv.Atoi(strings.Fields(text)[0])
			return kb >> 10, err
		}
	}
	return 0, fmt.Errorf("process %d has no resident memory", pid)
}

// guard is the platform's guard of one machine's memory: it kills the process when that exceeds its
// limit, and starts it again after a second.
type guard struct {
	rig  *rig
	node *node
	opts nodeOptions

	mu    sync.Mutex
	peak  int
	kills int
}

// run guards until ctx ends.
func (g *guard) run(ctx context.Context) {
	for ctx.Err() == nil {
		mb, err := residentMB(g.node.pid())
		g.mu.Lock()
		g.peak = max(g.peak, mb)
		over := err == nil && mb > g.opts.memoryMB
		if over {
			g.kills++
		}
		g.mu.Unlock()
		if over {
			g.rig.note("node %s has %d MiB of %d: its process is killed", g.node.name, mb, g.opts.memoryMB)
			g.node.kill()
			time.Sleep(time.Second)
			if ctx.Err() == nil && g.node.start() != nil {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// runBodies lets many users come at once with one of two kinds of request, which is as large as the
// configuration allows.
func runBodies(r *rig, trouble bool) (bool, error) {
	const (
		memoryMB = 284
		usual    = time.Second / 8
		// In a burst as many again and 0.7 times as many come: 2.7 times the usual.
		more    = usual * 10 / 17
		lookups = time.Second / 20
		burst   = 5 * time.Second
		pause   = 14 * time.Second
		bursts  = 4
	)
	workers, err := r.startWorkers(4, 4*time.Second)
	if err != nil {
		return false, err
	}
	r.store.Write("op/config", bodiesConfig())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var guards []*guard
	var usualLoads, allLoads []*load
	var wg sync.WaitGroup
	for i, ip := range []string{"127.0.0.2", "127.0.0.3"} {
		o := nodeOptions{
			name:     fmt.Sprintf("frontend-mobile-yard-%d", i+1),
			zone:     "mobile-yard",
			ip:       ip,
			store:    r.store.Addr(),
			memoryMB: memoryMB,
		}
		n, err := r.startNode(o)
		if err != nil {
			return false, err
		}
		if err := n.awaitRotation(15 * time.Second); err != nil {
			return false, err
		}
		g := &guard{
			rig:  r,
			node: n,
			opts: o,
		}
		guards = append(guards, g)
		wg.Go(func() {
			g.run(ctx)
		})
		book := &load{
			rig:    r,
			node:   n,
			method: http.MethodPost,
			path:   "/book/1",
			key:    "key-of-dealer",
			body:   make([]byte, 4<<20),
			every:  usual,
			wait:   8 * time.Second,
			group:  "-book",
		}
		look := &load{
			rig:    r,
			node:   n,
			method: http.MethodGet,
			path:   "/look/1",
			key:    "key-of-dealer",
			every:  lookups,
			wait:   8 * time.Second,
			group:  "-look",
		}
		usualLoads, allLoads = append(usualLoads, book), append(allLoads, book, look)
		for _, l := range []*load{book, look} {
			wg.Go(func() {
				l.run(ctx)
			})
		}
	}
	for i := range bursts {
		time.Sleep(pause)
		if trouble {
			r.note("burst %d of one kind of request: 2.7 times its usual traffic for %s", i+1, burst)
			for _, l := range usualLoads {
				extra := l.more(more, fmt.Sprintf("-burst%d", i+1))
				burstCtx, end := context.WithTimeout(ctx, burst)
				wg.Go(func() {
					defer end()
					extra.run(burstCtx)
				})
				allLoads = append(allLoads, extra)
			}
		}
		time.Sleep(burst)
	}
	time.Sleep(5 * time.Second)
	cancel()
	wg.Wait()
	summarize(r, allLoads)
	lost := countUnanswered(allLoads, workers)
	often := 0
	for _, g := range guards {
		line := fmt.Sprintf("node %s: at most %d MiB of %d, killed %d times", g.node.name, g.peak, memoryMB, g.kills)
		r.note("%s", line)
		fmt.Println(line)
		if g.kills >= 3 {
			often++
		}
	}
	line := fmt.Sprintf("%d requests ran and got no answer", lost)
	r.note("%s", line)
	fmt.Println(line)
	return often < 2, nil
}

// countUnanswered counts the requests that ran at a worker and got no answer.
func countUnanswered(loads []*load, workers []*worker) int {
	ran := make(map[string]bool)
	for _, w := range workers {
		for _, a := range w.ran() {
			ran[a.id] = true
		}
	}
	n := 0
	for _, l := range loads {
		for _, s := range l.all() {
			if ran[s.id] && s.status == 0 {
				n++
			}
		}
	}
	return n
}
