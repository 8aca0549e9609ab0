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
	Service    string
	Repeatable bool
	Call       engine.ServiceCall
}

// callCounter counts the calls that this instance has running at each target.
type callCounter struct {
	mu      sync.Mutex
	running map[string]int
}

func (l *callCounter) add(id string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running == nil {
		l.running = make(map[string]int)
	}
	l.running[id] += n
}

// leastLoaded returns the member with the fewest running calls, the first among
// equals, leaving out those tried already.
func (l *callCounter) leastLoaded(members model.Members, tried map[string]bool) (model.Member, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best model.Member
	found := false
	for _, m := range members {
		if tried[m.ID] {
			continue
		}
		if !found || l.running[m.ID] < l.running[best.ID] {
			best, found = m, true
		}
	}
	return best, found
}

// attemptTracker counts the sendings of one request whose fate is not known to be
// not-run.
type attemptTracker struct {
	repeatable bool
	unknowns   int
	// lastErr is the error of the last of them.
	lastErr error
}

// recordFailure reports whether an error ends the request.
func (a *attemptTracker) recordFailure(err error) bool {
	if _, notRun := engine.OutcomeOf(err).(model.NotRun); notRun {
		return false
	}
	a.unknowns++
	a.lastErr = err
	return a.exhausted()
}

// finalError is the error of a request that ends with err, which by itself would
// mean not run: once a sending may have run, that is no longer true.
func (a *attemptTracker) finalError(err error) error {
	if a.lastErr != nil {
		return a.lastErr
	}
	return err
}

// exhausted reports whether no further sending is allowed.
func (a *attemptTracker) exhausted() bool {
	return a.unknowns > 0 && !a.repeatable || a.unknowns >= maxAttempts
}

// Serve sends a request to a plain service. One that may not be repeated is
// sent to a target at most once, unless it is proven that the target ran
// nothing of it.
func (s *Sender) Serve(ctx context.Context, r ServiceRequest) (rest.Answer, error) {
	s.init()
	tries := &attemptTracker{
		repeatable: r.Repeatable,
	}
	for {
		answer, asked, err := s.tryServiceTargets(ctx, r, tries)
		switch {
		case !asked:
			return rest.Answer{}, errs.Step(tries.finalError(ErrNoTarget), "Sender.Serve")
		case err == nil || tries.exhausted():
			return answer, err
		case !clock.Sleep(ctx, retryDelay):
			return rest.Answer{}, errs.Step(tries.finalError(ErrDeadline), "Sender.Serve")
		}
	}
}

// tryServiceTargets asks each target of a service once, the least busy first, until one
// answers or the request is over. It reports false where there is no target.
func (s *Sender) tryServiceTargets(ctx context.Context, r ServiceRequest, tries *attemptTracker) (rest.Answer, bool, error) {
	tried := make(map[string]bool)
	var last error
	for {
		m, ok := s.serviceCalls.leastLoaded(s.serviceTargets(r.Service), tried)
		if !ok {
			return rest.Answer{}, len(tried) > 0, last
		}
		tried[m.ID] = true
		answer, err := s.serveOnce(ctx, m, r)
		if err == nil || tries.recordFailure(err) {
			return answer, true, err
		}
		last = err
	}
}

func (s *Sender) serveOnce(ctx context.Context, m model.Member, r ServiceRequest) (rest.Answer, error) {
	s.serviceCalls.add(m.ID, 1)
	defer s.serviceCalls.add(m.ID, -1)
	return s.Engines.Serve(ctx, m.Addr, r.Call)
}

// serviceTargets are the targets of a service, those of the own data centre
// first.
func (s *Sender) serviceTargets(service string) model.Members {
	v := s.View()
	var near, far model.Members
	for _, m := range s.Members().Services {
		if m.Service != service || !v.InService(m) {
			continue
		}
		if m.Zone == s.Zone {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	return append(near, far...)
}

// Idle reports whether no pins are held.
func (s *Sender) Idle(now time.Time) bool {
	s.init()
	return len(s.holds.Renewals(now)) == 0
}
