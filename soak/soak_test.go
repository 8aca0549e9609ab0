package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

var (
	seedFlag      = flag.Uint64("seed", 0, "the only seed to run; 0 runs the regression seeds and those of -seeds")
	seedCount     = flag.Int("seeds", 1, "number of seeds to run, starting with -first")
	firstSeed     = flag.Uint64("first", 1, "the first seed to run")
	faultDuration = flag.Duration("for", 6*time.Second, "how long faults are injected with each seed")
	raceBuilt     = flag.Bool("race-built", underDetector, "build the instances with the race detector; its reports are violations")
	logDir        = flag.String("keep", "", "directory for the log files of the instances; empty discards them")
)

// regressionSeeds are seeds that have failed in the past, each with its cause.
var regressionSeeds = []struct {
	seed  uint64
	cause string
}{
	{
		seed:  114,
		cause: "another socket had taken an instance's port; fixed by a loopback address for each instance",
	},
	{
		seed:  7203,
		cause: "an instance whose log was no longer read ended by SIGPIPE, with the requests that it had passed on",
	},
	{
		seed:  7205,
		cause: "SIGHUP ended an instance that was stopping, with the requests that it had passed on",
	},
}

const (
	callerCount = 6
	// recoveryTimeout is the time after the last fault within which every instance must
	// serve again: the longest recovery bound of the platform's settings, with its margin.
	recoveryTimeout = 12 * time.Second
	// applyTimeout is the time within which a change must be in force at all instances.
	applyTimeout = 2 * time.Second
)

// TestSoak guards against violations of the guarantees listed in the package comment. It
// runs the regression seeds and those of -seeds, or only the one of -seed.
func TestSoak(t *testing.T) {
	// The proxies log every connection.
	logrus.SetLevel(logrus.PanicLevel)
	binary := buildProgram(t, *raceBuilt)
	if *seedFlag != 0 {
		runSeed(t, binary, *seedFlag)
		return
	}
	// Regression seeds have failed with the plain program, whose timing differs.
	plain := binary
	if *raceBuilt {
		plain = buildProgram(t, false)
	}
	run := func(binary string, seed uint64) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, binary, seed)
		})
	}
	for _, r := range regressionSeeds {
		run(plain, r.seed)
	}
	for i := range *seedCount {
		run(binary, *firstSeed+uint64(i))
	}
}

// buildProgram builds the program, with the race detector or without, and returns its path.
func buildProgram(t *testing.T, race bool) string {
	binary := filepath.Join(t.TempDir(), "currantstile")
	args := []string{"build", "-o", binary}
	if race {
		args = append(args, "-race")
	}
	out, err := exec.Command("go", append(args, "currantstile/cmd/currantstile")...).CombinedOutput()
	require.NoError(t, err, "%s", out)
	return binary
}

// runSeed injects the faults of one seed while callers send requests, and fails the test if
// callers or targets observe a violation, or if instances do not recover afterwards.
func runSeed(t *testing.T, binary string, seed uint64) {
	dir := t.TempDir()
	if *logDir != "" {
		dir = filepath.Join(*logDir, fmt.Sprint(seed))
		require.NoError(t, os.MkdirAll(dir, 0o755))
	}
	rng := rand.New(rand.NewPCG(seed, 0))
	e := newTestEnv(t, binary, dir)
	rec := e.rec
	for _, w := range e.engines {
		w.SetHandler(e.engineHandler(w, rand.New(rand.NewPCG(seed, rng.Uint64()))))
	}
	for _, w := range e.services {
		w.SetHandler(rec.targetHandler(rand.New(rand.NewPCG(seed, rng.Uint64()))))
	}
	e.awaitServing(rec, "start")
	until := time.Now().Add(*faultDuration)
	var wg sync.WaitGroup
	for i := range callerCount {
		callerRng := rand.New(rand.NewPCG(seed, rng.Uint64()))
		wg.Go(func() {
			e.runCaller(rec, i, callerRng, until.Add(time.Second))
		})
	}
	wg.Go(func() {
		e.injectPlannedWork(rand.New(rand.NewPCG(seed, plannedStream)), until)
	})
	e.injectFaults(rng, until)
	wg.Wait()
	e.awaitServing(rec, "healed")
	e.checkPlannedWork(rand.New(rand.NewPCG(seed, plannedStream+1)))
	e.awaitServing(rec, "planned")
	e.checkCrashingPrompts()
	e.awaitServing(rec, "crashed")
	e.checkNotices(rec)
	e.checkWithdrawals(rec)
	e.stop()
	violations := append(rec.finalViolations(), e.logViolations()...)
	for _, w := range e.engines {
		for _, v := range w.Violations() {
			violations = append(violations, w.ID+": "+v)
		}
	}
	t.Logf("served %v, statuses %v", rec.servedByKind, rec.responsesByStatus)
	require.Empty(t, violations)
}

// awaitServing waits until every instance serves each kind of request, and records a
// violation if one does not within recoveryTimeout.
func (e *testEnv) awaitServing(rec *recorder, phase string) {
	client := &http.Client{
		Timeout: 4 * time.Second,
	}
	defer client.CloseIdleConnections()
	until := time.Now().Add(recoveryTimeout)
	for i, n := range e.instances {
		for _, k := range requestKinds {
			for attempt := 0; ; attempt++ {
				id := fmt.Sprintf("%s-%d-%s-%d", phase, i, k.name, attempt)
				if rec.send(client, n, k, id, "k1", "a0") == http.StatusOK {
					break
				}
				if time.Now().After(until) {
					rec.addViolation("instance %d does not serve %s requests within %s", i, k.name, recoveryTimeout)
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
}

const (
	// stableWindow is the time after the fifth crash on a prompt part from which no more than
	// maxLateCrashes requests with it may reach targets.
	stableWindow   = 3 * time.Second
	maxLateCrashes = 3
)

// checkCrashingPrompts sends requests with a crashing part of a prompt while no fault is
// active, until they are refused or five engines have crashed, and checks that few more do.
func (e *testEnv) checkCrashingPrompts() {
	send := func(n int) int {
		return e.rec.sendCrashing(e.instances[n%len(e.instances)], fmt.Sprint("calm-crash-", n))
	}
	const fifth = 5
	before := e.rec.crashCount()
	for n := 0; n < 4*fifth && e.rec.crashCount() < before+fifth && send(n) != http.StatusServiceUnavailable; n++ {
		time.Sleep(crashTime / 2)
	}
	time.Sleep(stableWindow)
	before = e.rec.crashCount()
	for n := range 4 * maxLateCrashes {
		send(1000 + n)
		time.Sleep(crashTime / 2)
	}
	if late := e.rec.crashCount() - before; late > maxLateCrashes {
		e.rec.addViolation("%d engines crashed on a prompt part later than %s after the fifth", late, stableWindow)
	}
}

// checkNotices lets a target say in its answers that it wants no requests, and then that it leaves,
// while no fault is active, and checks that each instance obeys its first answer.
func (e *testEnv) checkNotices(rec *recorder) {
	const (
		pushback = 1500 * time.Millisecond
		// From half a second after its answer a target may get two requests from each instance.
		settled    = 500 * time.Millisecond
		maxSettled = 2
	)
	w := e.services[len(e.services)-1]
	// An answer that breaks off in its head says nothing.
	w.SetHandler(rec.targetHandler(nil))
	client := &http.Client{
		Timeout: 4 * time.Second,
	}
	defer client.CloseIdleConnections()
	look := requestKinds[len(requestKinds)-1]
	sendAll := func(phase string, d time.Duration) {
		for start, n := time.Now(), 0; time.Since(start) < d; n++ {
			i := n % len(e.instances)
			rec.send(client, e.instances[i], look, fmt.Sprintf("%s-%d", phase, n), "k1", "")
		}
	}
	start := time.Now()
	w.PushBack(pushback)
	sendAll("pushback", pushback-50*time.Millisecond)
	if n := w.RejectedSince(start.Add(settled)); n > maxSettled*len(e.instances) {
		rec.addViolation("%d requests reached a target that wanted none", n)
	}
	time.Sleep(time.Second)
	w.SetLeaving(true)
	before := w.RequestCount()
	sendAll("leaving", time.Second)
	if n := w.RequestCount() - before; n > len(e.instances) {
		rec.addViolation("%d requests reached a target that said to %d instances that it leaves", n, len(e.instances))
	}
	w.Restart()
	e.register(w, "app", "ready")
}

// checkWithdrawals withdraws an API key and drains a target while no fault is active, and
// checks that every instance applies both within applyTimeout.
func (e *testEnv) checkWithdrawals(rec *recorder) {
	draining := e.services[0]
	e.mu.Lock()
	e.keys = []string{"k1"}
	e.mu.Unlock()
	e.writeNextConfig()
	e.register(draining, "app", "draining")
	time.Sleep(applyTimeout)
	before := draining.RequestCount()
	client := &http.Client{
		Timeout: 4 * time.Second,
	}
	defer client.CloseIdleConnections()
	look := requestKinds[len(requestKinds)-1]
	for i, n := range e.instances {
		if status := rec.send(client, n, look, fmt.Sprint("withdrawn-", i), "k2", ""); status != http.StatusUnauthorized {
			rec.addViolation("instance %d answers a request with a withdrawn key with status %d, not 401", i, status)
		}
		for j := range 5 {
			rec.send(client, n, look, fmt.Sprintf("leaving-%d-%d", i, j), "k1", "")
		}
	}
	if draining.RequestCount() > before {
		rec.addViolation("a draining target received new requests")
	}
}
