package rig3

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// outcome is what a client saw of one attempt.
type outcome struct {
	id     string
	path   string
	sent   time.Time
	status int
	err    error
	signed bool
	body   string
	took   time.Duration
}

// clients sends requests to the nodes.
type clients struct {
	rig  *rig
	http *http.Client
	key  string

	mu       sync.Mutex
	outcomes []outcome
	seq      int
}

func newClients(r *rig) *clients {
	return &clients{
		rig: r,
		key: "key-1",
		http: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 64,
				IdleConnTimeout:     8 * time.Second,
				DisableCompression:  true,
			},
		},
	}
}

// send sends one request to a node and waits for its answer. header are names and values of further fields.
func (c *clients) send(n *node, method, path string, bodyBytes int, deadline time.Duration, header ...string) outcome {
	c.mu.Lock()
	c.seq++
	id := fmt.Sprintf("r%07d", c.seq)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var body io.Reader
	if bodyBytes > 0 {
		body = strings.NewReader(strings.Repeat("b", bodyBytes))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.callers.String()+path, body)
	if err != nil {
		panic(cannotRun(err.Error()))
	}
	req.Host = "a.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Milliseconds", strconv.FormatInt(deadline.Milliseconds(), 10))
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	o := outcome{
		id:   id,
		path: path,
		sent: time.Now(),
	}
	c.rig.record.add("sent", "%s %s %s to %s", id, method, path, n.name)
	resp, err := c.http.Do(req)
	if err == nil {
		var b []byte
		b, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		o.status, o.body, o.signed = resp.StatusCode, string(b), resp.Header.Get("X-Response-Signature") != ""
	}
	o.err, o.took = err, time.Since(o.sent)
	c.rig.record.add("answer", "%s %d signed %v after %v, error %v", id, o.status, o.signed, o.took.Round(time.Millisecond), err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
	return o
}

// list returns the outcomes so far.
func (c *clients) list() []outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]outcome(nil), c.outcomes...)
}
