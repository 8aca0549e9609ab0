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
	name string
	do   func(f *fleet, rng *rand.Rand) func()
}

func nothing() {}

// signals sends a signal to a random instance.
func signals(s syscall.Signal) func(*fleet, *rand.Rand) func() {
	return func(f *fleet, rng *rand.Rand) func() {
		f.nodes[rng.IntN(len(f.nodes))].signal(s)
		return nothing
	}
}

// pause stops a random instance and has it go on later.
func pause(f *fleet, rng *rand.Rand) func() {
	n := f.nodes[rng.IntN(len(f.nodes))]
	n.signal(syscall.SIGSTOP)
	return func() {
		n.signal(syscall.SIGCONT)
	}
}

// killAll kills all instances at once.
func killAll(f *fleet, _ *rand.Rand) func() {
	for _, n := range f.nodes {
		n.signal(syscall.SIGKILL)
	}
	return nothing
}

// storeFault has the store answer calls in another way.
func storeFault(answer func(rng *rand.Rand, w http.ResponseWriter, r *http.Request) bool) func(*fleet, *rand.Rand) func() {
	return func(f *fleet, rng *rand.Rand) func() {
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

func away(_ *rand.Rand, w http.ResponseWriter, _ *http.Request) bool {
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// lost ends a part of the calls without an answer.
func lost(rng *rand.Rand, _ http.ResponseWriter, _ *http.Request) bool {
	if rng.IntN(3) == 0 {
		panic(http.ErrAbortHandler)
	}
	return false
}

// toxics disturb a link; the first is for answers, the second for requests.
var toxics = []string{
	`{"type":"latency","stream":%q,"attributes":{"latency":200,"jitter":150}}`,
	`{"type":"timeout","stream":%q,"attributes":{"timeout":0}}`,
	`{"type":"slow_close","stream":%q,"attributes":{"delay":500}}`,
	`{"type":"slicer","stream":%q,"attributes":{"average_size":40,"size_variation":20,"delay":2000}}`,
}

// disturb puts a random toxic on a link, in one direction, or cuts its connections.
func disturb(p *toxiproxy.Proxy, rng *rand.Rand) func() {
	kind := rng.IntN(len(toxics) + 1)
	if kind == len(toxics) {
		p.Stop()
		return func() {
			// A port that was taken meanwhile stays cut, which is a fault too.
			_ = p.Start()
		}
	}
	stream := []string{"upstream", "downstream"}[rng.IntN(2)]
	if _, err := p.Toxics.AddToxicJson(strings.NewReader(fmt.Sprintf(toxics[kind], stream))); err != nil {
		return nothing
	}
	return p.Toxics.ResetToxics
}

func storeLink(f *fleet, rng *rand.Rand) func() {
	return disturb(f.storeLinks[rng.IntN(len(f.storeLinks))], rng)
}

func targetLink(f *fleet, rng *rand.Rand) func() {
	all := append(append([]*fake.Worker{}, f.engines...), f.apps...)
	return disturb(f.targetLinks[all[rng.IntN(len(all))].ID], rng)
}

// restartTarget has an engine lose all that it holds, under the same ID.
func restartTarget(f *fleet, rng *rand.Rand) func() {
	w := f.engines[rng.IntN(len(f.engines))]
	w.Restart()
	f.register(w, "llm", "ready")
	return nothing
}

// leaveAndReturn has a target leave, and come back.
func leaveAndReturn(f *fleet, rng *rand.Rand) func() {
	w, service := f.engines[rng.IntN(len(f.engines))], "llm"
	if rng.IntN(2) == 0 {
		w, service = f.apps[rng.IntN(len(f.apps))], "app"
	}
	f.register(w, service, "draining")
	return func() {
		f.register(w, service, "ready")
	}
}

// faults are all that may happen.
var faults = []fault{
	{
		name: "kill",
		do:   signals(syscall.SIGKILL),
	},
	{
		name: "term",
		do:   signals(syscall.SIGTERM),
	},
	{
		name: "hup",
		do:   signals(syscall.SIGHUP),
	},
	{
		name: "pause",
		do:   pause,
	},
	{
		name: "kill-all",
		do:   killAll,
	},
	{
		name: "store-away",
		do:   storeFault(away),
	},
	{
		name: "store-loses-answers",
		do:   storeFault(lost),
	},
	{
		name: "store-forgets",
		do: func(f *fleet, _ *rand.Rand) func() {
			f.store.Compact()
			return nothing
		},
	},
	{
		name: "store-link",
		do:   storeLink,
	},
	{
		name: "target-link",
		do:   targetLink,
	},
	{
		name: "target-restarts",
		do:   restartTarget,
	},
	{
		name: "target-leaves",
		do:   leaveAndReturn,
	},
	{
		name: "order-lost",
		do: func(f *fleet, rng *rand.Rand) func() {
			f.engines[rng.IntN(len(f.engines))].LoseNextOrder()
			return nothing
		},
	},
	{
		name: "configuration",
		do: func(f *fleet, _ *rand.Rand) func() {
			f.configure()
			return nothing
		},
	},
}

// inject brings faults in series, some of them at the same time, until the end.
func (f *fleet) inject(rng *rand.Rand, until time.Time) {
	var wg sync.WaitGroup
	for time.Now().Before(until) {
		time.Sleep(time.Duration(50+rng.IntN(700)) * time.Millisecond)
		x := faults[rng.IntN(len(faults))]
		lasts := time.Duration(100+rng.IntN(3000)) * time.Millisecond
		f.t.Logf("%s for %s", x.name, lasts)
		end := x.do(f, rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64())))
		wg.Go(func() {
			time.Sleep(lasts)
			end()
		})
	}
	wg.Wait()
	f.heal()
}

// heal ends all faults.
func (f *fleet) heal() {
	f.store.SetFault(nil)
	for _, p := range f.storeLinks {
		p.Toxics.ResetToxics()
	}
	for _, p := range f.targetLinks {
		p.Toxics.ResetToxics()
	}
	for _, n := range f.nodes {
		n.signal(syscall.SIGCONT)
	}
	for _, w := range f.engines {
		f.register(w, "llm", "ready")
	}
	for _, w := range f.apps {
		f.register(w, "app", "ready")
	}
}
