package drill

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// silenceFaults are connections that go silent for good; drawSilence alone draws them, so that they do
// not alter what else a seed draws.
func silenceFaults() []faultKind {
	return []faultKind{
		{
			name: "silent-connections",
			hows: []string{"instances", "store", "targets"},
			play: (*player).silenceConns,
		},
	}
}

// drawSilence draws moments at which connections go silent.
func (d *Day) drawSilence(rng *rand.Rand) {
	room := d.Length - soundEnd - maxFaultTime
	if room <= 0 || rng.IntN(3) != 0 {
		return
	}
	for range 1 + rng.IntN(2) {
		d.Faults = append(d.Faults, Fault{
			At:   time.Duration(rng.Int64N(int64(room))).Round(time.Millisecond),
			Kind: "silent-connections",
			Who:  rng.IntN(maxTargets),
			How:  silenceFaults()[0].hows[rng.IntN(3)],
		})
	}
}

// silenceConns makes some of the connections between the instances, to the store or to targets go silent. For
// the rules that is a reset of the connections of all instances.
func (p *player) silenceConns(f Fault, rng *rand.Rand) {
	share := 1 + rng.IntN(4)
	pick := func() bool { return rng.IntN(4) < share }
	for _, m := range p.instances {
		p.disturb(f, m.name, false, false)
	}
	for _, m := range p.instances {
		for _, o := range p.peersOf(f.How) {
			p.net.SilenceConns(m.addr, o, pick)
		}
	}
}

// peersOf returns the machines at the other ends of an instance's connections of a kind.
func (p *player) peersOf(kind string) []netip.Addr {
	var addrs []netip.Addr
	switch kind {
	case "instances":
		for _, m := range p.instances {
			addrs = append(addrs, m.addr)
		}
	case "targets":
		for _, pl := range p.places {
			addrs = append(addrs, pl.addr.Addr())
		}
	default:
		addrs = append(addrs, p.storeAddr.Addr())
	}
	return addrs
}
