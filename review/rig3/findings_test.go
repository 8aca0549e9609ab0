package rig3

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// What follows are no cases but two withdrawn ones, which KNOWN-RED.txt keeps as findings.

const (
	// leavers is how many clients leave, and aheadCount how many requests each of them sends ahead.
	leavers    = 60
	aheadCount = 60
	// longWork is how long a worker works on their first requests, and leaveAfter when they leave.
	longWork   = 3 * time.Second
	leaveAfter = time.Second
	// goneWithin is how long a worker may still be at work after the close (GONE).
	goneWithin = 500 * time.Millisecond
)

// runAhead lets clients send further requests ahead of the answer to their first one, and leave.
func runAhead(r *rig) verdict {
	workers := r.startSmall(2*leavers/10, smallNodes, 0)
	for _, w := range workers {
		w.work = longWork
	}
	var mu sync.Mutex
	closed := make(map[string]time.Time)
	var wg sync.WaitGroup
	for i := range leavers {
		wg.Go(func() {
			id := fmt.Sprintf("p%06d", i)
			at, err := leave(r, r.nodes[i%len(r.nodes)], id)
			if err != nil {
				r.record.add("client", "%s: %v", id, err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			closed[id] = at
		})
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(longWork)
	ran, late := 0, 0
	for _, w := range workers {
		for _, a := range w.list() {
			at, ok := closed[a.id]
			if !ok || !a.ran {
				continue
			}
			ran++
			if a.ended.IsZero() || a.ended.Sub(at) > goneWithin {
				late++
			}
		}
	}
	if ran == 0 {
		panic(cannotRun("no request ran"))
	}
	return verdict{
		broken: late > ran/4,
		text:   fmt.Sprintf("workers were still at work %v after the close on %d of %d requests", goneWithin, late, ran),
	}
}

// leave sends a request, with trouble also further ones ahead of its answer, and closes the connection before the answer.
// It returns when it closed it.
func leave(r *rig, n *node, id string) (time.Time, error) {
	conn, err := net.DialTimeout("tcp", n.callers.String(), time.Second)
	if err != nil {
		return time.Time{}, err
	}
	request := func(id string) string {
		return "GET /look/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id +
			"\r\nX-Deadline-Milliseconds: 4000\r\nAuthorization: Bearer key-1\r\n\r\n"
	}
	text := request(id)
	if r.trouble {
		for i := range aheadCount {
			text += request(id + "-" + strconv.Itoa(i))
		}
	}
	r.record.add("sent", "%s GET /look/1 to %s", id, n.name)
	_, err = io.WriteString(conn, text)
	time.Sleep(leaveAfter)
	r.record.add("close", "%s", id)
	at := time.Now()
	_ = conn.Close()
	return at, err
}

const (
	// partClients send lookups for partTime, with the ID of a prompt part of partBytes.
	partClients = 24
	partTime    = 30 * time.Second
	partBytes   = 15800
	// machineMB is the memory of a machine of the sheet.
	machineMB = 284
)

// runParts lets clients send lookups whose IDs of prompt parts are long and differ, and watches the memory of the nodes.
func runParts(r *rig) verdict {
	workers := r.startSmall(6, smallNodes, 0)
	for _, w := range workers {
		w.work = 2 * time.Millisecond
	}
	size := partBytes
	if !r.trouble {
		size = 8
	}
	c := newClients(r)
	until := time.Now().Add(partTime)
	var wg sync.WaitGroup
	for i := range partClients {
		wg.Go(func() {
			for k := 0; time.Now().Before(until); k++ {
				// Two nodes of the three get them.
				// The last part belongs to the request alone.
				part := fmt.Sprintf("%0*x:20,aa:20", size, i<<32|k)
				c.send(r.nodes[i%2], http.MethodGet, "/look/1", 0, 2*time.Second, "X-Prompt-Prefix", part)
			}
		})
	}
	over := time.Duration(0)
	most := 0
	begun := time.Now()
	for time.Now().Before(until) {
		for _, n := range r.nodes {
			mb := n.memoryMB()
			most = max(most, mb)
			if mb > machineMB && over == 0 {
				over = time.Since(begun)
				r.record.add("node", "%s uses %d MB", n.name, mb)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	wg.Wait()
	served := 0
	for _, o := range c.list() {
		if o.status == http.StatusOK {
			served++
		}
	}
	return verdict{
		broken: over > 0,
		text: fmt.Sprintf("%d of %d lookups served; the largest process used %d MB, over %d MB after %v (0s: never)", served, len(c.list()), most, machineMB,
			over.Round(time.Second)),
	}
}

// memoryMB returns the resident memory of the process without its program's file, or zero if it doesn't run.
func (n *node) memoryMB() int {
	n.mu.Lock()
	pid := n.cmd.Process.Pid
	n.mu.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			if f := strings.Fields(rest); len(f) > 0 {
				kb, _ := strconv.Atoi(f[0])
				return kb >> 10
			}
		}
	}
	return 0
}
