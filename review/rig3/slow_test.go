package rig3

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the rule QUOTA, and the tenant's limit as fleetbench wire shows it for rtr-retour.
const (
	quotaRate      = 92326
	quotaBurst     = 92326
	quotaWindow    = 8 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 17000
)

const (
	// slowTokens are the tokens of a request of the slow clients, and slowInterval the time between two of them:
	// together the tenant's rate. The largest requests of the sheet have 8,402 tokens and their answer.
	slowTokens   = 8000
	slowInterval = slowTokens * time.Second / quotaRate
	// slowTime is for how long they send requests, and slowBody the length of a body, of which slowPiece bytes are
	// sent in each slowPause: more than 32 KiB a second.
	slowTime  = 14 * time.Second
	slowBody  = 2 << 20
	slowPiece = 5 << 10
	slowPause = 100 * time.Millisecond
	// pressTokens are the tokens of a request of the other clients, and pressRate how many they send in a second: three
	// times the tenant's limit, which is 1.8 times its usual on the sheet. hot_tenant has 6 times the usual for 11 s there.
	pressTokens = 4000
	pressRate   = 69
	pressTime   = 10 * time.Second
)

// quotaConfig is a configuration with one tenant that has a limit, and with a route like that of fleetbench wire with 15 s.
const quotaConfig = `{"version":4,"routes":[
 {"name":"bulk","hostname":"a.example","path_prefix":"/bulk/","kind":"streaming","timeout_ms":15000,"target_latency_ms":1000,"target_gap_ms":400,"priority":2,"service":"app","max_attempts":2,"public":false,"resumable":true}],
"services":[{"name":"app","connection_limit":100,"health_check_path":"/health"}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"org1","api_keys":["key-1"],"priority":1,"unit":"tokens","plain_tokens":200,"rate_per_s":%d,"burst_size":%d}]}`

// runSlow lets clients of a tenant send their bodies slowly. When they have left, other clients of the tenant ask for more
// than its limit.
func runSlow(r *rig) verdict {
	workers := r.startSmall(4, smallNodes, 0)
	r.store.Write("op/config", fmt.Appendf(nil, quotaConfig, quotaRate, quotaBurst))
	for _, w := range workers {
		w.work = 20 * time.Millisecond
	}
	// The limit binds one window after its acknowledgement.
	time.Sleep(quotaWindow + 4*time.Second)
	var wg sync.WaitGroup
	if r.trouble {
		for i := range int(slowTime / slowInterval) {
			wg.Go(func() {
				sendSlowly(r, r.nodes[i%len(r.nodes)], i)
			})
			time.Sleep(slowInterval)
		}
	} else {
		time.Sleep(slowTime)
	}
	c := newClients(r)
	for i := range int(pressTime.Seconds() * pressRate) {
		wg.Go(func() {
			c.send(r.nodes[i%len(r.nodes)], http.MethodPost, "/bulk/1", 200, 2*time.Second, "X-Token-Usage", fmt.Sprintf("%d,100", pressTokens-100))
		})
		time.Sleep(time.Second / pressRate)
	}
	wg.Wait()
	sent := make(map[string]time.Time)
	for _, o := range c.list() {
		sent[o.id] = o.sent
	}
	var runs []span
	for _, w := range workers {
		for _, a := range w.list() {
			if at, ok := sent[a.id]; ok && a.ran {
				runs = append(runs, span{
					from: at,
					to:   a.at,
				})
			}
		}
	}
	most := pressTokens * mostWithin(runs, quotaWindow)
	bound := int((quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOvershoot)) + quotaSlack
	return verdict{
		broken: most > bound,
		text:   fmt.Sprintf("%d tokens of the tenant ran within %v; the rule allows %d", most, quotaWindow, bound),
	}
}

// sendSlowly sends the body of a request slowly and leaves before its end.
func sendSlowly(r *rig, n *node, i int) {
	conn, err := net.DialTimeout("tcp", n.callers.String(), time.Second)
	if err != nil {
		r.record.add("slow", "s%06d not sent: %v", i, err)
		return
	}
	defer func() {
		_ = conn.Close()
	}()
	r.record.add("sent", "s%06d POST /bulk/slow to %s, %d tokens, its body slowly", i, n.name, slowTokens)
	_, err = fmt.Fprintf(conn, "POST /bulk/slow HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: s%06d\r\nX-Deadline-Milliseconds: 15000\r\n"+
		"Authorization: Bearer key-1\r\nX-Token-Usage: %d,100\r\nContent-Length: %d\r\n\r\n", i, slowTokens-100, slowBody)
	answered := make(chan string, 1)
	go func() {
		b := make([]byte, 64)
		k, _ := io.ReadAtLeast(conn, b, 12)
		answered <- string(b[:k])
	}()
	for err == nil {
		_, err = io.WriteString(conn, strings.Repeat("x", slowPiece))
		select {
		case text := <-answered:
			line, _, _ := strings.Cut(text, "\r\n")
			r.record.add("answer", "s%06d %q", i, line)
			return
		case <-time.After(slowPause):
		}
	}
	r.record.add("answer", "s%06d none: %v", i, err)
}

// span is from when a request was sent until it arrived at the worker that ran it.
type span struct {
	from, to time.Time
}

// mostWithin returns the most requests that were both sent and arrived within a window.
func mostWithin(runs []span, window time.Duration) int {
	most := 0
	for _, first := range runs {
		n := 0
		for _, s := range runs {
			if !s.from.Before(first.from) && !s.to.After(first.from.Add(window)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
