package rig2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"currantstile/platform/fake"
)

const (
	// instances is on how many machines processes have to end for the rule to be broken, two at least, and endsEach how
	// often on each.
	instances = 2
	endsEach  = 3
	// senders is how many clients send the odd requests to each instance, one after the other on a connection of their
	// own, and senderPause what each waits after an answer.
	senders     = 8
	senderPause = 6 * time.Millisecond
	// fieldBytes is the length of the field; the whole head stays below max_header_bytes (16,384).
	fieldBytes = 15_500
	// memoryTime is for how long they send.
	memoryTime = 95 * time.Second
	// restartDelay is the short delay after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
)

func init() {
	cases["6"] = playLabels
}

// playLabels lets clients send requests whose deadline is no number, each another text, at a path without a route and
// without a key. Without the trouble they send the same number of bytes in a field of another name. As the platform
// does, it kills a process that exceeds its memory, and starts it again.
func playLabels(r *rig) bool {
	r.startPlatform()
	var nodes []*node
	for range instances {
		nodes = append(nodes, r.startNode(r.store.Addr()))
	}
	r.waitReady(nodes...)
	var sent atomic.Int64
	stop := make(chan struct{})
	for i := range instances * senders {
		go r.sendOdd(nodes[i%instances], i, &sent, stop)
	}
	defer close(stop)
	ends := make([]int, instances)
	peak := make([]int, instances)
	served, failed, last := 0, 0, time.Now()
	for began := time.Now(); time.Since(began) < memoryTime; time.Sleep(200 * time.Millisecond) {
		for i, n := range nodes {
			a := send(n, fake.CallerRequest{
				ID:      fmt.Sprintf("book-%d-%d", i, time.Now().UnixNano()),
				Method:  http.MethodPost,
				Path:    "/book/1",
				Key:     "k1",
				Body:    "x",
				Timeout: 2 * time.Second,
			})
			if a.status == http.StatusOK && a.signed {
				served++
			} else {
				failed++
				r.logf("ordinary request to %s: %s", n.name, a)
			}
			now := n.residentMiB()
			peak[i] = max(peak[i], now)
			if n.alive() && now <= memoryMiB {
				continue
			}
			ends[i]++
			r.logf("%s: end %d of its process; memory %d MiB of %d MiB; odd requests answered so far: %d", n.name, ends[i], now, memoryMiB, sent.Load())
			if n.alive() {
				r.signal(n, syscall.SIGKILL)
			}
			<-n.ended
			if slices.Min(ends) >= endsEach {
				return true
			}
			time.Sleep(restartDelay)
			r.restart(n)
		}
		if time.Since(last) >= 2*time.Second {
			last = time.Now()
			r.logf("odd requests answered: %d; ends: %v; most memory: %v MiB; ordinary requests: %d served, %d not", sent.Load(), ends, peak, served, failed)
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
			// The process is being started again.
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				continue
			}
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
