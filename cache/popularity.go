package cache

import (
	"math"
	"time"

	"currantstile/model"
)

const (
	// popularityTimeConstant is the time constant of the exponential decay of uses.
	popularityTimeConstant = 2 * time.Minute
	// maxEvictedPopularity bounds the number of evicted adapters whose popularity
	// is kept.
	maxEvictedPopularity = 256
)

// popularity is an exponentially decaying count of an adapter's uses. Each grant
// and each renewal of a pin in use counts as one.
type popularity struct {
	uses      float64
	updatedAt time.Time
}

// current returns the popularity decayed to the given time.
func (p popularity) current(now time.Time) float64 {
	elapsed := max(now.Sub(p.updatedAt), 0)
	return p.uses * math.Exp(-float64(elapsed)/float64(popularityTimeConstant))
}

// recordUse decays the popularity to now and adds one use.
func (p *popularity) recordUse(now time.Time) {
	p.uses = p.current(now) + 1
	p.updatedAt = now
}

// rememberPopularity stores an evicted adapter's popularity, which is restored when
// the adapter is loaded again.
func (t *Target) rememberPopularity(a model.Adapter, p popularity) {
	if len(t.evictedPopularity) >= maxEvictedPopularity {
		// Popularity that has decayed is of no use. Clearing the whole map also
		// loses recent values, after which counting starts again from zero.
		t.evictedPopularity = make(map[model.Adapter]popularity)
	}
	t.evictedPopularity[a] = p
}

// evictionCandidate returns the least popular adapter among those on which no
// request can be running. It reports false if there is none.
func (t *Target) evictionCandidate(now time.Time) (model.Adapter, bool) {
	var chosen model.Adapter
	var found *resident
	least := 0.0
	for a, res := range t.residents {
		if !res.evictable() {
			continue
		}
		if w := res.popularity.current(now); found == nil || w < least {
			chosen, found, least = a, res, w
		}
	}
	return chosen, found != nil
}
