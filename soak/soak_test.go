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

	"currantstile/platform/fake"
)

var (
	oneSeed = flag.Uint64("seed", 0, "the seed to run; 0 runs the regression cases and those of -seeds")
	seeds   = flag.Int("seeds", 1, "how many seeds to run, from -first on")
	first   = flag.Uint64("first", 1, "the first of them")
	length  = flag.Duration("for", 6*time.Second, "how long faults come with each seed")
	keep    = flag.String("keep", "", "directory for the logs of the instances; empty keeps none")
)

// regressions are the seeds that failed once, each with its cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{
		seed:  114,
		cause: "another socket had taken an instance's port: instances have addresses of their own now",
	},
}

const (
	callers = 6
	// settleTime is left after the last fault until all has to be well again: the
	// longest bound of the platform's settings, for recovery, with its margin.
	settleTime = 12 * time.Second
	// applyTime is within which a change has to be in force.
	applyTime = 2 * time.Second
)

func TestSoak(t *testing.T) {
	// The proxies log each connection.
	logrus.SetLevel(logrus.PanicLevel)
	program := filepath.Join(t.TempDir(), "currantstile")
	out, err := exec.Command("go", "build", "-o", program, "currantstile/cmd/currantstile").CombinedOutput()
	require.NoError(t, err, "%s", out)
	if *oneSeed != 0 {
		soak(t, program, *oneSeed)
		return
	}
	list := make([]uint64, 0, *seeds+len(regressions))
	for _, r := range regressions {
		list = append(list, r.seed)
	}
	for i := range *seeds {
		list = append(list, *first+uint64(i))
	}
	for _, seed := range list {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			soak(t, program, seed)
		})
	}
}

// soak runs one seed.
func soak(t *testing.T, program string, seed uint64) {
	dir := t.TempDir()
	if *keep != "" {
		dir = filepath.Join(*keep, fmt.Sprint(seed))
		require.NoError(t, os.MkdirAll(dir, 0o755))
	}
	rng := rand.New(rand.NewPCG(seed, 0))
	f := newFleet(t, seed, program, dir)
	l := newLedger()
	for _, w := range append(append([]*fake.Worker{}, f.engines...), f.apps...) {
		w.SetServe(l.serve(rand.New(rand.NewPCG(seed, rng.Uint64()))))
	}
	f.awaitWell(l, "start")
	until := time.Now().Add(*length)
	var wg sync.WaitGroup
	for i := range callers {
		callerRng := rand.New(rand.NewPCG(seed, rng.Uint64()))
		wg.Go(func() {
			f.caller(l, i, callerRng, until.Add(time.Second))
		})
	}
	f.inject(rng, until)
	wg.Wait()
	f.awaitWell(l, "healed")
	f.checkChanges(l)
	broken := l.judge()
	for _, w := range f.engines {
		for _, b := range w.Broken() {
			broken = append(broken, w.ID+": "+b)
		}
	}
	t.Logf("served %v, statuses %v", l.served, l.seen)
	require.Empty(t, broken)
}

// awaitWell waits until every instance serves each kind of request.
func (f *fleet) awaitWell(l *ledger, phase string) {
	client := &http.Client{
		Timeout: 4 * time.Second,
	}
	defer client.CloseIdleConnections()
	until := time.Now().Add(settleTime)
	for i, n := range f.nodes {
		for _, k := range kinds {
			for try := 0; ; try++ {
				id := fmt.Sprintf("%s-%d-%s-%d", phase, i, k.name, try)
				if l.send(client, n, k, id, "k1", "a0") == http.StatusOK {
					break
				}
				if time.Now().After(until) {
					l.breaks("instance %d does not serve %s %s after the faults have ended", i, k.name, settleTime)
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
}

// checkChanges withdraws a key and has a target leave while all is well: both are in
// force everywhere in time.
func (f *fleet) checkChanges(l *ledger) {
	leaving := f.apps[0]
	f.mu.Lock()
	f.keys = []string{"k1"}
	f.mu.Unlock()
	f.configure()
	f.register(leaving, "app", "draining")
	time.Sleep(applyTime)
	before := leaving.Runs()
	client := &http.Client{
		Timeout: 4 * time.Second,
	}
	defer client.CloseIdleConnections()
	look := kinds[len(kinds)-1]
	for i, n := range f.nodes {
		if status := l.send(client, n, look, fmt.Sprint("withdrawn-", i), "k2", ""); status != http.StatusUnauthorized {
			l.breaks("instance %d answers %d to a withdrawn key", i, status)
		}
		for j := range 5 {
			l.send(client, n, look, fmt.Sprintf("leaving-%d-%d", i, j), "k1", "")
		}
	}
	if leaving.Runs() > before {
		l.breaks("a target that leaves gets new requests")
	}
}
