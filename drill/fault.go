package drill

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"currantstile/clock"
	"currantstile/judge"
	"currantstile/platform/fake"
)

// faultKind is a kind of fault.
type faultKind struct {
	name   string
	weight int
	// hows are the variants; the first is drawn as often as each other one.
	hows []string
	// pair is set if the fault concerns two instances.
	pair bool
	play func(p *player, f Fault, rng *rand.Rand)
}

// faultKinds are the kinds of faults. Their order decides what a seed draws.
var faultKinds []faultKind

func init() {
	faultKinds = slices.Concat(instanceFaults(), storeFaults(), targetFaults(), changes(), operatorFaults(), limitFaults(), silenceFaults(), idleFaults(), joinFaults(), outageFaults())
}

func faultNamed(name string) (faultKind, bool) {
	i := slices.IndexFunc(faultKinds, func(k faultKind) bool {
		return k.name == name
	})
	if i < 0 {
		return faultKind{}, false
	}
	return faultKinds[i], true
}

// disturbance returns the record of a fault that disturbs an instance, or the store.
func (p *player) disturbance(f Fault, instance string) judge.Disturbed {
	return judge.Disturbed{
		Time:     p.now(),
		Until:    p.now().At() + f.For,
		Instance: instance,
		Cause:    f.Kind + " " + f.How,
	}
}

// disturb records that an instance, or the store, is disturbed.
func (p *player) disturb(f Fault, instance string, ends, planned bool) {
	d := p.disturbance(f, instance)
	d.Ends, d.Planned = ends, planned
	p.record(d)
}

// disturbStretching records that the store serves others than the instance, or has no history.
func (p *player) disturbStretching(f Fault, instance string) {
	d := p.disturbance(f, instance)
	d.Stretches = true
	p.record(d)
}

// instance returns the machine of a fault.
func (p *player) instance(f Fault) *machine {
	return p.instances[f.Who%len(p.instances)]
}

// restartInstance starts an instance again. Its start counts as a disturbance.
func (p *player) restartInstance(m *machine) {
	p.record(judge.Disturbed{
		Time:     p.now(),
		Until:    p.now().At(),
		Instance: m.name,
		Cause:    "start",
		Ends:     true,
	})
	p.startInstance(p.ctx, m)
}

// instanceFaults are the faults of instances and their links.
func instanceFaults() []faultKind {
	return []faultKind{
		{
			name:   "instance-killed",
			weight: 4,
			play: func(p *player, f Fault, _ *rand.Rand) {
				m := p.instance(f)
				p.disturb(f, m.name, true, false)
				if m.stopInstance(true) && clock.Sleep(p.ctx, f.For) {
					p.restartInstance(m)
				}
			},
		},
		{
			name:   "instance-stopped",
			weight: 4,
			play: func(p *player, f Fault, _ *rand.Rand) {
				m := p.instance(f)
				f.For += grace
				p.disturb(f, m.name, true, true)
				if m.stopInstance(false) {
					p.restartInstance(m)
				}
			},
		},
		{
			name:   "all-killed",
			weight: 1,
			play: func(p *player, f Fault, _ *rand.Rand) {
				var killed []*machine
				for _, m := range p.instances {
					p.disturb(f, m.name, true, false)
					if m.stopInstance(true) {
						killed = append(killed, m)
					}
				}
				if clock.Sleep(p.ctx, f.For) {
					for _, m := range killed {
						p.restartInstance(m)
					}
				}
			},
		},
		{
			name:   "link",
			weight: 8,
			hows:   []string{"store", "store-out", "store-in", "targets", "targets-in", "all", "slow-store", "slow-targets", "reset-targets", "reset-callers"},
			play:   (*player).disturbLinks,
		},
		{
			name:   "instances-apart",
			weight: 2,
			pair:   true,
			hows:   []string{"", "one-way"},
			play: func(p *player, f Fault, _ *rand.Rand) {
				a, b := p.instance(f), p.instances[(f.Who+1+f.With%max(len(p.instances)-1, 1))%len(p.instances)]
				p.disturb(f, a.name, false, false)
				p.disturb(f, b.name, false, false)
				p.cut(a.addr, b.addr, f.For, f.How == "one-way")
			},
		},
	}
}

// cut cuts the link between two machines for a time.
func (p *player) cut(a, b netip.Addr, d time.Duration, oneWay bool) {
	p.net.Cut(a, b, true)
	if !oneWay {
		p.net.Cut(b, a, true)
	}
	clock.Sleep(p.ctx, d)
	p.net.Cut(a, b, false)
	if !oneWay {
		p.net.Cut(b, a, false)
	}
}

// links are links of an instance to others, with what happens to them.
type links struct {
	others []netip.Addr
	// out and in are the directions that are cut.
	out, in bool
	// slow is added to the delay instead; reset resets connections instead.
	slow  time.Duration
	reset bool
}

// linksOf returns the links that a fault disturbs.
func (p *player) linksOf(m *machine, how string, rng *rand.Rand) links {
	store := []netip.Addr{p.storeAddr.Addr()}
	var targets []netip.Addr
	for _, pl := range p.places {
		targets = append(targets, pl.addr.Addr())
	}
	l := links{
		others: store,
		out:    true,
		in:     true,
	}
	switch how {
	case "store-out":
		l.in = false
	case "store-in":
		l.out = false
	case "targets":
		l.others = targets
	case "targets-in":
		l.others, l.out = targets, false
	case "all":
		l.others = slices.Concat(store, targets)
		for _, o := range p.instances {
			if o != m {
				l.others = append(l.others, o.addr)
			}
		}
	case "slow-store":
		l.slow = time.Duration(20+rng.IntN(600)) * time.Millisecond
	case "slow-targets":
		l.others, l.slow = targets, time.Duration(20+rng.IntN(300))*time.Millisecond
	case "reset-targets":
		l.others, l.reset = targets, true
	case "reset-callers":
		l.others, l.reset = []netip.Addr{callersAddr}, true
	}
	return l
}

// disturbLinks disturbs the links of an instance.
func (p *player) disturbLinks(f Fault, rng *rand.Rand) {
	m := p.instance(f)
	p.disturb(f, m.name, false, false)
	l := p.linksOf(m, f.How, rng)
	if l.reset {
		for _, a := range l.others {
			p.net.ResetConns(m.addr, a, func() bool { return rng.IntN(2) == 0 })
		}
		return
	}
	for _, a := range l.others {
		l.set(p, m, a, true)
	}
	clock.Sleep(p.ctx, f.For)
	for _, a := range l.others {
		l.set(p, m, a, false)
	}
}

// changes are what operators do.
func changes() []faultKind {
	return []faultKind{
		{
			name:   "configuration",
			weight: 2,
			play: func(p *player, _ Fault, _ *rand.Rand) {
				p.writeConfig(nil, nil)
			},
		},
		{
			name:   "key-withdrawn",
			weight: 1,
			play: func(p *player, _ Fault, _ *rand.Rand) {
				p.writeConfig(nil, []string{"k2"})
			},
		},
		{
			name:   "data-centre-closed",
			weight: 1,
			play: func(p *player, f Fault, _ *rand.Rand) {
				zone := zones[f.Who%len(zones)]
				p.closings(zone, 1)
				p.store.Write(fake.EvacuatePrefix+zone, []byte(`{}`))
				p.record(judge.Closed{
					Time:  p.now(),
					Zone:  zone,
					Until: p.now().At() + f.For,
				})
				clock.Sleep(p.ctx, f.For)
				if p.closings(zone, -1) == 0 {
					p.store.Write(fake.EvacuatePrefix+zone, nil)
				}
			},
		},
		{
			name:   "invalid-entry",
			weight: 2,
			hows:   []string{`{"service":"app","address":7}`, `[]`, `{`, `{"service":"app","address":"10.2.1.1:9000","state":"odd"}`},
			play: func(p *player, f Fault, _ *rand.Rand) {
				p.store.Write(fake.WorkerPrefix+"ghost", []byte(f.How))
				clock.Sleep(p.ctx, f.For)
				p.store.Write(fake.WorkerPrefix+"ghost", nil)
			},
		},
	}
}

// set disturbs the link of an instance to another machine, or ends the disturbance.
func (l links) set(p *player, m *machine, other netip.Addr, on bool) {
	if l.slow > 0 {
		d := l.slow
		if !on {
			d = 0
		}
		p.net.SetDelay(m.addr, other, d)
		p.net.SetDelay(other, m.addr, d)
		return
	}
	if l.out {
		p.net.Cut(m.addr, other, on)
	}
	if l.in {
		p.net.Cut(other, m.addr, on)
	}
}
