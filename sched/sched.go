// Package sched decides which requests a target admits and which adapters it
// holds. It performs no I/O, and each decision takes the current time as an
// argument.
//
// The manager of a target keeps one Target. An admission request is granted if the
// expected time to its first token is short enough, counting the time to read the
// prompts granted before it and to load its adapter. Observed times to the first
// token and error rates correct the expectation.
//
// # Usage
//
//	t := sched.NewTarget("i-7f3a91c2", limits)
//	switch d := t.Admit(now, req).(type) {
//	case sched.Granted: // send after d.After
//	case sched.Load: // order d.Unload and d.Adapter, then t.RecordLoaded or t.RecordLoadFailed
//	case sched.LoadSlotRequired: // wait for a load slot, then try again with req.Turn set
//	case sched.Queued: // try again after the next progress update
//	case sched.OrderPending: // an order for the same adapter is in progress
//	case sched.Declined: // try another target
//	}
//	t.RecordProgress(now, update)
package sched

import (
	"slices"
	"time"
)

const (
	// prefillRate is how many prompt tokens a target is assumed to read per
	// millisecond before its own speed has been observed; from the deployment
	// data sheets.
	prefillRate = 19.2
	// stepTime is the duration of one batch step of a target; from the deployment
	// data sheets.
	stepTime = 11 * time.Millisecond
	// storeLoadTime is how long it takes to load an adapter from the weight
	// store, and recentLoadTime one that the target has held recently; from the
	// deployment data sheets.
	storeLoadTime  = 250 * time.Millisecond
	recentLoadTime = 25 * time.Millisecond
	// loadMargin is added to the expected end of a load before a request is sent.
	loadMargin = 12 * time.Millisecond
	// prefillGapShare is the fraction of the longest gap between events within
	// the objective that may be spent on reading prompts. The rest is for the
	// transfer of the events.
	prefillGapShare = 0.9
	// waiterTTL is how long a queued admission request keeps its place without
	// being repeated.
	waiterTTL = 150 * time.Millisecond
	// maxLoadTime is how long after the order an adapter that is not loaded yet
	// counts as loading.
	maxLoadTime = 3 * time.Second
	// loadExtension is the fraction of the time spent on a load so far by which
	// its expected end is postponed when the load is overdue.
	loadExtension = 0.25
	// reportLag is by how much a target's report may lag behind its orders.
	reportLag = 700 * time.Millisecond
	// maxRecentAdapters is how many unloaded adapters a target keeps cached,
	// besides those that it holds; from the deployment data sheets.
	maxRecentAdapters = 30
	// maxConcurrentLoads is how many adapters a target can load at once; from the
	// platform's protocol.
	maxConcurrentLoads = 4
	// memoryShare is the fraction of a target's memory that is planned for. The
	// rest keeps an output beyond its limit from preempting other requests.
	memoryShare = 0.9
	// grantSlack is how long after the caller's deadline a grant expires if the
	// sender has not reported the end of the run.
	grantSlack = 2 * time.Second
	// slowdownGain is the weight of one observation of a target's slowdown
	// factor, and slowdownHalfLife the time in which a deviation halves without
	// new observations.
	slowdownGain     = 0.25
	slowdownHalfLife = 4 * time.Second
	minSlowdown      = 0.4
	maxSlowdown      = 30.0
	// latencyNoiseFloor is added to both times before their ratio is taken, so
	// that noise in short times has little effect.
	latencyNoiseFloor = 60 * time.Millisecond
	// minSuspicionPeriod and maxSuspicionPeriod limit how long a target that
	// could not be reached is avoided.
	minSuspicionPeriod = 500 * time.Millisecond
	maxSuspicionPeriod = 4 * time.Second
	// coldRateShare is the fraction of a cold target's rate that is used, and
	// coldBurst how many requests may be sent at once.
	coldRateShare = 0.8
	coldBurst     = 2.0
)

// waiter is an admission request that is queued until earlier prompts have been
// read.
type waiter struct {
	priority int
	seq      int
	prompt   int64
	// competes is set if the request is ordered by its score.
	competes  bool
	score     float64
	expiresAt time.Time
}

// grant is a request that was admitted.
type grant struct {
	prompt  int64
	adapter string
	tokens  int64
	// grantedAt is when the request was granted, and sendAt when it is sent, once
	// its adapter is loaded.
	grantedAt time.Time
	sendAt    time.Time
	expected  time.Duration
	// started is set once the first token was reported.
	started   bool
	expiresAt time.Time
}

// Target is a manager's view of one target. It is not safe for concurrent use.
type Target struct {
	ID     string
	Limits Limits
	// LoadLimiter is shared by the targets of one manager.
	LoadLimiter *LoadLimiter
	// PrefillWindow is shared by the targets of one service under one manager.
	PrefillWindow *PrefillWindow
	// StateUnknown is set while it is unknown which adapters the target holds. No
	// orders are sent during that time.
	StateUnknown bool
	// Models are the base models that the target holds.
	Models []string

	residents map[string]*resident
	// recent are the adapters unloaded recently, the latest last.
	recent []string
	grants map[string]*grant
	tokens int64
	// waiting are the queued admission requests by ID.
	waiting map[string]*waiter
	lastSeq int
	// prefillEnd is when the target is expected to have read all prompts granted
	// so far.
	prefillEnd time.Time
	slowdown   float64
	slowdownAt time.Time
	// stated is the slowdown that the target states itself. The observed one is what it does not explain.
	stated   slowdownEstimate
	standing standingDelay

	errorRate   float64
	errorRateAt time.Time

	suspectUntil    time.Time
	suspicionPeriod time.Duration

	coldUntil      time.Time
	coldTokens     float64
	coldRefilledAt time.Time
}

// NewTarget returns a target that holds no adapters and runs no requests.
func NewTarget(id string, l Limits) *Target {
	return &Target{
		ID:          id,
		Limits:      l,
		LoadLimiter: &LoadLimiter{},

		PrefillWindow: &PrefillWindow{},

		residents: make(map[string]*resident),
		grants:    make(map[string]*grant),
		waiting:   make(map[string]*waiter),
		slowdown:  1,
	}
}

// SetCold records until when the target is cold. It never shortens that time.
func (t *Target) SetCold(until time.Time) {
	if until.After(t.coldUntil) {
		t.coldUntil = until
	}
}

// StandingDelay returns the least queueing delay of the target in the last moments.
func (t *Target) StandingDelay(now time.Time) time.Duration {
	return t.standing.record(now, t.queueingDelay(now))
}

// Running returns the number of grants in use.
func (t *Target) Running() int {
	return len(t.grants)
}

// Admit decides an admission request and keeps its place in the queue while it
// waits. After Load the adapter counts as being loaded until RecordLoaded or
// RecordLoadFailed is called.
func (t *Target) Admit(now time.Time, a AdmissionRequest) Decision {
	t.standing.record(now, t.queueingDelay(now))
	d := t.decide(now, a)
	if _, ok := d.(Queued); !ok {
		// A request that is not queued any more must not delay others.
		delete(t.waiting, a.ID)
	}
	return d
}

// decide returns the decision on an admission request. A queued request stays in the
// queue; Admit removes it when it is decided otherwise.
func (t *Target) decide(now time.Time, a AdmissionRequest) Decision {
	t.expireGrants(now)
	if now.Before(t.suspectUntil) {
		return Declined{
			Reason: ReasonSuspected,
		}
	}
	if a.Model != "" && !slices.Contains(t.Models, a.Model) {
		return Declined{
			Reason: ReasonBaseModel,
		}
	}
	if len(t.grants) >= t.Limits.Slots {
		return Declined{
			Reason: ReasonFull,
		}
	}
	if memory := int64(memoryShare * float64(t.Limits.MemoryTokens)); memory > 0 && t.tokens+a.Prompt+a.Output > memory {
		return Declined{
			Reason: ReasonMemory,
		}
	}
	r := t.residents[a.Adapter]
	expected := t.expectedFirstToken(now, a, r)
	if a.NoFetch && a.Adapter != "" && r == nil && !t.recentlyHeld(a.Adapter) {
		return Declined{
			Reason:   ReasonFetchRequired,
			Expected: expected,
		}
	}
	if reason := t.tooLate(now, &a, expected); reason != "" {
		return Declined{
			Reason:   reason,
			Expected: expected,
		}
	}
	if a.Adapter != "" {
		if d := t.prepareAdapter(now, a, r); d != nil {
			return d
		}
		r = t.residents[a.Adapter]
	}
	if t.mustQueue(now, a) {
		return Queued{}
	}
	if !t.takeColdToken(now) {
		return Declined{
			Reason: ReasonCold,
		}
	}
	return t.grant(now, a, r, expected)
}

// mustQueue reports whether the request has to wait until prompts granted earlier
// have been read, or until a request ahead of it has been admitted. If so, it adds
// the request to the queue or extends its place there. Prompts read together delay
// the events of all streams on the target beyond the objective.
func (t *Target) mustQueue(now time.Time, a AdmissionRequest) bool {
	unread := int64(0)
	for _, g := range t.grants {
		if !g.started && !now.Before(g.sendAt) {
			unread += g.prompt
		}
	}
	wait := !t.PrefillWindow.allows(&t.Limits, unread, a.Prompt)
	if t.promptTokensAhead(now, a) > 0 {
		wait = true
	}
	if !wait {
		return false
	}
	w, ok := t.waiting[a.ID]
	if !ok {
		t.lastSeq++
		w = &waiter{
			priority: a.Priority,
			seq:      t.lastSeq,
			prompt:   a.Prompt,
		}
		t.waiting[a.ID] = w
	}
	w.expiresAt = now.Add(waiterTTL)
	w.competes = a.competes()
	if w.competes {
		w.score = t.score(now, &a)
	}
	return true
}

// promptTokensAhead returns how many prompt tokens are queued ahead of the
// request, and removes waiters that have expired.
func (t *Target) promptTokensAhead(now time.Time, a AdmissionRequest) int64 {
	ahead, score := int64(0), 0.0
	if a.competes() {
		score = t.score(now, &a)
	}
	for id, w := range t.waiting {
		switch {
		case now.After(w.expiresAt):
			delete(t.waiting, id)
		case id == a.ID:
		case w.competes && a.competes():
			if w.score > score || w.score == score && w.before(t.waiting[a.ID], a.Priority) {
				ahead += max(w.prompt, 1)
			}
		case w.before(t.waiting[a.ID], a.Priority):
			ahead += max(w.prompt, 1)
		}
	}
	return ahead
}

// before reports whether w comes ahead of another request of the given priority.
// The other waiter is nil if that request is not queued yet.
func (w *waiter) before(other *waiter, priority int) bool {
	if other == nil {
		return w.priority <= priority
	}
	return w.priority < priority || w.priority == priority && w.seq < other.seq
}

// expectedFirstToken returns the expected time to the first token of a request
// that is granted now.
func (t *Target) expectedFirstToken(now time.Time, a AdmissionRequest, r *resident) time.Duration {
	wait := time.Duration(0)
	switch {
	case a.Adapter == "":
	case r == nil || r.state == stateOrderPending:
		wait = t.loadTime(now, a.Adapter)
		if !t.recentlyHeld(a.Adapter) {
			wait += t.LoadLimiter.ExpectedWait(now, a.Priority)
		}
	default:
		wait = max(r.readyAt.Sub(now), 0)
	}
	wait = max(wait, t.prefillEnd.Sub(now)+t.prefillTime(now, t.promptTokensAhead(now, a)))
	sum := wait + t.prefillTime(now, a.Prompt) + stepTime + t.maxOverdue(now)
	return time.Duration(float64(sum) * (1 + errorRateCost*t.currentErrorRate(now)))
}

// maxOverdue returns by how much the most overdue first token of a granted
// request is late, or 0 if that is within the noise.
func (t *Target) maxOverdue(now time.Time) time.Duration {
	late := time.Duration(0)
	for _, g := range t.grants {
		if !g.started {
			late = max(late, now.Sub(g.grantedAt)-g.expected)
		}
	}
	if late < latencyNoiseFloor {
		return 0
	}
	return late
}

// prefillTime returns how long the target is expected to read a prompt of the given
// number of tokens.
func (t *Target) prefillTime(now time.Time, prompt int64) time.Duration {
	return time.Duration(float64(prompt) / prefillRate * t.currentSlowdown(now) * t.stated.factor(now) * float64(time.Millisecond))
}

// grant records a grant and returns the decision.
func (t *Target) grant(now time.Time, a AdmissionRequest, r *resident, expected time.Duration) Decision {
	if old, ok := t.grants[a.ID]; ok {
		// The reply to the first grant was lost, or the report of its end.
		t.endGrant(a.ID, old)
	}
	after := time.Duration(0)
	if r != nil {
		r.running++
		r.lastUsed = now
		after = max(r.readyAt.Sub(now), 0)
	}
	t.prefillEnd = now.Add(max(t.prefillEnd.Sub(now), 0) + t.prefillTime(now, a.Prompt))
	t.grants[a.ID] = &grant{
		prompt:    a.Prompt,
		adapter:   a.Adapter,
		tokens:    a.Prompt + a.Output,
		grantedAt: now,
		sendAt:    now.Add(after),
		expected:  expected,
		expiresAt: now.Add(a.Left + grantSlack),
	}
	t.tokens += a.Prompt + a.Output
	return Granted{
		After:    after,
		Expected: expected,
	}
}

// expireGrants ends the grants whose senders have not reported the end of the run
// in time.
func (t *Target) expireGrants(now time.Time) {
	for id, g := range t.grants {
		if now.After(g.expiresAt) {
			t.endGrant(id, g)
		}
	}
}

// endGrant removes a grant and frees its memory and its use of the adapter.
func (t *Target) endGrant(id string, g *grant) {
	delete(t.grants, id)
	t.tokens -= g.tokens
	if r, ok := t.residents[g.adapter]; ok && r.running > 0 {
		r.running--
	}
}

// RecordProgress records the progress of a granted request.
func (t *Target) RecordProgress(now time.Time, u ProgressUpdate) {
	g, ok := t.grants[u.ID]
	if !ok {
		return
	}
	t.stated.record(now, u.Slowdown)
	switch u.Kind {
	case ProgressFirstToken:
		g.started = true
		t.suspicionPeriod = 0
		t.observeFirstToken(now, u.Elapsed, g.expected)
		return
	case ProgressNotRun:
	case ProgressWrongTarget:
		t.recordWrongTarget(now, g.adapter)
	case ProgressUnreachable:
		t.markSuspected(now)
	case ProgressFailed:
		t.recordOutcome(now, 1)
	case ProgressEnded:
		t.suspicionPeriod = 0
		t.recordOutcome(now, 0)
		t.PrefillWindow.recordPause(now, g.grantedAt, &t.Limits, u.MaxPause)
	}
	t.endGrant(u.ID, g)
}
