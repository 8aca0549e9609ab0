package proxy

import (
	"sync/atomic"
	"time"

	"currantstile/config"
	"currantstile/sched"
)

// reasonOverload is why a request is refused at once under overload.
const reasonOverload = "overload"

// overload is what this instance knows about the overload of its model services.
type overload struct {
	waited sched.Waited
	// began, refused, floors and held count overloads that began, requests that were refused at
	// once, attempts of requests of groups that are served too seldom, and requests that were
	// held in place of their refusal.
	began   atomic.Int64
	refused atomic.Int64
	floors  atomic.Int64
	held    atomic.Int64
}

// serviceOverload is the overload of one service. Its fields are set before it is shared.
type serviceOverload struct {
	shedder *sched.Shedder
	// active is set while the instance sees an overload.
	active atomic.Bool
}

// competition is how a request competes with others for the targets of a model service.
type competition struct {
	contender sched.Contender
	contest   sched.Contest
	// waited is for how long the caller had waited when it sent the request.
	waited time.Duration
	// started is set once the request has been counted.
	started bool
	// retryAfter is the retry delay if the request was refused under overload.
	retryAfter time.Duration
}

// OverloadCounts are counts of an instance since its start.
type OverloadCounts struct {
	// Active is the number of services with an overload at present, and Began that of overloads
	// that began.
	Active int
	Began  int64
	// Refused counts requests refused at once, Held those held in place of that, and Floors
	// attempts of requests of groups that were served too seldom.
	Refused int64
	Held    int64
	Floors  int64
}

// Overload returns the counts of overloads.
func (r *Router) Overload() OverloadCounts {
	r.init()
	c := OverloadCounts{
		Began:   r.overload.began.Load(),
		Refused: r.overload.refused.Load(),
		Held:    r.overload.held.Load(),
		Floors:  r.overload.floors.Load(),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.overloads {
		if s.active.Load() {
			c.Active++
		}
	}
	return c
}

// overloadOf returns the overload of a service.
func (r *Router) overloadOf(service string) *serviceOverload {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.overloads[service]
	if !ok {
		s = &serviceOverload{
			shedder: sched.NewShedder(),
		}
		r.overloads[service] = s
	}
	return s
}

// recordDelay records the standing queueing delay of a target that its manager reported.
func (r *Router) recordDelay(now time.Time, service, target string, delay time.Duration) {
	r.overloadOf(service).shedder.Pressure.Record(now, target, delay)
}

// compete updates how a request competes. Requests without an objective do not compete, nor do
// those that a target may have run: they must not be refused in their midst.
func (r *Router) compete(now time.Time, x *Exchange, svc *config.Service) {
	c := &x.competition
	c.contest = sched.Contest{}
	if x.Route.Objective <= 0 || x.headSent || x.maybeExecuted {
		return
	}
	s := r.overloadOf(svc.Name)
	if !c.started {
		c.started = true
		organisation := ""
		if x.Org != nil {
			organisation = x.Org.Name
		}
		c.waited = r.overload.waited.Add(now, x.Route.Host+x.Route.Prefix, organisation, x.Deadline.Sub(x.start))
		c.contender = sched.Contender{
			Priority:     x.priority(),
			Organisation: organisation,
			Prompt:       x.Request.PromptTokens,
			Objective:    x.Route.Objective,
		}
		s.shedder.Arrive(now, &c.contender)
	}
	c.contest = s.shedder.Contest(now, &c.contender)
	if c.contest.Floor {
		r.overload.floors.Add(1)
	}
	if s.active.Swap(c.contest.Overload) != c.contest.Overload {
		if c.contest.Overload {
			r.overload.began.Add(1)
		}
		r.Log.Info().Str("service", svc.Name).Bool("overload", c.contest.Overload).Msg("gate: overload of a service begins or ends")
	}
}

// objectiveLeft returns how much time is left for a first token on time. Under overload a caller's
// earlier attempts count.
func (x *Exchange) objectiveLeft(now time.Time) time.Duration {
	left := x.Route.Objective - now.Sub(x.start)
	if x.competition.contest.Overload {
		left -= x.competition.waited
	}
	return left
}

// recordAttempt records the result of an attempt to place a request, and reports whether it is
// refused at once. replied is set if the manager of a target replied.
func (r *Router) recordAttempt(now time.Time, x *Exchange, svc *config.Service, placed, replied bool) bool {
	c := &x.competition
	if !c.started {
		return false
	}
	s := r.overloadOf(svc.Name).shedder
	switch {
	case placed:
		s.Placed(now, &c.contender)
		return false
	case replied:
		s.Declined(now, &c.contender)
	}
	if !c.contest.Overload || !replied {
		return false
	}
	if !s.Refuse(now, &c.contender) {
		r.overload.held.Add(1)
		return false
	}
	r.overload.refused.Add(1)
	c.retryAfter = s.RetryAfter(now, x.Deadline.Sub(now), unsentRetryAfter)
	return true
}

// recordRefused records that a request was refused after it was held.
func (r *Router) recordRefused(now time.Time, x *Exchange, svc *config.Service) {
	if c := &x.competition; c.started {
		r.overloadOf(svc.Name).shedder.Refused(now, &c.contender)
	}
}

// retryDelay returns the retry delay of a request that no target has executed.
func (x *Exchange) retryDelay() time.Duration {
	if d := x.competition.retryAfter; d > 0 {
		return d
	}
	return unsentRetryAfter
}

// setContest states in an admission request how the request competes, under overload only.
func (x *Exchange) setContest(now time.Time, a *sched.AdmissionRequest) {
	c := &x.competition
	if !c.contest.Overload {
		return
	}
	a.Overload, a.Floor, a.Excess = true, c.contest.Floor, c.contest.Excess
	a.Objective, a.Spent = x.Route.Objective, c.waited+now.Sub(x.start)
}
