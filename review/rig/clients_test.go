//go:build review

package rig

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// sent is a request of a client.
type sent struct {
	id     string
	node   string
	at     time.Time
	status int
	signed bool
}

// load is a group of clients that send requests to one node at a steady rate while it is in rotation.
type load struct {
	rig    *rig
	node   *node
	method string
	path   string
	key    string
	body   []byte
	every  time.Duration
	// wait is how long a client waits; 0 means clientDeadline.
	wait time.Duration
	// group tells the IDs of several loads of one node apart.
	group string

	mu     sync.Mutex
	next   int
	sent   []sent
	client *http.Client
	wg     sync.WaitGroup
}

// run sends requests until ctx ends, and waits for their answers.
func (l *load) run(ctx context.Context) {
	l.client = &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 200,
			IdleConnTimeout:     3 * time.Second,
			DisableCompression:  true,
		},
	}
	t := time.NewTicker(l.every)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if l.node.inRotation.Load() {
				l.wg.Go(l.send)
			}
		case <-ctx.Done():
			l.wg.Wait()
			return
		}
	}
}

// more returns a load of further clients that send the same requests.
func (l *load) more(every time.Duration, group string) *load {
	return &load{
		rig:    l.rig,
		node:   l.node,
		method: l.method,
		path:   l.path,
		key:    l.key,
		body:   l.body,
		every:  every,
		wait:   l.wait,
		group:  group,
	}
}

// clientDeadline is how long a client waits.
const clientDeadline = 4 * time.Second

// send sends one request.
func (l *load) send() {
	l.mu.Lock()
	l.next++
	s := sent{
		id:   fmt.Sprintf("%s%s-%06d", l.node.name, l.group, l.next),
		node: l.node.name,
		at:   time.Now(),
	}
	l.mu.Unlock()
	wait := cmp.Or(l.wait, clientDeadline)
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, l.method, "http://"+l.node.callers+l.path, bytes.NewReader(l.body))
	if err != nil {
		return
	}
	// Without it, net/http would send the request again under the same ID if its connection ends.
	req.Body, req.GetBody = io.NopCloser(bytes.NewReader(l.body)), nil
	req.Host = "a.example"
	req.Header.Set("X-Request-Id", s.id)
	req.Header.Set("X-Deadline-Milliseconds", fmt.Sprint(wait.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+l.key)
	l.rig.noteAt(s.at, "sent %s to %s", s.id, s.node)
	resp, err := l.client.Do(req)
	if err == nil {
		s.status, s.signed = resp.StatusCode, resp.Header.Get("X-Response-Signature") != ""
		if _, err = io.Copy(io.Discard, resp.Body); err != nil {
			s.status = 0
		}
		_ = resp.Body.Close()
	}
	l.rig.note("answered %s with %d", s.id, s.status)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, s)
}

// all returns the requests that have ended.
func (l *load) all() []sent {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]sent(nil), l.sent...)
}
