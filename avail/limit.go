package avail

import (
	"math"
	"slices"
	"strings"
	"time"

	"currantstile/fleet"
	"currantstile/route"
)

const (
	// maxTransit is added to the age of evidence that goes to another instance, so that it does
	// not look newer there than it is.
	maxTransit = 100 * time.Millisecond
	// minLimitRate is the least rate at which a limited target is sent requests, in requests a
	// second: without an answer, it could not end its limit.
	minLimitRate = 0.1
	// limitBurst is how many requests may be sent to a limited target at once that was sent fewer
	// than it allows, and limitBurstTime what is added, as the time in which its rate allows it.
	limitBurst     = 2.0
	limitBurstTime = 250 * time.Millisecond
	// HolderRetryDelay is when an instance asks again that reached no instance that grants tokens.
	HolderRetryDelay = 500 * time.Millisecond
	// coldShare is the part of a cold target's rate that is granted: with it, holder and deputy
	// together stay within what the platform tolerates in one second.
	coldShare = 0.9
	// loadShare is the part of the rate of a weight store that is granted, for the same reason.
	loadShare = 0.9
	// loadBurst is how many loads may begin at once.
	loadBurst = 1.5
	// maxTurnDelay bounds for how long an instance that got no token is told to ask for none.
	maxTurnDelay = 2 * time.Second
)

// Shares of a target's rate limit that an instance may grant.
const (
	// WholeShare is that of the instance that holds the limit.
	WholeShare = 1.0
	// DeputyShare is that of the instance that is asked while the holder does not respond. Both
	// together stay within what the platform tolerates while an instance is frozen or cut off.
	DeputyShare = 0.25
)

// Unlimited is the rate of a target that names no limit.
var Unlimited = math.Inf(1)

// LimitEvidence is what an answer said of its target's rate limit, and when. The ages tell which of
// two answers is the newer one, whichever instance got them.
type LimitEvidence struct {
	// Rate is in requests a second over all instances; Unlimited if the answer named none.
	Rate float64
	// SentAge is how long ago the request was sent, and Age how long ago the head of its answer
	// came.
	SentAge time.Duration
	Age     time.Duration
}

// limit is the rate limit that a run of a target's process has named. An answer was made between
// sentAt and receivedAt, so of two answers whose spans overlap either may be the newer one.
type limit struct {
	// rate is in requests a second, Unlimited for none; it is valid if receivedAt is set.
	rate       float64
	since      time.Time
	sentAt     time.Time
	receivedAt time.Time

	// tokens are the requests that may be sent now, at the instance that grants them. Requests to a cold
	// target take them too, whether it names a limit or not.
	tokens     float64
	refilledAt time.Time
	// lastTurn is the latest time at which an instance was told to ask again.
	lastTurn time.Time
	// closedUntil is until when this instance asks for no token, and closedFor the delay that it
	// was told.
	closedUntil time.Time
	closedFor   time.Duration
}

// limited reports whether the target names a limit at present.
func (l *limit) limited() bool {
	return !l.receivedAt.IsZero() && l.rate < Unlimited
}

// record records evidence and reports whether the limit has changed. A lower limit counts if it may
// be the newer one, a higher one or none only if it is.
func (l *limit) record(now time.Time, e LimitEvidence) bool {
	sentAt, receivedAt := now.Add(-e.SentAge), now.Add(-e.Age)
	rate := Unlimited
	if l.limited() {
		rate = l.rate
	}
	switch {
	case e.Rate < rate && !receivedAt.After(l.sentAt):
		return false
	case e.Rate > rate && !sentAt.After(l.receivedAt):
		return false
	}
	if sentAt.After(l.sentAt) {
		l.sentAt = sentAt
	}
	if receivedAt.After(l.receivedAt) {
		l.receivedAt = receivedAt
	}
	if wasLimited := rate < Unlimited; wasLimited != (e.Rate < Unlimited) {
		l.since = now
	}
	l.rate = e.Rate
	return e.Rate != rate
}

// take takes a token of those that an instance with a share of a rate may grant. If there is none, it
// returns when to ask again. burst is how many tokens are kept at most, besides those of limitBurstTime. Instances that ask at the same time get turns one after the other, at that
// rate. The first token is there only after its time, as other instances may have granted some before.
func (l *limit) take(now time.Time, rate, share, burst float64) (time.Duration, bool) {
	rate = max(rate, minLimitRate) * share
	if l.refilledAt.IsZero() {
		l.refilledAt = now
	}
	l.tokens = min(l.tokens+now.Sub(l.refilledAt).Seconds()*rate, burst+limitBurstTime.Seconds()*rate)
	l.refilledAt = now
	if l.tokens >= 1 {
		l.tokens--
		return 0, true
	}
	spacing := time.Duration(float64(time.Second) / rate)
	turn := now.Add(time.Duration((1 - l.tokens) * float64(spacing)))
	if next := l.lastTurn.Add(spacing); next.After(turn) {
		turn = next
	}
	if latest := now.Add(maxTurnDelay); turn.After(latest) {
		turn = latest
	}
	l.lastTurn = turn
	return turn.Sub(now), false
}

// evidence returns the limit as evidence for another instance; nil if nothing is known.
func (l *limit) evidence(now time.Time) *LimitEvidence {
	if l.receivedAt.IsZero() {
		return nil
	}
	return LimitEvidence{
		Rate:    l.rate,
		SentAge: now.Sub(l.sentAt),
		Age:     now.Sub(l.receivedAt),
	}.ForOthers()
}

// NamedRate returns the rate for logs: -1 if there is no evidence or it says that no limit is named.
func (e *LimitEvidence) NamedRate() float64 {
	if e == nil || e.Rate == Unlimited {
		return -1
	}
	return e.Rate
}

// ForOthers returns the evidence as it is told to another instance, which gets it a little later.
func (e LimitEvidence) ForOthers() *LimitEvidence {
	e.SentAge += maxTransit
	return &e
}

// LimitHolders returns the instances that grant the tokens of a target without a manager, or of a service's
// loads: the holder, and the deputy that is asked while the holder does not respond.
func LimitHolders(view *fleet.View, name string) []string {
	return HoldersAmong(view, name, func(*fleet.Instance) bool {
		return true
	})
}

// HoldersAmong is LimitHolders for the instances that may grant.
func HoldersAmong(view *fleet.View, name string, may func(*fleet.Instance) bool) []string {
	holders := route.TopBy(name, view.Instances(), func(i *fleet.Instance) string {
		return i.Name
	}, 2, may)
	names := make([]string, 0, len(holders))
	for _, i := range holders {
		names = append(names, i.Name)
	}
	return names
}

// LimitOf returns the rate limit that a target names, in requests a second over all instances. It
// reports false if it names none.
func (b *Book) LimitOf(t *fleet.Target) (float64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.runs[runOf(t)]
	if r == nil || !r.limit.limited() {
		return 0, false
	}
	return r.limit.rate, true
}

// rateOf returns how many requests a second a target takes from all instances together: what it names, or
// what its service allows while it is cold, whichever is less; Unlimited if neither applies. r is the
// record of its run, nil if there is none. The caller holds mu.
func (b *Book) rateOf(now time.Time, t *fleet.Target, r *record) float64 {
	rate := Unlimited
	if r != nil && r.limit.limited() {
		rate = r.limit.rate
	}
	if b.ColdRate != nil && now.Before(t.ColdUntil) {
		if cold := b.ColdRate(t.Service); cold > 0 {
			rate = min(rate, cold*coldShare)
		}
	}
	return rate
}

// NeedsToken reports whether a request to a target needs a token.
func (b *Book) NeedsToken(now time.Time, t *fleet.Target) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rateOf(now, t, b.runs[runOf(t)]) < Unlimited
}

// LimitedTarget is a target that names a rate limit.
type LimitedTarget struct {
	Target string
	// Rate is in requests a second over all instances.
	Rate  float64
	Since time.Time
}

// TakeToken takes the right to send one request to a target, at the instance that grants it with a
// share of the target's rate. It always succeeds if the target's rate is not limited. If there is no token,
// it returns after what time to ask again.
func (b *Book) TakeToken(now time.Time, t *fleet.Target, share float64) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	rate := b.rateOf(now, t, b.runs[runOf(t)])
	if rate == Unlimited {
		return 0, true
	}
	r := b.createRecord(now, runOf(t))
	if r == nil {
		return HolderRetryDelay, false
	}
	return r.limit.take(now, rate, share, limitBurst)
}

// TakeLoadToken takes the right to begin one load from a service's weight store, at the instance that grants
// it with a share of the store's rate, in loads a second over all instances. It reports false if there is none.
func (b *Book) TakeLoadToken(now time.Time, service string, rate, share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.loads == nil {
		b.loads = make(map[string]*limit)
	}
	l, ok := b.loads[service]
	if !ok {
		l = &limit{}
		b.loads[service] = l
	}
	_, granted := l.take(now, rate*loadShare, share, loadBurst)
	return granted
}

// ReturnToken returns a token that was taken at this instance and not used.
func (b *Book) ReturnToken(t *fleet.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.runs[runOf(t)]; r != nil && r.limit.limited() {
		r.limit.tokens++
	}
}

// RecordNoToken records that this instance got no token for a target and after what time it asks again.
func (b *Book) RecordNoToken(now time.Time, t *fleet.Target, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.createRecord(now, runOf(t))
	if r == nil {
		return
	}
	// Of several turns that this instance got, it uses the first.
	if until := now.Add(wait); !now.Before(r.limit.closedUntil) || until.Before(r.limit.closedUntil) {
		r.limit.closedUntil, r.limit.closedFor = until, wait
	}
}

// LimitedTargets returns the listed targets that name a rate limit, by ID.
func (b *Book) LimitedTargets(view *fleet.View) []LimitedTarget {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []LimitedTarget
	for key, r := range b.runs {
		if t, ok := view.Target(key.target); !ok || runOf(t) != key || !r.limit.limited() {
			continue
		}
		list = append(list, LimitedTarget{
			Target: key.target,
			Rate:   r.limit.rate,
			Since:  r.limit.since,
		})
	}
	slices.SortFunc(list, func(a, b LimitedTarget) int {
		return strings.Compare(a.Target, b.Target)
	})
	return list
}
