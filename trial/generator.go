package trial

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"currantstile/demo"
	"currantstile/rest"
)

const (
	generatedTokens  = 64
	promptWords      = 20
	pairInterval     = 300 * time.Millisecond
	directDelay      = 40 * time.Millisecond
	progressInterval = time.Second
	drainTimeout     = 20 * time.Second
	maxIdleConns     = 512
)

// tokensPerRequest is the approximate number of tokens charged for a request: the
// completion, and the prompt at 6 bytes a word and 4 bytes a token.
const tokensPerRequest = generatedTokens + promptWords*6/4

// loadGenerator sends the load of a phase and records the responses.
type loadGenerator struct {
	fleet     *demo.Fleet
	phase     Phase
	seed      uint64
	client    *rest.Client
	startedAt time.Time

	sent    atomic.Int64
	wg      sync.WaitGroup
	mu      sync.Mutex
	records []record
}

func newLoadGenerator(f *demo.Fleet, p Phase, seed uint64) *loadGenerator {
	return &loadGenerator{
		fleet:     f,
		phase:     p,
		seed:      seed,
		client:    rest.NewClient(time.Second, maxIdleConns),
		startedAt: time.Now(),
	}
}

// run sends the load for the duration of the phase, waits at most drainTimeout longer
// for outstanding responses, and returns a record of each request.
func (g *loadGenerator) run(ctx context.Context) []record {
	sendCtx, cancel := context.WithDeadline(ctx, g.startedAt.Add(g.phase.Duration))
	defer cancel()
	drainCtx, stop := context.WithTimeout(ctx, g.phase.Duration+drainTimeout)
	defer stop()
	var senders sync.WaitGroup
	for n := range g.fleet.Profile.Orgs {
		senders.Go(func() {
			g.sendOrg(sendCtx, drainCtx, n)
		})
	}
	if g.phase.SendDirect {
		senders.Go(func() {
			g.sendPairs(sendCtx, drainCtx)
		})
	}
	senders.Wait()
	g.wg.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.records
}

// sendOrg sends the n-th organisation's requests with Poisson arrivals.
func (g *loadGenerator) sendOrg(sendCtx, drainCtx context.Context, n int) {
	load := g.phase.Load(n)
	o := g.fleet.Profile.Orgs[n]
	perSecond := load.RateFactor * float64(o.Rate) / tokensPerRequest
	if perSecond <= 0 {
		return
	}
	rng := rand.New(rand.NewPCG(g.seed, uint64(n)+1))
	zipf := newZipf(rng, g.phase.ZipfExponent, o.Adapters)
	at := g.startedAt
	for i := 0; ; i++ {
		at = at.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		r := &request{
			org:     o.ID,
			key:     g.fleet.Keys[o.ID],
			adapter: demo.Adapter(o, zipf.next()),
			prompt:  randomPrompt(rng, n, i),
		}
		if !sleepUntil(sendCtx, at) {
			return
		}
		r.addr = g.pickInstance(n, i, load)
		g.sendAsync(drainCtx, r)
	}
}

// pickInstance simulates the platform's load balancer for the i-th request of the n-th
// organisation: it selects running instances round robin, or always the first one if
// the load is for one instance.
func (g *loadGenerator) pickInstance(n, i int, load OrgLoad) netip.AddrPort {
	callers := g.fleet.CallerAddrs()
	if load.OneInstance {
		return callers[0]
	}
	return callers[(n+i)%len(callers)]
}

// sendAsync sends a request in a new goroutine, which appends its record.
func (g *loadGenerator) sendAsync(ctx context.Context, r *request) {
	g.sent.Add(1)
	g.wg.Go(func() {
		rec := r.send(ctx, g.client)
		g.mu.Lock()
		defer g.mu.Unlock()
		g.records = append(g.records, rec)
	})
}

// sendPairs sends each request for one adapter twice: through an instance and, after
// directDelay, directly to the engine that runs it. The direct request has no pin; the
// pin of the first one keeps the adapter loaded for it.
func (g *loadGenerator) sendPairs(sendCtx, drainCtx context.Context) {
	o := g.fleet.Profile.Orgs[0]
	rng := rand.New(rand.NewPCG(g.seed, 0))
	a := demo.Adapter(o, 0)
	for i := 0; sleepUntil(sendCtx, g.startedAt.Add(time.Duration(i)*pairInterval)); i++ {
		r := request{
			org:     o.ID,
			key:     g.fleet.Keys[o.ID],
			adapter: a,
			// -1 keeps these prompts distinct from those of sendOrg.
			prompt: randomPrompt(rng, -1, i),
			addr:   g.pickInstance(0, i, OrgLoad{}),
			paired: true,
		}
		g.sendAsync(drainCtx, &r)
		direct := r
		direct.direct = true
		if !sleepUntil(sendCtx, time.Now().Add(directDelay)) {
			return
		}
		var ok bool
		if direct.addr, ok = g.fleet.BusiestEngine(a); ok {
			g.sendAsync(drainCtx, &direct)
		}
	}
}

// randomPrompt returns a prompt of promptWords words that is unique to the i-th
// request of the n-th organisation.
func randomPrompt(rng *rand.Rand, n, i int) string {
	text := fmt.Sprintf("%d-%d", n, i)
	for range promptWords - 1 {
		text += fmt.Sprintf(" %05d", rng.IntN(100000))
	}
	return text
}

// reportProgress updates a progress line once a second until the returned function is
// called. It prints nothing if w is nil.
func (g *loadGenerator) reportProgress(w io.Writer, name string) func() {
	if w == nil {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		tick := time.NewTicker(progressInterval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				g.mu.Lock()
				n := len(g.records)
				g.mu.Unlock()
				fmt.Fprintf(w, "\r%s: %3.0f s, %d sent, %d answered ", name, time.Since(g.startedAt).Seconds(), g.sent.Load(), n)
			case <-done:
				fmt.Fprintln(w)
				return
			}
		}
	}()
	return func() {
		close(done)
	}
}

// zipf draws ranks from 0 up with probability proportional to (rank+1)^-s.
type zipf struct {
	rng        *rand.Rand
	cumulative []float64
}

func newZipf(rng *rand.Rand, s float64, n int) *zipf {
	z := &zipf{
		rng: rng,
	}
	sum := 0.0
	for k := range n {
		sum += math.Pow(float64(k+1), -s)
		z.cumulative = append(z.cumulative, sum)
	}
	return z
}

func (z *zipf) next() int {
	v := z.rng.Float64() * z.cumulative[len(z.cumulative)-1]
	low, high := 0, len(z.cumulative)-1
	for low < high {
		mid := (low + high) / 2
		if z.cumulative[mid] < v {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low
}
