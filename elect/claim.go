package elect

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"currantstile/fleet"
	"currantstile/store"
)

func parseInstance(value []byte, v *instanceValue) (netip.AddrPort, error) {
	if err := json.Unmarshal(value, v); err != nil {
		return netip.AddrPort{}, err
	}
	return netip.ParseAddrPort(v.Peers)
}

// claimTargets takes over the targets that fall to this instance.
func (s *Session) claimTargets(ctx context.Context, now time.Time) {
	if !s.mayClaim(now) {
		return
	}
	view := s.Book.View()
	left := maxClaimsPerStep
	for _, target := range s.Targets() {
		if left == 0 {
			return
		}
		wait, due := s.claimDue(now, view, target)
		if !due {
			continue
		}
		left--
		if !s.claimTarget(ctx, target, wait) {
			return
		}
	}
}

// mayClaim reports whether this instance is known to the others and has had time
// to learn of them.
func (s *Session) mayClaim(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease != "" && now.Sub(s.renewedAt) < s.LeaseTime-leaseMargin
}

// claimDue reports whether this instance should become a target's manager, and how
// long it then waits before its first order.
func (s *Session) claimDue(now time.Time, view *fleet.View, target string) (time.Duration, bool) {
	m, managed := view.Manager(target)
	s.mu.Lock()
	_, mine := s.orderFrom[target]
	begun := s.startedAt
	refused := s.refusedTokens[target]
	s.mu.Unlock()
	if managed && m.Instance == s.Self.Name {
		// The key is of this process only if it has written it.
		return 0, !mine || refused >= m.Fence
	}
	if managed {
		if _, alive := view.Instance(m.Instance); alive {
			return 0, false
		}
	}
	if now.Sub(begun) < discoveryTime || s.Health.SinceMissed(now) < outageGrace {
		return 0, false
	}
	first, ok := preferredManager(target, view.Instances())
	if !ok || first.Name != s.Self.Name {
		return 0, false
	}
	if managed {
		return s.LeaseTime, true
	}
	return 0, true
}

// claimTarget becomes a target's manager. It reports false where the store cannot be
// relied on now.
func (s *Session) claimTarget(ctx context.Context, target string, wait time.Duration) bool {
	value, err := json.Marshal(managerValue{
		Instance: s.Self.Name,
		Started:  s.Self.Started,
	})
	if err != nil {
		s.Log.Error().Err(err).Msg("lead: manager cannot be encoded")
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
		// The feed brings the entry that stands in the way.
		return true
	default:
		s.recordFailure(err, "target is not taken over")
		return false
	}
	now := time.Now()
	s.mu.Lock()
	s.orderFrom[target] = now.Add(wait)
	s.managerRevisions[target] = rev
	delete(s.refusedTokens, target)
	s.mu.Unlock()
	s.Book.SetManager(target, fleet.Manager{
		Instance: s.Self.Name,
		Fence:    uint64(rev),
	})
	s.Book.Publish()
	s.Log.Info().Str("target", target).Uint64("fence", uint64(rev)).Dur("wait", wait).Msg("lead: managing target")
	return true
}

// Manages reports whether this process is a target's manager.
func (s *Session) Manages(target string) bool {
	m, ok := s.Book.View().Manager(target)
	if !ok || m.Instance != s.Self.Name {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, mine := s.orderFrom[target]
	return mine
}

// MayOrder returns the fencing number for an order that is sent now, or false if
// none may be sent.
func (s *Session) MayOrder(now time.Time, target string) (uint64, bool) {
	m, ok := s.Book.View().Manager(target)
	if !ok || m.Instance != s.Self.Name {
		return 0, false
	}
	s.checkSuspension(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	from, mine := s.orderFrom[target]
	if !mine || now.Before(from) || s.refusedTokens[target] >= m.Fence {
		return 0, false
	}
	if now.Sub(s.renewedAt) < s.LeaseTime-leaseMargin {
		return m.Fence, true
	}
	// Targets that check fencing numbers turn the orders of a replaced manager
	// away, so that the store's absence need not stop the present one.
	return m.Fence, s.FencingEnforced && s.lease != "" && s.Health.Away()
}

// RecordRefusal notes that a target turned a fencing number away: another manager has
// used a higher one.
func (s *Session) RecordRefusal(target string, fence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedTokens[target] = max(s.refusedTokens[target], fence)
}
