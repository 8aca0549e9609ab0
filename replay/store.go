package replay

import "time"

// weightStore transfers adapters at a bandwidth that all transfers share.
type weightStore struct {
	clock *simClock
	fleet *Fleet
	// transfers are the adapters on their way, and updated when their progress was last
	// computed.
	transfers []*transfer
	updated   time.Time
	// version counts changes, so that an outdated event has no effect.
	version int
	loads   int
}

// transfer is one adapter on its way.
type transfer struct {
	// left is how long it would still take at full speed.
	left time.Duration
	done func(now time.Time)
}

// load starts a transfer.
func (s *weightStore) load(now time.Time, done func(now time.Time)) {
	s.progress(now)
	s.loads++
	s.transfers = append(s.transfers, &transfer{
		left: s.fleet.LoadTime,
		done: done,
	})
	s.schedule(now)
}

// speed returns the speed of each transfer, 1 at the most.
func (s *weightStore) speed() float64 {
	return min(1, float64(s.fleet.FullSpeedLoads)/float64(max(len(s.transfers), 1)))
}

// progress takes the time since the last update off the transfers.
func (s *weightStore) progress(now time.Time) {
	passed := time.Duration(float64(now.Sub(s.updated)) * s.speed())
	s.updated = now
	for _, t := range s.transfers {
		t.left -= passed
	}
}

// schedule wakes the store when the next transfer ends.
func (s *weightStore) schedule(now time.Time) {
	if len(s.transfers) == 0 {
		return
	}
	s.version++
	version, least := s.version, s.transfers[0].left
	for _, t := range s.transfers {
		least = min(least, t.left)
	}
	s.clock.at(now.Add(max(time.Duration(float64(least)/s.speed()), 0)+time.Microsecond), func(now time.Time) {
		if version != s.version {
			return
		}
		s.progress(now)
		var ended []*transfer
		kept := s.transfers[:0]
		for _, t := range s.transfers {
			if t.left <= 0 {
				ended = append(ended, t)
				continue
			}
			kept = append(kept, t)
		}
		s.transfers = kept
		for _, t := range ended {
			t.done(now)
		}
		s.schedule(now)
	})
}
