package rig3

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// cases are the cases by name, and the findings that are no cases.
var cases = map[string]func(r *rig) verdict{
	"slow":  runSlow,
	"ahead": runAhead,
	"parts": runParts,
}

func TestMain(m *testing.M) {
	name := os.Getenv("REVIEW_CASE")
	if name == "" {
		os.Exit(m.Run())
	}
	os.Exit(runCase(name, os.Getenv("REVIEW_FOLDER")))
}

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// runCase runs a case, writes its record to a folder and returns the exit code.
func runCase(name, folder string) (status int) {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	rec := &record{
		start: time.Now(),
	}
	trouble := os.Getenv("TROUBLE") != "0"
	var r *rig
	defer func() {
		if e := recover(); e != nil {
			c, ok := e.(cannotRun)
			if !ok {
				panic(e)
			}
			fmt.Println("the case could not run:", string(c))
			status = exitNotRun
		}
		if r != nil {
			r.close()
		}
		if err := rec.write(filepath.Join(folder, "record.txt")); err != nil {
			fmt.Println("record not written:", err)
			status = exitNotRun
		}
	}()
	r = newRig(rec, trouble)
	v := play(r)
	rec.add("verdict", "broken %v: %s", v.broken, v.text)
	fmt.Println(v.text)
	if v.broken {
		return exitBroken
	}
	return exitHeld
}

// waitReady waits until all nodes say that they are ready.
func (r *rig) waitReady() {
	until := time.Now().Add(20 * time.Second)
	for _, n := range r.nodes {
		for {
			resp, err := http.Get("http://" + n.ready.String() + "/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				panic(cannotRun(n.name + " is not ready"))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// configText is the configuration of a small deployment with one plain service.
const configText = `{"version":%d,"routes":[
 {"name":"book","hostname":"a.example","path_prefix":"/book/","kind":"unsafe","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"app","max_attempts":1},
 {"name":"notes","hostname":"a.example","path_prefix":"/notes/","kind":"streaming","timeout_ms":5000,"target_latency_ms":1000,"target_gap_ms":400,"priority":1,"service":"app","max_attempts":1},
 {"name":"look","hostname":"a.example","path_prefix":"/look/","kind":"safe","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"app","max_attempts":2}],
"services":[{"name":"app","connection_limit":100,"health_check_path":"/health","cold_start_s":3,"cold_per_s":8.2}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"org1","api_keys":["key-1"],"priority":1,"unit":"tokens","plain_tokens":10,"rate_per_s":0,"burst_size":0}]}`

// smallNodes is how many nodes a small deployment has, one in each zone.
const smallNodes = 3

// startSmall writes the configuration, starts workers and nodes and waits until all are ready.
func (r *rig) startSmall(workers, nodes int, cold time.Duration) []*worker {
	r.store.Write("op/config", fmt.Appendf(nil, configText, 3))
	var list []*worker
	for i := range workers {
		w := &worker{
			rig:     r,
			id:      fmt.Sprintf("i-%04x", 0xa100+i),
			service: "app",
			zone:    fmt.Sprintf("z%d", i%3+1),
			slots:   6,
			work:    60 * time.Millisecond,
		}
		w.start()
		w.cold = cold
		list = append(list, w)
	}
	for i := range nodes {
		r.addNode(nodeSettings{
			zone:     fmt.Sprintf("z%d", i%3+1),
			memoryMB: 284,
		})
	}
	r.waitReady()
	return list
}
