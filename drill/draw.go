package drill

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Options say what Draw draws.
type Options struct {
	Seed   uint64
	Length time.Duration
	// Rate is the number of requests in a second.
	Rate float64
	// Instances is the number of instances; 0 draws a few. Targets grow with it.
	Instances int
}

// SetDefaults sets the options that are zero.
func (o *Options) SetDefaults() {
	if o.Length == 0 {
		o.Length = 30 * time.Second
	}
	if o.Rate == 0 {
		o.Rate = 25
	}
}

const (
	// MinLength is the shortest day that can be drawn.
	MinLength = 10 * time.Second
	// soundEnd is the end of each day, in which no fault begins.
	soundEnd = 4 * time.Second
	// orgRate is the limit of the organisation, in tokens a second.
	orgRate = 2500
	// maxFaultTime is how long a fault lasts at most.
	maxFaultTime = 5 * time.Second
	// keptConns is the number of connections that callers keep.
	keptConns = 6
)

// Draw draws a day.
func Draw(o Options) *Day {
	o.SetDefaults()
	rng := rand.New(rand.NewPCG(o.Seed, 0xda7))
	d := &Day{
		Seed:      o.Seed,
		Length:    o.Length,
		Instances: 2 + rng.IntN(3),
		Engines:   2 + rng.IntN(4),
		Services:  2 + rng.IntN(6),
		Rate:      orgRate,
	}
	if o.Instances > 0 {
		d.Instances = min(o.Instances, maxInstances)
		d.Engines, d.Services = max(d.Engines, d.Instances/2), max(d.Services, d.Instances/8)
	}
	if rng.IntN(3) == 0 || o.Instances > 0 {
		d.Rate = 10 * orgRate
	}
	d.drawFaults(rng)
	d.drawRequests(rng, o)
	d.drawCrashes(rng)
	d.drawChanges(rand.New(rand.NewPCG(o.Seed, 0xc4a)))
	d.drawSilence(rand.New(rand.NewPCG(o.Seed, 0x51e)))
	d.drawLimits(rand.New(rand.NewPCG(o.Seed, 0x11a)))
	d.drawLeaves(rand.New(rand.NewPCG(o.Seed, 0x1ea)))
	d.drawOutages(rand.New(rand.NewPCG(o.Seed, 0x0a6)))
	d.drawRare(rand.New(rand.NewPCG(o.Seed, 0xa3e)))
	d.drawIdle(rand.New(rand.NewPCG(o.Seed, 0x1d7e)))
	d.drawJoins(rand.New(rand.NewPCG(o.Seed, 0x101)))
	d.drawForgetting(rand.New(rand.NewPCG(o.Seed, 0xf09)))
	d.sort()
	return d
}

// pickFault draws a kind of fault.
func pickFault(rng *rand.Rand) faultKind {
	total := 0
	for _, k := range faultKinds {
		total += k.weight
	}
	pick := rng.IntN(total)
	for _, k := range faultKinds {
		if pick -= k.weight; pick < 0 {
			return k
		}
	}
	return faultKinds[0]
}

// drawFaults draws faults: alone, or several that begin close to one another.
func (d *Day) drawFaults(rng *rand.Rand) {
	last := d.Length - soundEnd - maxFaultTime
	for at := time.Duration(rng.Int64N(int64(4 * time.Second))); at < last; at += time.Duration(rng.Int64N(int64(7 * time.Second))) {
		for range 1 + rng.IntN(3)*rng.IntN(2) {
			k := pickFault(rng)
			f := Fault{
				At:   (at + time.Duration(rng.Int64N(int64(time.Second)))).Round(time.Millisecond),
				For:  time.Duration(50+rng.Int64N(maxFaultTime.Milliseconds()-50)) * time.Millisecond,
				Kind: k.name,
				Who:  rng.IntN(maxTargets),
			}
			if k.pair {
				f.With = rng.IntN(maxTargets)
			}
			if len(k.hows) > 0 {
				f.How = k.hows[rng.IntN(len(k.hows))]
			}
			d.Faults = append(d.Faults, f)
		}
	}
}

// drawRequests draws the requests of callers and how targets answer them.
func (d *Day) drawRequests(rng *rand.Rand, o Options) {
	misbehaviour := []int{1000, 40, 12, 6}[rng.IntN(4)]
	for at, n := time.Duration(0), 0; at < d.Length-time.Second; n++ {
		at += time.Duration(rng.ExpFloat64() / o.Rate * float64(time.Second))
		r := Request{
			// No change of some bytes makes the ID of another request.
			ID:       fmt.Sprintf("r%d-%08x", n, rng.Uint32()),
			At:       at.Round(time.Millisecond),
			Instance: rng.IntN(d.Instances),
			Route:    routes[rng.IntN(len(routes))].name,
			Key:      []string{alwaysKey, alwaysKey, alwaysKey, "k2"}[rng.IntN(4)],
			Adapter:  rng.IntN(5),
			Path:     fmt.Sprintf("%d", n),
			Timeout:  time.Duration(800+rng.IntN(4000)) * time.Millisecond,
		}
		if rng.IntN(2) == 0 {
			r.Conn = 1 + rng.IntN(keptConns)
			r.Instance = r.Conn % d.Instances
		}
		if route, _ := routeNamed(r.Route); route.method == "POST" && rng.IntN(3) == 0 {
			r.Body, r.Chunked = 1+rng.IntN(900), rng.IntN(3) == 0
		}
		switch rng.IntN(40) {
		case 0:
			r.Leaves = time.Duration(5+rng.IntN(400)) * time.Millisecond
		case 1:
			r.Slow = time.Duration(1+rng.IntN(80)) * time.Millisecond
		case 2:
			r.Mutations = drawMutations(rng, false)
		}
		d.Requests = append(d.Requests, r)
		if rng.IntN(misbehaviour) == 0 {
			d.drawReplies(rng, r.ID)
			// Whoever is refused may send the same request again.
			if rng.IntN(3) == 0 {
				r.At += time.Duration(rng.IntN(60)) * time.Millisecond
				r.Mutations = nil
				d.Requests = append(d.Requests, r)
			}
		}
	}
}

// drawReplies draws how targets answer the first runs of a request.
func (d *Day) drawReplies(rng *rand.Rand, id string) {
	for run := 1; run <= 1+rng.IntN(3); run++ {
		if run > 1 && rng.IntN(2) == 0 {
			continue
		}
		r := Reply{
			Request:   id,
			Run:       run,
			Mutations: drawMutations(rng, true),
		}
		switch rng.IntN(8) {
		case 0, 1:
			r.Delay = time.Duration(rng.IntN(700)) * time.Millisecond
		case 2:
			// Longer than any route waits.
			r.Delay = time.Duration(rng.IntN(5000)) * time.Millisecond
		}
		d.Replies = append(d.Replies, r)
	}
}

// drawCrashes draws requests that end each target that runs them, and come again: equal ones of a
// plain service, or those of a model that share a part of their prompts.
func (d *Day) drawCrashes(rng *rand.Rand) {
	if rng.IntN(3) != 0 {
		return
	}
	route := []string{"look", "book", "long", "chat"}[rng.IntN(4)]
	m := Mutations{
		{
			Op:  "crash",
			At:  []float64{0, 0, 0.3, 0.7}[rng.IntN(4)],
			Arg: []string{"0s", "0s", "150ms"}[rng.IntN(3)],
		},
	}
	sound := rng.IntN(3) * rng.IntN(4)
	at := time.Duration(1+rng.IntN(8)) * time.Second
	gap := time.Duration(20+rng.IntN(900)) * time.Millisecond
	for n := range 12 + rng.IntN(30) {
		at += time.Duration(float64(gap) * rng.ExpFloat64())
		if at > d.Length-soundEnd {
			return
		}
		r := Request{
			ID:       fmt.Sprintf("c%d", n),
			At:       at.Round(time.Millisecond),
			Instance: rng.IntN(d.Instances),
			Route:    route,
			Key:      alwaysKey,
			Path:     "bad",
			Part:     crashingPart,
			Timeout:  3 * time.Second,
			Adapter:  rng.IntN(3),
		}
		d.Requests = append(d.Requests, r)
		if n >= sound {
			d.Replies = append(d.Replies, Reply{
				Request:   r.ID,
				Mutations: m,
			})
		}
	}
}
