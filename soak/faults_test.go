package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/Shopify/toxiproxy"

	"currantstile/platform/fake"
)

// fault disturbs the fleet and returns what ends it.
type fault struct {
	name   string
	inject func(f *testEnv, rng *rand.Rand) func()
}

func noop() {}

// signalInstance sends a signal to a random instance.
func signalInstance(s syscall.Signal) func(*testEnv, *rand.Rand) func() {
	return func(f *testEnv, rng *rand.Rand) func() {
		f.instances[rng.IntN(len(f.instances))].signal(s)
		return noop
	}
}

// pauseInstance stops a random instance and has it go on later.
func pauseInstance(f *testEnv, rng *rand.Rand) func() {
	n := f.instances[rng.IntN(len(f.instances))]
	n.signal(syscall.SIGSTOP)
	return func() {
		n.signal(syscall.SIGCONT)
	}
}

// killAllInstances kills all instances at once.
func killAllInstances(f *testEnv, _ *rand.Rand) func() {
	for _, n := range f.instances {
		n.signal(syscall.SIGKILL)
	}
	return noop
}

// storeFault has the store answer calls in another way.
func storeFault(answer func(rng *rand.Rand, w http.ResponseWriter, r *http.Request) bool) func(*testEnv, *rand.Rand) func() {
	return func(f *testEnv, rng *rand.Rand) func() {
		var mu sync.Mutex
		f.store.SetFault(func(w http.ResponseWriter, r *http.Request) bool {
			mu.Lock()
			defer mu.Unlock()
			return answer(rng, w, r)
		})
		return func() {
			f.store.SetFault(nil)
		}
	}
}

func respondUnavailable(_ *rand.Rand, w http.ResponseWriter, _ *http.Request) bool {
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// abortSomeCalls ends a part of the calls without an answer.
func abortSomeCalls(rng *rand.Rand, _ http.ResponseWriter, _ *http.Request) bool {
	if rng.IntN(3) == 0 {
		panic(http.ErrAbortHandler)
	}
	return false
}

// toxicTemplates disturb a link; the first is for answers, the second for requests.
var toxicTemplates = []string{
	`{"type":"latency","stream":%q,"attributes":{"latency":200,"jitter":150}}`,
	`{"type":"timeout","stream":%q,"attributes":{"timeout":0}}`,
	`{"type":"slow_close","stream":%q,"attributes":{"delay":500}}`,
	`{"type":"slicer","stream":%q,"attributes":{"average_size":40,"size_variation":20,"delay":2000}}`,
}

// disturbLink puts a random toxic on a link, in one direction, or cuts its connections.
func disturbLink(p *toxiproxy.Proxy, rng *rand.Rand) func() {
	kind := rng.IntN(len(toxicTemplates) + 1)
	if kind == len(toxicTemplates) {
		p.Stop()
		return func() {
			// A port that was taken meanwhile stays cut, which is a fault too.
			_ = p.Start()
		}
	}
	stream := []string{"upstream", "downstream"}[rng.IntN(2)]
	if _, err := p.Toxics.AddToxicJson(strings.NewReader(fmt.Sprintf(toxicTemplates[kind], stream))); err != nil {
		return noop
	}
	return p.Toxics.ResetToxics
}

func disturbStoreLink(f *testEnv, rng *rand.Rand) func() {
	return disturbLink(f.storeProxies[rng.IntN(len(f.storeProxies))], rng)
}

func disturbTargetLink(f *testEnv, rng *rand.Rand) func() {
	all := append(append([]*fake.Worker{}, f.engines...), f.services...)
	return disturbLink(f.targetProxies[all[rng.IntN(len(all))].ID], rng)
}

// restartEngine has an engine lose all that it holds, under the same ID.
func restartEngine(f *testEnv, rng *rand.Rand) func() {
	w := f.engines[rng.IntN(len(f.engines))]
	w.Restart()
	f.register(w, "llm", "ready")
	return noop
}

// drainTarget has a target leave, and come back.
func drainTarget(f *testEnv, rng *rand.Rand) func() {
	w, service := f.engines[rng.IntN(len(f.engines))], "llm"
	if rng.IntN(2) == 0 {
		w, service = f.services[rng.IntN(len(f.services))], "app"
	}
	f.register(w, service, "draining")
	return func() {
		f.register(w, service, "ready")
	}
}

// faults are all that may happen.
var faults = []fault{
	{
		name:   "kill",
		inject: signalInstance(syscall.SIGKILL),
	},
	{
		name:   "term",
		inject: signalInstance(syscall.SIGTERM),
	},
	{
		name:   "hup",
		inject: signalInstance(syscall.SIGHUP),
	},
	{
		name:   "pause",
		inject: pauseInstance,
	},
	{
		name:   "kill-all",
		inject: killAllInstances,
	},
	{
		name:   "store-away",
		inject: storeFault(respondUnavailable),
	},
	{
		name:   "store-loses-answers",
		inject: storeFault(abortSomeCalls),
	},
	{
		name: "store-forgets",
		inject: func(f *testEnv, _ *rand.Rand) func() {
			f.store.Compact()
			return noop
		},
	},
	{
		name:   "store-link",
		inject: disturbStoreLink,
	},
	{
		name:   "target-link",
		inject: disturbTargetLink,
	},
	{
		name:   "target-restarts",
		inject: restartEngine,
	},
	{
		name:   "target-leaves",
		inject: drainTarget,
	},
	{
		name: "order-lost",
		inject: func(f *testEnv, rng *rand.Rand) func() {
			f.engines[rng.IntN(len(f.engines))].DropNextOrderResponse()
			return noop
		},
	},
	{
		name: "configuration",
		inject: func(f *testEnv, _ *rand.Rand) func() {
			f.writeNextConfig()
			return noop
		},
	},
}

// injectFaults brings faults in series, some of them at the same time, until the end.
func (f *testEnv) injectFaults(rng *rand.Rand, until time.Time) {
	var wg sync.WaitGroup
	for time.Now().Before(until) {
		time.Sleep(time.Duration(50+rng.IntN(700)) * time.Millisecond)
		x := faults[rng.IntN(len(faults))]
		lasts := time.Duration(100+rng.IntN(3000)) * time.Millisecond
		f.t.Logf("%s for %s", x.name, lasts)
		end := x.inject(f, rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64())))
		wg.Go(func() {
			time.Sleep(lasts)
			end()
		})
	}
	wg.Wait()
	f.clearFaults()
}

// clearFaults ends all faults.
func (f *testEnv) clearFaults() {
	f.store.SetFault(nil)
	for _, p := range f.storeProxies {
		p.Toxics.ResetToxics()
	}
	for _, p := range f.targetProxies {
		p.Toxics.ResetToxics()
	}
	for _, n := range f.instances {
		n.signal(syscall.SIGCONT)
	}
	for _, w := range f.engines {
		f.register(w, "llm", "ready")
	}
	for _, w := range f.services {
		f.register(w, "app", "ready")
	}
}
