package send

import (
	"context"
	"sync"
	"time"

	"currantstile/clock"
	"currantstile/engine"
	"currantstile/errs"
	"currantstile/model"
	"currantstile/rest"
)

// ServiceRequest is one request to a plain service.
type ServiceRequest struct {
	Service string
	// Repeatable allows a retry after an attempt that may have run.
	Repeatable bool
	Call       engine.ServiceCall
}

// callCounter counts this instance's running calls to each target.
type callCounter struct {
	mu      sync.Mutex
	running map[string]int
}

func (c *callCounter) add(id string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running == nil {
		c.running = make(map[string]int)
	}
	c.running[id] += n
}

// leastLoaded returns the member with the fewest running calls among those not yet tried. Of equal
// members the first is returned.
func (c *callCounter) leastLoaded(members model.Members, tried map[string]bool) (model.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var best model.Member
	found := false
	for _, m := range members {
		if tried[m.ID] {
			continue
		}
		if !found || c.running[m.ID] < c.running[best.ID] {
			best, found = m, true
		}
	}
	return best, found
}

// attemptTracker counts the attempts of one request that ended without a proof that the request
// did not run.
type attemptTracker struct {
	repeatable bool
	unknowns   int
	// lastErr is the error of the latest counted attempt.
	lastErr error
}

// recordFailure records the error of a failed attempt and reports whether the request must not be
// retried.
func (a *attemptTracker) recordFailure(err error) bool {
	if _, notRun := engine.OutcomeOf(err).(model.NotRun); notRun {
		return false
	}
	a.unknowns++
	a.lastErr = err
	return a.exhausted()
}

// finalError returns the error to report for a request that ends with err, where err alone means
// that the request did not run. After an attempt that may have run, that claim would be false, so
// the error of that attempt is returned.
func (a *attemptTracker) finalError(err error) error {
	if a.lastErr != nil {
		return a.lastErr
	}
	return err
}

// exhausted reports whether no further attempt is allowed.
func (a *attemptTracker) exhausted() bool {
	return a.unknowns > 0 && !a.repeatable || a.unknowns >= maxAttempts
}

// Serve sends a request to a plain service. A request that is not repeatable is sent again only if
// the previous target provably ran no part of it.
func (s *Sender) Serve(ctx context.Context, r ServiceRequest) (rest.Response, error) {
	s.init()
	tracker := &attemptTracker{
		repeatable: r.Repeatable,
	}
	for {
		resp, found, err := s.tryServiceTargets(ctx, r, tracker)
		switch {
		case !found:
			return rest.Response{}, errs.WithOp(tracker.finalError(ErrNoTarget), "Sender.Serve")
		case err == nil || tracker.exhausted():
			return resp, err
		case !clock.Sleep(ctx, retryDelay):
			return rest.Response{}, errs.WithOp(tracker.finalError(ErrDeadline), "Sender.Serve")
		}
	}
}

// tryServiceTargets sends the request to the targets of a service, least loaded first and each at
// most once, until one responds or the request must not be retried. The returned flag is false if
// the service has no target.
func (s *Sender) tryServiceTargets(ctx context.Context, r ServiceRequest, tracker *attemptTracker) (rest.Response, bool, error) {
	tried := make(map[string]bool)
	var lastErr error
	for {
		m, ok := s.serviceCalls.leastLoaded(s.serviceTargets(r.Service), tried)
		if !ok {
			return rest.Response{}, len(tried) > 0, lastErr
		}
		tried[m.ID] = true
		resp, err := s.serveOnce(ctx, m, r)
		if err == nil || tracker.recordFailure(err) {
			return resp, true, err
		}
		lastErr = err
	}
}

// serveOnce sends the request to one target and counts it as running there meanwhile.
func (s *Sender) serveOnce(ctx context.Context, m model.Member, r ServiceRequest) (rest.Response, error) {
	s.serviceCalls.add(m.ID, 1)
	defer s.serviceCalls.add(m.ID, -1)
	return s.Engines.Serve(ctx, m.Addr, r.Call)
}

// serviceTargets returns the targets of a service that are in service, those in this instance's
// data centre first.
func (s *Sender) serviceTargets(service string) model.Members {
	v := s.View()
	var sameZone, otherZones model.Members
	for _, m := range s.Members().Services {
		if m.Service != service || !v.InService(m) {
			continue
		}
		if m.Zone == s.Zone {
			sameZone = append(sameZone, m)
		} else {
			otherZones = append(otherZones, m)
		}
	}
	return append(sameZone, otherZones...)
}

// Idle reports whether no pins are held. Slots that were idle for route.SlotIdleTimeout are released
// first.
func (s *Sender) Idle(now time.Time) bool {
	s.init()
	return len(s.pins.PrepareRenewals(now)) == 0
}
