package avail

import (
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantstile/fleet"
)

const (
	// MaxPushback bounds the pushback of one answer: a target that asks for more is asked
	// again after it.
	MaxPushback = 5 * time.Minute
	// minNews is by how much a pushback has to be extended to be worth telling others.
	minNews = 250 * time.Millisecond
	// maxStagger bounds how much later than the end of a pushback an instance returns, so
	// that not all return at once.
	maxStagger = 250 * time.Millisecond
	// staggerShare is the share of a pushback that bounds it as well.
	staggerShare = 0.25
	// maxRuns bounds the targets of which something is remembered.
	maxRuns = 16384
	// leavingRetention is how long a leaving or limited target is remembered that is not listed.
	leavingRetention = 30 * time.Minute
	// limitRetention is how long the end of a limit is remembered: what others still say of it is
	// older.
	limitRetention = time.Minute
)

// Notice is what the answers of one run of a target's process said.
type Notice struct {
	Target string
	// Started is the start of the process in Unix milliseconds. With Addr it tells the runs of
	// a target apart.
	Started int64
	Addr    netip.AddrPort
	// Leaving is set if the process is about to end.
	Leaving bool
	// Pushback is for how much longer the process wants no requests.
	Pushback time.Duration
	// Limit is what the answers say of the target's rate limit; nil if nothing.
	Limit *LimitEvidence
}

// NoticeOf returns a notice of a target that says nothing yet.
func NoticeOf(t *fleet.Target) Notice {
	return Notice{
		Target:  t.ID,
		Started: t.Started,
		Addr:    t.Addr,
	}
}

// State is whether a target may be sent requests. It is one of Open, Draining, ZoneDisabled,
// Leaving, PushedBack and Limited.
type State interface {
	// Reason names the state in logs and metrics.
	Reason() string
}

// Open means that the target may be sent requests.
type Open struct{}

// Draining means that the store says that the target drains.
type Draining struct{}

// ZoneDisabled means that the operator has closed the target's data centre.
type ZoneDisabled struct{}

// Leaving means that an answer said that the target's process is about to end. Only another
// process in its place ends it, whatever the store says of this one.
type Leaving struct {
	Since time.Time
}

// PushedBack means that an answer said that the target wants no requests.
type PushedBack struct {
	Since time.Time
	// Until is when this instance may send requests again.
	Until time.Time
}

// Limited means that nothing is left for this instance of the requests that the target takes.
type Limited struct {
	// Rate is in requests a second over all instances.
	Rate float64
	// Cold is set if the target names no limit but is cold.
	Cold  bool
	Since time.Time
	// Until is when this instance may ask for a token again, and Delay for how long it was told to
	// ask for none.
	Until time.Time
	Delay time.Duration
}

// Reason implements State.
func (Open) Reason() string { return "open" }

// Reason implements State.
func (Draining) Reason() string { return "draining" }

// Reason implements State.
func (ZoneDisabled) Reason() string { return "data-centre-closed" }

// Reason implements State.
func (Leaving) Reason() string { return "leaving" }

// Reason implements State.
func (PushedBack) Reason() string { return "pushed-back" }

// Reason implements State.
func (l Limited) Reason() string {
	if l.Cold {
		return "cold"
	}
	return "limited"
}

// run identifies one run of a target's process.
type run struct {
	target  string
	started int64
	addr    netip.AddrPort
}

func runOf(t *fleet.Target) run {
	return run{
		target:  t.ID,
		started: t.Started,
		addr:    t.Addr,
	}
}

// record is what is remembered of a run.
type record struct {
	leavingSince time.Time
	pushedSince  time.Time
	// pushedUntil is the end of the pushback, and stagger how much later this instance
	// returns.
	pushedUntil time.Time
	stagger     time.Duration
	limit       limit
}

// Totals counts what a Book has learned.
type Totals struct {
	Leaving   int64
	Pushbacks int64
	// Limits counts the changes of rate limits.
	Limits int64
}

// Book remembers what the answers of targets said, of each run of their processes. A restart of
// the instance forgets it. Its exported fields must be set before the first call; it is safe for concurrent use.
type Book struct {
	// Self is the name of the instance.
	Self string
	// ColdRate returns how many requests a second a cold target of a service takes from all instances
	// together, if tokens are needed for them; 0 otherwise. It may be nil.
	ColdRate func(service string) float64

	mu    sync.Mutex
	runs  map[run]*record
	waves map[string]*wave
	// loads are the tokens of loads from weight stores that this instance grants, by service.
	loads  map[string]*limit
	totals Totals
}

// Record records a notice, of an answer or from another instance. It reports whether it says
// anything that others should know.
func (b *Book) Record(now time.Time, n Notice) bool {
	if !n.Leaving && n.Pushback <= 0 && n.Limit == nil {
		return false
	}
	key := run{
		target:  n.Target,
		started: n.Started,
		addr:    n.Addr,
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.recordFor(now, key, n)
	if r == nil {
		return false
	}
	news := false
	if n.Leaving && r.leavingSince.IsZero() {
		r.leavingSince = now
		b.totals.Leaving++
		news = true
	}
	if n.Pushback > 0 {
		if !now.Before(r.pushedUntil) {
			r.pushedSince = now
			b.totals.Pushbacks++
		}
		news = r.pushBack(now, min(n.Pushback, MaxPushback), b.fraction(n.Target)) || news
	}
	if n.Limit != nil && r.limit.record(now, *n.Limit) {
		b.totals.Limits++
		news = true
	}
	return news
}

// recordFor returns the record of a run. It creates one if the notice says anything to remember, and
// returns nil if it does not or if there is no room. The caller holds mu.
func (b *Book) recordFor(now time.Time, key run, n Notice) *record {
	if r, ok := b.runs[key]; ok {
		return r
	}
	if !n.Leaving && n.Pushback <= 0 && n.Limit.Rate == Unlimited {
		return nil
	}
	return b.createRecord(now, key)
}

// createRecord returns the record of a run, a new one if there is none, or nil if there is no room. The
// caller holds mu.
func (b *Book) createRecord(now time.Time, key run) *record {
	if r, ok := b.runs[key]; ok {
		return r
	}
	if b.runs == nil {
		b.runs = make(map[run]*record)
	}
	if len(b.runs) >= maxRuns {
		b.removeExpired(now, nil)
	}
	if len(b.runs) >= maxRuns {
		return nil
	}
	r := &record{}
	b.runs[key] = r
	return r
}

// pushBack extends the pushback; a shorter one does not end it. fraction is the instance's
// place in the order of return, from 0 to 1.
func (r *record) pushBack(now time.Time, d time.Duration, fraction float64) bool {
	until := now.Add(d)
	if !until.After(r.pushedUntil) {
		return false
	}
	news := until.Sub(r.pushedUntil) >= minNews
	r.pushedUntil = until
	r.stagger = time.Duration(fraction * float64(min(maxStagger, time.Duration(staggerShare*float64(d)))))
	return news
}

// fraction returns the instance's place in the order of return to a target, from 0 to 1.
func (b *Book) fraction(target string) float64 {
	const buckets = 1000
	return float64(xxhash.Sum64String(b.Self+"/"+target)%buckets) / buckets
}

// State returns whether requests may be sent to a target.
func (b *Book) State(now time.Time, view *fleet.View, t *fleet.Target) State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state(now, view, t)
}

func (b *Book) state(now time.Time, view *fleet.View, t *fleet.Target) State {
	var r *record
	if len(b.runs) > 0 {
		r = b.runs[runOf(t)]
	}
	switch {
	case view.ZoneDisabled(t.Zone):
		return ZoneDisabled{}
	case t.Draining:
		return Draining{}
	case r == nil:
		return Open{}
	case !r.leavingSince.IsZero():
		return Leaving{
			Since: r.leavingSince,
		}
	case now.Before(r.pushedUntil.Add(r.stagger)):
		return PushedBack{
			Since: r.pushedSince,
			Until: r.pushedUntil.Add(r.stagger),
		}
	case now.Before(r.limit.closedUntil) && b.rateOf(now, t, r) < Unlimited:
		return Limited{
			Rate:  b.rateOf(now, t, r),
			Cold:  !r.limit.limited(),
			Since: r.limit.since,
			Until: r.limit.closedUntil,
			Delay: r.limit.closedFor,
		}
	default:
		return Open{}
	}
}

// IsOpen reports whether a target may be chosen for a request.
func (b *Book) IsOpen(now time.Time, view *fleet.View, t *fleet.Target) bool {
	_, ok := b.State(now, view, t).(Open)
	return ok
}

// MaySend reports whether a request for which a target was chosen may be sent to it. hasToken is set if it has
// a token: the target may have named its limit after it was chosen.
func (b *Book) MaySend(now time.Time, view *fleet.View, t *fleet.Target, hasToken bool) bool {
	switch b.State(now, view, t).(type) {
	case Open, Limited:
		return hasToken || !b.NeedsToken(now, t)
	default:
		return false
	}
}

// NoticeOf returns what is known of a target's run at present.
func (b *Book) NoticeOf(now time.Time, t *fleet.Target) Notice {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := NoticeOf(t)
	if r := b.runs[runOf(t)]; r != nil {
		n.Leaving = !r.leavingSince.IsZero()
		n.Pushback = max(r.pushedUntil.Sub(now), 0)
		n.Limit = r.limit.evidence(now)
	}
	return n
}

// IsLeaving reports whether an answer of a target said that its process is about to end.
func (b *Book) IsLeaving(t *fleet.Target) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.runs[runOf(t)]
	return r != nil && !r.leavingSince.IsZero()
}

// Closed is a target that is closed because of its answers.
type Closed struct {
	Target string
	// Reason is that of the target's State; Until is zero if the end is unknown.
	Reason string
	Since  time.Time
	Until  time.Time
}

// Closed returns the listed targets that are closed because of their answers, by ID, and
// removes what has expired.
func (b *Book) Closed(now time.Time, view *fleet.View) []Closed {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removeExpired(now, view)
	var list []Closed
	for key := range b.runs {
		t, ok := view.Target(key.target)
		if !ok || runOf(t) != key {
			continue
		}
		closed := Closed{
			Target: t.ID,
		}
		switch s := b.state(now, view, t).(type) {
		case Leaving:
			closed.Reason, closed.Since = s.Reason(), s.Since
		case PushedBack:
			closed.Reason, closed.Since, closed.Until = s.Reason(), s.Since, s.Until
		default:
			continue
		}
		list = append(list, closed)
	}
	slices.SortFunc(list, func(a, b Closed) int {
		return strings.Compare(a.Target, b.Target)
	})
	return list
}

// removeExpired removes pushbacks that are over, and leaving targets that are not listed any
// more and were not for long; view may be nil. The caller holds mu.
func (b *Book) removeExpired(now time.Time, view *fleet.View) {
	for key, r := range b.runs {
		over := now.Sub(r.pushedUntil) > maxStagger && now.Sub(r.limit.receivedAt) > limitRetention && now.Sub(r.limit.refilledAt) > limitRetention
		if since := r.lastsSince(); !since.IsZero() {
			over = false
			if view != nil && now.Sub(since) > leavingRetention {
				t, ok := view.Target(key.target)
				over = !ok || runOf(t) != key
			}
		}
		if over {
			delete(b.runs, key)
		}
	}
	for service, w := range b.waves {
		if !now.Before(w.until) && !now.Before(w.next) {
			delete(b.waves, service)
		}
	}
}

// lastsSince returns since when the target leaves or names a limit, which has no end of its own; zero
// if it does neither.
func (r *record) lastsSince() time.Time {
	if r.leavingSince.IsZero() && r.limit.limited() {
		return r.limit.receivedAt
	}
	return r.leavingSince
}

// Totals returns what the book has learned since its start.
func (b *Book) Totals() Totals {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.totals
}
