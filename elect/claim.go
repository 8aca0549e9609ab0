package elect

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"currantstile/fleet"
	"currantstile/store"
)

// parseInstance decodes the value of an instance's key into v and returns the
// instance's peer address.
func parseInstance(value []byte, v *instanceValue) (netip.AddrPort, error) {
	if err := json.Unmarshal(value, v); err != nil {
		return netip.AddrPort{}, err
	}
	if v.Cores < 0 || v.Cores > maxCores || v.LinkMbit < 0 || v.LinkMbit > maxLinkMbit {
		return netip.AddrPort{}, errors.Errorf("%g cores and %g Mbit/s are out of range", v.Cores, v.LinkMbit)
	}
	addr, err := netip.ParseAddrPort(v.Peers)
	if err == nil && (addr.Port() == 0 || addr.Addr().IsUnspecified()) {
		err = errors.Errorf("no instance is at %s", addr)
	}
	return addr, err
}

// claimTargets claims the targets that this instance should manage, at most
// maxClaimsPerStep of them.
func (s *Session) claimTargets(ctx context.Context, now time.Time) {
	if !s.mayClaim(now) {
		return
	}
	view := s.Registry.View()
	remaining := maxClaimsPerStep
	for _, target := range s.Targets() {
		if remaining == 0 {
			return
		}
		wait, due := s.claimDue(now, view, target)
		if !due {
			continue
		}
		remaining--
		if !s.claimTarget(ctx, target, wait) {
			return
		}
	}
}

// mayClaim reports whether this instance is registered and its lease is certainly still
// valid.
func (s *Session) mayClaim(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease != "" && now.Sub(s.renewedAt) < s.LeaseTime-leaseMargin
}

// claimDue reports whether this instance should claim a target, and how long it must then
// wait before its first order.
func (s *Session) claimDue(now time.Time, view *fleet.View, target string) (time.Duration, bool) {
	m, managed := view.Manager(target)
	s.mu.Lock()
	_, claimed := s.orderFrom[target]
	startedAt := s.startedAt
	refused := s.refusedTokens[target]
	s.mu.Unlock()
	if managed && m.Instance == s.Self.Name {
		// The key may be that of an earlier process on this instance; claim it unless
		// this process wrote it in this era and its token has not been refused.
		if !s.ownsToken(target, m) || store.Revision(m.FencingToken).Era() < s.era() || s.isReplaced(target, m) {
			return s.unknownWait(claimed), true
		}
		return 0, !claimed || refused >= m.FencingToken
	}
	if managed {
		if _, alive := view.Instance(m.Instance); alive {
			return 0, false
		}
	}
	if now.Sub(startedAt) < discoveryTime || s.Health.SinceFailure(now) < outageGrace {
		return 0, false
	}
	preferred, ok := preferredManager(target, view.Instances())
	if !ok || preferred.Name != s.Self.Name {
		return 0, false
	}
	if managed {
		return s.LeaseTime, true
	}
	return s.unknownWait(false), true
}

// claimTarget writes this instance as a target's manager; a claim that loses to another
// one is not an error. It reports false if no further claims should be made in this step.
func (s *Session) claimTarget(ctx context.Context, target string, wait time.Duration) bool {
	era := s.era()
	value, err := json.Marshal(managerValue{
		Instance: s.Self.Name,
		Started:  s.Self.Started,
		Era:      era,
	})
	if err != nil {
		s.Log.Error().Err(err).Msg("lead: cannot encode manager record")
		return false
	}
	s.mu.Lock()
	expect := s.managerRevisions[target]
	s.mu.Unlock()
	rev, err := s.KV.Put(ctx, store.Write{
		Key:    managerPrefix + target,
		Value:  value,
		Expect: expect,
	})
	switch {
	case err == nil:
	case store.IsConflict(err):
		// Another write came first; the watch delivers its entry.
		return true
	default:
		s.recordFailure(err, "target not claimed; trying again later")
		return false
	}
	now := time.Now()
	s.mu.Lock()
	s.setRevision(target, rev)
	if rev.Era() != era {
		// The key does not name its era, so that its token may be that of another holder. The next
		// claim does.
		s.mu.Unlock()
		return true
	}
	s.orderFrom[target] = now.Add(wait)
	s.tokens[target], s.storedTokens[target] = uint64(rev), uint64(rev)
	delete(s.refusedTokens, target)
	s.mu.Unlock()
	s.Registry.SetManager(target, fleet.Manager{
		Instance:     s.Self.Name,
		FencingToken: uint64(rev),
	})
	s.Registry.Publish()
	s.Log.Info().Str("target", target).Uint64("fence", uint64(rev)).Dur("wait", wait).Msg("lead: managing target")
	return true
}

// Manages reports whether this process is a target's manager.
func (s *Session) Manages(target string) bool {
	m, ok := s.Registry.View().Manager(target)
	if !ok || m.Instance != s.Self.Name {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, claimed := s.orderFrom[target]
	return claimed
}

// MayOrder returns the fencing token for an order to a target that is sent now, or false
// if no order may be sent.
func (s *Session) MayOrder(now time.Time, target string) (uint64, bool) {
	m, ok := s.Registry.View().Manager(target)
	if !ok || m.Instance != s.Self.Name || !s.ownsToken(target, m) {
		return 0, false
	}
	s.checkSuspension(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	from, claimed := s.orderFrom[target]
	if !claimed || now.Before(from) || s.refusedTokens[target] >= m.FencingToken {
		return 0, false
	}
	if now.Sub(s.renewedAt) < s.LeaseTime-leaseMargin {
		return m.FencingToken, true
	}
	// Targets that check fencing tokens refuse the orders of a replaced manager, so the
	// current one may continue while the store is unreachable.
	return m.FencingToken, s.FencingEnforced && s.lease != "" && s.Health.Unavailable()
}

// RecordRefusal records that a target refused a fencing token because another manager has
// used a higher one.
func (s *Session) RecordRefusal(target string, token uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedTokens[target] = max(s.refusedTokens[target], token)
}
