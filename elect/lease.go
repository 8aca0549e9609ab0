package elect

import (
	"time"

	"currantstile/store"
)

// ValidLease returns the lease of this instance's key and until when it is certainly valid, or false if it may have
// expired: its last renewal is too old, or the machine was suspended since.
func (s *Session) ValidLease(now time.Time) (store.LeaseID, time.Time, bool) {
	s.checkSuspension(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	until := s.renewedAt.Add(s.LeaseTime - leaseMargin)
	return s.lease, until, s.lease != "" && now.Before(until)
}
