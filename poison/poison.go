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
// stands in nearly every report. Four things keep them from being blocked:
//
//   - A feature is not reported by an instance that lately completed a request with it.
//   - Before a feature is blocked, all instances are asked when they last completed a
//     request with it.
//   - Reports must follow one another: a request counts for a new round only if it was
//     sent when the round before was known. Targets that end together are one round.
//   - The targets that a blocked feature explains do not count against other features.
//
// A blocked feature is tried again after a while, by one request at a time. An answer
// clears it.
//
// # Usage
//
//	l := &poison.Ledger{Self: name}
//	d := l.Check(now, features)               // before each sending
//	l.RecordAnswered(now, features)           // after a complete answer
//	r := l.Report(now, ended)                 // after targets ended; to be stored
//	l.ApplyReport(now, key, &r)               // for each report in the store
//	l.Decide(now, l.Candidates(now), answers) // once all instances were asked
package poison

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	// minTargets is the number of targets that must have ended before a feature is
	// blocked, and minRounds the number of rounds in which they did.
	minTargets = 3
	minRounds  = 2
	// presumption is how long after an answer a feature is not reported. It covers the
	// time between two requests with a feature that is common at an instance.
	presumption = 10 * time.Second
	// answerMemory is how long answers are remembered at least.
	answerMemory = 30 * time.Second
	// trialDelay is the time after which a blocked feature is tried again. It doubles with
	// each trial up to maxTrialDelay: a trial may cost a target.
	trialDelay    = 30 * time.Second
	maxTrialDelay = time.Hour
	// maxSuspects bounds the features in one report for one target, maxEnded the targets
	// in one report.
	maxSuspects = 16
	maxEnded    = 16
	// maxReports bounds the reports that are kept; the oldest yield. maxAnswers bounds the
	// features whose answers are remembered.
	maxReports = 2048
	maxAnswers = 1 << 14
	// MaxBlocked bounds the features that are blocked at once.
	MaxBlocked = 256
)

// Feature is a property of requests that may make a target crash.
type Feature string

// PromptPart returns the feature of requests whose prompt has a part with the given ID.
func PromptPart(id string) Feature {
	return Feature("part/" + id)
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
	return Feature(fmt.Sprintf("same/%016x", h.Sum64()))
}

// Suspect is a feature of a request whose answer was at its start when a target ended.
type Suspect struct {
	Feature Feature `json:"feature"`
	// Round is one more than the round that the reporter knew when the request was sent.
	Round int `json:"round"`
}

// EndedTarget is an incarnation of a target that ended, with the features that may be the
// cause.
type EndedTarget struct {
	// Target names the incarnation, so that a target which crashes again counts again.
	Target   string    `json:"target"`
	Suspects []Suspect `json:"suspects"`
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

func (Allowed) isDecision()  {}
func (Blocked) isDecision()  {}
func (TrialDue) isDecision() {}
