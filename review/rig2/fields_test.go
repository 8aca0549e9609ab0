package rig2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// manyFields is the number of short fields of a request, and fewFields that without the trouble. The whole head stays
	// below half of max_header_bytes (16,384).
	manyFields = 600
	fewFields  = 400
	// singles is how many such requests are sent, one every singlePause.
	singles     = 12
	singlePause = 500 * time.Millisecond
)

func init() {
	cases["10"] = playFields
}

// playFields sends bookings of many short fields, one at a time, and nothing else.
func playFields(r *rig) bool {
	r.startPlatform()
	n := r.startNode(r.store.Addr())
	r.waitReady(n)
	time.Sleep(4 * time.Second)
	fields := fewFields
	if r.trouble {
		fields = manyFields
	}
	denied := 0
	for i := range singles {
		var b strings.Builder
		fmt.Fprintf(&b, "POST /book/%d HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: single-%d\r\nX-Deadline-Milliseconds: 4000\r\nAuthorization: Bearer k1\r\nContent-Length: 1\r\n", i, i)
		for f := range fields {
			fmt.Fprintf(&b, "X-%d: %d\r\n", f, f%10)
		}
		b.WriteString("\r\n")
		status := r.sendText(n, b.String()+"x")
		r.logf("single-%d: a head of %d bytes and %d fields; answered %d", i, b.Len(), fields+5, status)
		if status >= 300 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusMisdirectedRequest && status != http.StatusTooManyRequests {
			denied++
		}
		time.Sleep(singlePause)
	}
	r.logf("denied: %d of %d requests", denied, singles)
	return float64(denied) > 5+float64(singles)/500
}

// sendText sends a request on a connection of its own and returns the status of the answer; 0 if there is none.
func (r *rig) sendText(n *node, text string) int {
	c, err := net.Dial("tcp", n.callers.String())
	if err != nil {
		r.Fatalf("dial: %v", err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, text); err != nil {
		r.logf("not sent: %v", err)
	}
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.logf("no answer: %v", err)
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}
