package elect

import (
	"encoding/json"
	"time"

	"currantstile/fleet"
	"currantstile/store"
)

// era returns the highest known era of the store.
func (s *Session) era() store.Era {
	known := store.Era(0)
	if s.Era != nil {
		known = s.Era()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(known, s.highestEra)
}

// setRevision records the revision of a target's manager key. The caller holds mu.
func (s *Session) setRevision(target string, r store.Revision) {
	s.managerRevisions[target] = r
	s.highestEra = max(s.highestEra, r.Era())
}

// ownsToken reports whether this process obtained a manager's fencing token by its own claim. In era 0 it
// is not asked: no other process uses the name of this instance then.
func (s *Session) ownsToken(target string, m fleet.Manager) bool {
	if s.era() == 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tokens[target] == m.FencingToken
}

// isReplaced reports whether the store holds an earlier key than that of a manager: a write of an earlier era
// was carried out late, over a revision that the store had issued again.
func (s *Session) isReplaced(target string, m fleet.Manager) bool {
	if s.era() == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storedTokens[target] < m.FencingToken
}

// unknownWait returns how long a manager waits before its first order if the store may have lost the key
// of another one. Targets that check fencing tokens refuse the orders of that one.
func (s *Session) unknownWait(claimed bool) time.Duration {
	if claimed || s.FencingEnforced || s.era() == 0 {
		return 0
	}
	return s.LeaseTime
}

// keepLost keeps an instance whose key the store has lost, for a lease time, in which it registers again.
// It reports whether nothing else is to be done with the entry.
func (s *Session) keepLost(now time.Time, name string, e store.Entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !e.Rewound {
		delete(s.lostInstances, name)
		return false
	}
	s.Log.Debug().Str("instance", name).Dur("wait", s.LeaseTime).Msg("lead: instance key lost by the store; waiting for its return")
	if s.lostInstances == nil {
		s.lostInstances = make(map[string]time.Time)
	}
	s.lostInstances[name] = now.Add(s.LeaseTime)
	return true
}

// removeLost removes the instances that have not registered again.
func (s *Session) removeLost(now time.Time) {
	s.mu.Lock()
	var gone []string
	for name, until := range s.lostInstances {
		if now.After(until) {
			delete(s.lostInstances, name)
			gone = append(gone, name)
		}
	}
	s.mu.Unlock()
	if len(gone) == 0 {
		return
	}
	for _, name := range gone {
		s.Log.Info().Str("instance", name).Msg("lead: instance did not register again; instance removed")
		s.Registry.RemoveInstance(name)
	}
	s.Registry.Publish()
}

// noteStored records what the store holds of a target's manager key.
func (s *Session) noteStored(target string, e store.Entry, token uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.managerRevisions == nil:
	case e.Deleted:
		delete(s.managerRevisions, target)
		delete(s.storedTokens, target)
	case e.Revision >= s.managerRevisions[target]:
		s.setRevision(target, e.Revision)
		s.storedTokens[target] = token
	}
}

// applyManager updates the registry from a change of a target's manager key. A write that is not newer than
// the known one is ignored; an entry that the store has kept from an earlier era counts as of that, so that
// it replaces no later manager. A manager whose key the store has lost stays until another one claims the target.
func (s *Session) applyManager(target string, e store.Entry) {
	var v managerValue
	var err error
	if !e.Deleted {
		err = json.Unmarshal(e.Value, &v)
	}
	token := uint64(e.Revision.WrittenIn(v.Era))
	s.noteStored(target, e, token)
	switch {
	case e.Rewound:
		return
	case e.Deleted:
		s.Registry.RemoveManager(target)
		return
	case err != nil:
		s.Log.Warn().Err(err).Msgf("lead: cannot decode manager record of target %s; ignoring it", target)
		return
	}
	if m, ok := s.Registry.View().Manager(target); ok && m.FencingToken >= token {
		return
	}
	s.Registry.SetManager(target, fleet.Manager{
		Instance:     v.Instance,
		FencingToken: token,
	})
}
