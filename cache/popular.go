package cache

import (
	"math"
	"time"

	"currantstile/model"
)

const (
	// popularityTimeConstant is over what time an adapter's use is forgotten.
	popularityTimeConstant = 2 * time.Minute
	// maxEvictedPopularity bounds how many evicted adapters a target remembers the use of.
	maxEvictedPopularity = 256
)

// popularity is how much an adapter has been used lately: each grant and each
// renewal in use counts one, and is forgotten over popularTime.
type popularity struct {
	uses      float64
	updatedAt time.Time
}

// current is the popularity at a moment.
func (p popularity) current(now time.Time) float64 {
	elapsed := max(now.Sub(p.updatedAt), 0)
	return p.uses * math.Exp(-float64(elapsed)/float64(popularityTimeConstant))
}

// recordUse counts one use.
func (p *popularity) recordUse(now time.Time) {
	p.uses = p.current(now) + 1
	p.updatedAt = now
}

// rememberPopularity keeps an evicted adapter's popularity for when it is loaded again.
func (t *Target) rememberPopularity(a model.Adapter, p popularity) {
	if len(t.evictedPopularity) >= maxEvictedPopularity {
		// What was not used for long is not worth remembering; if all was, the
		// memory starts anew.
		t.evictedPopularity = make(map[model.Adapter]popularity)
	}
	t.evictedPopularity[a] = p
}

// evictionCandidate chooses the least popular adapter among those on which no request can
// run.
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
