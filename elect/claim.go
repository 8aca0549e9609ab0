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

// claim takes over the targets that fall to this instance.
func (s *Session) claim(ctx context.Context, now time.Time) {
	if !s.mayClaim(now) {
		return
	}
	view := s.Book.View()
	left := claimsPerTick
	for _, target := range s.Targets() {
		if left == 0 {
			return
		}
		wait, due := s.due(now, view, target)
		if !due {
			continue
		}
		left--
		if !s.take(ctx, target, wait) {
			return
		}
	}
}

// mayClaim reports whether this instance is known to the others and has had time
// to learn of them.
func (s *Session) mayClaim(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease != "" && now.Sub(s.renewed) < s.LeaseTime-leaseMargin
}

// due reports whether this instance should become a target's manager, and how
// long it then waits before its first order.
func (s *Session) due(now time.Time, view *fleet.View, target string) (time.Duration, bool) {
	m, managed := view.Manager(target)
	s.mu.Lock()
	_, mine := s.orderFrom[target]
	begun := s.begun
	refused := s.refused[target]
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
	if now.Sub(begun) < settleTime || s.Health.SinceMissed(now) < graceTime {
		return 0, false
	}
	first, ok := managerOf(target, view.Instances())
	if !ok || first.Name != s.Self.Name {
		return 0, false
	}
	if managed {
		return s.LeaseTime, true
	}
	return 0, true
}

// take becomes a target's manager. It reports false where the store cannot be
// relied on now.
func (s *Session) take(ctx context.Context, target string, wait time.Duration) bool {
	value, err := json.Marshal(managerValue{
		Instance: s.Self.Name,
		Started:  s.Self.Started,
	})
	if err != nil {
		s.Log.Error().Err(err).Msg("lead: manager cannot be encoded")
		return false
	}
	s.mu.Lock()
	expect := s.revision[target]
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
		s.missed(err, "target is not taken over")
		return false
	}
	now := time.Now()
	s.mu.Lock()
	s.orderFrom[target] = now.Add(wait)
	s.revision[target] = rev
	delete(s.refused, target)
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
	s.noteFreeze(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	from, mine := s.orderFrom[target]
	if !mine || now.Before(from) || s.refused[target] >= m.Fence {
		return 0, false
	}
	if now.Sub(s.renewed) < s.LeaseTime-leaseMargin {
		return m.Fence, true
	}
	// Targets that check fencing numbers turn the orders of a replaced manager
	// away, so that the store's absence need not stop the present one.
	return m.Fence, s.Fenced && s.lease != "" && s.Health.Away()
}

// Refused notes that a target turned a fencing number away: another manager has
// used a higher one.
func (s *Session) Refused(target string, fence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[target] = max(s.refused[target], fence)
}
