package avail

import (
	"time"

	"currantstile/fleet"
)

const (
	// waitShare is the share of a request's objective that it may wait for the end of a
	// pushback; the rest is for its answer.
	waitShare = 0.8
	// maxSpread bounds by how much the retry delays of refused requests are spread.
	maxSpread = 2 * time.Second
	// maxTurnSpread bounds how much later a request is expected to get a turn at a limited target.
	maxTurnSpread = 10 * time.Second
	// minRetryAfter is the least retry delay.
	minRetryAfter = 50 * time.Millisecond
)

// Waiting is a request for which no target is open.
type Waiting struct {
	Start     time.Time
	Deadline  time.Time
	Objective time.Duration
}

// Plan is what to do with a request for which no target is open. It is one of Wait, Refuse and
// Unserved.
type Plan interface {
	isPlan()
}

// Wait means that a target is expected to take requests again early enough to serve the request in time.
type Wait struct {
	Until time.Time
}

// Refuse means that it does not: the request is refused at once, and its caller returns when
// one does.
type Refuse struct {
	RetryAfter time.Duration
	// Limited is set if the rate limits of targets are the reason, and Cold if all of them are cold and
	// name none.
	Limited bool
	Cold    bool
}

// Unserved means that no target is expected to take requests again.
type Unserved struct{}

func (Wait) isPlan()     {}
func (Refuse) isPlan()   {}
func (Unserved) isPlan() {}

// wave is the schedule of the requests of a service that wait or were refused until its targets
// return.
type wave struct {
	// until is when the first target returns from its pushback, and refused how many requests were
	// refused until then.
	until   time.Time
	refused int
	// next is when the next request can be sent to a limited target.
	next time.Time
}

// returns is when the closed targets of a service take requests again.
type returns struct {
	// pushback is the end of the first pushback, zero if there is none, and slots how many
	// requests the targets that push back run at once.
	pushback time.Time
	slots    int
	// turn is when this instance may first ask for a token of a limited target, zero if there is
	// none, and rate how many tokens a second it expects to get.
	turn time.Time
	rate float64
	// named is set if one of the limited targets names a limit.
	named bool
}

// Plan decides what to do with a request for a service none of whose targets is open. The retry
// delays of refused requests are spread over the time that the returning targets need for them:
// those that were refused first return first.
func (b *Book) Plan(now time.Time, view *fleet.View, service string, w Waiting) Plan {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.returns(now, view, service)
	latest := w.Start.Add(time.Duration(waitShare * float64(w.Objective)))
	if w.Deadline.Before(latest) {
		latest = w.Deadline
	}
	if r.pushback.IsZero() && r.turn.IsZero() {
		return Unserved{}
	}
	if !r.pushback.IsZero() && r.pushback.Before(latest) {
		return Wait{
			Until: r.pushback,
		}
	}
	if b.waves == nil {
		b.waves = make(map[string]*wave)
	}
	v, ok := b.waves[service]
	if !ok {
		v = &wave{}
		b.waves[service] = v
	}
	if !r.turn.IsZero() {
		return v.planTurn(now, latest, r)
	}
	if !now.Before(v.until) {
		v.refused = 0
	}
	v.until = r.pushback
	spread := spreadOf(v.refused*max(len(view.Instances()), 1), r.slots, w.Objective)
	v.refused++
	return Refuse{
		RetryAfter: max(r.pushback.Sub(now)+spread, minRetryAfter),
	}
}

// returns finds when the closed targets of a service take requests again. The caller holds mu.
func (b *Book) returns(now time.Time, view *fleet.View, service string) returns {
	var r returns
	for _, t := range view.Service(service) {
		switch s := b.state(now, view, t).(type) {
		case PushedBack:
			if r.pushback.IsZero() || s.Until.Before(r.pushback) {
				r.pushback = s.Until
			}
			r.slots += max(t.Slots, 1)
		case Limited:
			if r.turn.IsZero() || s.Until.Before(r.turn) {
				r.turn = s.Until
			}
			r.named = r.named || !s.Cold
			r.rate += 1 / max(s.Delay, minRetryAfter).Seconds()
		}
	}
	return r
}

// planTurn gives a request the next turn at the limited targets: it waits for it if that is early
// enough, and is refused until then otherwise.
func (v *wave) planTurn(now, latest time.Time, r returns) Plan {
	turn := r.turn
	if v.next.After(turn) {
		turn = v.next
	}
	if bound := now.Add(maxTurnSpread); turn.After(bound) {
		turn = bound
	}
	v.next = turn.Add(time.Duration(float64(time.Second) / r.rate))
	if turn.Before(latest) {
		return Wait{
			Until: turn,
		}
	}
	return Refuse{
		RetryAfter: max(turn.Sub(now), minRetryAfter),
		Limited:    true,
		Cold:       !r.named,
	}
}

// spreadOf returns how much later than the first target's return a refused request should come,
// after a number of others at all instances. Each slot is expected to serve one in each objective.
func spreadOf(ahead, slots int, objective time.Duration) time.Duration {
	return min(time.Duration(float64(ahead)/float64(slots)*float64(objective)), maxSpread)
}
