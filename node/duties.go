package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"currantstile/duty"
	"currantstile/errs"
	"currantstile/fleet"
	"currantstile/scale"
	"currantstile/usage"
	"currantstile/wire"
)

const (
	// collectTimeout limits a question to one instance. One that is frozen is asked again with the next
	// collection.
	collectTimeout = 600 * time.Millisecond
	// maxCollectCalls bounds the questions that are asked at the same time.
	maxCollectCalls = 32
	// countReserve is for how many windows counts are kept beyond the time at which their report is due.
	countReserve = 4
	// leaveTimeout limits the giving up of subjects.
	leaveTimeout = time.Second
	// handOverTimeout limits the handing over of counts, which delays the end of an instance, and handOverAttempt one
	// attempt: together less than shutdownMargin.
	handOverTimeout = 450 * time.Millisecond
	handOverAttempt = 200 * time.Millisecond
	// formerTime is how long an instance is still asked that is no longer registered: it may only be cut off from the
	// store.
	formerTime = 2 * time.Minute
)

// duties are the singleton duties of an instance, and what it answers to the holders on other instances.
type duties struct {
	node     *Node
	counter  *usage.Counter
	clock    *usage.Clock
	holder   *duty.Holder
	reporter *duty.Reporter
	scaler   *duty.Scaler

	mu sync.Mutex
	// handed are the counts that other instances handed over.
	handed usage.Collection
	// zones are the data centres in which each service has had targets.
	zones map[string][]string
	// former are the other instances, by name, with the time at which they were last registered.
	former map[string]formerInstance
}

// formerInstance is an instance that is or was registered.
type formerInstance struct {
	instance fleet.Instance
	seenAt   time.Time
}

// newDuties returns the duties of an instance, or nil if there are none.
func newDuties(n *Node) *duties {
	s := n.Settings.Duties
	if !s.Enabled() || n.DutyClient == nil {
		return nil
	}
	d := &duties{
		node:    n,
		counter: usage.NewCounter(n.started, s.UsageLateness+countReserve*s.UsageWindow),
		clock:   usage.NewClock(n.started, n.started),
		zones:   make(map[string][]string),
		former:  make(map[string]formerInstance),
	}
	d.holder = &duty.Holder{
		Self:           n.Settings.Name,
		Session:        n.session,
		KV:             n.KV,
		Registry:       n.registry,
		Listed:         n.instanceFollower.ListedOnce,
		Subjects:       d.subjects,
		Health:         &n.health,
		LeaseTime:      n.Settings.LeaseTime,
		CallsPerSecond: s.CallsPerSecond,
		ThawSlack:      s.ThawSlack,
		Observe:        n.metrics.recordDutyCall,
		Log:            n.Log,
	}
	d.reporter = &duty.Reporter{
		Holder: d.holder,
		Client: n.DutyClient,
		KV:     n.KV,
		Clock:  d.clock,
		Timing: usage.Timing{
			Lateness: s.UsageLateness,
		},
		Length:  s.UsageWindow,
		Collect: d.collectUsage,
		Observe: n.metrics.recordUsageReport,
		Log:     n.Log,
	}
	d.scaler = &duty.Scaler{
		Holder:   d.holder,
		Client:   n.DutyClient,
		Subjects: d.scalingSubjects,
		Limits:   d.scalingLimits,
		Targets:  d.scalingTargets,
		Collect:  d.collectLoads,
		Observe:  n.metrics.recordScaleOrder,
		Log:      n.Log,
	}
	return d
}

// loops returns the background loops by name.
func (d *duties) loops() map[string]func(context.Context) {
	loops := map[string]func(context.Context){
		"Holder.Run": d.holder.Run,
	}
	if d.node.Settings.Duties.Usage {
		loops["Reporter.Run"] = d.reporter.Run
	}
	if d.node.Settings.Duties.Scaling {
		loops["Scaler.Run"] = d.scaler.Run
	}
	return loops
}

// observeRun counts a request that a target began to run.
func (d *duties) observeRun(now time.Time, org string) {
	d.counter.Add(now, org)
}

// subjects lists the subjects that need a holder.
func (d *duties) subjects() []duty.Subject {
	var list []duty.Subject
	if d.node.Settings.Duties.Usage {
		list = append(list, duty.UsageSubject)
	}
	return append(list, d.scalingSubjects()...)
}

// scalingSubjects lists the pairs of a service with scaling and a data centre in which it runs.
func (d *duties) scalingSubjects() []duty.Subject {
	cfg := d.node.config.Load()
	if cfg == nil || !d.node.Settings.Duties.Scaling {
		return nil
	}
	view := d.node.registry.View()
	var list []duty.Subject
	for _, s := range cfg.Services {
		if s.Scaling == nil {
			continue
		}
		for _, zone := range d.zonesOf(s.Name) {
			// The targets of a closed data centre are kept for its return.
			if view.ZoneDisabled(zone) {
				continue
			}
			list = append(list, duty.Subject{
				Service: s.Name,
				Zone:    zone,
			})
		}
	}
	return list
}

// zonesOf returns the data centres in which a service has targets, or had some since the start of the process: they
// may all be gone for a moment.
func (d *duties) zonesOf(service string) []string {
	view := d.node.registry.View()
	d.mu.Lock()
	defer d.mu.Unlock()
	zones := d.zones[service]
	for _, t := range view.Service(service) {
		if i, ok := slices.BinarySearch(zones, t.Zone); !ok {
			zones = slices.Insert(slices.Clone(zones), i, t.Zone)
		}
	}
	d.zones[service] = zones
	return zones
}

// scalingLimits returns the limits of a subject and the capacity of one of its targets.
func (d *duties) scalingLimits(s duty.Subject) (scale.Limits, scale.Capacity, bool) {
	cfg := d.node.config.Load()
	if cfg == nil {
		return scale.Limits{}, scale.Capacity{}, false
	}
	svc, ok := cfg.Service(s.Service)
	if !ok || svc.Scaling == nil {
		return scale.Limits{}, scale.Capacity{}, false
	}
	limits := scale.Limits{
		Minimum:  svc.Scaling.Minimum,
		Maximum:  svc.Scaling.Maximum,
		BootTime: svc.Scaling.BootTime,
	}
	var capacity scale.Capacity
	if svc.Engine != nil {
		capacity = scale.EngineCapacity(svc.Engine.Slots, svc.Engine.MemoryTokens)
	} else {
		for _, t := range d.node.registry.View().Service(s.Service) {
			if t.Zone == s.Zone {
				capacity.Slots = max(capacity.Slots, t.Slots)
			}
		}
	}
	return limits, capacity, true
}

// scalingTargets lists the targets of a subject.
func (d *duties) scalingTargets(s duty.Subject) []scale.Target {
	var list []scale.Target
	for _, t := range d.node.registry.View().Service(s.Service) {
		if t.Zone == s.Zone {
			list = append(list, scale.Target{
				ID:        t.ID,
				Leaving:   t.Draining,
				TakenAway: t.Draining && !t.EndsAt.IsZero(),
			})
		}
	}
	return list
}

// leave gives up the subjects of an instance that is told to stop, so that others take them over meanwhile.
func (d *duties) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	d.holder.Leave(ctx)
}

// handOver gives the counts that have not been reported to another instance: the holder of the reports if it is
// known.
func (d *duties) handOver() {
	s := d.node.Settings.Duties
	if !s.Usage {
		return
	}
	now := time.Now()
	trueNow := d.clock.True(now)
	args := wire.UsageArgs{
		Length: s.UsageWindow,
	}
	timing := usage.Timing{
		Lateness: s.UsageLateness,
	}
	for _, w := range append(timing.Open(trueNow, s.UsageWindow), usage.WindowAt(trueNow, s.UsageWindow)) {
		args.Windows = append(args.Windows, w.Number)
	}
	parts := d.answerUsage(now, args).Parts
	all, cancelAll := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancelAll()
	for _, i := range d.successors() {
		if all.Err() != nil {
			break
		}
		ctx, cancel := context.WithTimeout(all, handOverAttempt)
		err := d.node.pool.Call(ctx, i.Peers, wire.MethodHandOver, wire.HandOverArgs{
			Parts: parts,
		}, &wire.Empty{})
		cancel()
		if err == nil {
			d.node.Log.Info().Str("instance", i.Name).Int("parts", len(parts)).Msg("duty: counts handed over")
			return
		}
	}
	d.node.Log.Warn().Int("parts", len(parts)).Msg("duty: counts not handed over")
}

// successors returns the other instances, the holder of the reports first.
func (d *duties) successors() []fleet.Instance {
	holder := d.holder.HolderOf(duty.UsageSubject)
	var list []fleet.Instance
	for _, i := range d.node.registry.View().Instances() {
		switch i.Name {
		case d.node.Settings.Name:
		case holder:
			list = slices.Insert(list, 0, i)
		default:
			list = append(list, i)
		}
	}
	return list
}

// DutyService exposes the duties through methods with the signatures that net/rpc requires.
type DutyService struct {
	duties *duties
}

// Usage serves wire.MethodCollectUsage.
func (s *DutyService) Usage(args wire.UsageArgs, reply *wire.UsageReply) (err error) {
	defer errs.Recover("DutyService.Usage", &err)
	*reply = s.duties.answerUsage(time.Now(), args)
	return nil
}

// Load serves wire.MethodCollectLoad.
func (s *DutyService) Load(args wire.LoadArgs, reply *wire.LoadReply) (err error) {
	defer errs.Recover("DutyService.Load", &err)
	*reply = s.duties.answerLoad(args)
	return nil
}

// HandOver serves wire.MethodHandOver.
func (s *DutyService) HandOver(args wire.HandOverArgs, _ *wire.Empty) (err error) {
	defer errs.Recover("DutyService.HandOver", &err)
	s.duties.receive(time.Now(), args.Parts)
	return nil
}
