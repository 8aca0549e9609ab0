package replay

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// arrival is the arrival of a request.
type arrival struct {
	at      time.Duration
	class   int
	org     int
	adapter string
	prompt  int64
	output  int
}

// arrivals draws the requests of a pattern, in order of time.
func (p *Pattern) arrivals(rng *rand.Rand) []arrival {
	zipf := rand.NewZipf(rng, p.Zipf, 1, uint64(p.Adapters-1))
	var list []arrival
	for i, c := range p.Classes {
		for at := 0.0; ; {
			at += rng.ExpFloat64() / (c.Rate * p.factor(c.Name, seconds(at)))
			if seconds(at) >= p.Duration {
				break
			}
			list = append(list, p.draw(rng, zipf, i, seconds(at)))
		}
	}
	list = append(list, p.hotArrivals(rng, zipf)...)
	sort.SliceStable(list, func(i, j int) bool {
		return list[i].at < list[j].at
	})
	return list
}

// draw draws a request of a class that arrives at a time.
func (p *Pattern) draw(rng *rand.Rand, zipf *rand.Zipf, class int, at time.Duration) arrival {
	c := &p.Classes[class]
	adapter := (int(zipf.Uint64()) + p.shift(at)) % p.Adapters
	return arrival{
		at:      at,
		class:   class,
		org:     adapter % max(p.Organisations, 1),
		adapter: fmt.Sprintf("m/a%d", adapter),
		prompt:  1 + int64(float64(c.Prompt)*(0.5+rng.Float64())),
		output:  1 + int(float64(c.Output)*(0.5+rng.Float64())),
	}
}

// hotArrivals draws what hot organisations send beyond their usual requests.
func (p *Pattern) hotArrivals(rng *rand.Rand, zipf *rand.Zipf) []arrival {
	var list []arrival
	for _, d := range p.Disturbances {
		hot, ok := d.(HotOrganisation)
		if !ok {
			continue
		}
		for i, c := range p.Classes {
			rate := c.Rate * (hot.Factor - 1)
			for at := hot.At.Seconds() + rng.ExpFloat64()/rate; seconds(at) < hot.At+hot.For; at += rng.ExpFloat64() / rate {
				// All organisations together would send this; the others' part is dropped.
				if a := p.draw(rng, zipf, i, seconds(at)); a.org == hot.Organisation {
					list = append(list, a)
				}
			}
		}
	}
	return list
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// factor returns by how much more requests of a class arrive at a time.
func (p *Pattern) factor(class string, at time.Duration) float64 {
	f := 1.0
	for _, d := range p.Disturbances {
		if b, ok := d.(Burst); ok && (b.Class == class || b.Class == "") && at >= b.At && at < b.At+b.For {
			f *= b.Factor
		}
	}
	return f
}

// shiftStep is by how many places the popularity of adapters moves on with a shift.
const shiftStep = 97

// shift returns by how many places the popularity of adapters has moved on.
func (p *Pattern) shift(at time.Duration) int {
	n := 0
	for _, d := range p.Disturbances {
		if s, ok := d.(Shift); ok && at >= s.At {
			n += shiftStep
		}
	}
	return n
}

// disturbed returns from when until when bursts last, or the whole time if there are none.
func (p *Pattern) disturbed() (from, until time.Duration) {
	from = p.Duration
	for _, d := range p.Disturbances {
		if b, ok := d.(Burst); ok {
			from, until = min(from, b.At), max(until, b.At+b.For)
		}
	}
	if until == 0 {
		return 0, p.Duration
	}
	return from, until
}
