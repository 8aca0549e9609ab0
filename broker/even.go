package broker

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"currantstile/clock"
	"currantstile/model"
	"currantstile/quota"
	"currantstile/route"
	"currantstile/store"
)

const (
	// evenHolders is how many instances hold parts of one contract at most; all
	// others take tokens from these. A part of a burst has to hold a request.
	evenHolders = 7
	// evenTick is how often the roll is looked at.
	evenTick = 250 * time.Millisecond
	// joinTime is how long an instance waits to be put on the roll by another
	// one before it does so itself.
	joinTime = 1200 * time.Millisecond
	// entryTime is how long a new holder leaves its part unused, in which the
	// others learn of it and make theirs smaller.
	entryTime = 2 * time.Second
	// EvenFence is how long a holder uses its part without a sign of the roll:
	// longer than the outages of the store that are planned for.
	EvenFence = 14 * time.Second
	// EvenReclaim is how long an instance has to be gone before it is struck off:
	// longer than it may go on using its part.
	EvenReclaim = 19 * time.Second
)

// roll is the list of the instances among which the limits are divided evenly.
type roll struct {
	Version   uint64   `json:"version"`
	Instances []string `json:"instances"`
}

// Even divides the limits evenly among the instances on a roll in the store. An
// instance is on it by its name, so that a process that follows another one on the
// same instance has its part at once, and begins with empty buckets. Its exported
// fields are set before Run.
type Even struct {
	Self string
	KV   store.KV
	// Key is where the roll lies in the store.
	Key    string
	Ledger *quota.Ledger
	// Alive lists the instances that are alive now, by name.
	Alive func() map[string]netip.AddrPort
	// Current reports whether what is known of the roll is up to date.
	Current func(now time.Time) bool
	Log     log.Logger

	mu       sync.Mutex
	begun    time.Time
	roll     roll
	revision store.Revision
	// known is set once it is known whether there is a roll.
	known bool
	// usableFrom is from when the part may be used, and sighted when the roll was
	// last known to be up to date.
	usableFrom time.Time
	sighted    time.Time
	// inForce is set once the part may be used.
	inForce bool
	// gone is since when each instance on the roll has not been alive.
	gone map[string]time.Time
}

// Run keeps the part until ctx ends.
func (e *Even) Run(ctx context.Context) {
	e.mu.Lock()
	e.begun = time.Now()
	e.gone = make(map[string]time.Time)
	e.mu.Unlock()
	for {
		e.step(ctx, time.Now())
		if !clock.Sleep(ctx, evenTick) {
			return
		}
	}
}

// Listed takes in that all keys were read: the roll does not exist unless Apply
// was called before.
func (e *Even) Listed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.known = true
}

// Apply takes in the roll as it was written.
func (e *Even) Apply(now time.Time, entry store.Entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if entry.Deleted || entry.Revision <= e.revision {
		return
	}
	var r roll
	if err := json.Unmarshal(entry.Value, &r); err != nil {
		e.Log.Error().Err(err).Msg("share: roll cannot be read")
		return
	}
	e.take(now, r, entry.Revision)
}

// take puts a roll in force. The caller holds mu.
func (e *Even) take(now time.Time, r roll, rev store.Revision) {
	was := slices.Contains(e.roll.Instances, e.Self)
	is := slices.Contains(r.Instances, e.Self)
	if is && !was && e.known && r.Version > 1 {
		e.usableFrom = now.Add(entryTime)
	}
	e.roll = r
	e.revision = rev
	e.known = true
	e.Log.Info().Uint64("version", r.Version).Int("instances", len(r.Instances)).Bool("listed", is).Msg("share: limits are divided anew")
	e.setParts(now)
}

// holdersOf are the instances on a roll that hold parts of a contract.
func holdersOf(r roll, org model.OrgID) []string {
	if len(r.Instances) <= evenHolders {
		return r.Instances
	}
	return route.TopBy(string(org), r.Instances, func(s *string) string {
		return *s
	}, evenHolders, func(*string) bool {
		return true
	})
}

// setParts puts the parts of the roll in force. The caller holds mu.
func (e *Even) setParts(now time.Time) {
	r, usable := e.roll, slices.Contains(e.roll.Instances, e.Self) && !now.Before(e.usableFrom)
	e.inForce = usable
	some := int64(0)
	if usable {
		some = quota.Whole / int64(min(len(r.Instances), evenHolders))
	}
	e.Ledger.SetParts(now, some, func(org model.OrgID) int64 {
		holders := holdersOf(r, org)
		if !usable || !slices.Contains(holders, e.Self) {
			return 0
		}
		return quota.Whole / int64(len(holders))
	}, e.sighted.Add(EvenFence))
}

// step renews the part, and changes the roll where that is up to this instance.
func (e *Even) step(ctx context.Context, now time.Time) {
	current := e.Current(now)
	alive := e.Alive()
	e.mu.Lock()
	if current {
		e.sighted = now
		e.Ledger.ExtendFence(now, now.Add(EvenFence))
	}
	if !e.inForce && !now.Before(e.usableFrom) && slices.Contains(e.roll.Instances, e.Self) {
		e.setParts(now)
	}
	next, ok := e.plan(now, alive)
	expect := e.revision
	e.mu.Unlock()
	if !ok || !current {
		return
	}
	value, err := json.Marshal(next)
	if err != nil {
		e.Log.Error().Err(err).Msg("share: roll cannot be encoded")
		return
	}
	rev, err := e.KV.Put(ctx, store.Write{
		Key:    e.Key,
		Value:  value,
		Expect: expect,
	})
	if err != nil {
		// The feed brings the roll that is in force.
		e.Log.Info().Err(err).Msg("share: roll was not written")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if rev > e.revision {
		e.take(now, next, rev)
	}
}

// plan is the next roll that this instance should write. The caller holds mu.
func (e *Even) plan(now time.Time, alive map[string]netip.AddrPort) (roll, bool) {
	if !e.known || alive[e.Self] == (netip.AddrPort{}) {
		return roll{}, false
	}
	first := e.isFirst(alive)
	if !e.mayWrite(now, first) {
		return roll{}, false
	}
	var next []string
	for _, name := range e.roll.Instances {
		if !e.lost(now, name, alive) || !first {
			next = append(next, name)
		}
	}
	for name := range alive {
		if !slices.Contains(next, name) {
			next = append(next, name)
		}
	}
	slices.Sort(next)
	if slices.Equal(next, e.roll.Instances) {
		return roll{}, false
	}
	return roll{
		Version:   e.roll.Version + 1,
		Instances: next,
	}, true
}

// isFirst reports whether this instance is the one that sees to the roll.
func (e *Even) isFirst(alive map[string]netip.AddrPort) bool {
	for name := range alive {
		if name < e.Self {
			return false
		}
	}
	return true
}

// mayWrite reports whether this instance may change the roll now: the first one
// may once it knows the others, another one only to put itself on it.
func (e *Even) mayWrite(now time.Time, first bool) bool {
	age := now.Sub(e.begun)
	if first {
		return age >= joinTime
	}
	return !slices.Contains(e.roll.Instances, e.Self) && age >= 2*joinTime
}

// lost reports whether an instance has been gone for so long that it does not use
// its part any more. The caller holds mu.
func (e *Even) lost(now time.Time, name string, alive map[string]netip.AddrPort) bool {
	if _, ok := alive[name]; ok {
		delete(e.gone, name)
		return false
	}
	since, ok := e.gone[name]
	if !ok {
		e.gone[name] = now
		return false
	}
	return now.Sub(since) >= EvenReclaim
}

// Usable is how much of every limit this instance may use now by itself, in
// millionths.
func (e *Even) Usable(now time.Time) int64 {
	return e.Ledger.Base(now)
}

// Holders are the other instances that hold parts of a contract and are alive, by
// name.
func (e *Even) Holders(org model.OrgID) map[string]netip.AddrPort {
	alive := e.Alive()
	e.mu.Lock()
	r := e.roll
	e.mu.Unlock()
	list := make(map[string]netip.AddrPort)
	for _, name := range holdersOf(r, org) {
		if addr, ok := alive[name]; ok && name != e.Self {
			list[name] = addr
		}
	}
	return list
}
