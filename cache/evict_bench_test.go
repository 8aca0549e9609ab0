package cache

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// accessTrace is the sequence of adapters requested from one target.
type accessTrace []int

// zipfTraces draws a sequence of adapters from a Zipf distribution and distributes
// it over targets by hash. If shift is set, the most popular hundredth of the
// adapters is replaced halfway.
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

// missesLRU counts the loads when the least recently used adapter is evicted.
func missesLRU(trace accessTrace, slots int) int {
	return misses(trace, slots, func(_ int, _ float64, last int) float64 {
		return float64(last)
	})
}

// missesPopularity counts the loads when the adapter with the fewest uses is
// evicted, where uses decay exponentially.
func missesPopularity(trace accessTrace, slots int) int {
	return misses(trace, slots, func(now int, uses float64, last int) float64 {
		return uses * math.Exp(-float64(now-last)/popularityUses)
	})
}

// popularityUses is the time constant of the decay of uses, in requests to the target.
const popularityUses = 400

// misses counts the loads of a cache that evicts the adapter with the lowest score.
func misses(trace accessTrace, slots int, score func(now int, uses float64, last int) float64) int {
	type cacheEntry struct {
		uses float64
		last int
	}
	cached := make(map[int]*cacheEntry)
	history := make(map[int]cacheEntry)
	count := 0
	for now, a := range trace {
		e, ok := cached[a]
		if !ok {
			count++
			if len(cached) >= slots {
				candidate, least := 0, math.Inf(1)
				for b, o := range cached {
					if w := score(now, o.uses, o.last); w < least {
						candidate, least = b, w
					}
				}
				history[candidate] = *cached[candidate]
				delete(cached, candidate)
			}
			old := history[a]
			e = &old
			cached[a] = e
		}
		e.uses = e.uses*math.Exp(-float64(now-e.last)/popularityUses) + 1
		e.last = now
	}
	return count
}

// missesClairvoyant counts the loads when the adapter whose next use is furthest in
// the future is evicted (Belady's algorithm), which is optimal.
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
	cached := make(map[int]int)
	count := 0
	for i, a := range trace {
		if _, ok := cached[a]; !ok {
			count++
			if len(cached) >= slots {
				candidate, latest := 0, -1
				for b, n := range cached {
					if n > latest {
						candidate, latest = b, n
					}
				}
				delete(cached, candidate)
			}
		}
		cached[a] = next[i]
	}
	return count
}

// BenchmarkEviction compares eviction policies by their loads as a percentage of
// all requests, on 18 targets with 16 adapter slots each.
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
