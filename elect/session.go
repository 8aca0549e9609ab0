// Package elect registers an instance with the others, by a key under a lease, and elects
// the manager of each target. Each target has at most one manager, the only instance that
// may send it orders.
//
// A manager's key outlives its instance: others may replace it once the instance's own key
// has expired. Each replacement is a compare-and-swap whose revision is the new manager's
// fencing token. A manager that replaces one on another instance waits until that one's
// last orders must have taken effect; a process that replaces one on the same instance
// does not wait.
//
// # Usage
//
//	s := &elect.Session{Self: self, KV: kv, Registry: registry, Health: health}
//	go s.Run(ctx)
//	if token, ok := s.MayOrder(now, target); ok { ... }
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
	"currantstile/errs"
	"currantstile/fleet"
	"currantstile/route"
	"currantstile/store"
	"currantstile/watch"
)

// Prefix is the common prefix of the program's keys in the store.
const Prefix = "currantstile/"

const (
	instancePrefix = Prefix + "instances/"
	managerPrefix  = Prefix + "managers/"

	// stepInterval is the interval between checks of the lease and the targets.
	stepInterval = 200 * time.Millisecond
	// retryDelay is the pause after a failed call to the store, and renewRetryDelay that
	// after a failed renewal.
	retryDelay      = 500 * time.Millisecond
	renewRetryDelay = 200 * time.Millisecond
	// renewalsPerLease is the number of renewals within one lease time. A renewal that
	// fails is repeated within the lease time, so few are needed; each is billed.
	renewalsPerLease = 2
	// renewTimeout limits one renewal, so that there is time for another one.
	renewTimeout = 500 * time.Millisecond
	// leaseMargin covers the latency of a renewal and clock drift.
	leaseMargin = 200 * time.Millisecond
	// discoveryTime is how long a new instance waits for others to register before it
	// claims targets whose manager key does not name it.
	discoveryTime = 1500 * time.Millisecond
	// outageGrace is how long after the last failed call to the store an instance only
	// claims targets whose manager key names it, so that other instances whose keys have
	// expired can register again.
	outageGrace = 2500 * time.Millisecond
	// suspensionTolerance is the increase of CLOCK_BOOTTIME over CLOCK_MONOTONIC from
	// which the machine counts as having been suspended.
	suspensionTolerance = 300 * time.Millisecond
	// maxClaimsPerStep bounds the writes of claims in one step.
	maxClaimsPerStep = 8
	// maxCores and maxLinkMbit bound what an instance's record may say of its machine.
	maxCores    = 1 << 16
	maxLinkMbit = 1 << 24
)

// instanceValue is the value of an instance's key.
type instanceValue struct {
	Zone    string `json:"data-centre"`
	Peers   string `json:"peers"`
	Started int64  `json:"started"`
	// Cores and LinkMbit are omitted if unknown, as in records of earlier versions.
	Cores    float64 `json:"cores,omitempty"`
	LinkMbit float64 `json:"link-mbit,omitempty"`
}

// managerValue is the value of a target's manager key.
type managerValue struct {
	Instance string `json:"instance"`
	Started  int64  `json:"started"`
	// Era is that of the store in which the key was written.
	Era store.Era `json:"era,omitempty"`
}

// Session maintains an instance's registration in the store and claims targets for it.
// Its exported fields are set before Run.
type Session struct {
	Self     fleet.Instance
	KV       store.KV
	Registry *fleet.Registry
	// Targets lists the IDs of the targets that need a manager.
	Targets func() []string
	// Health tracks whether the store is reachable.
	Health *watch.Health
	// LeaseTime is how long an instance counts as alive after its last renewal, and how
	// long a new manager waits for its predecessor's orders to take effect.
	LeaseTime time.Duration
	// FencingEnforced is set if targets refuse orders with an old fencing token. A
	// manager then continues to send orders while the store is unreachable.
	FencingEnforced bool
	// Era returns the highest known era of the store; nil means 0.
	Era func() store.Era
	Log log.Logger

	mu        sync.Mutex
	startedAt time.Time
	// lease is empty if the instance is not registered.
	lease store.LeaseID
	// leaseEra is the era in which the lease was granted.
	leaseEra store.Era
	// renewedAt is when the last successful renewal was sent.
	renewedAt time.Time
	// retryAt is when the store is called again after a failed call.
	retryAt time.Time
	// suspendedTotal is the result of suspendedTime when a suspension was last
	// detected, initially at the start.
	suspendedTotal time.Duration
	// orderFrom is the time from which this process may send orders to each target
	// that it manages.
	orderFrom map[string]time.Time
	// refusedTokens is the highest fencing token that each target has refused.
	refusedTokens map[string]uint64
	// tokens are the fencing tokens that this process obtained by its own claims.
	tokens map[string]uint64
	// lostInstances are the instances whose keys the store has lost, and when they are removed unless they
	// register again.
	lostInstances map[string]time.Time
	// managerRevisions is the last known revision of each target's manager key.
	managerRevisions map[string]store.Revision
	// storedTokens are the tokens of the keys that the store holds.
	storedTokens map[string]uint64
	// highestEra is the highest era of those revisions.
	highestEra store.Era
}

// Run maintains the session until ctx ends.
func (s *Session) Run(ctx context.Context) {
	s.mu.Lock()
	s.startedAt = time.Now()
	s.orderFrom = make(map[string]time.Time)
	s.refusedTokens = make(map[string]uint64)
	s.tokens = make(map[string]uint64)
	s.storedTokens = make(map[string]uint64)
	s.lostInstances = make(map[string]time.Time)
	s.managerRevisions = make(map[string]store.Revision)
	s.suspendedTotal = suspendedTime()
	s.mu.Unlock()
	for ctx.Err() == nil {
		errs.Contain(&s.Log, "Session.step", func() {
			s.step(ctx)
		})
		clock.Sleep(ctx, stepInterval)
	}
}

// suspendedTime returns how long the machine was suspended since boot, or zero if the
// clocks cannot be read.
func suspendedTime() time.Duration {
	var boot, mono unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &mono) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - mono.Nano())
}

// step registers the instance or renews its lease if due, and claims targets.
func (s *Session) step(ctx context.Context) {
	now := time.Now()
	s.checkSuspension(now)
	s.removeLost(now)
	era := s.era()
	s.mu.Lock()
	lease, due := s.lease, now.Sub(s.renewedAt) >= s.LeaseTime/renewalsPerLease || s.leaseEra < era
	// Once another call has succeeded there is no reason to wait longer.
	backingOff := now.Before(s.retryAt) && s.Health.Unavailable()
	s.mu.Unlock()
	switch {
	case backingOff || lease != "" && !due || !s.Health.AllowCall(now):
	case lease == "":
		s.register(ctx)
	default:
		s.renew(ctx, lease)
	}
	s.claimTargets(ctx, time.Now())
}

// checkSuspension treats the lease as expired if the machine was suspended since the last
// check: the monotonic clock that measures the lease does not run during a suspension.
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

// register obtains a lease and writes the instance's key under it.
func (s *Session) register(ctx context.Context) {
	sent := time.Now()
	lease, err := s.KV.Grant(ctx, s.LeaseTime)
	if err != nil {
		s.recordFailure(err, "lease not granted; trying again later")
		return
	}
	s.Health.RecordSuccess(time.Now())
	value, err := json.Marshal(instanceValue{
		Zone:     s.Self.Zone,
		Peers:    s.Self.Peers.String(),
		Started:  s.Self.Started,
		Cores:    s.Self.Cores,
		LinkMbit: s.Self.LinkMbit,
	})
	if err != nil {
		s.Log.Error().Err(err).Msg("lead: cannot encode instance record")
		return
	}
	rev, err := s.writeInstance(ctx, lease, value)
	if err != nil {
		s.recordFailure(err, "cannot write the instance's own key; trying again later")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease = lease
	s.leaseEra = rev.Era()
	s.renewedAt = sent
	s.Log.Info().Str("lease", string(lease)).Msg("lead: instance registered")
}

// writeInstance writes the instance's key under its lease. The key of an earlier process
// on this instance is replaced.
func (s *Session) writeInstance(ctx context.Context, lease store.LeaseID, value []byte) (store.Revision, error) {
	w := store.Write{
		Key:   instancePrefix + s.Self.Name,
		Value: value,
		Lease: lease,
	}
	rev, err := s.KV.Put(ctx, w)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		w.Expect = conflict.Current
		rev, err = s.KV.Put(ctx, w)
	}
	return rev, err
}

// recordFailure logs a failed call to the store and delays the next one by retryDelay.
func (s *Session) recordFailure(err error, msg string) {
	now := time.Now()
	// A call that was carried out in a new era shows that the store is available.
	s.Health.RecordResult(now, err)
	s.mu.Lock()
	s.retryAt = now.Add(retryDelay)
	s.mu.Unlock()
	s.Log.Warn().Err(err).Msgf("lead: %s", msg)
}

// renew renews the lease, and registers the instance again if the lease has expired.
func (s *Session) renew(ctx context.Context, lease store.LeaseID) {
	sent := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, renewTimeout)
	err := s.KV.Renew(callCtx, lease)
	cancel()
	switch {
	case err == nil:
		s.Health.RecordSuccess(time.Now())
		s.mu.Lock()
		s.renewedAt = sent
		s.mu.Unlock()
	case errors.Is(err, store.ErrLeaseLost):
		s.Health.RecordSuccess(time.Now())
		s.Log.Warn().Msg("lead: lease expired; registering again")
		s.mu.Lock()
		s.lease = ""
		s.mu.Unlock()
		s.register(ctx)
	default:
		s.recordFailure(err, "lease not renewed; trying again later")
		s.mu.Lock()
		s.retryAt = sent.Add(renewTimeout + renewRetryDelay)
		s.mu.Unlock()
	}
}

// Registered reports whether the instance has written its key under a lease that is not
// known to be lost.
func (s *Session) Registered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease != ""
}

// Apply updates the registry from changes of the keys of instances and managers.
func (s *Session) Apply(now time.Time, changes []watch.Change) {
	for _, c := range changes {
		key := c.Entry.Key
		switch {
		case len(key) > len(instancePrefix) && key[:len(instancePrefix)] == instancePrefix:
			s.applyInstance(now, key[len(instancePrefix):], c.Entry)
		case len(key) > len(managerPrefix) && key[:len(managerPrefix)] == managerPrefix:
			s.applyManager(key[len(managerPrefix):], c.Entry)
		}
	}
	s.Registry.Publish()
}

// applyInstance updates the registry from a change of an instance's key.
func (s *Session) applyInstance(now time.Time, name string, e store.Entry) {
	if s.keepLost(now, name, e) {
		return
	}
	if e.Deleted {
		s.Log.Info().Str("instance", name).Msg("lead: instance key deleted or expired; instance removed")
		s.Registry.RemoveInstance(name)
		return
	}
	var v instanceValue
	peers, err := parseInstance(e.Value, &v)
	if err != nil {
		s.Log.Warn().Err(err).Msgf("lead: cannot decode record of instance %s; ignoring it", name)
		return
	}
	s.Registry.SetInstance(fleet.Instance{
		Name:     name,
		Zone:     v.Zone,
		Peers:    peers,
		Started:  v.Started,
		Cores:    v.Cores,
		LinkMbit: v.LinkMbit,
	})
}

// preferredManager returns the instance that should manage a target without a manager:
// the first in the target's order of instances, each of which gets a share of the targets
// in proportion to its cores.
func preferredManager(target string, instances []fleet.Instance) (fleet.Instance, bool) {
	return route.Weighted(target, instances, func(i *fleet.Instance) (string, float64) {
		return i.Name, i.Cores
	})
}
