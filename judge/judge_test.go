package judge_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/judge"
)

var bounds = judge.Bounds{
	StableWindow:   3 * time.Second,
	DrainTimeout:   2 * time.Second,
	ApplyTimeout:   2 * time.Second,
	MaxStretch:     5 * time.Second,
	RollbackSlack:  250 * time.Millisecond,
	Evacuation:     5 * time.Second,
	LeaseTime:      3 * time.Second,
	RetryRatio:     0.2,
	RetryWindow:    10 * time.Second,
	RetrySlack:     2,
	QuotaWindow:    8 * time.Second,
	QuotaOvershoot: 0.1,
	ColdRate:       2,
	Grace:          4 * time.Second,
	Recovery:       5 * time.Second,
}

// Guards against a judge that does not see a broken rule, or sees one that is kept: for each rule a
// history that breaks it, and one just inside.
func TestRules(t *testing.T) {
	tests := []ruleCase{
		{
			rule: "mixed",
			name: "answer of another request",
			broken: change(served(0, "r", judge.Safe), func(a *judge.Answered) {
				a.ResponseID = "other"
			}),
			kept: served(0, "r", judge.Safe),
		},
		{
			rule: "mixed",
			name: "short body",
			broken: change(served(0, "r", judge.Safe), func(a *judge.Answered) {
				a.Body = "body"
			}),
			kept: change(served(0, "r", judge.Safe), func(a *judge.Answered) {
				a.Body, a.Whole = "body", false
			}),
		},
		{
			rule: "mixed",
			name: "unsigned success",
			broken: change(served(0, "r", judge.Safe), func(a *judge.Answered) {
				a.Signed = false
			}),
			kept: change(served(0, "r", judge.Safe), func(a *judge.Answered) {
				a.Signed, a.Status, a.Body = false, 502, ""
			}),
		},
		{
			rule: "mixed",
			name: "bytes without a request",
			broken: []judge.Event{
				judge.Stray{
					Time: at(5),
					Text: "HTTP/1.1 200 OK",
				},
			},
			kept: served(0, "r", judge.Safe),
		},
		{
			rule: "order",
			name: "an error in the middle",
			broken: []judge.Event{
				sent(0, "s", judge.Resumable),
				replied(20, "s", "t1", 1, "id: 1\ndata: a\n\n"),
				answered(30, "s", 200, "id: 1\ndata: a\n\nerror"),
			},
			kept: []judge.Event{
				sent(0, "s", judge.Resumable),
				change([]judge.Event{replied(20, "s", "t1", 1, "id: 1\ndata: a\n\nid: 2\nda")}, func(r *judge.Replied) {
					r.Whole = false
				})[0],
				replied(25, "s", "t2", 2, "id: 2\ndata: b\n\n"),
				answered(30, "s", 200, stream),
			},
		},
		{
			rule: "order",
			name: "ends before its last event",
			broken: []judge.Event{
				sent(0, "s", judge.Stream),
				replied(20, "s", "t1", 1, stream),
				answered(30, "s", 200, "id: 1\ndata: a\n\n"),
			},
			kept: []judge.Event{
				sent(0, "s", judge.Stream),
				replied(20, "s", "t1", 1, stream),
				change([]judge.Event{answered(30, "s", 200, "id: 1\ndata: a\n\n")}, func(a *judge.Answered) {
					a.Whole = false
				})[0],
			},
		},
		{
			rule: "unasked",
			name: "changed path",
			broken: change(served(0, "r", judge.Safe), func(a *judge.Arrived) {
				a.URI = "/look/x"
			}),
			kept: served(0, "r", judge.Safe),
		},
		{
			rule: "unasked",
			name: "caller's key",
			broken: change(served(0, "r", judge.Safe), func(a *judge.Arrived) {
				a.Credentials = "Bearer k1"
			}),
			kept: served(0, "r", judge.Safe),
		},
		{
			rule:   "twice",
			name:   "two runs",
			broken: append(served(0, "r", judge.Unsafe), ran(40, "r", "t2", 2)),
			kept:   append(served(0, "r", judge.Safe), append(served(100, "u", judge.Unsafe), ran(40, "r", "t2", 2))...),
		},
		{
			rule: "refused",
			name: "ran",
			broken: change(served(0, "r", judge.Unsafe), func(a *judge.Answered) {
				a.Signed, a.Status = false, 503
			}),
			kept: []judge.Event{
				sent(0, "r", judge.Unsafe),
				arrived(1, "r", "t1"),
				answered(5, "r", 503, ""),
			},
		},
		{
			rule: "denied",
			name: "not found",
			broken: []judge.Event{
				sent(0, "r", judge.Safe),
				answered(5, "r", 404, ""),
			},
			kept: []judge.Event{
				sent(0, "r", judge.Safe),
				answered(5, "r", 503, ""),
			},
		},
		{
			rule: "attempts",
			name: "four requests on two targets",
			broken: repeat(4, func(i int) []judge.Event {
				id := fmt.Sprint("r", i)
				return append(served(100*i, id, judge.Safe), ran(100*i+50, id, "t2", 1000+i))
			}),
			kept: repeat(3, func(i int) []judge.Event {
				id := fmt.Sprint("r", i)
				return append(served(100*i, id, judge.Safe), ran(100*i+50, id, "t2", 1000+i))
			}),
		},
		{
			rule: "deadline",
			name: "too much time",
			broken: repeat(21, func(i int) []judge.Event {
				return change(served(100*i, fmt.Sprint("r", i), judge.Safe), func(a *judge.Arrived) {
					a.TimeLeft = 3 * time.Second
				})
			}),
			kept: repeat(21, func(i int) []judge.Event {
				return change(served(100*i, fmt.Sprint("r", i), judge.Safe), func(a *judge.Arrived) {
					a.TimeLeft = 2400 * time.Millisecond
				})
			}),
		},
		{
			rule:   "crash",
			name:   "late repeats",
			broken: crashSeries(4),
			kept:   crashSeries(3),
		},
		{
			rule: "retries",
			name: "beyond the budget",
			broken: append(served(0, "r", judge.Safe), repeat(3, func(i int) []judge.Event {
				return []judge.Event{arrived(30+i, "r", "t2")}
			})...),
			kept: append(served(0, "r", judge.Safe), repeat(2, func(i int) []judge.Event {
				return []judge.Event{arrived(30+i, "r", "t2")}
			})...),
		},
		{
			rule:   "pushback",
			name:   "three requests",
			broken: pushed(3),
			kept:   pushed(2),
		},
		{
			rule:   "target-limit",
			name:   "one request beyond",
			broken: limited(12, "1"),
			kept:   limited(11, "1"),
		},
		{
			rule:   "target-limit",
			name:   "malformed",
			broken: limited(12, "1"),
			kept:   limited(12, "one"),
		},
		{
			rule:   "target-limit",
			name:   "ended",
			broken: limited(12, "1"),
			kept:   append(limited(12, "1"), replied(6000, "r0", "t1", 1, "")),
		},
		{
			rule:   "target-limit",
			name:   "told by another instance's answer only",
			broken: limited(12, "1"),
			kept: change(limited(12, "1"), func(r *judge.Replied) {
				r.Instance = "entry-1"
			}),
		},
		{
			rule:   "target-limit",
			name:   "ended by the head of a long answer",
			broken: append(limited(12, "1"), replied(12000, "r0", "t1", 1, "")),
			kept: append(limited(12, "1"), change([]judge.Event{replied(12000, "r0", "t1", 1, "")}, func(r *judge.Replied) {
				r.Head = 6 * time.Second
			})...),
		},
		{
			rule: "gone",
			name: "late arrivals",
			broken: repeat(4, func(i int) []judge.Event {
				id := fmt.Sprint("r", i)
				return []judge.Event{
					sent(0, id, judge.Safe),
					judge.Left{
						Time: at(10),
						ID:   id,
					},
					arrived(600, id, "t1"),
				}
			}),
			kept: repeat(4, func(i int) []judge.Event {
				id := fmt.Sprint("r", i)
				return []judge.Event{
					sent(0, id, judge.Safe),
					judge.Left{
						Time: at(10),
						ID:   id,
					},
					arrived(500, id, "t1"),
				}
			}),
		},
		{
			rule: "time-limit",
			name: "held for too long",
			broken: []judge.Event{
				sent(5000, "r", judge.Safe),
				answered(7100, "r", 504, ""),
			},
			kept: []judge.Event{
				sent(5000, "r", judge.Safe),
				answered(6900, "r", 504, ""),
			},
		},
		{
			rule: "route",
			name: "other service",
			broken: change(served(0, "r", judge.Safe), func(a *judge.Arrived) {
				a.Service = "llm"
			}),
			kept: served(0, "r", judge.Safe),
		},
		{
			rule: "withdrawn",
			name: "key of an old configuration",
			broken: append(change(served(4000, "r", judge.Safe), func(s *judge.Sent) {
				s.Key = "k2"
			}), judge.Configured{
				Time:      at(1000),
				Withdrawn: []string{"k2"},
			}),
			kept: append(change(served(2900, "r", judge.Safe), func(s *judge.Sent) {
				s.Key = "k2"
			}), judge.Configured{
				Time:      at(1000),
				Withdrawn: []string{"k2"},
			}),
		},
		{
			rule:   "in-force",
			name:   "denied by an old configuration",
			broken: keyAdded(1000, 3100, 401),
			kept:   keyAdded(1000, 2900, 401),
		},
		{
			rule:   "in-force",
			name:   "route of an old configuration",
			broken: keyAdded(1000, 3100, 404),
			kept:   keyAdded(1000, 3100, 503),
		},
		{
			rule:   "in-force",
			name:   "while the store rejects the instance",
			broken: append(keyAdded(4000, 11100, 401), refusedByStore(3000, 12000), fromOther(4100)),
			kept:   append(keyAdded(4000, 10900, 401), refusedByStore(3000, 12000), fromOther(4100)),
		},
		{
			rule:   "in-force",
			name:   "older again",
			broken: append(keyAdded(1000, 1800, 401), acceptedKey(1200)...),
			kept:   append(keyAdded(1000, 1400, 401), acceptedKey(1200)...),
		},
		{
			rule: "drain",
			name: "late request",
			broken: append(served(3100, "r", judge.Safe), judge.Closed{
				Time:   at(1000),
				Target: "t1",
			}),
			kept: append(served(2900, "r", judge.Safe), judge.Closed{
				Time:   at(1000),
				Target: "t1",
			}),
		},
		{
			rule: "leaving",
			name: "late request",
			broken: append(change(served(1000, "first", judge.Safe), func(r *judge.Replied) {
				r.Leaving = true
			}), served(3100, "r", judge.Safe)...),
			kept: append(change(served(1000, "first", judge.Safe), func(r *judge.Replied) {
				r.Leaving = true
			}), served(2900, "r", judge.Safe)...),
		},
		{
			rule: "evacuated",
			name: "late request",
			broken: append(served(6100, "r", judge.Safe), judge.Closed{
				Time: at(1000),
				Zone: "buchs",
			}, judge.TargetStarted{
				Target: "t1",
				Zone:   "buchs",
			}),
			kept: append(served(5900, "r", judge.Safe), judge.Closed{
				Time: at(1000),
				Zone: "buchs",
			}, judge.TargetStarted{
				Target: "t1",
				Zone:   "buchs",
			}),
		},
		{
			rule: "quota",
			name: "one request too many",
			// The bound is (1 x 8 + 10) x 1.1, so that one request of 10 tokens may run and not two.
			broken: append(repeat(2, func(i int) []judge.Event {
				return served(100*i, fmt.Sprint("r", i), judge.Safe)
			}), configured),
			kept: append(served(0, "r", judge.Safe), append(served(9000, "q", judge.Safe), configured)...),
		},
		{
			rule: "cold",
			name: "too many in a second",
			// The bound is 2 x 1.5 + 5.
			broken: repeat(9, coldArrival),
			kept:   repeat(8, coldArrival),
		},
		{
			rule: "one",
			name: "two holders of a fence",
			broken: []judge.Event{
				ordered(0, "entry-0", 4),
				ordered(10, "entry-1", 4),
			},
			kept: []judge.Event{
				ordered(0, "entry-0", 4),
				ordered(10, "entry-1", 5),
			},
		},
		{
			rule: "places",
			name: "one adapter too many",
			broken: []judge.Event{
				judge.Loaded{
					Target: "t1",
					Count:  3,
					Places: 2,
				},
			},
			kept: []judge.Event{
				judge.Loaded{
					Target: "t1",
					Count:  2,
					Places: 2,
				},
			},
		},
		{
			rule: "recover",
			name: "nearly none is served",
			broken: repeat(8, func(i int) []judge.Event {
				id := fmt.Sprint("r", i)
				if i == 0 {
					return served(6000, id, judge.Safe)
				}
				return []judge.Event{
					sent(6000, id, judge.Safe),
					answered(6001, id, 503, ""),
				}
			}),
			kept: repeat(8, func(i int) []judge.Event {
				id := fmt.Sprint("r", i)
				if i < 2 {
					return served(6000, id, judge.Safe)
				}
				return []judge.Event{
					sent(6000, id, judge.Safe),
					answered(6001, id, 503, ""),
				}
			}),
		},
	}
	tests = append(tests, lostCases()...)
	tested := make(map[string]bool)
	for _, tt := range tests {
		tested[tt.rule] = true
		t.Run(tt.rule+"/"+tt.name, func(t *testing.T) {
			verdict := func(events []judge.Event) judge.Verdict {
				for _, v := range judge.Judge(judge.History{
					Bounds: bounds,
					Events: events,
				}) {
					if v.Rule == tt.rule {
						return v
					}
				}
				return judge.Verdict{}
			}
			require.Equal(t, "broken", verdict(tt.broken).State())
			kept := verdict(tt.kept)
			require.Empty(t, kept.Breaks)
			require.Equal(t, "not exercised", verdict(nil).State())
		})
	}
	for _, rule := range judge.Rules() {
		require.True(t, tested[rule], "rule %s has no test", rule)
	}
}

var configured = judge.Configured{
	Rates: map[string]judge.Rate{
		"org1": {
			PerSecond: 1,
			Burst:     10,
		},
	},
}

// Guards against a story that leaves out what a reader needs.
func TestStory(t *testing.T) {
	h := judge.History{
		Events: append(served(1000, "r", judge.Safe), served(2000, "other", judge.Safe)...),
	}
	story := strings.Join(h.Story([]string{"r"}), "\n")
	require.Contains(t, story, "1.000 s  request r (safe /look/r) sent to entry-0")
	require.Contains(t, story, "r: t1 runs it")
	require.NotContains(t, story, "other")
}
