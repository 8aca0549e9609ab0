package poison

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Candidate is a feature with enough evidence to be blocked.
type Candidate struct {
	Feature Feature
	// Service is the service of the target that ended last.
	Service string
	// Age is how long ago the first target ended, and LastEnd how long ago the last one did.
	Age     time.Duration
	LastEnd time.Duration
	// Inherited is set if all ends are from before the instance started, and Running is for how
	// long it has run.
	Inherited bool
	Running   time.Duration
}

const (
	// turnDelay is how long an instance leaves the decision to each one before it. It
	// covers the questions to all instances and the spreading of the block.
	turnDelay = 500 * time.Millisecond
	// maxTurns bounds the number of instances that wait for their turn, so that a decision
	// does not wait for many dead ones.
	maxTurns = 3
)

// Candidates returns the features with enough evidence on which it is this instance's turn
// to decide. Those that reported a feature decide, one after the other.
func (l *Ledger) Candidates(now time.Time) []Candidate {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ready) == 0 {
		return nil
	}
	explained := l.explainedTargets()
	var list []Candidate
	for f := range l.ready {
		e := l.evidence[f]
		if _, blocked := l.blocks[f]; blocked || !l.enough(f, explained) {
			continue
		}
		if e.candidateSince.IsZero() {
			e.candidateSince = now
		}
		rank, ok := rankOf(l.Self, e.reporters)
		if !ok || now.Sub(e.candidateSince) < time.Duration(rank)*turnDelay {
			continue
		}
		list = append(list, Candidate{
			Feature: f,
			Service: e.service,
			Age:     now.Sub(e.firstEnd),
			LastEnd: now.Sub(e.lastEnd),
			// Without a start the instance has run for longer than any evidence.
			Inherited: e.lastEnd.Before(l.Started),
			Running:   now.Sub(l.Started),
		})
	}
	slices.SortFunc(list, func(a, b Candidate) int {
		return cmp.Compare(a.Feature, b.Feature)
	})
	return list
}

// Undecided is a feature with enough targets about which no decision is due.
type Undecided struct {
	Feature Feature
	// Targets is the number of targets that ended, and Reason why it is not decided about.
	Targets int
	Reason  string
}

// Undecided returns the features with enough targets about which no decision is due, each
// once for each number of targets.
func (l *Ledger) Undecided() []Undecided {
	l.mu.Lock()
	defer l.mu.Unlock()
	explained := l.explainedTargets()
	var list []Undecided
	for f, e := range l.evidence {
		_, blocked := l.blocks[f]
		if n := len(e.targets); blocked || n < minTargets || n == e.undecided {
			continue
		}
		u := Undecided{
			Feature: f,
			Targets: len(e.targets),
		}
		if l.enough(f, explained) {
			continue
		}
		u.Reason = "explained"
		e.undecided = u.Targets
		list = append(list, u)
	}
	return list
}

// explainedTargets returns the targets whose end a blocked feature explains.
func (l *Ledger) explainedTargets() map[string]bool {
	explained := make(map[string]bool)
	for f := range l.blocks {
		if e, ok := l.evidence[f]; ok {
			for t := range e.targets {
				explained[t] = true
			}
		}
	}
	return explained
}

// countWithout counts the targets that are not explained.
func countWithout(targets map[string]int, explained map[string]bool) int {
	n := 0
	for t := range targets {
		if !explained[t] {
			n++
		}
	}
	return n
}

// rankOf returns the place of a name among the keys of a map in their order, at most
// maxTurns-1. It reports false if the name is not among them.
func rankOf(name string, names map[string]int) (int, bool) {
	if _, ok := names[name]; !ok {
		return 0, false
	}
	rank := 0
	for other := range names {
		if other < name {
			rank++
		}
	}
	return min(rank, maxTurns-1), true
}

// Decide returns the blocks of candidates. asked is when all instances were asked about them, and
// answered holds how long before that any instance completed a request with each candidate, and
// with the Service feature of each candidate's service; a feature without an entry was answered by
// none. Ends from before an answer do not count against a feature. Among the features with enough
// others, those that stand in the reports of most
// targets are blocked first; the targets that they explain no longer count against the next.
// Of features that were reported about the same targets, those that were never answered are
// blocked, or else the one that was not answered for the longest time. The others are spared
// until one more target ends.
func (l *Ledger) Decide(asked time.Time, candidates []Candidate, answered map[Feature]time.Duration) []Block {
	l.mu.Lock()
	defer l.mu.Unlock()
	explained := l.explainedTargets()
	var open []Candidate
	for _, c := range candidates {
		if age, ok := answered[c.Feature]; ok {
			l.answers.recordAt(asked, c.Feature, age)
			if age < c.Age {
				l.forgetUntil(c.Feature, asked.Add(-age))
				if !l.enough(c.Feature, explained) {
					continue
				}
			}
		}
		open = append(open, c)
	}
	var blocks []Block
	for len(open) > 0 {
		slices.SortStableFunc(open, func(a, b Candidate) int {
			return -cmp.Compare(l.unexplained(a.Feature, explained), l.unexplained(b.Feature, explained))
		})
		first := open[0].Feature
		if !l.enough(first, explained) {
			break
		}
		targets := l.targetsOf(first)
		var group, rest []Candidate
		for _, c := range open {
			if slices.Equal(l.targetsOf(c.Feature), targets) {
				group = append(group, c)
			} else {
				rest = append(rest, c)
			}
		}
		for _, f := range l.choose(group, answered) {
			if len(l.blocks)+len(blocks) < MaxBlocked {
				blocks = append(blocks, Block{
					Feature: f,
					Targets: targets,
					By:      l.Self,
				})
			}
		}
		open = rest
		for _, t := range targets {
			explained[t] = true
		}
	}
	return blocks
}

// choose returns the features to block of those that were reported about the same targets. It
// returns none while the decision waits.
func (l *Ledger) choose(group []Candidate, answered map[Feature]time.Duration) []Feature {
	age := func(c Candidate) time.Duration {
		if age, ok := answered[c.Feature]; ok {
			return age
		}
		return math.MaxInt64
	}
	oldest := slices.MaxFunc(group, func(a, b Candidate) int {
		return cmp.Compare(age(a), age(b))
	})
	if oldest.waits(answered) {
		return nil
	}
	var chosen []Feature
	for _, c := range group {
		if c.Feature == oldest.Feature || age(c) == math.MaxInt64 {
			chosen = append(chosen, c.Feature)
		}
	}
	return chosen
}

// enough reports whether enough targets count against a feature that no blocked feature
// explains.
func (l *Ledger) enough(f Feature, explained map[string]bool) bool {
	e, ok := l.evidence[f]
	if !ok || len(e.targets) < minTargets {
		return false
	}
	needed := minTargets
	if l.wasSpared(e) {
		needed = 1
	}
	return countWithout(e.targets, explained) >= needed
}

// wasSpared reports whether another feature was blocked for targets all of which count against
// a feature as well.
func (l *Ledger) wasSpared(e *evidence) bool {
	for _, b := range l.blocks {
		if len(b.Targets) > 0 && !slices.ContainsFunc(b.Targets, func(t string) bool {
			return e.targets[t] == 0
		}) {
			return true
		}
	}
	return false
}

// waits reports whether the feature may still prove innocent by an answer: it was answered
// before the first end, and too little time has passed since the last one. A part of prompts
// may be so common that it was in flight at all targets of a service that ended as a whole, so
// that something else has to be answered before its silence says anything.
func (c *Candidate) waits(answered map[Feature]time.Duration) bool {
	if c.Inherited {
		return c.inheritedWaits(answered)
	}
	if _, before := answered[c.Feature]; !before {
		return false
	}
	age, ok := answered[Service(c.Service)]
	silent := !ok || age > c.LastEnd
	return c.LastEnd < answerWait || silent && !c.Feature.repeated()
}

// inheritedWaits reports whether a feature whose evidence is older than the instance may still prove
// innocent. All instances may have been restarted, so that none remembers its answers: its silence
// says something only once its service has answered for a while.
func (c *Candidate) inheritedWaits(answered map[Feature]time.Duration) bool {
	age, ok := answered[Service(c.Service)]
	return c.Running < inheritedWait || !ok || age > c.Running
}

// targetsOf returns the targets that count against a feature, sorted.
func (l *Ledger) targetsOf(f Feature) []string {
	e, ok := l.evidence[f]
	if !ok {
		return nil
	}
	return slices.Sorted(maps.Keys(e.targets))
}

// unexplained returns the number of targets that count against a feature.
func (l *Ledger) unexplained(f Feature, explained map[string]bool) int {
	e, ok := l.evidence[f]
	if !ok {
		return 0
	}
	return countWithout(e.targets, explained)
}

// answerLog remembers when features were last answered, in two generations: the older one is
// dropped when the younger one is old or full enough.
type answerLog struct {
	young, old map[Feature]time.Time
	// started is when the younger generation was.
	started time.Time
}

// recordAt records an answer of some time ago, unless a later one is known.
func (a *answerLog) recordAt(now time.Time, f Feature, ago time.Duration) {
	if a.young == nil || now.Sub(a.started) > answerMemory || len(a.young) >= maxAnswers {
		a.old, a.young, a.started = a.young, make(map[Feature]time.Time), now
	}
	if known := a.age(now, f); known < 0 || known > ago {
		a.young[f] = now.Add(-ago)
	}
}

// age returns how long ago a feature was last answered; negative if that is not known.
func (a *answerLog) age(now time.Time, f Feature) time.Duration {
	at, ok := a.young[f]
	if !ok {
		if at, ok = a.old[f]; !ok {
			return -1
		}
	}
	return max(now.Sub(at), 0)
}
