package drill

import (
	"fmt"
	"math/rand/v2"
	"time"

	"currantstile/clock"
)

const (
	// idleConns is the number of connections that callers keep beside changes of the idle limit, and
	// idleChanges how many changes are drawn for a day at most.
	idleConns   = 6
	idleChanges = 3
	// minIdleLimit and idleLimitRange say which limits are drawn, and idleJitter by how much the pauses of
	// callers differ from the limit.
	minIdleLimit   = 300 * time.Millisecond
	idleLimitRange = 1500 * time.Millisecond
	idleJitter     = 60 * time.Millisecond
	// idleTime is for how long a limit is in force.
	idleTime = 6 * time.Second
)

// idleFaults are changes of the limit of idle connections; drawIdle alone draws them, so that they do not
// alter what else a seed draws.
func idleFaults() []faultKind {
	return []faultKind{
		{
			name: "idle-limit",
			play: (*player).limitIdle,
		},
	}
}

// drawIdle draws changes of the idle limit, callers that pause about as long, and planned stops beside them.
func (d *Day) drawIdle(rng *rand.Rand) {
	// A quiet end stays quiet.
	room := d.Length - quietEnd - idleTime - grace
	if room <= 0 || rng.IntN(rareOdds) != 0 {
		return
	}
	for range 1 + rng.IntN(idleChanges) {
		limit := (minIdleLimit + time.Duration(rng.Int64N(int64(idleLimitRange)))).Round(time.Millisecond)
		f := Fault{
			At:   time.Duration(rng.Int64N(int64(room))).Round(time.Millisecond),
			For:  idleTime,
			Kind: "idle-limit",
			Who:  rng.IntN(maxTargets),
			How:  limit.String(),
		}
		d.Faults = append(d.Faults, f)
		if rng.IntN(2) == 0 {
			stop := f
			stop.Kind, stop.How = "instance-stopped", ""
			stop.At += time.Duration(rng.IntN(2000)) * time.Millisecond
			stop.For = time.Second
			d.Faults = append(d.Faults, stop)
		}
		d.drawPauses(rng, f, limit)
	}
}

// drawPauses draws requests on kept connections that are idle about as long as the limit, and about the
// whole seconds at which instances look for such connections.
func (d *Day) drawPauses(rng *rand.Rand, f Fault, limit time.Duration) {
	for n := range idleConns {
		conn := 1 + keptConns + n
		for at := f.At; at < f.At+f.For; at += limit + time.Duration(rng.Int64N(int64(2*idleJitter))) - idleJitter {
			d.Requests = append(d.Requests, Request{
				ID:       fmt.Sprintf("i%d-%08x", len(d.Requests), rng.Uint32()),
				At:       at.Round(time.Millisecond),
				Instance: conn % d.Instances,
				Route:    []string{"look", "book"}[rng.IntN(2)],
				Key:      alwaysKey,
				Path:     "idle",
				Conn:     conn,
				Timeout:  3 * time.Second,
			})
		}
	}
}

// limitIdle sets another limit of idle connections for a time.
func (p *player) limitIdle(f Fault, _ *rand.Rand) {
	limit, err := time.ParseDuration(f.How)
	if err != nil {
		return
	}
	p.setIdleLimit(limit)
	clock.Sleep(p.ctx, f.For)
	p.setIdleLimit(0)
}

// setIdleLimit writes a configuration with a limit of idle connections; zero is the usual one.
func (p *player) setIdleLimit(d time.Duration) {
	p.mu.Lock()
	p.idleLimit = d
	p.mu.Unlock()
	p.writeConfig(nil, nil)
}
