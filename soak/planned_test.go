package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// plannedStream is the random stream of planned work, so that it does not change the faults of a seed.
const plannedStream = 1 << 32

// stopTime bounds how long an instance that was told to stop still takes requests: half its
// grace period.
const stopTime = gracePeriod / 2

// plannedWork are the kinds of planned work at one instance. None may lose an answer.
var plannedWork = []struct {
	name string
	run  func(e *testEnv, n *instance, rng *rand.Rand)
}{
	{
		name: "stop",
		run: func(_ *testEnv, n *instance, _ *rand.Rand) {
			n.signal(syscall.SIGTERM)
		},
	},
	{
		name: "stop, then SIGHUP",
		run: func(_ *testEnv, n *instance, rng *rand.Rand) {
			n.signal(syscall.SIGTERM)
			for range 1 + rng.IntN(3) {
				time.Sleep(time.Duration(rng.Int64N(int64(stopTime / 3))))
				n.signal(syscall.SIGHUP)
			}
		},
	},
	{
		name: "SIGHUP in series",
		run: func(_ *testEnv, n *instance, rng *rand.Rand) {
			for range 3 + rng.IntN(10) {
				n.signal(syscall.SIGHUP)
				time.Sleep(time.Duration(rng.IntN(50)) * time.Millisecond)
			}
		},
	},
	{
		name: "stop with another idle limit",
		run: func(e *testEnv, n *instance, rng *rand.Rand) {
			n.signal(syscall.SIGTERM)
			time.Sleep(time.Duration(rng.Int64N(int64(stopTime))))
			e.setIdleTimeout(time.Duration(200+rng.IntN(1500)) * time.Millisecond)
		},
	},
	{
		name: "another idle limit",
		run: func(e *testEnv, _ *instance, rng *rand.Rand) {
			e.setIdleTimeout(time.Duration(200+rng.IntN(1500)) * time.Millisecond)
		},
	},
	{
		name: "log reader ends",
		run: func(_ *testEnv, n *instance, rng *rand.Rand) {
			n.endLogReader()
			time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
			n.signal(syscall.SIGTERM)
		},
	},
}

// setIdleTimeout writes a configuration with another limit of idle connections; zero is the usual one.
func (e *testEnv) setIdleTimeout(d time.Duration) {
	e.mu.Lock()
	e.idleTimeout = d
	e.mu.Unlock()
	e.writeNextConfig()
}

// startPlannedWork starts random planned work at an instance.
func (e *testEnv) startPlannedWork(wg *sync.WaitGroup, n *instance, rng *rand.Rand) {
	work := plannedWork[rng.IntN(len(plannedWork))]
	own := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
	e.t.Logf("planned at %s: %s", n.callerAddr, work.name)
	wg.Go(func() {
		work.run(e, n, own)
	})
}

// injectPlannedWork starts planned work beside the faults until the given time. It overlaps.
func (e *testEnv) injectPlannedWork(rng *rand.Rand, until time.Time) {
	var wg sync.WaitGroup
	for time.Now().Before(until) {
		time.Sleep(time.Duration(500+rng.IntN(2000)) * time.Millisecond)
		e.startPlannedWork(&wg, e.instances[rng.IntN(len(e.instances))], rng)
	}
	wg.Wait()
	e.setIdleTimeout(0)
}

// Callers of checkPlannedWork at each instance, and how long they send.
const (
	steadyCallers = 3
	pausedCallers = 2
	plannedTime   = stopTime + gracePeriod
)

// checkPlannedWork starts planned work at all instances, within a second, while no fault is active. Callers
// use their connections until the instance ends them.
func (e *testEnv) checkPlannedWork(rng *rand.Rand) {
	until := time.Now().Add(plannedTime)
	var wg sync.WaitGroup
	for i, n := range e.instances {
		for j := range steadyCallers + pausedCallers {
			pause := 40 * time.Millisecond
			if j >= steadyCallers {
				// Their connections are idle about as long as the limits allow.
				pause = 2 * time.Second
			}
			own := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
			wg.Go(func() {
				e.rec.runKept(n, fmt.Sprintf("kept%d-%d", i, j), pause, own, until)
			})
		}
	}
	for _, n := range e.instances {
		own := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		wg.Go(func() {
			time.Sleep(time.Duration(own.IntN(1000)) * time.Millisecond)
			e.startPlannedWork(&wg, n, own)
		})
	}
	wg.Wait()
	e.setIdleTimeout(0)
}

// runKept sends unsafe requests over one kept connection after another until the given time. Clients
// of net/http send none of them again by themselves.
func (rec *recorder) runKept(n *instance, name string, maxPause time.Duration, rng *rand.Rand, until time.Time) {
	client := &http.Client{
		Timeout:   4 * time.Second,
		Transport: &http.Transport{},
	}
	defer client.CloseIdleConnections()
	var book requestKind
	for _, k := range requestKinds {
		if k.name == "book" {
			book = k
		}
	}
	for i := 0; time.Now().Before(until); i++ {
		rec.send(client, n, book, fmt.Sprintf("%s-%d", name, i), "k1", "")
		time.Sleep(time.Duration(rng.Int64N(int64(maxPause))))
	}
}
