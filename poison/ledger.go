package poison

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

// Ended is the end of a target's process.
type Ended struct {
	// Target names the incarnation.
	Target  string
	Service string
	At      time.Time
	// Requests are the features of each request that the target had begun to answer, or was
	// about to.
	Requests [][]Feature
}

// Ledger holds what an instance knows about features: its own answers, the reports of all
// instances and the blocks. It is safe for concurrent use. Its exported fields are set before
// the first call.
type Ledger struct {
	// Self is the name of this instance, and Started when its process started: it knows of no
	// answers from before. A zero time means that it has always run.
	Self    string
	Started time.Time

	mu      sync.Mutex
	answers answerLog
	// reports are the reports by their key, and order their keys by age.
	reports map[string]*Report
	order   []string
	// evidence is derived from reports, and ready holds the features among them that were
	// reported about enough targets.
	evidence map[Feature]*evidence
	ready    map[Feature]bool
	blocks   map[Feature]*blockState
	// reported is the number of features in all reports.
	reported int
}

// evidence is what all reports say about one feature.
type evidence struct {
	// targets counts the reports that name the feature by target, and reporters by instance.
	targets   map[string]int
	reporters map[string]int
	// ends are the times at which the targets ended.
	ends map[string]time.Time
	// service is the service of the target that ended last.
	service string
	// firstEnd and lastEnd are the times of the first and the last end.
	firstEnd time.Time
	lastEnd  time.Time
	// candidateSince is when there was first enough evidence.
	candidateSince time.Time
	// undecided is the number of targets at the last result of Undecided.
	undecided int
}

// blockState is a blocked feature.
type blockState struct {
	Block
	// since is when the block became known, and changed when its last change did.
	since   time.Time
	changed time.Time
}

// init creates the maps on the first call. The caller holds the lock.
func (l *Ledger) init() {
	if l.reports == nil {
		l.reports = make(map[string]*Report)
		l.evidence = make(map[Feature]*evidence)
		l.ready = make(map[Feature]bool)
		l.blocks = make(map[Feature]*blockState)
	}
}

// Check decides whether a request with the given features may be sent.
func (l *Ledger) Check(now time.Time, features []Feature) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	var due Decision = Allowed{}
	for _, f := range features {
		b, ok := l.blocks[f]
		if !ok {
			wait, suspected := l.held(now, f)
			if wait > 0 {
				return Blocked{
					Feature:    f,
					RetryAfter: wait,
				}
			}
			if _, allowed := due.(Allowed); allowed && suspected {
				due = Suspected{
					Feature: f,
					Since:   -wait,
				}
			}
			continue
		}
		if wait := b.delay() - now.Sub(b.changed); wait > 0 {
			return Blocked{
				Feature:    f,
				RetryAfter: wait,
			}
		}
		due = TrialDue{
			Feature: f,
		}
	}
	return due
}

// held returns how long a request is held back that is not blocked, but under which targets
// have just ended; it is negative once that time is over. suspected is set if targets have ended under it since it was
// last answered.
func (l *Ledger) held(now time.Time, f Feature) (wait time.Duration, suspected bool) {
	e, ok := l.evidence[f]
	if !ok || !f.repeated() {
		return 0, false
	}
	ends := len(e.targets)
	if age := l.answers.age(now, f); age >= 0 {
		ends = e.endsAfter(now.Add(-age))
	}
	if ends < holdTargets {
		return 0, false
	}
	return holdTime - now.Sub(e.lastEnd), true
}

// endsAfter counts the targets that ended after a time.
func (e *evidence) endsAfter(t time.Time) int {
	n := 0
	for _, at := range e.ends {
		if at.After(t) {
			n++
		}
	}
	return n
}

// RecordAnswered records that a target answered a request completely that was sent to it at
// sentAt. It returns the features that were blocked: the answer clears them.
func (l *Ledger) RecordAnswered(now, sentAt time.Time, features []Feature) []Feature {
	l.mu.Lock()
	defer l.mu.Unlock()
	var cleared []Feature
	for _, f := range features {
		// What an equal request leads to may change while one runs: its answer says how it was
		// when it was sent.
		if f.repeated() {
			l.answers.recordAt(now, f, now.Sub(sentAt))
		} else {
			l.answers.recordAt(now, f, 0)
		}
		if _, ok := l.blocks[f]; ok {
			cleared = append(cleared, f)
		}
	}
	return cleared
}

// LastAnswers returns how long ago this instance last saw a complete answer to a request with
// each feature; negative for none that it remembers.
func (l *Ledger) LastAnswers(now time.Time, features []Feature) []time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	ages := make([]time.Duration, 0, len(features))
	for _, f := range features {
		ages = append(ages, l.answers.age(now, f))
	}
	return ages
}

// Report returns the report about targets that ended. It is empty if they had no requests.
func (l *Ledger) Report(now time.Time, ended []Ended) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := Report{
		Instance: l.Self,
	}
	for _, t := range ended {
		if len(r.Ended) >= maxEnded {
			break
		}
		if suspects := l.suspects(now, t.Requests); len(suspects) > 0 {
			r.Ended = append(r.Ended, EndedTarget{
				Target:   t.Target,
				Service:  t.Service,
				At:       t.At.UnixMilli(),
				AgoMS:    now.Sub(t.At).Milliseconds(),
				Suspects: suspects,
			})
		}
	}
	return r
}

// suspects returns the features of interrupted requests. If there are too many, those that
// were answered last are left out. Blocked features are among them, since they explain why
// the target ended.
func (l *Ledger) suspects(now time.Time, requests [][]Feature) []Suspect {
	ages := make(map[Feature]time.Duration)
	for _, features := range requests {
		for _, f := range features {
			ages[f] = l.answers.age(now, f)
			if ages[f] < 0 {
				ages[f] = math.MaxInt64
			}
		}
	}
	list := slices.SortedFunc(maps.Keys(ages), func(a, b Feature) int {
		return cmp.Or(-cmp.Compare(ages[a], ages[b]), cmp.Compare(a, b))
	})
	var suspects []Suspect
	for _, f := range list[:min(len(list), maxSuspects)] {
		suspects = append(suspects, Suspect{
			Feature: f,
		})
	}
	return suspects
}

// ApplyReport applies a report of the store under its key; nil removes it. Reports do not
// change, so one that is known is ignored.
func (l *Ledger) ApplyReport(now time.Time, key string, r *Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	if r == nil {
		l.removeReport(key)
		return
	}
	if _, known := l.reports[key]; known {
		return
	}
	l.reports[key] = r
	l.order = append(l.order, key)
	l.addEvidence(now, r)
	for len(l.order) > maxReports || l.reported > maxReported && len(l.order) > 1 {
		l.removeReport(l.order[0])
	}
}

// ReportOf returns the report with a key.
func (l *Ledger) ReportOf(key string) (*Report, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.reports[key]
	return r, ok
}

// removeReport removes a report and its evidence.
func (l *Ledger) removeReport(key string) {
	r, ok := l.reports[key]
	if !ok {
		return
	}
	delete(l.reports, key)
	l.order = slices.DeleteFunc(l.order, func(k string) bool {
		return k == key
	})
	for _, t := range r.Ended {
		l.reported -= len(t.Suspects)
		for _, s := range t.Suspects {
			e, ok := l.evidence[s.Feature]
			if !ok {
				continue
			}
			e.remove(t.Target, r.Instance)
			if len(e.targets) < minTargets {
				delete(l.ready, s.Feature)
			}
			if len(e.targets) == 0 {
				delete(l.evidence, s.Feature)
			}
		}
	}
}

// remove removes what one report says about a target.
func (e *evidence) remove(target, reporter string) {
	decrement(e.targets, target)
	decrement(e.reporters, reporter)
	if e.targets[target] == 0 {
		delete(e.ends, target)
	}
}

// decrement lowers a count and removes it at zero.
func decrement(counts map[string]int, key string) {
	if counts[key]--; counts[key] <= 0 {
		delete(counts, key)
	}
}

// addEvidence adds what a report says.
func (l *Ledger) addEvidence(now time.Time, r *Report) {
	for _, t := range r.Ended {
		l.reported += len(t.Suspects)
		endedAt := now.Add(-t.endedBefore(now))
		for _, s := range t.Suspects {
			e, ok := l.evidence[s.Feature]
			if !ok {
				e = &evidence{
					targets:   make(map[string]int),
					reporters: make(map[string]int),
					ends:      make(map[string]time.Time),
					firstEnd:  endedAt,
				}
				l.evidence[s.Feature] = e
			}
			e.targets[t.Target]++
			e.reporters[r.Instance]++
			if known, ok := e.ends[t.Target]; !ok || endedAt.Before(known) {
				e.ends[t.Target] = endedAt
			}
			if endedAt.Before(e.firstEnd) {
				e.firstEnd = endedAt
			}
			if endedAt.After(e.lastEnd) {
				e.lastEnd, e.service = endedAt, t.Service
			}
			if len(e.targets) >= minTargets {
				l.ready[s.Feature] = true
			}
		}
	}
}

// ApplyBlock applies a block of the store; nil clears the feature. It reports whether that
// changed anything but the number of trials.
func (l *Ledger) ApplyBlock(now time.Time, f Feature, b *Block) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	old, known := l.blocks[f]
	if b == nil {
		delete(l.blocks, f)
		l.forget(f)
		return known
	}
	state := &blockState{
		Block:   *b,
		since:   now,
		changed: now,
	}
	if known {
		state.since = old.since
	}
	l.blocks[f] = state
	return !known
}

// forgetUntil drops the evidence against a feature from before it was answered: an answer says
// nothing about ends that came after it.
func (l *Ledger) forgetUntil(f Feature, answered time.Time) {
	e, ok := l.evidence[f]
	if !ok {
		return
	}
	if e.endsAfter(answered) == 0 {
		l.forget(f)
		return
	}
	for _, r := range l.reports {
		for i := range r.Ended {
			t := &r.Ended[i]
			if at, ok := e.ends[t.Target]; !ok || at.After(answered) {
				continue
			}
			before := len(t.Suspects)
			t.Suspects = slices.DeleteFunc(t.Suspects, func(s Suspect) bool {
				return s.Feature == f
			})
			if len(t.Suspects) < before {
				l.reported--
				decrement(e.targets, t.Target)
				decrement(e.reporters, r.Instance)
			}
		}
	}
	maps.DeleteFunc(e.ends, func(_ string, at time.Time) bool {
		return !at.After(answered)
	})
	e.firstEnd = slices.MinFunc(slices.Collect(maps.Values(e.ends)), time.Time.Compare)
	if len(e.targets) < minTargets {
		delete(l.ready, f)
		e.candidateSince = time.Time{}
	}
}

// forget drops the evidence against a feature that was cleared, so that reports from before
// do not block it again.
func (l *Ledger) forget(f Feature) {
	for _, key := range slices.Clone(l.order) {
		r := l.reports[key]
		for i := range r.Ended {
			before := len(r.Ended[i].Suspects)
			r.Ended[i].Suspects = slices.DeleteFunc(r.Ended[i].Suspects, func(s Suspect) bool {
				return s.Feature == f
			})
			l.reported -= before - len(r.Ended[i].Suspects)
		}
	}
	delete(l.evidence, f)
	delete(l.ready, f)
}

// BlockOf returns the block of a feature.
func (l *Ledger) BlockOf(f Feature) (Block, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok := l.blocks[f]
	if !ok {
		return Block{}, false
	}
	return b.Block, true
}

// BlockInfo describes a blocked feature for operators.
type BlockInfo struct {
	Block
	// Since is when this instance learnt of the block, and TrialAfter the time until the
	// feature is tried again.
	Since      time.Time
	TrialAfter time.Duration
}

// Blocks returns the blocked features, the oldest first.
func (l *Ledger) Blocks(now time.Time) []BlockInfo {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]BlockInfo, 0, len(l.blocks))
	for _, b := range l.blocks {
		list = append(list, BlockInfo{
			Block:      b.Block,
			Since:      b.since,
			TrialAfter: max(b.delay()-now.Sub(b.changed), 0),
		})
	}
	slices.SortFunc(list, func(a, b BlockInfo) int {
		return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Feature, b.Feature))
	})
	return list
}
