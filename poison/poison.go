// Package poison recognises requests that crash targets ("queries of death"), so that they
// are refused instead of being sent to one target after the other.
//
// A request has features that other requests may share: each part of its prompt but the
// last, and the request as a whole. When a target's process ends, the instances that had
// requests there report the features of those whose answer was at its start. The reports
// reach all instances through the store. A feature that stands in reports about several
// targets, and with which no request was answered meanwhile, is blocked.
//
// A crash for another reason puts innocent features under suspicion, and a common one
// stands in nearly every report. Three things keep them from being blocked:
//
//   - Before a feature is blocked, all instances are asked when they last completed a
//     request with it. An answer after the first end clears it.
//   - A feature that was answered before the first end is watched for another answer for a
//     while. Such an answer says nothing about what happens now, only how common the
//     feature is.
//   - The targets that a blocked feature explains do not count against other features.
//
// A blocked feature is tried again after a while, by one request at a time. An answer
// clears it. A repeated request is held back before that, as soon as two targets ended
// under it.
//
// # Usage
//
//	l := &poison.Ledger{Self: name}
//	d := l.Check(now, features)               // before each sending
//	l.RecordAnswered(now, features)           // after a complete answer
//	r := l.Report(now, ends)                  // after targets ended; to be stored
//	l.ApplyReport(now, key, &r)               // for each report in the store
//	l.Decide(now, l.Candidates(now), answers) // once all instances were asked
package poison

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	// minTargets is the number of targets that must have ended before a feature is
	// blocked.
	minTargets = 3
	// answerWait is how long after the last end a feature that was answered before the first
	// one is watched for another answer. It covers the time between two requests with a
	// common feature.
	answerWait = time.Second
	// inheritedWait is how long an instance has to run before it blocks a feature by evidence from
	// before its start: long enough for a common feature to be answered.
	inheritedWait = 4 * time.Second
	// holdTargets is the number of targets after whose end a repeated request is held back,
	// for holdTime after the last end. A block takes less.
	holdTargets = 2
	holdTime    = 2 * time.Second
	// answerMemory is how long answers are remembered at least.
	answerMemory = 30 * time.Second
	// trialDelay is the time after which a blocked feature is tried again. It doubles with
	// each trial up to maxTrialDelay: a trial may cost a target.
	trialDelay    = 30 * time.Second
	maxTrialDelay = time.Hour
	// maxSuspects bounds the features in one report for one target, maxEnded the targets
	// in one report.
	maxSuspects = 32
	maxEnded    = 16
	// maxReports and maxReported bound the reports that are kept and the features in them;
	// the oldest yield. maxAnswers bounds the features whose answers are remembered.
	maxReports  = 2048
	maxReported = 1 << 15
	maxAnswers  = 1 << 14
	// maxClockError is the difference between the clocks of two instances below which a
	// report counts as new.
	maxClockError = 3 * time.Second
	// MaxBlocked bounds the features that are blocked at once.
	MaxBlocked = 256
)

// Feature is a property of requests that may make a target crash.
type Feature string

const (
	partPrefix    = "part/"
	samePrefix    = "same/"
	servicePrefix = "service/"
)

// PromptPart returns the feature of requests whose prompt has a part with the given ID.
func PromptPart(id string) Feature {
	return Feature(partPrefix + id)
}

// Service returns the feature of all requests to a service. It is never a suspect: its
// answers show that the service's targets answer at all.
func Service(name string) Feature {
	return Feature(servicePrefix + name)
}

// repeated reports whether only equal requests share the feature.
func (f Feature) repeated() bool {
	return strings.HasPrefix(string(f), samePrefix)
}

// SameRequest returns the feature of requests that are equal but for their ID. The strings
// identify the caller and the request.
func SameRequest(body []byte, identity ...string) Feature {
	h := xxhash.New()
	for _, s := range identity {
		_, _ = h.WriteString(s)
		_, _ = h.WriteString("\n")
	}
	_, _ = h.Write(body)
	return Feature(fmt.Sprintf("%s%016x", samePrefix, h.Sum64()))
}

// Suspect is a feature of a request whose answer was at its start when a target ended.
type Suspect struct {
	Feature Feature `json:"feature"`
}

// EndedTarget is an incarnation of a target that ended, with the features that may be the
// cause.
type EndedTarget struct {
	// Target names the incarnation, so that a target which crashes again counts again.
	Target string `json:"target"`
	// Service is the service that the target belonged to.
	Service string `json:"service"`
	// At is the time of the end by the reporter's clock, in Unix milliseconds, and AgoMS the
	// milliseconds from then to the report.
	At       int64     `json:"at"`
	AgoMS    int64     `json:"ago-ms"`
	Suspects []Suspect `json:"suspects"`
}

// endedBefore returns how long before now the target ended. The reporter's clock counts only
// for old reports, which a starting instance reads.
func (t *EndedTarget) endedBefore(now time.Time) time.Duration {
	ago := now.Sub(time.UnixMilli(t.At))
	live := time.Duration(min(max(t.AgoMS, 0), maxTrialDelay.Milliseconds())) * time.Millisecond
	if ago < live+maxClockError {
		return live
	}
	return ago
}

// Report is what one instance knows about targets that ended.
type Report struct {
	Instance string        `json:"instance"`
	Ended    []EndedTarget `json:"ended"`
}

// Block is the record of a blocked feature.
type Block struct {
	Feature Feature `json:"feature"`
	// Targets are those that ended, the evidence for the block, and By is the instance that
	// decided.
	Targets []string `json:"targets"`
	By      string   `json:"by"`
	// Trials is the number of times the feature was tried again.
	Trials int `json:"trials"`
}

// delay returns the time after which the feature is tried again.
func (b *Block) delay() time.Duration {
	d := trialDelay
	for range b.Trials {
		if d *= 2; d >= maxTrialDelay {
			return maxTrialDelay
		}
	}
	return d
}

// DecodeReport decodes a report from the store.
func DecodeReport(value []byte) (*Report, error) {
	r := &Report{}
	return r, errors.Wrap(json.Unmarshal(value, r), "poison.DecodeReport")
}

// DecodeBlock decodes a block from the store.
func DecodeBlock(value []byte) (*Block, error) {
	b := &Block{}
	if err := json.Unmarshal(value, b); err != nil {
		return nil, errors.Wrap(err, "poison.DecodeBlock")
	}
	if b.Feature == "" || b.Trials < 0 {
		return nil, errors.New("poison.DecodeBlock: a block needs a feature and no negative trials")
	}
	return b, nil
}

// Decision is the result of Ledger.Check. It is one of Allowed, Blocked and TrialDue.
type Decision interface {
	isDecision()
}

// Allowed means that no feature of the request is blocked.
type Allowed struct{}

// Blocked means that a feature is blocked.
type Blocked struct {
	Feature Feature
	// RetryAfter is the time until the feature is tried again.
	RetryAfter time.Duration
}

// TrialDue means that a feature is blocked but may be tried again by one request, for which
// the trial has to be claimed.
type TrialDue struct {
	Feature Feature
}

// Suspected means that a request may be sent under which targets have ended, but once only: it is
// not repeated if another one ends.
type Suspected struct {
	Feature Feature
	// Since is how long ago such a request was no longer held back.
	Since time.Duration
}

func (Allowed) isDecision()   {}
func (Blocked) isDecision()   {}
func (TrialDue) isDecision()  {}
func (Suspected) isDecision() {}
