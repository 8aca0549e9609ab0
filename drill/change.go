package drill

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"currantstile/platform/fake"
)

const (
	// maxAddedKeys is the number of keys that operators may add.
	maxAddedKeys = 5
	// minRefusal and refusalRange say for how long the store rejects an instance beside a change:
	// longer than a lease.
	minRefusal   = 4 * time.Second
	refusalRange = 8 * time.Second
	// firstChange is when the first change may be, and changeEnd how long before the end of the day the
	// last one.
	firstChange = time.Second
	changeEnd   = 11 * time.Second
)

// probeDelays are when, after a change, small requests at each instance show which configuration it
// serves.
var probeDelays = []time.Duration{
	300 * time.Millisecond, time.Second, 2100 * time.Millisecond, 3500 * time.Millisecond, 5 * time.Second,
	7100 * time.Millisecond, 8500 * time.Millisecond, 10 * time.Second,
}

// addedKey returns the name of a key that operators may add.
func addedKey(n int) string {
	return fmt.Sprint("n", n%maxAddedKeys)
}

// operatorFaults are changes of keys, and what disturbs them; drawChanges alone draws them, so that
// they do not alter what else a seed draws.
func operatorFaults() []faultKind {
	return []faultKind{
		{
			name: "key-added",
			play: func(p *player, f Fault, _ *rand.Rand) {
				p.writeConfig([]string{addedKey(f.Who)}, nil)
			},
		},
		{
			name: "key-removed",
			play: func(p *player, f Fault, _ *rand.Rand) {
				p.writeConfig(nil, []string{addedKey(f.Who)})
			},
		},
		{
			name: "listing-refused",
			play: func(p *player, f Fault, _ *rand.Rand) {
				m := p.instance(f)
				p.disturbStretching(f, m.name)
				p.interceptStore(f, func(w http.ResponseWriter, r *http.Request, process http.Handler) {
					if p.isFrom(r, m) && fake.IsListing(r) {
						w.WriteHeader(http.StatusServiceUnavailable)
						return
					}
					process.ServeHTTP(w, r)
				})
			},
		},
	}
}

// isFrom reports whether a call of the store is a machine's.
func (p *player) isFrom(r *http.Request, m *machine) bool {
	addr, err := netip.ParseAddrPort(r.RemoteAddr)
	return err == nil && addr.Addr() == m.addr
}

// drawChanges draws keys that are added and withdrawn, with requests at each instance that show it,
// and what disturbs some instances meanwhile.
func (d *Day) drawChanges(rng *rand.Rand) {
	room := d.Length - firstChange - changeEnd
	if room <= 0 {
		return
	}
	for n := range 2 + rng.IntN(maxAddedKeys-1) {
		at := firstChange + time.Duration(rng.Int64N(int64(room))).Round(time.Millisecond)
		d.drawDisturbance(rng, at)
		d.Faults = append(d.Faults, Fault{
			At:   at,
			Kind: "key-added",
			Who:  n,
		})
		d.drawProbes(rng, n, at)
		if rng.IntN(2) == 0 {
			continue
		}
		removed := at + time.Duration(1+rng.IntN(6000))*time.Millisecond
		d.Faults = append(d.Faults, Fault{
			At:   removed,
			Kind: "key-removed",
			Who:  n,
		})
		d.drawProbes(rng, n, removed)
	}
}

// drawDisturbance draws what disturbs some instances around a change.
func (d *Day) drawDisturbance(rng *rand.Rand, at time.Duration) {
	before := time.Duration(rng.IntN(int(min(at, 4*time.Second).Milliseconds()))) * time.Millisecond
	f := Fault{
		At:   at - before,
		For:  (minRefusal + time.Duration(rng.Int64N(int64(refusalRange)))).Round(time.Millisecond),
		Kind: "store-refuses",
		Who:  rng.IntN(maxTargets),
		How:  []string{"503", "429", "reset", "silent"}[rng.IntN(4)],
	}
	switch rng.IntN(5) {
	case 0:
		d.Faults = append(d.Faults, f)
	case 1:
		other := f
		other.Who++
		d.Faults = append(d.Faults, f, other)
	case 2:
		f.Kind, f.How = "listing-refused", ""
		d.Faults = append(d.Faults, f, Fault{
			At:   f.At + time.Millisecond,
			For:  time.Second,
			Kind: "store-forgets",
		})
	}
}

// drawProbes draws requests with an added key at each instance after a change.
func (d *Day) drawProbes(rng *rand.Rand, n int, changed time.Duration) {
	for i := range d.Instances {
		for _, delay := range probeDelays {
			at := changed + delay + time.Duration(rng.IntN(100))*time.Millisecond
			if at > d.Length-time.Second {
				continue
			}
			d.Requests = append(d.Requests, Request{
				ID:       fmt.Sprintf("p%d-%08x", n, rng.Uint32()),
				At:       at,
				Instance: i,
				Route:    "look",
				Key:      addedKey(n),
				Path:     "probe",
				Timeout:  2 * time.Second,
			})
		}
	}
}
