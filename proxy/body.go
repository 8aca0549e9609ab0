package proxy

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"currantstile/memory"
	"currantstile/shed"
	"currantstile/stream"
)

// errBodyTooSlow ends the reading of a body that arrives at less than shed.MinRate.
var errBodyTooSlow = errors.New("body arrives too slowly")

// beginWork records that the request was received completely. A request whose connection was closed before is
// given up: its answer could not be returned.
func (x *Exchange) beginWork(now time.Time) {
	if x.conn != nil && !x.conn.Begin(now) {
		panic(http.ErrAbortHandler)
	}
}

// pacedReader reads a body that has to arrive at shed.MinRate.
type pacedReader struct {
	exchange *Exchange
	body     io.Reader
	control  *http.ResponseController
	begun    time.Time
	// grace is how long the body may take in addition to the time of its bytes at the lowest rate.
	grace    time.Duration
	received int64
}

// Read implements io.Reader.
func (p *pacedReader) Read(b []byte) (int, error) {
	x := p.exchange
	until, slow := shed.ReceiveUntil(p.begun, p.grace, p.received), true
	if x.Deadline.Before(until) {
		until, slow = x.Deadline, false
	}
	// If the connection does not support deadlines, the body is read without one.
	_ = p.control.SetReadDeadline(until)
	if x.gate.ending != nil && x.gate.ending.Err() != nil {
		_ = p.control.SetReadDeadline(time.Now())
	}
	n, err := p.body.Read(b)
	p.received += int64(n)
	if x.conn != nil {
		x.conn.SetHeld(x.held.body.held.Bytes())
	}
	if slow && errors.Is(err, os.ErrDeadlineExceeded) && (x.gate.ending == nil || x.gate.ending.Err() == nil) {
		err = errBodyTooSlow
	}
	return n, err
}

// readBody reads the complete body of a request into memory.
func (g *Gate) readBody(x *Exchange, r *http.Request) *Refusal {
	limit := x.cfg.Limits.MaxBodyBytes
	if r.ContentLength == 0 {
		return nil
	}
	rc := http.NewResponseController(x.w)
	defer func() {
		_ = rc.SetReadDeadline(time.Time{})
	}()
	defer g.endWith(func() {
		_ = rc.SetReadDeadline(time.Now())
	})()
	reader := &pacedReader{
		exchange: x,
		body:     http.MaxBytesReader(x.w, r.Body, limit),
		control:  rc,
		begun:    time.Now(),
		grace:    x.cfg.Limits.HeaderTimeout,
	}
	body, err := stream.ReadHeld(reader, r.ContentLength, limit, &x.held.body.held)
	if errors.Is(err, memory.ErrNoRoom) {
		x.discardBody(r, reader)
	}
	refusal := x.holdBody(body, err)
	if refusal == nil {
		x.bodyUnread = false
		x.beginWork(time.Now())
	}
	return refusal
}

// takeBody reads the body of a request that was admitted, and returns its charge if it is refused all the same.
func (g *Gate) takeBody(x *Exchange, r *http.Request) *Refusal {
	refusal := g.readBody(x, r)
	if refusal == nil {
		refusal = x.checkDrain(time.Now())
	}
	if refusal == nil {
		refusal = x.checkFeatures(r.Context())
	}
	if refusal != nil {
		g.refund(x)
	}
	return refusal
}

// applyRateLimit charges the cost of a request to its organisation. It returns nil
// if the request is admitted or not limited.
func (g *Gate) applyRateLimit(ctx context.Context, x *Exchange) *Refusal {
	if x.Org == nil || x.Org.Rate <= 0 {
		return nil
	}
	x.cost = x.Org.Cost(x.Request.TotalTokens())
	switch v := g.Limiter.Admit(ctx, time.Now(), x.Request.ID, x.Org, x.cost).(type) {
	case RateLimited:
		x.cost = 0
		return &Refusal{
			Status:     http.StatusTooManyRequests,
			Reason:     "above-rate",
			RetryAfter: v.RetryAfter,
		}
	default:
		return nil
	}
}

// refund gives the charge of a request back that is refused after it was admitted.
func (g *Gate) refund(x *Exchange) {
	if r, ok := g.Limiter.(Refunder); ok && x.cost > 0 {
		r.Refund(time.Now(), x.Org, x.cost)
		x.cost = 0
	}
}
