// Package elect keeps an instance known to the others, by a key under a lease, and
// decides who manages which target. Each target has at most one manager, the
// only one that may order it about.
//
// A manager's key stays when its instance dies: others may replace it once the
// instance's own key has lapsed. Each replacement is a compare-and-swap whose
// revision is the new manager's fencing number, and a manager that follows
// another instance waits until the other one's orders can have had their effect.
// A process that follows one on the same instance need not wait.
//
// # Usage
//
//	s := &elect.Session{Self: self, KV: kv, Book: book, Health: health}
//	go s.Run(ctx)
//	if fence, ok := s.MayOrder(now, target); ok { ... }
package elect

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"currantstile/clock"
	"currantstile/fleet"
	"currantstile/route"
	"currantstile/store"
	"currantstile/watch"
)

// Prefix is where the project keeps its keys in the store.
const Prefix = "currantstile/"

const (
	instancePrefix = Prefix + "instances/"
	managerPrefix  = Prefix + "managers/"

	// stepInterval is how often the session looks at itself.
	stepInterval = 200 * time.Millisecond
	// retryDelay is left after a call that the store did not carry out.
	retryDelay = 500 * time.Millisecond
	// renewalsPerLease is how often the lease is renewed within its time.
	renewalsPerLease = 3
	// leaseMargin covers the flight of a renewal and the drift of clocks.
	leaseMargin = 200 * time.Millisecond
	// discoveryTime is how long a new instance waits for others to appear before it
	// takes targets that nobody manages.
	discoveryTime = 1500 * time.Millisecond
	// outageGrace is how long after an outage of the store an instance whose key
	// has lapsed may take to come back.
	outageGrace = 2500 * time.Millisecond
	// suspensionTolerance is by how much the clock that counts a suspension may run ahead
	// of the one that does not.
	suspensionTolerance = 300 * time.Millisecond
	// maxClaimsPerStep bounds the writes of one look.
	maxClaimsPerStep = 8
)

// instanceValue is what an instance's key holds.
type instanceValue struct {
	Zone    string `json:"data-centre"`
	Peers   string `json:"peers"`
	Started int64  `json:"started"`
}

// managerValue is what a manager's key holds.
type managerValue struct {
	Instance string `json:"instance"`
	Started  int64  `json:"started"`
}

// Session is an instance's presence in the store. Its exported fields are set
// before Run.
type Session struct {
	Self fleet.Instance
	KV   store.KV
	Book *fleet.Book
	// Targets lists the IDs of the targets that need a manager.
	Targets func() []string
	// Health tells of the store.
	Health *watch.Health
	// LeaseTime is how long an instance counts as alive after its last renewal,
	// and how long a new manager waits for the orders of the one before.
	LeaseTime time.Duration
	// FencingEnforced reports whether targets refuse orders with an old fencing number.
	// Then a manager goes on while the store is away.
	FencingEnforced bool
	Log             log.Logger

	mu        sync.Mutex
	startedAt time.Time
	lease     store.LeaseID
	renewedAt time.Time
	// retryAt is when the store is asked again that did not carry a call out.
	retryAt        time.Time
	suspendedTotal time.Duration
	// orderFrom is from when this instance may order each target that it
	// manages.
	orderFrom map[string]time.Time
	// refusedTokens are the fencing numbers that a target has turned away.
	refusedTokens    map[string]uint64
	managerRevisions map[string]store.Revision
}

// Run keeps the session until ctx ends.
func (s *Session) Run(ctx context.Context) {
	s.mu.Lock()
	s.startedAt = time.Now()
	s.orderFrom = make(map[string]time.Time)
	s.refusedTokens = make(map[string]uint64)
	s.managerRevisions = make(map[string]store.Revision)
	s.suspendedTotal = suspendedTime()
	s.mu.Unlock()
	for ctx.Err() == nil {
		s.step(ctx)
		clock.Sleep(ctx, stepInterval)
	}
}

// suspendedTime is for how long the machine was suspended since it started.
func suspendedTime() time.Duration {
	var boot, mono unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &mono) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - mono.Nano())
}

// step renews or begins the lease, and takes targets over.
func (s *Session) step(ctx context.Context) {
	now := time.Now()
	s.checkSuspension(now)
	s.mu.Lock()
	lease, due := s.lease, now.Sub(s.renewedAt) >= s.LeaseTime/renewalsPerLease
	pausing := now.Before(s.retryAt)
	s.mu.Unlock()
	switch {
	case pausing || lease != "" && !due || !s.Health.MayAsk(now):
	case lease == "":
		s.register(ctx)
	default:
		s.renew(ctx, lease)
	}
	s.claimTargets(ctx, time.Now())
}

// checkSuspension voids the lease's time if the machine was suspended meanwhile: the
// clock that the lease is measured by did not count that.
func (s *Session) checkSuspension(now time.Time) {
	total := suspendedTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	if total-s.suspendedTotal < suspensionTolerance {
		return
	}
	s.Log.Warn().Dur("asleep", total-s.suspendedTotal).Msg("lead: machine was suspended; orders stop until the lease is renewed")
	s.suspendedTotal = total
	s.renewedAt = now.Add(-2 * s.LeaseTime)
}

// register gets a lease and writes the instance's key under it.
func (s *Session) register(ctx context.Context) {
	asked := time.Now()
	lease, err := s.KV.Grant(ctx, s.LeaseTime)
	if err != nil {
		s.recordFailure(err, "lease is not granted")
		return
	}
	s.Health.Reached(time.Now())
	value, err := json.Marshal(instanceValue{
		Zone:    s.Self.Zone,
		Peers:   s.Self.Peers.String(),
		Started: s.Self.Started,
	})
	if err != nil {
		s.Log.Error().Err(err).Msg("lead: instance cannot be encoded")
		return
	}
	key := instancePrefix + s.Self.Name
	expect := store.Revision(0)
	if e, err := s.KV.Get(ctx, key); err == nil {
		expect = e.Revision
	} else if !errors.Is(err, store.ErrNotFound) {
		s.recordFailure(err, "own entry cannot be read")
		return
	}
	if _, err := s.KV.Put(ctx, store.Write{
		Key:    key,
		Value:  value,
		Expect: expect,
		Lease:  lease,
	}); err != nil {
		s.recordFailure(err, "own entry is not written")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease = lease
	s.renewedAt = asked
	s.Log.Info().Str("lease", string(lease)).Msg("lead: registered")
}

func (s *Session) recordFailure(err error, what string) {
	now := time.Now()
	s.Health.Missed(now)
	s.mu.Lock()
	s.retryAt = now.Add(retryDelay)
	s.mu.Unlock()
	s.Log.Warn().Err(err).Msgf("lead: %s", what)
}

func (s *Session) renew(ctx context.Context, lease store.LeaseID) {
	asked := time.Now()
	err := s.KV.Renew(ctx, lease)
	switch {
	case err == nil:
		s.Health.Reached(time.Now())
		s.mu.Lock()
		s.renewedAt = asked
		s.mu.Unlock()
	case errors.Is(err, store.ErrLeaseLost):
		s.Health.Reached(time.Now())
		s.Log.Warn().Msg("lead: lease has lapsed; registering again")
		s.mu.Lock()
		s.lease = ""
		s.mu.Unlock()
		s.register(ctx)
	default:
		s.recordFailure(err, "lease is not renewed")
	}
}

// Registered reports whether the instance's key was written.
func (s *Session) Registered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease != ""
}

// Apply takes in changes of the project's keys.
func (s *Session) Apply(_ time.Time, changes []watch.Change) {
	for _, c := range changes {
		key := c.Entry.Key
		switch {
		case len(key) > len(instancePrefix) && key[:len(instancePrefix)] == instancePrefix:
			s.applyInstance(key[len(instancePrefix):], c.Entry)
		case len(key) > len(managerPrefix) && key[:len(managerPrefix)] == managerPrefix:
			s.applyManager(key[len(managerPrefix):], c.Entry)
		}
	}
	s.Book.Publish()
}

func (s *Session) applyInstance(name string, e store.Entry) {
	if e.Deleted {
		s.Log.Info().Str("instance", name).Msg("lead: instance is gone")
		s.Book.DropInstance(name)
		return
	}
	var v instanceValue
	peers, err := parseInstance(e.Value, &v)
	if err != nil {
		s.Log.Warn().Err(err).Msgf("lead: entry of instance %s cannot be read", name)
		return
	}
	s.Book.SetInstance(fleet.Instance{
		Name:    name,
		Zone:    v.Zone,
		Peers:   peers,
		Started: v.Started,
	})
}

func (s *Session) applyManager(target string, e store.Entry) {
	s.mu.Lock()
	if s.managerRevisions != nil {
		if e.Deleted {
			delete(s.managerRevisions, target)
		} else {
			s.managerRevisions[target] = max(s.managerRevisions[target], e.Revision)
		}
	}
	s.mu.Unlock()
	if e.Deleted {
		s.Book.DropManager(target)
		return
	}
	var v managerValue
	if err := json.Unmarshal(e.Value, &v); err != nil {
		s.Log.Warn().Err(err).Msgf("lead: manager of %s cannot be read", target)
		return
	}
	if m, ok := s.Book.View().Manager(target); ok && m.Fence >= uint64(e.Revision) {
		return
	}
	s.Book.SetManager(target, fleet.Manager{
		Instance: v.Instance,
		Fence:    uint64(e.Revision),
	})
}

// preferredManager returns the instance that is to manage a target which has no manager:
// the first in the target's order of instances.
func preferredManager(target string, instances []fleet.Instance) (fleet.Instance, bool) {
	list := route.TopBy(target, instances, func(i *fleet.Instance) string {
		return i.Name
	}, 1, func(*fleet.Instance) bool {
		return true
	})
	if len(list) == 0 {
		return fleet.Instance{}, false
	}
	return list[0], true
}
