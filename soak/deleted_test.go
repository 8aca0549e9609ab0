package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"currantstile/platform/fake"
)

var deletionSeeds = flag.Int("deletion-seeds", 1, "number of seeds of TestDeletedTargetsAfterOutages, starting with -first")

const (
	// drainTime is how long after the deletion of its entry a target may get requests of callers.
	drainTime = 2 * time.Second
	// deletionRounds is the number of outages of a seed, and leavers how many targets leave after each.
	deletionRounds = 3
	leavers        = 2
)

// outages are ways in which the store is away. Lost calls get no answer after its end either.
var outages = []struct {
	name   string
	handle func(w http.ResponseWriter, r *http.Request) bool
}{
	{
		name: "silent",
		handle: func(_ http.ResponseWriter, r *http.Request) bool {
			<-r.Context().Done()
			return true
		},
	},
	{
		name: "reset",
		handle: func(http.ResponseWriter, *http.Request) bool {
			panic(http.ErrAbortHandler)
		},
	},
	{
		name: "busy",
		handle: func(w http.ResponseWriter, r *http.Request) bool {
			return respondUnavailable(nil, w, r)
		},
	},
}

// leaver is a target that leaves by the deletion of its entry alone.
type leaver struct {
	*fake.Worker
	// last is when it got its last request, in Unix nanoseconds.
	last atomic.Int64
}

// Guards against instances that keep a target whose entry was deleted after an outage of the store for longer than
// its drain time: real processes, callers that keep their connections, outages around the lifetime of a lease and the
// time limits of calls, and targets that did not write their entries again.
func TestDeletedTargetsAfterOutages(t *testing.T) {
	logrus.SetLevel(logrus.PanicLevel)
	binary := buildProgram(t, *raceBuilt)
	for i := range *deletionSeeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 2))
			e := newTestEnv(t, binary, t.TempDir())
			for _, w := range append(e.engines, e.services...) {
				w.SetHandler(e.rec.targetHandler(nil))
			}
			e.awaitServing(e.rec, "start")
			ctx, cancel := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			defer wg.Wait()
			defer cancel()
			for i, n := range e.instances {
				for j := range 2 {
					wg.Go(func() {
						e.look(ctx, n, fmt.Sprintf("look%d-%d", i, j))
					})
				}
			}
			for round := range deletionRounds {
				e.checkDeletions(rng, round)
			}
			require.Empty(t, e.rec.finalViolations())
		})
	}
}

// look sends safe requests to an instance over one kept connection.
func (e *testEnv) look(ctx context.Context, n *instance, name string) {
	client := &http.Client{
		Timeout:   4 * time.Second,
		Transport: &http.Transport{},
	}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		e.rec.send(client, n, requestKinds[3], fmt.Sprintf("%s-%d", name, i), "k1", "")
		time.Sleep(25 * time.Millisecond)
	}
}

// checkDeletions starts targets, lets the store be away, deletes their entries once deletions bind and requires that
// they get no requests after their drain time.
func (e *testEnv) checkDeletions(rng *rand.Rand, round int) {
	list := make([]*leaver, leavers)
	for i := range list {
		l := &leaver{
			Worker: e.startTarget(fmt.Sprintf("leaver-%d-%d", round, i), "app"),
		}
		serve := e.rec.targetHandler(nil)
		l.SetHandler(func(w http.ResponseWriter, r *http.Request) {
			l.last.Store(time.Now().UnixNano())
			serve(w, r)
		})
		list[i] = l
	}
	time.Sleep(applyTimeout)
	kind, length := outages[rng.IntN(len(outages))], time.Duration(500+rng.IntN(4000))*time.Millisecond
	e.store.SetFault(kind.handle)
	time.Sleep(length)
	e.store.SetFault(nil)
	time.Sleep(stableWindow + time.Duration(20+rng.IntN(180))*time.Millisecond)
	for _, l := range list {
		require.NotZero(e.t, l.last.Load(), "%s got requests before it left", l.ID)
		e.store.Write(fake.WorkerPrefix+l.ID, nil)
	}
	deleted := time.Now()
	time.Sleep(2 * drainTime)
	for _, l := range list {
		after := time.Unix(0, l.last.Load()).Sub(deleted)
		e.t.Logf("%s for %s: the last request reached %s %s after its deletion", kind.name, length, l.ID, after)
		require.LessOrEqual(e.t, after, drainTime, "%s, after the store was %s for %s", l.ID, kind.name, length)
	}
}
