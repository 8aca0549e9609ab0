// Package dedup keeps requests that may not be repeated from running twice. A
// request is claimed under its caller's idempotency key in the platform's
// key-value service before it is sent anywhere; only whoever created the claim
// sends it, once. A request that comes again under the same key gets the outcome
// that was recorded, or learns that it is not known.
//
// # Usage
//
//	c := &dedup.Claims{KV: kv}
//	switch d, err := c.Begin(ctx, now, dedup.Request{...}); d := d.(type) {
//	case dedup.Fresh:
//		if !d.Ticket.MayRun(time.Now()) {
//			return c.Release(ctx, d.Ticket)
//		}
//		// send it once, then:
//		err = c.Record(ctx, d.Ticket, answer)
//	case dedup.Recorded: // answer with d.Answer
//	case dedup.Running, dedup.Unknown, dedup.Different:
//	}
package dedup

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"currantstile/errs"
	"currantstile/model"
	"currantstile/store"
)

const (
	claimPrefix = "claim/"
	// Retention is for how long a claim is kept at least.
	Retention = 24 * time.Hour
	// leaseReusePeriod is how long one lease takes new claims. A lease is never renewed,
	// so that its claims go when it lapses.
	leaseReusePeriod = 10 * time.Minute
	// MaxKeyBytes is the longest idempotency key.
	MaxKeyBytes = 255
	// MaxResponseBytes is the longest answer that is recorded whole.
	MaxResponseBytes = 64 << 10
	// expiryMargin covers clocks that differ between instances.
	expiryMargin = 5 * time.Second
)

// Request is a request that may not be repeated.
type Request struct {
	Organisation model.OrgID
	Key          string
	// Content is what the request asks for: method, path and body.
	Content []byte
	// Deadline is until when the request may run.
	Deadline time.Time
}

// Response is a recorded answer.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// claimState is where a claim stands.
type claimState string

const (
	stateRunning  claimState = "running"
	stateComplete claimState = "complete"
	stateUnknown  claimState = "unknown"
)

// record is a claim as it is stored.
type record struct {
	// ID is that of the attempt that created the claim.
	ID            string     `json:"id"`
	ContentDigest string     `json:"content"`
	State         claimState `json:"state"`
	Expires       time.Time  `json:"expires"`
	Response      *Response  `json:"answer,omitempty"`
}

// Ticket is the right to run a request once.
type Ticket struct {
	key      string
	revision store.Revision
	lease    store.LeaseID
	record   record
}

// MayRun reports whether the request may be sent now. A process that was paused
// after it claimed finds that it may not: others call the outcome unknown by
// then, and it stays so.
func (t Ticket) MayRun(now time.Time) bool {
	return now.Before(t.record.Expires.Add(-expiryMargin))
}

// Decision answers Begin. It is one of Fresh, Running, Recorded, Unknown and
// Different.
type Decision interface {
	isDecision()
}

// Claimed gives the right to run the request.
type Claimed struct {
	Ticket Ticket
}

// InProgress means that the request runs already.
type InProgress struct {
	// Until is when its outcome is known at the latest.
	Until time.Time
}

// Recorded gives the answer of the request's only run.
type Recorded struct {
	Response Response
}

// Unknown means that the request may have run, and will not run again.
type Unknown struct{}

// KeyReused means that another request has been sent under the same key.
type KeyReused struct{}

func (Claimed) isDecision()    {}
func (InProgress) isDecision() {}
func (Recorded) isDecision()   {}
func (Unknown) isDecision()    {}
func (KeyReused) isDecision()  {}

// Claims claims requests. Its exported fields are set before Begin.
type Claims struct {
	KV store.KV

	mu        sync.Mutex
	lease     store.LeaseID
	grantedAt time.Time
}

// Begin claims a request. An error means that it must not be sent, and that
// nothing of it has run in this attempt.
func (c *Claims) Begin(ctx context.Context, now time.Time, r Request) (Decision, error) {
	lease, err := c.currentLease(ctx, now)
	if err != nil {
		return nil, errs.Step(err, "Claims.Begin")
	}
	t := Ticket{
		key:   claimPrefix + string(r.Organisation) + "/" + digest([]byte(r.Key)),
		lease: lease,
		record: record{
			ID:            newID(),
			ContentDigest: digest(r.Content),
			State:         stateRunning,
			Expires:       r.Deadline.Add(expiryMargin),
		},
	}
	t.revision, err = c.writeClaim(ctx, t, 0)
	if err == nil {
		return Claimed{
			Ticket: t,
		}, nil
	}
	if !store.IsConflict(err) {
		return nil, errs.Step(err, "Claims.Begin")
	}
	e, err := c.KV.Get(ctx, t.key)
	if err != nil {
		return nil, errs.Step(err, "Claims.Begin")
	}
	var found record
	if err := json.Unmarshal(e.Value, &found); err != nil {
		return nil, errs.Step(err, "Claims.Begin")
	}
	return found.decide(now, t.record.ContentDigest), nil
}

// decide says what an earlier claim means for a request that comes again.
func (r record) decide(now time.Time, content string) Decision {
	switch {
	case r.ContentDigest != content:
		return KeyReused{}
	case r.State == stateComplete && r.Response != nil:
		return Recorded{
			Response: *r.Response,
		}
	case r.State == stateRunning && now.Before(r.Expires):
		return InProgress{
			Until: r.Expires,
		}
	default:
		return Unknown{}
	}
}

// writeClaim writes a claim, recognising its own write by the attempt's id and state.
func (c *Claims) writeClaim(ctx context.Context, t Ticket, expect store.Revision) (store.Revision, error) {
	value, err := json.Marshal(t.record)
	if err != nil {
		return 0, err
	}
	return store.PutOwned(ctx, c.KV, store.Write{
		Key:    t.key,
		Value:  value,
		Expect: expect,
		Lease:  t.lease,
	}, func(e store.Entry) bool {
		var found record
		return json.Unmarshal(e.Value, &found) == nil && found.ID == t.record.ID && found.State == t.record.State
	})
}

// Record notes the answer of a request's run, for whoever sends it again. An
// answer that is too long to keep is noted as unknown.
func (c *Claims) Record(ctx context.Context, t Ticket, a Response) error {
	t.record.State = stateComplete
	t.record.Response = &a
	if len(a.Body) > MaxResponseBytes {
		t.record.State = stateUnknown
		t.record.Response = nil
	}
	_, err := c.writeClaim(ctx, t, t.revision)
	return errs.Step(err, "Claims.Record")
}

// RecordUnknown notes that a request may have run.
func (c *Claims) RecordUnknown(ctx context.Context, t Ticket) error {
	t.record.State = stateUnknown
	_, err := c.writeClaim(ctx, t, t.revision)
	return errs.Step(err, "Claims.RecordUnknown")
}

// Release ends the claim of a request of which it is proven that nothing ran, so
// that it can be sent again. A claim that cannot be released counts as unknown
// once it has expired.
func (c *Claims) Release(ctx context.Context, t Ticket) error {
	return errs.Step(c.KV.Delete(ctx, t.key, t.revision), "Claims.Release")
}

// currentLease returns a lease that outlasts Retention.
func (c *Claims) currentLease(ctx context.Context, now time.Time) (store.LeaseID, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lease != "" && now.Sub(c.grantedAt) < leaseReusePeriod {
		return c.lease, nil
	}
	id, err := c.KV.Grant(ctx, Retention+leaseReusePeriod)
	if err != nil {
		return "", errors.Wrap(err, "lease")
	}
	c.lease = id
	c.grantedAt = now
	return id, nil
}

func digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

func newID() string {
	var b [12]byte
	// crypto/rand.Read never returns an error: it ends the process instead.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
