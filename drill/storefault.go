package drill

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"currantstile/clock"
	"currantstile/platform/fake"
)

// storeFault answers a call of the store, or passes it on.
type storeFault func(w http.ResponseWriter, r *http.Request, process http.Handler)

// storeFaults are the faults of the store.
func storeFaults() []faultKind {
	return []faultKind{
		{
			name:   "store-away",
			weight: 3,
			hows:   []string{"503", "reset", "silent"},
			play: func(p *player, f Fault, _ *rand.Rand) {
				p.disturb(f, "", false, false)
				p.storeAway(f, func(*http.Request) bool { return true })
			},
		},
		{
			name:   "store-refuses",
			weight: 3,
			hows:   []string{"503", "429", "reset", "silent"},
			play: func(p *player, f Fault, _ *rand.Rand) {
				m := p.instance(f)
				p.disturbStretching(f, m.name)
				p.storeAway(f, func(r *http.Request) bool {
					return p.isFrom(r, m)
				})
			},
		},
		{
			name:   "store-slow",
			weight: 1,
			play: func(p *player, f Fault, rng *rand.Rand) {
				p.disturb(f, "", false, false)
				wait := time.Duration(20+rng.IntN(400)) * time.Millisecond
				p.interceptStore(f, func(w http.ResponseWriter, r *http.Request, process http.Handler) {
					if clock.Sleep(r.Context(), wait) {
						process.ServeHTTP(w, r)
					}
				})
			},
		},
		{
			name:   "store-loses-answers",
			weight: 3,
			hows:   []string{"done", "late"},
			play: func(p *player, f Fault, rng *rand.Rand) {
				p.disturb(f, "", false, false)
				p.loseAnswers(f, rng)
			},
		},
		{
			name:   "store-forgets",
			weight: 1,
			play: func(p *player, f Fault, _ *rand.Rand) {
				p.disturbStretching(f, "")
				p.store.Compact()
			},
		},
	}
}

// interceptStore lets a fault answer the calls of the store for a time.
func (p *player) interceptStore(f Fault, answer storeFault) {
	p.mu.Lock()
	key := len(p.storeFaults)
	for p.storeFaults[key] != nil {
		key++
	}
	p.storeFaults[key] = answer
	p.mu.Unlock()
	p.store.Intercept(p.answerStoreCall)
	clock.Sleep(p.ctx, f.For)
	p.mu.Lock()
	delete(p.storeFaults, key)
	p.mu.Unlock()
}

// answerStoreCall passes a call through all faults of the store.
func (p *player) answerStoreCall(w http.ResponseWriter, r *http.Request, process http.Handler) {
	p.mu.Lock()
	keys := make([]int, 0, len(p.storeFaults))
	for k := range p.storeFaults {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	h := process
	for _, k := range keys {
		fault, next := p.storeFaults[k], h
		h = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			fault(w, r, next)
		})
	}
	p.mu.Unlock()
	h.ServeHTTP(w, r)
}

// storeAway keeps the store away from those that concerns returns true for.
func (p *player) storeAway(f Fault, concerns func(*http.Request) bool) {
	over, cancel := context.WithTimeout(p.ctx, f.For)
	defer cancel()
	p.interceptStore(f, func(w http.ResponseWriter, r *http.Request, process http.Handler) {
		if !concerns(r) {
			process.ServeHTTP(w, r)
			return
		}
		switch f.How {
		case "429":
			w.WriteHeader(http.StatusTooManyRequests)
		case "reset":
			panic(http.ErrAbortHandler)
		case "silent":
			select {
			case <-r.Context().Done():
			case <-over.Done():
			}
			panic(http.ErrAbortHandler)
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// loseAnswers lets writes be done and not answered, or done later.
func (p *player) loseAnswers(f Fault, rng *rand.Rand) {
	const share = 3
	p.interceptStore(f, func(w http.ResponseWriter, r *http.Request, process http.Handler) {
		p.mu.Lock()
		lost, wait := rng.IntN(share) == 0, time.Duration(1000+rng.IntN(5000))*time.Millisecond
		p.mu.Unlock()
		if r.Method == http.MethodGet || !lost {
			process.ServeHTTP(w, r)
			return
		}
		call := fake.Detach(r)
		if f.How == "late" {
			p.faults.Go(func() {
				if clock.Sleep(p.ctx, wait) {
					call(process)
				}
			})
		} else {
			call(process)
		}
		panic(http.ErrAbortHandler)
	})
}
