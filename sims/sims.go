// Package sims simulates the services of the platform: its key-value service,
// model engines, plain services, the weight store and the list of instances and
// targets. Each simulator is an HTTP server around a small model of the service;
// methods of the models that depend on time take the current time as a parameter.
//
// Every simulator accepts faults to inject at POST /faults and returns the latest
// recorded requests at GET /received. The key-value service and the list of members
// record no requests.
//
// # Usage
//
//	s := &sims.StoreServer{Addr: addr}
//	if err := s.Start(); err != nil {
//		return err
//	}
//	defer s.Stop(ctx)
//	kv := &remote.Store{Addr: s.BoundAddr(), HTTP: client}
package sims

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/route"

	"currantstile/httpd"
	"currantstile/model"
)

// maxReceived is the maximum number of recorded requests that a simulator keeps.
const maxReceived = 4096

// Received is one request that a simulator has received. An engine records a completion
// request when its response has ended.
type Received struct {
	At              time.Time           `json:"at"`
	RequestID       string              `json:"request-id"`
	Method          string              `json:"method"`
	Path            string              `json:"path"`
	Header          map[string][]string `json:"header"`
	Body            string              `json:"body"`
	Adapter         string              `json:"adapter,omitempty"`
	Version         string              `json:"version,omitempty"`
	PromptTokens    int64               `json:"prompt-tokens,omitempty"`
	GeneratedTokens int64               `json:"generated-tokens,omitempty"`
}

// Faults is the set of injected faults and the body of POST /faults. A zero or
// omitted field is off. Each simulator ignores the faults that do not apply to it.
type Faults struct {
	// Outage refuses every call.
	Outage bool `json:"outage,omitempty"`
	// Refuse is the fraction of calls that are refused before they take effect.
	Refuse float64 `json:"refuse,omitempty"`
	// Delay is the time to wait before each call takes effect or is refused.
	Delay model.Duration `json:"delay,omitempty"`
	// DropResponse is the fraction of calls whose connection is closed after the
	// call took effect and before the response is sent.
	DropResponse float64 `json:"drop-answer,omitempty"`
	// CutAfter is the number of generated tokens after which an engine closes the
	// connection of a response. A stream sends the tokens already generated first.
	CutAfter int64 `json:"cut-after,omitempty"`
	// WrongResponseID makes an engine respond with an ID other than the request's.
	WrongResponseID bool `json:"cross-answers,omitempty"`
	// DropOrderResponse is the fraction of an engine's orders whose response is lost.
	DropOrderResponse float64 `json:"drop-orders,omitempty"`
	// FailLoads is the fraction of adapter loads that fail.
	FailLoads float64 `json:"fail-loads,omitempty"`
	// Lag is the age of the state in engine reports and of the list of members.
	Lag model.Duration `json:"lag,omitempty"`
	// IgnoreFencing makes an engine accept orders with an outdated fencing token.
	IgnoreFencing bool `json:"ignore-fencing,omitempty"`
	// Crash restarts a target immediately, without loaded adapters and in its cold
	// start. The running calls of a plain service go on.
	Crash bool `json:"crash,omitempty"`
	// Cold puts a target back into its cold start without a restart.
	Cold bool `json:"cold,omitempty"`
	// Rollback is the number of revisions by which the store is set back.
	Rollback uint64 `json:"rollback,omitempty"`
}

// base is the common part of all simulators: the HTTP server, the recorded
// requests, the injected faults and a seeded random number generator.
type base struct {
	server httpd.Server

	mu       sync.Mutex
	rng      *rand.Rand
	faults   Faults
	received []Received
}

func (b *base) start(addr netip.AddrPort, seed uint64, routes func(*route.Engine)) error {
	b.rng = rand.New(rand.NewPCG(seed, seed))
	b.server = httpd.Server{
		Addr:            addr,
		ShutdownTimeout: time.Second,
		Routes: func(e *route.Engine) {
			e.GET("/received", b.handleReceived)
			routes(e)
		},
	}
	return b.server.Start()
}

func (b *base) record(r Received) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.received) == maxReceived {
		b.received = append(b.received[:0], b.received[1:]...)
	}
	b.received = append(b.received, r)
}

// Received returns the recorded requests, latest record last.
func (b *base) Received() []Received {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Received{}, b.received...)
}

func (b *base) handleReceived(_ context.Context, c *app.RequestContext) {
	c.JSON(http.StatusOK, b.Received())
}

// drawFaults returns the faults in force and whether one call is to be refused or
// its response dropped.
func (b *base) drawFaults() (f Faults, refuse, drop bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f = b.faults
	refuse = f.Outage || b.rng.Float64() < f.Refuse
	drop = b.rng.Float64() < f.DropResponse
	return f, refuse, drop
}

// drawFault returns true with probability p.
func (b *base) drawFault(p float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rng.Float64() < p
}

func (b *base) setFaults(f Faults) {
	b.mu.Lock()
	b.faults = f
	b.mu.Unlock()
}

// withFaults wraps a handler with the faults that apply to any call: Outage, Refuse,
// Delay and DropResponse.
func (b *base) withFaults(handle app.HandlerFunc) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		f, refuse, drop := b.drawFaults()
		if f.Delay > 0 {
			time.Sleep(time.Duration(f.Delay))
		}
		if refuse {
			writeError(c, http.StatusServiceUnavailable, "unavailable", "call refused by an injected fault")
			return
		}
		handle(ctx, c)
		if drop {
			dropConnection(c)
		}
	}
}

// dropConnection closes the caller's connection without a response.
func dropConnection(c *app.RequestContext) {
	c.SetConnectionClose()
	// Closing the connection makes the write of the response fail, as intended.
	_ = c.GetConn().Close()
}

// newReceived returns the record of a request, without the fields of engines.
func newReceived(now time.Time, c *app.RequestContext) Received {
	header := make(map[string][]string)
	c.Request.Header.VisitAll(func(k, v []byte) {
		header[string(k)] = append(header[string(k)], string(v))
	})
	return Received{
		At:        now,
		RequestID: string(c.Request.Header.Peek("X-Request-Id")),
		Method:    string(c.Method()),
		Path:      string(c.Request.URI().RequestURI()),
		Header:    header,
		Body:      string(c.Request.Body()),
	}
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func writeError(c *app.RequestContext, status int, code, message string) {
	c.JSON(status, errorBody{
		Error: errorDetail{
			Code:    code,
			Message: message,
		},
	})
}

// decodeFaults decodes the body of POST /faults. If it is invalid, it writes an error
// response and returns false.
func decodeFaults(c *app.RequestContext) (Faults, bool) {
	var f Faults
	if err := model.DecodeStrict(c.Request.Body(), &f); err != nil {
		writeError(c, http.StatusBadRequest, "bad-faults", err.Error())
		return f, false
	}
	return f, true
}
