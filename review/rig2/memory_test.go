package rig2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"currantstile/platform/fake"
)

const (
	// senders is how many clients send the odd requests, one after the other on a connection of their own, and
	// senderPause what each waits after an answer.
	senders     = 4
	senderPause = 6 * time.Millisecond
	// fieldBytes is the length of the field; the whole head stays below max_header_bytes (16,384).
	fieldBytes = 15_500
	// memoryTime is for how long they send.
	memoryTime = 90 * time.Second
)

func init() {
	cases["6"] = playLabels
}

// playLabels lets clients send requests whose deadline is no number, each another text, at a path without a route and
// without a key. Without the trouble they send the same number of bytes in a field of another name.
func playLabels(r *rig) bool {
	r.startPlatform()
	n := r.startNode(r.store.Addr())
	r.waitReady(n)
	var sent atomic.Int64
	stop := make(chan struct{})
	for i := range senders {
		go r.sendOdd(n, i, &sent, stop)
	}
	defer close(stop)
	before, last := n.residentMiB(), time.Now()
	r.logf("memory at the start: %d MiB of %d MiB", before, memoryMiB)
	served, failed := 0, 0
	for began := time.Now(); time.Since(began) < memoryTime; time.Sleep(200 * time.Millisecond) {
		a := send(n, fake.CallerRequest{
			ID:      fmt.Sprintf("book-%d", time.Now().UnixNano()),
			Method:  http.MethodPost,
			Path:    "/book/1",
			Key:     "k1",
			Body:    "x",
			Timeout: 4 * time.Second,
		})
		if a.status == http.StatusOK && a.signed {
			served++
		} else {
			failed++
			r.logf("ordinary request: %s", a)
		}
		if now := n.residentMiB(); time.Since(last) >= 2*time.Second || now > memoryMiB || !n.alive() {
			last = time.Now()
			r.logf("odd requests answered: %d; memory: %d MiB; ordinary requests: %d served, %d not", sent.Load(), now, served, failed)
			if now > memoryMiB || !n.alive() {
				return true
			}
		}
	}
	return false
}

// sendOdd sends one odd request after the other until stop is closed.
func (r *rig) sendOdd(n *node, client int, sent *atomic.Int64, stop <-chan struct{}) {
	name, deadline := "X-Deadline-Milliseconds", ""
	if !r.trouble {
		name, deadline = "X-Note", "X-Deadline-Milliseconds: 4000\r\n"
	}
	for i := 0; ; {
		c, err := net.Dial("tcp", n.callers.String())
		if err != nil {
			return
		}
		br := bufio.NewReader(c)
		for ; ; i++ {
			select {
			case <-stop:
				_ = c.Close()
				return
			default:
			}
			text := fmt.Sprintf("%d-%d-", client, i)
			text += strings.Repeat("x", fieldBytes-len(text))
			_, err := fmt.Fprintf(c, "GET /none/ HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: odd-%d-%d\r\n%s%s: %s\r\n\r\n", client, i, deadline, name, text)
			if err != nil {
				break
			}
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				break
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if i == 0 {
				r.logf("the first odd request of client %d (a field %s of %d bytes) got %d", client, name, fieldBytes, resp.StatusCode)
			}
			sent.Add(1)
			time.Sleep(senderPause)
		}
		_ = c.Close()
	}
}
