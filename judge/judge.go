// Package judge decides from what callers sent and got and what targets got and ran whether each
// rule of the service was kept. It reads and writes nothing and knows no instance from inside: a
// history is a list of events with their times, and a verdict names the events that break a rule.
//
// # Usage
//
//	verdicts := judge.Judge(judge.History{
//		Bounds: bounds,
//		Events: events,
//	})
//	for _, v := range verdicts {
//		if len(v.Breaks) > 0 {
//			fmt.Println(v.Rule, v.Breaks[0].Text)
//		}
//	}
package judge

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind says how often a request may run.
type Kind string

// Kinds of requests.
const (
	// Safe requests may run several times.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Stream requests are answered by events and run at most once.
	Stream Kind = "stream"
	// Resumable streams go on at another target.
	Resumable Kind = "resumable"
)

// Repeatable reports whether a request may run several times.
func (k Kind) Repeatable() bool {
	return k == Safe || k == Resumable
}

// Streaming reports whether the answer is a stream of events.
func (k Kind) Streaming() bool {
	return k == Stream || k == Resumable
}

// Event is what somebody saw outside of the instances. It is one of Sent, Answered, Left, Arrived,
// Ran, Replied, TargetStarted, TargetEnded, Disturbed, Configured, Closed, Ordered, Loaded and
// Stray.
type Event interface {
	// At returns the time of the event since the start of the day.
	At() time.Duration
}

// Time is the time of an event since the start of the day.
type Time time.Duration

// At implements Event.
func (t Time) At() time.Duration {
	return time.Duration(t)
}

// Sent is a request that a caller has sent completely.
type Sent struct {
	Time
	ID           string
	Instance     string
	Kind         Kind
	Service      string
	Route        string
	Organisation string
	Key          string
	Method       string
	URI          string
	Body         string
	Model        string
	Usage        string
	Parts        string
	// Deadline is how long the caller waits, and Timeout the limit of the route.
	Deadline time.Duration
	Timeout  time.Duration
	// Attempts is how many targets the request may be sent to.
	Attempts int
	// Cost is what the request is charged.
	Cost int
	// Kept is set if the connection was used before.
	Kept bool
	// Proper is set if each configuration of the day allows the request and its bytes are
	// well-formed.
	Proper bool
	// Crashes is set if targets end when they run the request.
	Crashes bool
	// Events is how many events a whole stream has.
	Events int
}

// Answered is what a caller got. Status is 0 if there was no answer.
type Answered struct {
	Time
	ID          string
	Status      int
	ResponseID  string
	Signed      bool
	Encoded     bool
	RetryAfter  string
	Body        string
	Whole       bool
	NotExecuted bool
}

// Left means that a caller closed its connection before the answer.
type Left struct {
	Time
	ID string
}

// Stray is bytes that a caller got while no request was waiting.
type Stray struct {
	Time
	Instance string
	Text     string
}

// Arrived is a request that has reached a target.
type Arrived struct {
	Time
	ID     string
	Target string
	// Instance is the one that has sent it.
	Instance string
	// Service is the target's.
	Service      string
	Organisation string
	Credentials  string
	Method       string
	URI          string
	Body         string
	Model        string
	Usage        string
	Parts        string
	// Misdirected is set if the request was meant for another target.
	Misdirected bool
	Reserved    []string
	// TimeLeft is how long the sender waits; negative if it does not say.
	TimeLeft  time.Duration
	LastEvent int
	// Cold is set while the target bears few requests.
	Cold bool
	// HeldUp is set if the target was cut off from the instances shortly before.
	HeldUp bool
}

// Ran means that a target has begun to work on a request that arrived.
type Ran struct {
	Time
	ID     string
	Target string
	Run    int
}

// Replied is what a target has written as the answer to a request, as a careful reader reads it.
type Replied struct {
	Time
	ID       string
	Target   string
	Instance string
	Run      int
	Status   int
	// ResponseID is the request that the answer names.
	ResponseID string
	Signed     bool
	Encoded    bool
	// NotExecuted is set if the target did not run the request and says so.
	NotExecuted bool
	// RetryAfter is for how long the target wants no requests.
	RetryAfter time.Duration
	Leaving    bool
	// Limit is the rate limit that the target names, as it stands in the answer; empty for none.
	Limit string
	Body  string
	// Whole is set if the answer ended as it should.
	Whole bool
	// ToEnd is set if the body ends with its connection.
	ToEnd bool
	// HeldUp is set if the link to the instance was cut when the answer was written, or if other
	// bytes stood before it.
	HeldUp bool
	// Garbled is set if bytes of the body were changed on the way out.
	Garbled bool
	// Head is when the head of the answer was written, Time when all of it was; zero if it is not known.
	Head time.Duration
}

// headAt returns when the head of the answer was written.
func (p Replied) headAt() time.Duration {
	if p.Head > 0 {
		return p.Head
	}
	return p.At()
}

// TargetStarted is the start of a target's process.
type TargetStarted struct {
	Time
	Target  string
	Service string
	Zone    string
}

// TargetEnded is the end of a target's process.
type TargetEnded struct {
	Time
	Target string
	// By is the request that ended it; empty for another cause.
	By string
	// PortOpen is for how long connections to its address were accepted afterwards.
	PortOpen time.Duration
}

// Disturbed is a time in which an instance, its links or the store were not sound.
type Disturbed struct {
	Time
	Until time.Duration
	// Instance is empty for the store.
	Instance string
	Cause    string
	// Ends is set if the instance's process ends: it has forgotten what it knew.
	Ends bool
	// Planned is set for an orderly stop.
	Planned bool
	// Stretches is set for a disturbance of the store that stretches bounds and excuses nothing:
	// it rejects the instance, or all its history is gone.
	Stretches bool
}

// Configured is a configuration that the store has acknowledged.
type Configured struct {
	Time
	Version int
	// Withdrawn are the keys that are no longer valid, and Added those that have become so.
	Withdrawn []string
	Added     []string
	// Rates are the organisations' limits in tokens a second and their bursts.
	Rates map[string]Rate
}

// Rate is the limit of an organisation.
type Rate struct {
	PerSecond int
	Burst     int
}

// Closed means that the store has acknowledged that a target leaves, or that a data centre is to
// get no requests. Until is when it takes requests again; 0 for never.
type Closed struct {
	Time
	Target string
	Zone   string
	Until  time.Duration
}

// Ordered is an order that has reached a target.
type Ordered struct {
	Time
	Target   string
	Instance string
	Fence    uint64
	Accepted bool
}

// Loaded is the number of adapters on a target after a load began.
type Loaded struct {
	Time
	Target string
	Count  int
	Places int
}

// Bounds are the stated limits of the rules.
type Bounds struct {
	// StableWindow is how long an instance must have been undisturbed for the rules with a
	// time limit.
	StableWindow time.Duration
	DrainTimeout time.Duration
	ApplyTimeout time.Duration
	// MaxStretch is added to ApplyTimeout while the store serves some instances only, and
	// RollbackSlack is how long after a change its effect may come and go in one process.
	MaxStretch    time.Duration
	RollbackSlack time.Duration
	Evacuation    time.Duration
	LeaseTime     time.Duration
	// RetryRatio, RetryWindow and RetrySlack bound the repeats of all instances.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// QuotaWindow, QuotaOvershoot and QuotaSlack bound what organisations run.
	QuotaWindow    time.Duration
	QuotaOvershoot float64
	QuotaSlack     float64
	// ColdRate is how many requests a cold target bears in a second, over all instances.
	ColdRate float64
	// Grace is how long an instance may run after it was asked to stop.
	Grace time.Duration
	// Recovery is when the fleet serves again after the last disturbance.
	Recovery time.Duration
}

// History is what is judged. Events need not be in order.
type History struct {
	Bounds Bounds
	Events []Event
	// Length is the length of the day.
	Length time.Duration
}

// Break is a broken rule, with the events that show it.
type Break struct {
	At   time.Duration
	Text string
	// Requests are the requests that are concerned.
	Requests []string
}

// Verdict is what is known about one rule.
type Verdict struct {
	Rule string
	// Exercised is how many cases the rule decided about.
	Exercised int
	Breaks    []Break
}

// State is "kept", "broken" or "not exercised".
func (v Verdict) State() string {
	switch {
	case len(v.Breaks) > 0:
		return "broken"
	case v.Exercised == 0:
		return "not exercised"
	default:
		return "kept"
	}
}

// rule is one rule with its decision.
type rule struct {
	name   string
	decide func(h *index, v *Verdict)
}

// add records a break.
func (v *Verdict) add(at time.Duration, requests []string, format string, args ...any) {
	v.Breaks = append(v.Breaks, Break{
		At:       at,
		Text:     fmt.Sprintf(format, args...),
		Requests: requests,
	})
}

// Rules returns the names of all rules.
func Rules() []string {
	names := make([]string, 0, len(rules))
	for _, r := range rules {
		names = append(names, r.name)
	}
	return names
}

// Judge decides about each rule.
func Judge(h History) []Verdict {
	x := newIndex(h)
	verdicts := make([]Verdict, 0, len(rules))
	for _, r := range rules {
		v := Verdict{
			Rule: r.name,
		}
		r.decide(x, &v)
		slices.SortStableFunc(v.Breaks, func(a, b Break) int {
			return int(a.At - b.At)
		})
		verdicts = append(verdicts, v)
	}
	return verdicts
}

// Story returns the events that concern any of the given requests, in order, one a line.
func (h History) Story(requests []string) []string {
	events := slices.Clone(h.Events)
	slices.SortStableFunc(events, func(a, b Event) int {
		return int(a.At() - b.At())
	})
	var lines []string
	for _, e := range events {
		id, text := describe(e)
		if id == "" && len(requests) > 0 || slices.Contains(requests, id) {
			if text != "" {
				lines = append(lines, fmt.Sprintf("%8.3f s  %s", e.At().Seconds(), text))
			}
		}
	}
	return lines
}

// describe returns the request that an event concerns, empty for all, and its text.
func describe(e Event) (string, string) {
	switch e := e.(type) {
	case Sent:
		return e.ID, fmt.Sprintf("request %s (%s %s) sent to %s", e.ID, e.Kind, e.URI, e.Instance)
	case Answered:
		if e.Status == 0 {
			return e.ID, fmt.Sprintf("%s: the caller gets no answer", e.ID)
		}
		return e.ID, fmt.Sprintf("%s: the caller gets %d, signed %v, whole %v, %d bytes %s", e.ID, e.Status, e.Signed, e.Whole, len(e.Body), quote(e.Body))
	case Left:
		return e.ID, e.ID + ": the caller leaves"
	case Arrived:
		return e.ID, fmt.Sprintf("%s reaches %s from %s, %v left, after event %d", e.ID, e.Target, e.Instance, e.TimeLeft, e.LastEvent)
	case Ran:
		return e.ID, fmt.Sprintf("%s: %s runs it (run %d)", e.ID, e.Target, e.Run)
	case Replied:
		return e.ID, fmt.Sprintf("%s: %s answers %s %d to %s, signed %v, not executed %v, retry after %v, leaving %v, whole %v, %d bytes %s",
			e.ID, e.Target, e.Instance, e.Status, e.ResponseID, e.Signed, e.NotExecuted, e.RetryAfter, e.Leaving, e.Whole, len(e.Body), quote(e.Body))
	case TargetStarted:
		return "", fmt.Sprintf("target %s of %s starts", e.Target, e.Service)
	case TargetEnded:
		return "", fmt.Sprintf("target %s ends %s", e.Target, e.By)
	case Disturbed:
		return "", fmt.Sprintf("%s disturbed until %.3f s: %s", orStore(e.Instance), e.Until.Seconds(), e.Cause)
	case Configured:
		return "", fmt.Sprintf("configuration %d acknowledged, withdrawn keys %v", e.Version, e.Withdrawn)
	case Closed:
		return "", fmt.Sprintf("closed: target %q data centre %q until %.3f s", e.Target, e.Zone, e.Until.Seconds())
	default:
		return "", ""
	}
}

func orStore(instance string) string {
	if instance == "" {
		return "store"
	}
	return instance
}

// maxQuote is how much of a body a story shows.
const maxQuote = 60

func quote(s string) string {
	if len(s) > maxQuote {
		s = s[:maxQuote/2] + "..." + s[len(s)-maxQuote/2:]
	}
	return strings.ReplaceAll(fmt.Sprintf("%q", s), "\\n", "|")
}
