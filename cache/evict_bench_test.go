package cache

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// accessTrace is a sequence of adapters asked for, as they fall to one target.
type accessTrace []int

// zipfTraces draws a Zipf sequence over organisations' adapters and deals it to
// targets by hash; shift replaces the most popular hundredth halfway.
func zipfTraces(seed uint64, n, targets, adapters int, s float64, shift bool) []accessTrace {
	rng := rand.New(rand.NewPCG(seed, seed))
	cum := make([]float64, adapters)
	sum := 0.0
	for k := range adapters {
		sum += math.Pow(float64(k+1), -s)
		cum[k] = sum
	}
	traces := make([]accessTrace, targets)
	for i := range n {
		v := rng.Float64() * sum
		low, high := 0, adapters-1
		for low < high {
			if mid := (low + high) / 2; cum[mid] < v {
				low = mid + 1
			} else {
				high = mid
			}
		}
		if shift && i > n/2 && low < adapters/100 {
			low += adapters
		}
		t := xxhash.Sum64String(fmt.Sprint(low)) % uint64(targets)
		traces[t] = append(traces[t], low)
	}
	return traces
}

// missesLRU evicts what was used longest ago.
func missesLRU(trace accessTrace, slots int) int {
	return misses(trace, slots, func(_ int, _ float64, last int) float64 {
		return float64(last)
	})
}

// missesPopularity evicts what was used least, with uses forgotten over time.
func missesPopularity(trace accessTrace, slots int) int {
	return misses(trace, slots, func(now int, uses float64, last int) float64 {
		return uses * math.Exp(-float64(now-last)/popularityUses)
	})
}

// popularityUses is over how many uses of a target an adapter's use is forgotten.
const popularityUses = 400

// misses counts the loads of a cache that evicts the adapter of the least worth.
func misses(trace accessTrace, slots int, worth func(now int, uses float64, last int) float64) int {
	type entry struct {
		uses float64
		last int
	}
	held := make(map[int]*entry)
	history := make(map[int]entry)
	count := 0
	for now, a := range trace {
		e, ok := held[a]
		if !ok {
			count++
			if len(held) >= slots {
				victim, least := 0, math.Inf(1)
				for b, o := range held {
					if w := worth(now, o.uses, o.last); w < least {
						victim, least = b, w
					}
				}
				history[victim] = *held[victim]
				delete(held, victim)
			}
			old := history[a]
			e = &old
			held[a] = e
		}
		e.uses = e.uses*math.Exp(-float64(now-e.last)/popularityUses) + 1
		e.last = now
	}
	return count
}

// missesClairvoyant evicts what is used again the latest: no way does better.
func missesClairvoyant(trace accessTrace, slots int) int {
	next := make([]int, len(trace))
	seen := make(map[int]int)
	for i := len(trace) - 1; i >= 0; i-- {
		next[i] = math.MaxInt
		if j, ok := seen[trace[i]]; ok {
			next[i] = j
		}
		seen[trace[i]] = i
	}
	held := make(map[int]int)
	count := 0
	for i, a := range trace {
		if _, ok := held[a]; !ok {
			count++
			if len(held) >= slots {
				victim, latest := 0, -1
				for b, n := range held {
					if n > latest {
						victim, latest = b, n
					}
				}
				delete(held, victim)
			}
		}
		held[a] = next[i]
	}
	return count
}

// BenchmarkEviction compares ways to evict by the loads that they cause, as a
// share of all requests, on 18 targets with 16 adapters each.
func BenchmarkEviction(b *testing.B) {
	for _, s := range []float64{1.2, 1.5, 1.8} {
		for _, shift := range []bool{false, true} {
			b.Run(fmt.Sprintf("zipf=%.1f/shift=%t", s, shift), func(b *testing.B) {
				const requests, slots = 60000, 16
				var lru, popular, clairvoyant int
				for range b.N {
					lru, popular, clairvoyant = 0, 0, 0
					for _, trace := range zipfTraces(1, requests, 18, 3000, s, shift) {
						lru += missesLRU(trace, slots)
						popular += missesPopularity(trace, slots)
						clairvoyant += missesClairvoyant(trace, slots)
					}
				}
				b.ReportMetric(100*float64(lru)/requests, "lru-%")
				b.ReportMetric(100*float64(popular)/requests, "popular-%")
				b.ReportMetric(100*float64(clairvoyant)/requests, "clairvoyant-%")
			})
		}
	}
}
