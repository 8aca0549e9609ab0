package cache

import (
	"math"
	"time"

	"currantstile/model"
)

const (
	// popularTime is over what time an adapter's use is forgotten.
	popularTime = 2 * time.Minute
	// maxPast bounds how many evicted adapters a target remembers the use of.
	maxPast = 256
)

// popularity is how much an adapter has been used lately: each grant and each
// renewal in use counts one, and is forgotten over popularTime.
type popularity struct {
	uses float64
	at   time.Time
}

// worth is the popularity at a moment.
func (p popularity) worth(now time.Time) float64 {
	elapsed := max(now.Sub(p.at), 0)
	return p.uses * math.Exp(-float64(elapsed)/float64(popularTime))
}

// used counts one use.
func (p *popularity) used(now time.Time) {
	p.uses = p.worth(now) + 1
	p.at = now
}

// remember keeps an evicted adapter's popularity for when it is loaded again.
func (t *Target) remember(a model.Adapter, p popularity) {
	if len(t.past) >= maxPast {
		// What was not used for long is not worth remembering; if all was, the
		// memory starts anew.
		t.past = make(map[model.Adapter]popularity)
	}
	t.past[a] = p
}

// victim chooses the least popular adapter among those on which no request can
// run.
func (t *Target) victim(now time.Time) (model.Adapter, bool) {
	var chosen model.Adapter
	var found *resident
	least := 0.0
	for a, res := range t.residents {
		if !res.evictable() {
			continue
		}
		if w := res.popularity.worth(now); found == nil || w < least {
			chosen, found, least = a, res, w
		}
	}
	return chosen, found != nil
}
