//go:build review

package rig

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// deadlyBody is the body of the request that crashes the workers that run it.
	deadlyBody = "a note that crashes its reader"
	// stableWindow is stable_window_ms.
	stableWindow = 3 * time.Second
	// allowedRetries is how many more times the request may reach workers, by the rule.
	allowedRetries = 3
)

// deadly keeps count of the requests that crashed workers.
type deadly struct {
	rig *rig

	mu       sync.Mutex
	arrivals []time.Time
	next     int
}

// crash records the arrival of the request and crashes its worker, which is back under another ID after
// two seconds. Its entry goes after three heartbeats of silence.
func (d *deadly) crash(w *worker, id string) {
	d.mu.Lock()
	d.arrivals = append(d.arrivals, time.Now())
	d.next++
	name := fmt.Sprintf("i-1%03d", d.next)
	d.mu.Unlock()
	d.rig.note("%s crashes worker %s", id, w.id)
	w.end()
	time.AfterFunc(2*time.Second, func() {
		back, err := d.rig.startWorker(name, w.work)
		if err != nil {
			d.rig.note("worker %s not started: %v", name, err)
			return
		}
		back.setDeadly(d)
	})
	time.AfterFunc(3*heartbeatInterval, func() {
		d.rig.store.Write("servers/"+w.id, nil)
	})
}

// judge returns how many workers the request crashed, and how many it reached later than stableWindow after
// it had crashed the third.
func (d *deadly) judge() (ended, more int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	const third = 2
	if len(d.arrivals) <= third {
		return len(d.arrivals), 0
	}
	for _, at := range d.arrivals[third:] {
		if at.Sub(d.arrivals[third]) > stableWindow {
			more++
		}
	}
	return len(d.arrivals), more
}

// sendDeadly sends a copy of the request to a node.
func sendDeadly(r *rig, n *node, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.callers+"/book/7", bytes.NewReader([]byte(deadlyBody)))
	if err != nil {
		return
	}
	req.Host = "a.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Milliseconds", fmt.Sprint(clientDeadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer key-of-dealer")
	r.note("sent %s to %s", id, n.name)
	status := 0
	client := &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	if resp, err := client.Do(req); err == nil {
		status = resp.StatusCode
		_ = resp.Body.Close()
	}
	r.note("answered %s with %d", id, status)
}

// runForget lets a request crash three workers while the store is away, and all instances be killed
// before it is back. Then the request comes again, once to each instance.
func runForget(r *rig, trouble bool) (bool, error) {
	const (
		machines = 6
		away     = 4500 * time.Millisecond
	)
	d := &deadly{
		rig: r,
	}
	workers, err := r.startWorkers(8, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	for _, w := range workers {
		w.setDeadly(d)
	}
	r.store.Write("op/config", bodiesConfig())
	link, err := r.startRelay(r.store.Addr())
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	var nodes []*node
	for i := range machines {
		n, err := r.startNode(nodeOptions{
			name:     fmt.Sprintf("frontend-mobile-yard-%d", i+1),
			zone:     "mobile-yard",
			ip:       fmt.Sprintf("127.0.0.%d", i+2),
			store:    link.addr(),
			memoryMB: 284,
		})
		if err != nil {
			return false, err
		}
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		if err := n.awaitRotation(15 * time.Second); err != nil {
			return false, err
		}
		l := &load{
			rig:    r,
			node:   n,
			method: http.MethodPost,
			path:   "/book/1",
			key:    "key-of-dealer",
			body:   []byte("a sound note"),
			every:  50 * time.Millisecond,
		}
		wg.Go(func() {
			l.run(ctx)
		})
	}
	time.Sleep(6 * time.Second)
	if trouble {
		r.note("the store is away")
		link.setSilent(true)
	}
	gone := time.Now()
	time.Sleep(500 * time.Millisecond)
	for i := range 3 {
		sendDeadly(r, nodes[i%machines], fmt.Sprintf("deadly-first-%d", i))
		time.Sleep(700 * time.Millisecond)
	}
	if trouble {
		time.Sleep(time.Until(gone.Add(away - 500*time.Millisecond)))
		r.note("all processes are killed")
		for _, n := range nodes {
			n.kill()
		}
	}
	time.Sleep(time.Until(gone.Add(away)))
	if trouble {
		r.note("the store is back")
		link.setSilent(false)
	}
	time.Sleep(time.Until(gone.Add(away + 500*time.Millisecond)))
	if trouble {
		for _, n := range nodes {
			if err := n.start(); err != nil {
				return false, err
			}
		}
		r.note("all processes are started again")
	}
	time.Sleep(8 * time.Second)
	for _, n := range nodes {
		if err := n.awaitRotation(10 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * stableWindow)
	r.note("the request comes again, at each machine")
	for i, n := range nodes {
		wg.Go(func() {
			sendDeadly(r, n, fmt.Sprintf("deadly-again-%d", i))
		})
		time.Sleep(30 * time.Millisecond)
	}
	time.Sleep(6 * time.Second)
	cancel()
	wg.Wait()
	ended, more := d.judge()
	line := fmt.Sprintf("%d workers ended under the request; it reached %d workers later than %s after it had crashed the third; the rule allows %d",
		ended, more, stableWindow, allowedRetries)
	r.note("%s", line)
	fmt.Println(line)
	return more <= allowedRetries, nil
}
