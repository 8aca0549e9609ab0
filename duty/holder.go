package duty

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/phuslu/log"

	"currantstile/clock"
	"currantstile/elect"
	"currantstile/errs"
	"currantstile/fleet"
	"currantstile/route"
	"currantstile/store"
	"currantstile/watch"
)

const (
	// stepInterval is the interval between checks of the subjects.
	stepInterval = 250 * time.Millisecond
	// discoveryTime is how long a new instance waits for others to register before it claims a subject.
	discoveryTime = 1500 * time.Millisecond
	// outageGrace is how long after the last failed call to the store no subject is claimed from another
	// instance, whose key may have expired meanwhile.
	outageGrace = 2500 * time.Millisecond
	// claimRetryDelay is the pause after a failed claim.
	claimRetryDelay = 500 * time.Millisecond
	// maxClaimsPerStep bounds the writes of one step.
	maxClaimsPerStep = 4
	// minCallInterval is the least time between two calls on a subject.
	minCallInterval = 400 * time.Millisecond
	// callTimeout limits a call; the lease limits it as well.
	callTimeout = 1500 * time.Millisecond
	// defaultRetryAfter is the pause after a call that was refused for its rate, if the platform names none.
	defaultRetryAfter = time.Second
	// giveUpTime is how long calls fail until another instance is given the subject: it may reach the platform.
	giveUpTime = 2500 * time.Millisecond
	// shareTime is how long another instance is the preferred one until a holder of more than its share gives it a
	// subject: the first instance of a fleet holds all at first, and one that comes and goes should get none.
	shareTime = 30 * time.Second
	// avoidTime is how long an instance that has given up a subject does not claim it while there are others.
	avoidTime = 20 * time.Second
)

// record is the value of a subject's key. It has no lease: a fencing token must never be used again.
type record struct {
	// Instance is the holder; empty if it gave up the subject.
	Instance string `json:"instance"`
	Token    uint64 `json:"token"`
	// Previous is the instance that gave it up.
	Previous string `json:"previous,omitempty"`

	revision store.Revision
	// seenAt is when this instance learned of the record.
	seenAt time.Time
}

// holding is what this process holds.
type holding struct {
	token uint64
	lease store.LeaseID
	// from is when the first call may be made: those of the holder before have ended then.
	from time.Time
	// calledAt is when the last call was made, and retryAt when the next one may be.
	calledAt time.Time
	retryAt  time.Time
}

// Holder claims subjects for this instance. Its exported fields are set before Run.
type Holder struct {
	// Self is the name of the instance.
	Self     string
	Session  *elect.Session
	KV       store.KV
	Registry *fleet.Registry
	// Listed reports whether the records in the store are known.
	Listed func() bool
	// Subjects lists the subjects that need a holder.
	Subjects func() []Subject
	Health   *watch.Health
	// LeaseTime is how long a holder waits until its predecessor on another instance makes no more calls.
	LeaseTime time.Duration
	// CallsPerSecond bounds the calls of all instances together.
	CallsPerSecond float64
	// ThawSlack is the part of the lease that is left to calls that a frozen process was about to make.
	ThawSlack time.Duration
	// Observe is called with the result of each call; it may be nil.
	Observe func(s Subject, r Result)
	Log     log.Logger

	mu        sync.Mutex
	startedAt time.Time
	records   map[Subject]record
	holdings  map[Subject]*holding
	// fenced are the subjects whose token was refused, after which a new one is used only after a lease time.
	fenced map[Subject]bool
	// failingSince is since when calls on a subject have had no response.
	failingSince map[Subject]time.Time
	// otherSince is since when another instance has been preferred for a subject that this one holds.
	otherSince map[Subject]time.Time
	// from is when the first call may be made with the last claim from another instance.
	from map[Subject]time.Time
	// retryAt is when the store is written again after a failure.
	retryAt time.Time
	// leaving is set once the instance stops.
	leaving bool
}

// Run claims subjects until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	h.mu.Lock()
	h.init(time.Now())
	h.mu.Unlock()
	for ctx.Err() == nil {
		errs.Contain(&h.Log, "Holder.step", func() {
			h.step(ctx, time.Now())
		})
		clock.Sleep(ctx, stepInterval)
	}
}

// init creates the maps. The caller holds mu.
func (h *Holder) init(now time.Time) {
	if h.startedAt.IsZero() {
		h.startedAt = now
	}
	if h.holdings == nil {
		h.holdings = make(map[Subject]*holding)
		h.fenced = make(map[Subject]bool)
		h.failingSince = make(map[Subject]time.Time)
		h.otherSince = make(map[Subject]time.Time)
		h.from = make(map[Subject]time.Time)
	}
	if h.records == nil {
		h.records = make(map[Subject]record)
	}
}

// Apply records changes of the subjects' keys.
func (h *Holder) Apply(now time.Time, changes []watch.Change) {
	for _, c := range changes {
		s, ok := subjectOf(c.Entry.Key)
		if !ok {
			continue
		}
		h.mu.Lock()
		if known, ok := h.records[s]; !ok || c.Entry.Revision > known.revision {
			h.setRecord(now, s, c.Entry)
		}
		h.mu.Unlock()
	}
}

// setRecord replaces what is known of a subject's record. The caller holds mu.
func (h *Holder) setRecord(now time.Time, s Subject, e store.Entry) {
	h.init(now)
	var r record
	if e.Deleted {
		delete(h.records, s)
		return
	}
	if err := json.Unmarshal(e.Value, &r); err != nil {
		// It is replaced by the next claim.
		h.Log.Warn().Err(err).Str("subject", s.String()).Msg("duty: invalid record; ignoring it")
		r = record{}
	}
	r.revision, r.seenAt = e.Revision, now
	h.records[s] = r
	if held := h.holdings[s]; held != nil && held.token != r.Token {
		h.Log.Info().Str("subject", s.String()).Str("holder", r.Instance).Uint64("fence", r.Token).Msg("duty: another holder; no further calls")
		delete(h.holdings, s)
	}
}

// HolderOf returns the instance that holds a subject, as far as is known; empty if none does.
func (h *Holder) HolderOf(s Subject) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.records[s].Instance
}

// Held returns how many subjects this process holds.
func (h *Holder) Held() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.holdings)
}

// step claims the subjects that this instance should hold, and gives up those whose calls fail.
func (h *Holder) step(ctx context.Context, now time.Time) {
	h.mu.Lock()
	h.init(now)
	blocked := h.leaving || now.Before(h.retryAt)
	h.mu.Unlock()
	if blocked || !h.Listed() {
		return
	}
	remaining := maxClaimsPerStep
	subjects := h.Subjects()
	for _, s := range subjects {
		if remaining == 0 {
			return
		}
		if reason := h.mustGiveUp(now, s, len(subjects)); reason != "" {
			remaining--
			h.giveUp(ctx, s, reason)
			continue
		}
		lease, _, ok := h.Session.ValidLease(now)
		if !ok {
			return
		}
		wait, due := h.claimDue(now, s, lease)
		if !due {
			continue
		}
		remaining--
		if !h.claim(ctx, s, lease, wait) {
			return
		}
	}
}

// claimDue reports whether this instance should claim a subject, and how long it must then wait until its first
// call.
func (h *Holder) claimDue(now time.Time, s Subject, lease store.LeaseID) (time.Duration, bool) {
	view := h.Registry.View()
	h.mu.Lock()
	defer h.mu.Unlock()
	r, known := h.records[s]
	if known && r.Instance == h.Self {
		// The record may be that of an earlier process, or the lease under which it was claimed has expired.
		held := h.holdings[s]
		if held != nil && held.lease == lease {
			return 0, false
		}
		if h.fenced[s] {
			return h.LeaseTime, true
		}
		return 0, true
	}
	if known && r.Instance != "" {
		if _, alive := view.Instance(r.Instance); alive {
			return 0, false
		}
	}
	if now.Sub(h.startedAt) < discoveryTime || h.Health.SinceFailure(now) < outageGrace {
		return 0, false
	}
	preferred, ok := preferredHolder(now, s, r, view.Instances())
	if !ok || preferred != h.Self {
		return 0, false
	}
	if known {
		return h.LeaseTime, true
	}
	return 0, true
}

// preferredHolder returns the instance that should claim a subject which has no holder. One that has given it up
// lately comes last.
func preferredHolder(now time.Time, s Subject, r record, instances []fleet.Instance) (string, bool) {
	var others []fleet.Instance
	for _, i := range instances {
		if r.Instance != "" || i.Name != r.Previous || now.Sub(r.seenAt) >= avoidTime {
			others = append(others, i)
		}
	}
	if len(others) == 0 {
		others = instances
	}
	i, ok := route.Weighted(s.key(), others, func(i *fleet.Instance) (string, float64) {
		return i.Name, i.Cores
	})
	return i.Name, ok
}

// nextToken returns a fencing token above that of a record. The time is in it, so that tokens increase also if the
// store has lost records.
func nextToken(now time.Time, r record) uint64 {
	return max(r.Token+1, uint64(max(now.UnixMilli(), 0)))
}

// claim writes this instance as a subject's holder. A claim that loses to another one is no error. It reports false
// if no further claims should be made in this step.
func (h *Holder) claim(ctx context.Context, s Subject, lease store.LeaseID, wait time.Duration) bool {
	h.mu.Lock()
	old := h.records[s]
	delete(h.holdings, s)
	h.mu.Unlock()
	r := record{
		Instance: h.Self,
		Token:    nextToken(time.Now(), old),
	}
	if !h.write(ctx, s, old, r) {
		return false
	}
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.records[s].Token != r.Token || h.records[s].Instance != h.Self {
		return true
	}
	delete(h.fenced, s)
	// A new claim by the same process shortens no wait.
	if from := now.Add(wait); from.After(h.from[s]) {
		h.from[s] = from
	}
	h.holdings[s] = &holding{
		token: r.Token,
		lease: lease,
		from:  h.from[s],
	}
	h.Log.Info().Str("subject", s.String()).Uint64("fence", r.Token).Str("before", old.Instance).Dur("wait", wait).Msg("duty: holding subject")
	return true
}

// write replaces a subject's record. It reports false if the store failed; after a conflict the record is read.
func (h *Holder) write(ctx context.Context, s Subject, old, r record) bool {
	value, err := json.Marshal(r)
	if err != nil {
		h.Log.Error().Err(err).Msg("duty: cannot encode a record")
		return false
	}
	rev, err := h.KV.Put(ctx, store.Write{
		Key:    s.key(),
		Value:  value,
		Expect: old.revision,
	})
	e := store.Entry{
		Key:      s.key(),
		Value:    value,
		Revision: rev,
	}
	if store.IsConflict(err) {
		e, err = h.KV.Get(ctx, s.key())
		if err != nil && store.IsRefused(err) {
			h.fail(err, s)
			return false
		}
		e.Deleted = err != nil
		err = nil
	}
	if err != nil {
		h.fail(err, s)
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.setRecord(time.Now(), s, e)
	return true
}

// fail records a failed call to the store.
func (h *Holder) fail(err error, s Subject) {
	now := time.Now()
	h.Health.RecordFailure(now)
	h.mu.Lock()
	h.retryAt = now.Add(claimRetryDelay)
	h.mu.Unlock()
	h.Log.Warn().Err(err).Str("subject", s.String()).Msg("duty: record not written; trying again later")
}

// mustGiveUp returns why a subject, one of so many, should be left to another instance: calls on it have failed for long,
// or this one holds more than its share. It is empty if it should not.
func (h *Holder) mustGiveUp(now time.Time, s Subject, subjects int) string {
	instances := h.Registry.View().Instances()
	preferred, _ := preferredHolder(now, s, record{}, instances)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.records[s].Instance != h.Self || len(instances) <= 1 {
		return ""
	}
	if since, failing := h.failingSince[s]; failing && now.Sub(since) >= giveUpTime {
		return "calls fail"
	}
	share := (subjects + len(instances) - 1) / len(instances)
	if preferred == h.Self || len(h.holdings) <= share {
		delete(h.otherSince, s)
		return ""
	}
	since, ok := h.otherSince[s]
	if !ok {
		h.otherSince[s] = now
		return ""
	}
	if now.Sub(since) < shareTime {
		return ""
	}
	return "another instance is preferred"
}

// giveUp leaves a subject to another instance.
func (h *Holder) giveUp(ctx context.Context, s Subject, reason string) {
	h.mu.Lock()
	old := h.records[s]
	delete(h.holdings, s)
	delete(h.failingSince, s)
	delete(h.otherSince, s)
	h.mu.Unlock()
	if old.Instance != h.Self {
		return
	}
	h.write(ctx, s, old, record{
		Token:    old.Token,
		Previous: h.Self,
	})
	h.Log.Info().Str("subject", s.String()).Str("reason", reason).Msg("duty: subject given up")
}

// Leave gives up all subjects, since the instance is to stop, and claims no more.
func (h *Holder) Leave(ctx context.Context) {
	h.mu.Lock()
	h.leaving = true
	subjects := make([]Subject, 0, len(h.holdings))
	for s := range h.holdings {
		subjects = append(subjects, s)
	}
	h.mu.Unlock()
	for _, s := range subjects {
		h.giveUp(ctx, s, "instance stops")
	}
}

// Renew makes the next call on a subject use a new fencing token, so that the platform refuses earlier calls that it
// has not carried out yet.
func (h *Holder) Renew(s Subject) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.holdings, s)
}
