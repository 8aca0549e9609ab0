package driver

import (
	"context"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"currantstile/avail"
	"currantstile/errs"
	"currantstile/fleet"
	"currantstile/sched"
	"currantstile/wire"
)

const (
	// slotTick is how often requests that wait for slots are decided again without an event: a target returns
	// from its backoff, or a request has waited too long.
	slotTick = 10 * time.Millisecond
	// slotLogInterval bounds the log lines on a service's slots.
	slotLogInterval = 5 * time.Second
)

// errNotGranting is the reply of an instance that does not grant the slots of a service.
const errNotGranting = rpc.ServerError("instance does not grant the slots of this service")

// minHolderCores is the least part of the largest instance's processor time that an instance has which grants slots: it answers
// two calls for each request to the service, over all instances.
const minHolderCores = 0.5

// SlotHolders returns the instances that grant the slots of a service: the holder, and the deputy that is asked while the holder does
// not respond.
func SlotHolders(view *fleet.View, service string) []string {
	most := 0.0
	for _, i := range view.Instances() {
		most = max(most, i.Cores)
	}
	return avail.HoldersAmong(view, "slots/"+service, func(i *fleet.Instance) bool {
		return i.Cores >= minHolderCores*most
	})
}

// Slots grants the slots of plain services on behalf of all instances, for the services that select this instance.
// The exported fields must be set before the first call. It is safe for concurrent use.
type Slots struct {
	// Self is the name of this instance.
	Self     string
	Registry *fleet.Registry
	Avail    *avail.Book
	Log      log.Logger

	mu     sync.Mutex
	pools  map[string]*servicePool
	totals SlotTotals
}

// SlotTotals counts the decisions of Slots.
type SlotTotals struct {
	Granted int64
	Refused int64
	// Waiting is the number of requests that wait at present.
	Waiting int
}

// servicePool is the pool of one service.
type servicePool struct {
	pool sched.SlotPool
	// waiters get the decisions on the requests that wait.
	waiters map[string]chan sched.SlotDecision
	// ticking is set while requests wait and a timer runs.
	ticking  bool
	loggedAt time.Time
	// refused counts the refusals since the last log line.
	refused int
}

// Take waits for a slot for a request. Its error says that this instance does not grant the slots of the service.
func (s *Slots) Take(ctx context.Context, args wire.SlotArgs) (wire.SlotReply, error) {
	view := s.Registry.View()
	if !slices.Contains(SlotHolders(view, args.Service), s.Self) {
		return wire.SlotReply{}, errNotGranting
	}
	decided, ok := s.enqueue(time.Now(), view, args)
	if !ok {
		// The sender knows targets that are closed or not listed here: it chooses by itself.
		return wire.SlotReply{}, errNotGranting
	}
	select {
	case d := <-decided:
		switch d := d.(type) {
		case sched.SlotGranted:
			return wire.SlotReply{
				Target:   d.Target,
				Crossing: d.Crossing,
			}, nil
		case sched.SlotRefused:
			return wire.SlotReply{
				RetryAfter: d.RetryAfter,
			}, nil
		}
		// The request was withdrawn or repeated.
		return wire.SlotReply{}, nil
	case <-ctx.Done():
		s.End(wire.SlotEndArgs{
			Service: args.Service,
			ID:      args.Request.ID,
			Kind:    sched.ProgressCancelled,
		})
		return wire.SlotReply{}, nil
	}
}

// enqueue adds a request and returns the channel that gets its decision. It reports false if none of the request's
// targets is open.
func (s *Slots) enqueue(now time.Time, view *fleet.View, args wire.SlotArgs) (<-chan sched.SlotDecision, bool) {
	var targets []sched.SlotTarget
	open := false
	for _, t := range view.Service(args.Service) {
		if s.Avail.IsOpen(now, view, t) {
			targets = append(targets, sched.SlotTarget{
				ID:    t.ID,
				Zone:  t.Zone,
				Slots: t.Slots,
			})
			open = open || slices.Contains(args.Request.Targets, t.ID)
		}
	}
	if !open {
		return nil, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pools == nil {
		s.pools = make(map[string]*servicePool)
	}
	p, ok := s.pools[args.Service]
	if !ok {
		p = &servicePool{
			waiters: make(map[string]chan sched.SlotDecision),
		}
		s.pools[args.Service] = p
	}
	p.withdraw(args.Request.ID)
	decided := make(chan sched.SlotDecision, 1)
	p.waiters[args.Request.ID] = decided
	p.pool.SetTargets(now, targets)
	p.pool.Request(now, args.Request)
	s.dispatch(now, args.Service, p)
	return decided, true
}

// withdraw ends the wait of a request without a decision. The caller holds mu.
func (p *servicePool) withdraw(id string) {
	if w, ok := p.waiters[id]; ok {
		close(w)
		delete(p.waiters, id)
		p.pool.Withdraw(id)
	}
}

// End gives a slot back, or withdraws a request that waits.
func (s *Slots) End(args wire.SlotEndArgs) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.pools[args.Service]
	if !ok {
		return
	}
	now := time.Now()
	p.withdraw(args.ID)
	p.pool.Release(now, args.ID, args.Kind, args.Load)
	s.dispatch(now, args.Service, p)
}

// dispatch passes on the decisions that can be made now, and keeps a timer running while requests wait. The
// caller holds mu.
func (s *Slots) dispatch(now time.Time, service string, p *servicePool) {
	for _, r := range p.pool.Dispatch(now) {
		if _, ok := r.Decision.(sched.SlotGranted); ok {
			s.totals.Granted++
		} else {
			s.totals.Refused++
			p.refused++
		}
		if w, ok := p.waiters[r.ID]; ok {
			w <- r.Decision
			delete(p.waiters, r.ID)
		}
	}
	if p.refused > 0 && now.Sub(p.loggedAt) >= slotLogInterval {
		s.Log.Info().Str("service", service).Int("refused", p.refused).Int("waiting", p.pool.Waiting()).Msg("mgmt: slots of a plain service do not suffice")
		p.loggedAt, p.refused = now, 0
	}
	if p.ticking || p.pool.Waiting() == 0 {
		return
	}
	p.ticking = true
	time.AfterFunc(slotTick, func() {
		errs.Contain(&s.Log, "Slots.dispatch", func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			p.ticking = false
			s.dispatch(time.Now(), service, p)
		})
	})
}

// Totals returns the decisions since the start.
func (s *Slots) Totals() SlotTotals {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.totals
	for _, p := range s.pools {
		t.Waiting += p.pool.Waiting()
	}
	return t
}

// SlotService exposes Slots through methods with the signatures that net/rpc requires.
type SlotService struct {
	Slots *Slots
}

// Take handles a request for a slot.
func (s *SlotService) Take(args wire.SlotArgs, reply *wire.SlotReply) (err error) {
	defer errs.Recover("SlotService.Take", &err)
	*reply, err = s.Slots.Take(context.Background(), args)
	return err
}

// End handles the end of a request that has a slot or waits for one.
func (s *SlotService) End(args wire.SlotEndArgs, _ *wire.Empty) (err error) {
	defer errs.Recover("SlotService.End", &err)
	s.Slots.End(args)
	return nil
}
