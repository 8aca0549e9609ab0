package drill

import (
	"math/rand/v2"
	"time"

	"currantstile/clock"
	"currantstile/judge"
	"currantstile/platform/fake"
)

// process returns the process of a fault, among the targets of both services; nil if there is none.
func (p *player) process(f Fault) *process {
	pl := p.places[f.Who%len(p.places)]
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if pl.run == nil || pl.run.ctx.Err() != nil {
		return nil
	}
	return pl.run
}

// targetFaults are the faults of targets.
func targetFaults() []faultKind {
	return []faultKind{
		{
			name:   "target-ends",
			weight: 5,
			hows:   []string{"new", "same", "at-once"},
			play:   (*player).endTarget,
		},
		{
			name:   "target-dark",
			weight: 3,
			hows:   []string{"", "one-way"},
			play:   (*player).darkenTarget,
		},
		{
			name:   "target-slow",
			weight: 3,
			play: func(p *player, f Fault, rng *rand.Rand) {
				d := time.Duration(50+rng.IntN(2000)) * time.Millisecond
				p.changeTarget(f, func(x *process) { x.slowBy = d }, func(x *process) { x.slowBy = 0 })
			},
		},
		{
			name:   "target-fails",
			weight: 2,
			play: func(p *player, f Fault, _ *rand.Rand) {
				p.changeTarget(f, func(x *process) { x.grey = true }, func(x *process) { x.grey = false })
			},
		},
		{
			name:   "target-drains",
			weight: 5,
			hows:   []string{"store", "both", "removed", "answers", "answers-first"},
			play:   (*player).drainTarget,
		},
		{
			name:   "target-pushes-back",
			weight: 6,
			hows:   []string{"", "", "service"},
			play:   (*player).pushBack,
		},
		{
			name:   "target-cold",
			weight: 2,
			play: func(p *player, f Fault, _ *rand.Rand) {
				if x := p.process(f); x != nil {
					x.stop("", 0)
					if clock.Sleep(p.ctx, f.For) {
						p.startTarget(p.ctx, x.place, "", true)
					}
					p.store.Write(fake.WorkerPrefix+x.id, nil)
				}
			},
		},
		{
			name:   "address-reused",
			weight: 2,
			play:   (*player).reuseAddress,
		},
	}
}

// endTarget ends a target's process. Another one follows: with another ID, with the same one, or with
// the same one in the same moment.
func (p *player) endTarget(f Fault, _ *rand.Rand) {
	x := p.process(f)
	if x == nil {
		return
	}
	switch f.How {
	case "at-once":
		x.restart()
	case "same":
		x.stop("", 0)
		p.replace(x, x.id, f.For)
	default:
		x.stop("", 0)
		p.replace(x, "", f.For)
	}
}

// darkenTarget cuts a target off from all instances, or only its answers.
func (p *player) darkenTarget(f Fault, _ *rand.Rand) {
	pl := p.places[f.Who%len(p.places)]
	addr := pl.addr.Addr()
	pl.mu.Lock()
	pl.darkUntil = later(pl.darkUntil, time.Now().Add(f.For))
	pl.mu.Unlock()
	for _, m := range p.instances {
		p.faults.Go(func() {
			p.cut(addr, m.addr, f.For, f.How == "one-way")
		})
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// changeTarget changes a target for a time.
func (p *player) changeTarget(f Fault, begin, end func(*process)) {
	x := p.process(f)
	if x == nil {
		return
	}
	x.set(func() { begin(x) })
	clock.Sleep(p.ctx, f.For)
	x.set(func() { end(x) })
}

// pushBack makes one target, or all of its service, reject requests for a time and say so.
func (p *player) pushBack(f Fault, _ *rand.Rand) {
	until := time.Now().Add(f.For)
	for _, x := range p.processes(f, f.How == "service") {
		x.set(func() { x.pushUntil = until })
	}
}

// processes returns the process of a fault, or those of all targets of its service.
func (p *player) processes(f Fault, wholeService bool) []*process {
	one := p.places[f.Who%len(p.places)]
	var list []*process
	for _, pl := range p.places {
		pl.mu.Lock()
		x := pl.run
		pl.mu.Unlock()
		if x != nil && (pl == one || wholeService && pl.service == one.service) {
			list = append(list, x)
		}
	}
	return list
}

// reuseAddress gives the address of a target that ended to one of another service for a time.
func (p *player) reuseAddress(f Fault, _ *rand.Rand) {
	x := p.process(f)
	if x == nil {
		return
	}
	x.stop("", 0)
	if !clock.Sleep(p.ctx, f.For) {
		return
	}
	other := &place{
		service: "other",
		zone:    x.place.zone,
		addr:    x.place.addr,
		number:  x.place.number,
	}
	p.startTarget(p.ctx, other, "", false)
	clock.Sleep(p.ctx, f.For)
	p.store.Write(fake.WorkerPrefix+x.id, nil)
	if o := other.run; o != nil {
		o.stop("", 0)
		p.store.Write(fake.WorkerPrefix+o.id, nil)
	}
	p.startTarget(p.ctx, x.place, "", false)
}

// set changes the state of a process.
func (x *process) set(change func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	change()
}

// drainTime is for how long a target serves after it has said that it leaves.
const drainTime = 2500 * time.Millisecond

// drainTarget lets a target leave: it says so in the store, in its answers, or in both, serves for
// its drain time, and ends. Another one follows.
func (p *player) drainTarget(f Fault, _ *rand.Rand) {
	x := p.process(f)
	if x == nil {
		return
	}
	closed := func() {
		p.record(judge.Closed{
			Time:   p.now(),
			Target: x.name,
		})
	}
	if f.How == "both" || f.How == "answers" || f.How == "answers-first" {
		x.set(func() { x.leaving = true })
	}
	switch f.How {
	case "store", "both":
		x.register("draining")
		closed()
	case "removed":
		p.store.Write(fake.WorkerPrefix+x.id, nil)
		closed()
	case "answers-first":
		clock.Sleep(p.ctx, f.For)
		x.register("draining")
		closed()
	}
	clock.Sleep(p.ctx, drainTime+f.For)
	x.stop("", 0)
	p.store.Write(fake.WorkerPrefix+x.id, nil)
	p.startTarget(p.ctx, x.place, "", false)
}

// crashAway is for how long a target is away that a request has ended.
const crashAway = 3 * time.Second
