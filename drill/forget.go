package drill

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// forgetOdds is one in how many days loses the reports of ended targets.
	forgetOdds = 6
	// forgetInstances and forgetServices are the least numbers of instances and of targets of the plain service on
	// such a day.
	forgetInstances = 4
	forgetServices  = 6
	// storeAwayTime is for how long the store is away, and killAfter how long after its begin all instances are killed.
	storeAwayTime = 4500 * time.Millisecond
	killAfter     = 4 * time.Second
	// deadTime is for how long the instances are away.
	deadTime = time.Second
	// copiesAfter is the time from the begin of the outage to the copies at all instances: the instances run
	// for longer than the bound for starts.
	copiesAfter = 15 * time.Second
	// copiesWithin is the time in which the copies come.
	copiesWithin = 300 * time.Millisecond
)

// drawForgetting draws a request that ends three targets while the store is away, instances that are all killed before
// it is back, and copies of the request that come to all instances within some tenths of a second. It has random
// numbers of its own, so that it does not alter what else a seed draws.
func (d *Day) drawForgetting(rng *rand.Rand) {
	room := d.Length - soundEnd - copiesAfter
	if rng.IntN(forgetOdds) != 0 || room <= 0 {
		return
	}
	d.Instances, d.Services = max(d.Instances, forgetInstances), max(d.Services, forgetServices)
	at := time.Duration(rng.Int64N(int64(room))).Round(time.Millisecond)
	d.Faults = append(d.Faults, Fault{
		At:   at,
		For:  storeAwayTime,
		Kind: "store-away",
		How:  []string{"503", "reset", "silent"}[rng.IntN(3)],
	}, Fault{
		At:   at + killAfter,
		For:  deadTime,
		Kind: "all-killed",
	})
	route := []string{"look", "book"}[rng.IntN(2)]
	send := func(n, instance int, at time.Duration) {
		r := Request{
			ID:       fmt.Sprintf("f%d-%08x", n, rng.Uint32()),
			At:       at.Round(time.Millisecond),
			Instance: instance,
			Route:    route,
			Key:      alwaysKey,
			Path:     "forgotten",
			Timeout:  soundEnd - time.Second,
		}
		d.Requests = append(d.Requests, r)
		d.Replies = append(d.Replies, Reply{
			Request: r.ID,
			Mutations: Mutations{
				{
					Op:  "crash",
					Arg: "0s",
				},
			},
		})
	}
	n := 0
	for ; n < 3; n++ {
		send(n, n%d.Instances, at+500*time.Millisecond+time.Duration(n)*time.Second)
	}
	for i := range d.Instances {
		send(n+i, i, at+copiesAfter+time.Duration(rng.Int64N(int64(copiesWithin))))
	}
}
