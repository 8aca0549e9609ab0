package drill

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// silenceOdds is one in how many days has silences of the store around changes.
	silenceOdds = 2
	// minSilence and maxShortSilence bound the short silences, which are shorter than the time limits of calls.
	minSilence      = 200 * time.Millisecond
	maxShortSilence = time.Second
	// closeBefore and closeAfter bound how long before and after a silence changes are. The first is the delay
	// after which a reader that has received a change sends its next watch.
	closeBefore = 100 * time.Millisecond
	closeAfter  = 250 * time.Millisecond
	// lostCallTime is how long a lost call gets no answer: longer than all calls are waited for.
	lostCallTime = 15 * time.Second
)

// outageFaults are silences of the store; drawOutages alone draws them, so that they do not alter what else a
// seed draws.
func outageFaults() []faultKind {
	return []faultKind{
		{
			name: "store-silent",
			hows: []string{"all", "one"},
			play: (*player).silenceStore,
		},
	}
}

// drawOutages draws silences of the store, to all instances or to one, and changes close to their beginning and
// their end: a reader that has received the first one sends its next watch into the silence.
func (d *Day) drawOutages(rng *rand.Rand) {
	room := d.Length - firstChange - changeEnd
	if room <= 0 || rng.IntN(silenceOdds) != 0 {
		return
	}
	at := firstChange + time.Duration(rng.Int64N(int64(room))).Round(time.Millisecond)
	for n := range 1 + rng.IntN(2) {
		f := Fault{
			At:   at,
			For:  minSilence + time.Duration(rng.Int64N((maxShortSilence-minSilence).Milliseconds()))*time.Millisecond,
			Kind: "store-silent",
			Who:  rng.IntN(maxTargets),
			How:  outageFaults()[0].hows[rng.IntN(3)/2],
		}
		if rng.IntN(3) == 0 {
			f.For = maxShortSilence + time.Duration(rng.Int64N((maxFaultTime-maxShortSilence).Milliseconds()))*time.Millisecond
		}
		d.Faults = append(d.Faults, f)
		d.drawChangesAround(rng, f, n)
		at += f.For + time.Duration(rng.Int64N(int64(maxFaultTime))).Round(time.Millisecond)
		if at > d.Length-changeEnd {
			return
		}
	}
}

// drawChangesAround draws a key that is added just before a silence, and one that is added, the same one that is
// withdrawn or a data centre that is closed just after it.
func (d *Day) drawChangesAround(rng *rand.Rand, f Fault, n int) {
	near := func(limit time.Duration) time.Duration {
		return time.Duration(rng.Int64N(limit.Milliseconds())) * time.Millisecond
	}
	before, after := f.At-near(closeBefore), f.At+f.For+near(closeAfter)
	change := func(at time.Duration, kind string, who int) {
		d.Faults = append(d.Faults, Fault{
			At:   at,
			Kind: kind,
			Who:  who,
		})
		d.drawProbes(rng, who, at)
	}
	change(before, "key-added", 2*n)
	switch rng.IntN(3) {
	case 0:
		change(after, "key-added", 2*n+1)
	case 1:
		change(after, "key-removed", 2*n)
	default:
		d.Faults = append(d.Faults, Fault{
			At:   after,
			For:  minEvacuation,
			Kind: "data-centre-closed",
			Who:  rng.IntN(maxTargets),
		})
	}
}

// silenceStore lets calls of the store get lost. Unlike those of other faults they get no answer after its end
// either; calls that wait since before it are answered.
func (p *player) silenceStore(f Fault, _ *rand.Rand) {
	lost := func(*http.Request) bool { return true }
	if f.How == "one" {
		m := p.instance(f)
		p.disturbStretching(f, m.name)
		lost = func(r *http.Request) bool {
			return p.isFrom(r, m)
		}
	} else {
		p.disturb(f, "", false, false)
	}
	p.interceptStore(f, func(w http.ResponseWriter, r *http.Request, process http.Handler) {
		if !lost(r) {
			process.ServeHTTP(w, r)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), lostCallTime)
		defer cancel()
		defer context.AfterFunc(p.ctx, cancel)()
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	})
}
