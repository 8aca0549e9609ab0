package proxy

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"currantstile/call"
	"currantstile/config"
	"currantstile/scale"
)

// loadKey names the targets of a service in a data centre.
type loadKey struct {
	service string
	zone    string
}

// loadCounter counts the demand that this instance sees. The zero value is ready for use.
type loadCounter struct {
	mu    sync.Mutex
	loads map[loadKey]*currentLoad
}

// currentLoad is a load with what is running and waiting at present.
type currentLoad struct {
	scale.Load
	running int64
	tokens  int64
	waiting int64
	// at is until when the times of Load are summed.
	at time.Time
}

// advance sums the times up to now.
func (l *currentLoad) advance(now time.Time) {
	d := max(now.Sub(l.at).Seconds(), 0)
	l.Busy += d * float64(l.running)
	l.HeldTokens += d * float64(l.tokens)
	l.Waited += d * float64(l.waiting)
	l.at = now
}

// update changes the load of a service in a data centre.
func (c *loadCounter) update(service, zone string, f func(l *currentLoad)) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loads == nil {
		c.loads = make(map[loadKey]*currentLoad)
	}
	key := loadKey{
		service: service,
		zone:    zone,
	}
	l, ok := c.loads[key]
	if !ok {
		l = &currentLoad{
			Load: scale.Load{
				Service: service,
				Zone:    zone,
			},
			at: now,
		}
		c.loads[key] = l
	}
	l.advance(now)
	f(l)
}

// Loads returns the demand of a service that this instance has seen, by data centre: of the targets for requests
// that were placed, its own for the others.
func (r *Router) Loads(service string) []scale.Load {
	now := time.Now()
	r.loads.mu.Lock()
	defer r.loads.mu.Unlock()
	var list []scale.Load
	for key, l := range r.loads.loads {
		if key.service == service {
			l.advance(now)
			list = append(list, l.Load)
		}
	}
	slices.SortFunc(list, func(a, b scale.Load) int {
		return cmp.Compare(a.Zone, b.Zone)
	})
	return list
}

// countWait counts a request that waits for a target until the returned function is called with its placement, which
// is nil if there is none.
func (r *Router) countWait(svc *config.Service, tokens, prompt int64) func(p *Placement, wanted bool) {
	if svc.Scaling == nil {
		return func(*Placement, bool) {}
	}
	r.loads.update(svc.Name, r.Zone, func(l *currentLoad) {
		l.waiting++
	})
	return func(p *Placement, wanted bool) {
		r.loads.update(svc.Name, r.Zone, func(l *currentLoad) {
			l.waiting--
			if p == nil && wanted {
				l.Refused++
			}
		})
		if p == nil {
			return
		}
		p.countedTokens, p.counted = tokens, true
		r.loads.update(p.Target.Service, p.Target.Zone, func(l *currentLoad) {
			l.Placed++
			l.Tokens += prompt
			l.running++
			l.tokens += tokens
		})
	}
}

// countEnd counts the end of a placement, once.
func (p *Placement) countEnd() {
	if !p.counted {
		return
	}
	p.counted = false
	p.router.loads.update(p.Target.Service, p.Target.Zone, func(l *currentLoad) {
		l.running--
		l.tokens -= p.countedTokens
	})
}

// recordAnsweredRun counts a request that is not a stream if the response shows that the target ran it.
func (x *Exchange) recordAnsweredRun(now time.Time, p *Placement, status int, info call.ResponseInfo) {
	if x.Route.Kind != config.KindStream && info.Signed && !promisesNotExecuted(status) {
		x.recordRun(now, p)
	}
}

// recordStreamRun counts a run of a stream at its first event, which came at the given time. In a stream without
// events its first bytes count.
func (x *Exchange) recordStreamRun(at time.Time, p *Placement, hasEvents bool, bytes int) {
	if x.runCounted || x.events.Events() == 0 && (hasEvents || bytes == 0) {
		return
	}
	x.runCounted = true
	x.recordRun(at, p)
}

// recordRun counts that a target began to run the request: at the first event of a stream, or when a response shows
// that it ran.
func (x *Exchange) recordRun(now time.Time, p *Placement) {
	if x.gate.ObserveRun != nil && x.Org != nil {
		x.gate.ObserveRun(now, x.Org.Name)
	}
	svc, ok := x.cfg.Service(p.Target.Service)
	if !ok || svc.Scaling == nil {
		return
	}
	late := x.Route.Objective > 0 && now.Sub(x.start) > x.Route.Objective
	p.router.loads.update(p.Target.Service, p.Target.Zone, func(l *currentLoad) {
		l.Answered++
		if late {
			l.Late++
		}
	})
}
