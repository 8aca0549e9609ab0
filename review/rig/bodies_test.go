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

// bodiesConfig returns a configuration with one unsafe route, whose limits are those of the users'
// deployments.
func bodiesConfig() []byte {
	return []byte(`{"version":1,"routes":[
 {"name":"credit-book","hostname":"a.example","path_prefix":"/book/","kind":"unsafe","timeout_ms":8000,"target_latency_ms":5000,"priority":2,"service":"app","max_attempts":1}],
"services":[{"name":"app","connection_limit":400}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"dealer","api_keys":["key-of-dealer"],"unit":"tokens","plain_tokens":200}]}`)
}

// residentMB returns the resident memory of a process in MiB.
func residentMB(pid int) (int, error) {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		if text, ok := strings.CutPrefix(s.Text(), "VmRSS:"); ok {
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

// runBodies lets many users come at once, with requests as large as the configuration allows.
func runBodies(r *rig, trouble bool) (bool, error) {
	const (
		memoryMB   = 284
		usual      = time.Second / 8
		burstTimes = 2.7 // one load of the usual rate, and one of 1.7 times that
		burst      = 5 * time.Second
		pause      = 16 * time.Second
		bursts     = 3
	)
	workers, err := r.startWorkers(4, 4*time.Second)
	if err != nil {
		return false, err
	}
	r.store.Write("op/config", bodiesConfig())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var guards []*guard
	var loads []*load
	var wg sync.WaitGroup
	for i, ip := range []string{"127.0.0.2", "127.0.0.3"} {
		o := nodeOptions{
			name:     fmt.Sprintf("entry-buchs-%d", i+1),
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
		l := &load{
			rig:    r,
			node:   n,
			method: http.MethodPost,
			path:   "/book/1",
			key:    "key-of-dealer",
			body:   make([]byte, 4<<20),
			every:  usual,
			wait:   8 * time.Second,
		}
		loads = append(loads, l)
		wg.Go(func() {
			l.run(ctx)
		})
	}
	for i := range bursts {
		time.Sleep(pause)
		if trouble {
			r.note("burst %d: %.1f times the usual traffic for %s", i+1, burstTimes, burst)
			for _, l := range loads {
				more := l.more(usual * 10 / 17)
				burstCtx, end := context.WithTimeout(ctx, burst)
				wg.Go(func() {
					defer end()
					more.run(burstCtx)
				})
				loads = append(loads, more)
			}
		}
		time.Sleep(burst)
	}
	time.Sleep(5 * time.Second)
	cancel()
	wg.Wait()
	summarize(r, loads)
	lost := countUnanswered(loads, workers)
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
