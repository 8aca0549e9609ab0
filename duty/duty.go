// Package duty performs singleton duties: calls to the platform that only one instance at a time makes for a
// subject. A Holder claims subjects by compare-and-swap, each with a fencing token that only increases, and makes
// calls only while its lease is certainly valid. A Reporter sends the reports of usage, and a Scaler the orders of
// targets.
//
// # Usage
//
//	h := &duty.Holder{Self: self, Session: session, KV: kv, Registry: registry, Subjects: subjects}
//	go h.Run(ctx)
//	result := h.Call(ctx, subject, func(ctx context.Context, c duty.Credentials) duty.Result {
//		return client.OrderTargets(ctx, c, "scribe", "buchs", 6)
//	})
package duty

import (
	"context"
	"strings"
	"time"

	"currantstile/elect"
	"currantstile/usage"
)

// Prefix is the prefix of the keys of the subjects' records.
const Prefix = elect.Prefix + "duties/"

// Subject is what one instance at a time acts on: all reports of usage together, or the number of a service's targets
// in a data centre.
type Subject struct {
	// Service and Zone are empty for the reports of usage.
	Service string
	Zone    string
}

// UsageSubject is the subject of the reports of usage.
var UsageSubject = Subject{}

// String returns the name of the subject for logs and metrics.
func (s Subject) String() string {
	if s == UsageSubject {
		return "usage"
	}
	return "scaling/" + s.Zone + "/" + s.Service
}

// key returns the key of the subject's record.
func (s Subject) key() string {
	return Prefix + s.String()
}

// subjectOf returns the subject of a record's key.
func subjectOf(key string) (Subject, bool) {
	name, ok := strings.CutPrefix(key, Prefix)
	if !ok {
		return Subject{}, false
	}
	if name == UsageSubject.String() {
		return UsageSubject, true
	}
	name, ok = strings.CutPrefix(name, "scaling/")
	zone, service, found := strings.Cut(name, "/")
	return Subject{
		Service: service,
		Zone:    zone,
	}, ok && found
}

// Credentials are sent with each call.
type Credentials struct {
	// Holder is the name of the instance, and Token its fencing token for the subject.
	Holder string
	Token  uint64
}

// Result is the result of a call. It is one of Accepted, Fenced, RateLimited, Rejected, Lost and NotHeld.
type Result interface {
	// Name names the result in logs and metrics.
	Name() string
}

// Accepted means that the platform carried out the call.
type Accepted struct{}

// Fenced means that the platform has seen a higher fencing token.
type Fenced struct{}

// RateLimited means that all instances together made too many calls. The call was not carried out.
type RateLimited struct {
	// RetryAfter is when to call again; zero if not stated.
	RetryAfter time.Duration
}

// Rejected means that the platform refused the call for another reason. It was not carried out.
type Rejected struct {
	Status int
}

// Lost means that there was no response. If MaybeSent is set, the call may still be carried out, also seconds later.
type Lost struct {
	MaybeSent bool
	Err       error
}

// NotHeld means that no call was made: the subject is not held for certain, or a call would come too soon.
type NotHeld struct{}

// Name implements Result.
func (Accepted) Name() string { return "accepted" }

// Name implements Result.
func (Fenced) Name() string { return "fenced" }

// Name implements Result.
func (RateLimited) Name() string { return "rate-limited" }

// Name implements Result.
func (Rejected) Name() string { return "rejected" }

// Name implements Result.
func (Lost) Name() string { return "lost" }

// Name implements Result.
func (NotHeld) Name() string { return "not-held" }

// Client makes the calls to the platform.
type Client interface {
	// EncodeUsage returns the report of a window. The same counts make the same bytes.
	EncodeUsage(window int64, counts usage.Counts) ([]byte, error)
	// ReportUsage sends a report that EncodeUsage returned.
	ReportUsage(ctx context.Context, c Credentials, report []byte) Result
	// OrderTargets orders a number of targets of a service in a data centre.
	OrderTargets(ctx context.Context, c Credentials, service, zone string, count int) Result
}
