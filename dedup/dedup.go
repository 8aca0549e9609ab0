// Package dedup prevents requests that are not repeatable from running twice. Before such a request
// is sent to a target, it is claimed under its idempotency key in the platform's key-value store.
// Only the creator of the claim sends the request, and only once. A repetition under the same key
// gets the recorded response, or the information that the request is still running or that its
// outcome is unknown.
//
// # Usage
//
//	c := &dedup.Claims{KV: kv}
//	switch d, err := c.Begin(ctx, now, dedup.Request{...}); d := d.(type) {
//	case dedup.Claimed:
//		if !d.Ticket.MayRun(time.Now()) {
//			return c.Release(ctx, d.Ticket)
//		}
//		// send it once, then:
//		err = c.Record(ctx, d.Ticket, response)
//	case dedup.Recorded: // reply with d.Response
//	case dedup.InProgress, dedup.Unknown, dedup.KeyReused:
//	}
//
// After the store's return from an older copy a claim may be lost although its request was sent. The
// claims of the last minute are kept in memory and written again by Run, and no claims are made in the
// first seconds of an era (docs/design/store-rewind.md).
package dedup

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"currantstile/errs"
	"currantstile/model"
	"currantstile/store"
)

const (
	claimPrefix = "claim/"
	// Retention is the minimum time for which a claim is kept unless it is released.
	Retention = 24 * time.Hour
	// leaseReusePeriod is how long new claims are attached to the same lease. Leases are never
	// renewed, so that the claims are deleted when their lease expires.
	leaseReusePeriod = 10 * time.Minute
	// MaxKeyBytes is the maximum length of an idempotency key.
	MaxKeyBytes = 255
	// MaxResponseBytes is the maximum size of a response body that is recorded.
	MaxResponseBytes = 64 << 10
	// expiryMargin allows for clock skew between instances.
	expiryMargin = 5 * time.Second
)

// Request is a request that is not repeatable.
type Request struct {
	Organisation model.OrgID
	Key          string
	// Content identifies what is requested: method, path and body.
	Content []byte
	// Deadline is the time until which the request may run.
	Deadline time.Time
}

// Response is a recorded response.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// claimState is the stored state of a claim.
type claimState string

const (
	stateRunning  claimState = "running"
	stateComplete claimState = "complete"
	stateUnknown  claimState = "unknown"
)

// record is the stored form of a claim.
type record struct {
	// ID identifies the attempt that created the claim.
	ID            string     `json:"id"`
	ContentDigest string     `json:"content"`
	State         claimState `json:"state"`
	Expires       time.Time  `json:"expires"`
	Response      *Response  `json:"answer,omitempty"`
	// Era is that of the store, as the claimant knew it. A record whose revision is of a later era is one
	// of the copy, or gives no right to run.
	Era store.Era `json:"era,omitempty"`
}

// Ticket is the right to run a request once.
type Ticket struct {
	key      string
	revision store.Revision
	lease    store.LeaseID
	record   record
	// claimedAt is when the claim was made.
	claimedAt time.Time
}

// MayRun reports whether the request may be sent now. It returns false after the deadline, for
// example in a process that was paused after Begin: other instances may by then have reported the
// outcome as unknown, and a later run would contradict them. On a store with eras it returns false
// sendTime after Begin already: the claim may be lost, and another one be made settleTime later.
func (t Ticket) MayRun(now time.Time) bool {
	if t.revision.Era() > 0 && now.Sub(t.claimedAt) >= sendTime {
		return false
	}
	return now.Before(t.record.Expires.Add(-expiryMargin))
}

// Decision is the result of Begin. It is one of Claimed, InProgress, Recorded, Unknown and
// KeyReused.
type Decision interface {
	isDecision()
}

// Claimed grants the right to run the request.
type Claimed struct {
	Ticket Ticket
}

// InProgress means that an earlier attempt of the request may still be running.
type InProgress struct {
	// Until is the expiry of the claim, after which the outcome is either recorded or unknown.
	Until time.Time
}

// Recorded holds the response of the request's only run.
type Recorded struct {
	Response Response
}

// Unknown means that the request may have run and must not be run again.
type Unknown struct{}

// KeyReused means that the key was already used for a request with other content.
type KeyReused struct{}

func (Claimed) isDecision()    {}
func (InProgress) isDecision() {}
func (Recorded) isDecision()   {}
func (Unknown) isDecision()    {}
func (KeyReused) isDecision()  {}

// Claims creates and resolves claims on requests. Its exported fields must be set before Begin.
type Claims struct {
	KV store.KV
	// Era returns the highest known era of the store; nil means that of its responses to these claims.
	Era func() store.Era
	Log log.Logger

	mu        sync.Mutex
	lease     store.LeaseID
	grantedAt time.Time
	// era is the highest known era, since a time.
	era   store.Era
	since time.Time
	held  held
}

// Begin claims a request, or returns the decision that follows from an existing claim. After an
// error the request must not be sent; no part of it has run in this attempt.
func (c *Claims) Begin(ctx context.Context, now time.Time, r Request) (Decision, error) {
	era, settled := c.noteEra(now, 0)
	t := Ticket{
		key:       claimPrefix + string(r.Organisation) + "/" + digest([]byte(r.Key)),
		claimedAt: now,
		record: record{
			Era:           era,
			ID:            newID(),
			ContentDigest: digest(r.Content),
			State:         stateRunning,
			Expires:       r.Deadline.Add(expiryMargin),
		},
	}
	if settled {
		var err error
		if t, err = c.claim(ctx, now, t); err == nil {
			return Claimed{
				Ticket: t,
			}, nil
		}
		if !store.IsConflict(err) {
			return nil, errs.WithOp(err, "Claims.Begin")
		}
	}
	e, err := c.KV.Get(ctx, t.key)
	if !settled && errors.Is(err, store.ErrNotFound) {
		err = ErrSettling
	}
	if err != nil {
		return nil, errs.WithOp(err, "Claims.Begin")
	}
	var existing record
	if err := json.Unmarshal(e.Value, &existing); err != nil {
		return nil, errs.WithOp(err, "Claims.Begin")
	}
	return existing.decide(now, t.record.ContentDigest), nil
}

// decide returns the decision for a repeated request, given the existing claim r.
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

// writeClaim writes a claim. If an earlier attempt to write it was applied but its response was lost,
// the stored claim is recognised as its own by the attempt's ID and state.
func (c *Claims) writeClaim(ctx context.Context, t Ticket, expect store.Revision) (store.Revision, error) {
	value, err := json.Marshal(t.record)
	if err != nil {
		return 0, err
	}
	return store.PutIdempotent(ctx, c.KV, store.Write{
		Key:    t.key,
		Value:  value,
		Expect: expect,
		Lease:  t.lease,
	}, func(e store.Entry) bool {
		var existing record
		return json.Unmarshal(e.Value, &existing) == nil && existing.ID == t.record.ID && existing.State == t.record.State
	})
}

// Record stores the response of a request's run for repetitions of the request. If the body is
// larger than MaxResponseBytes, the outcome is stored as unknown.
func (c *Claims) Record(ctx context.Context, t Ticket, response Response) error {
	t.record.State = stateComplete
	t.record.Response = &response
	if len(response.Body) > MaxResponseBytes {
		t.record.State = stateUnknown
		t.record.Response = nil
	}
	return errs.WithOp(c.update(ctx, t), "Claims.Record")
}

// RecordUnknown records that a request may have run.
func (c *Claims) RecordUnknown(ctx context.Context, t Ticket) error {
	t.record.State = stateUnknown
	return errs.WithOp(c.update(ctx, t), "Claims.RecordUnknown")
}

// Release deletes the claim of a request that provably did not run, so that it can be sent again.
// If the deletion fails, the outcome is unknown once the claim has expired.
func (c *Claims) Release(ctx context.Context, t Ticket) error {
	c.held.keep(t, true)
	return errs.WithOp(c.KV.Delete(ctx, t.key, t.revision), "Claims.Release")
}

// currentLease returns a lease with at least Retention left. It grants a new one when the last is
// older than leaseReusePeriod.
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
	// crypto/rand.Read never returns an error; it crashes the program instead.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
