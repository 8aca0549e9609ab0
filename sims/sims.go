// Package sims holds small stand-ins for what the platform gives: its
// key-value service, model engines, plain services, the weight store and the
// list of instances. Each is a model whose methods take the present time, and a
// thin HTTP server around it.
//
// Every stand-in answers GET /received with the last requests that it got, and
// takes faults at POST /faults.
//
// # Usage
//
//	s := &sims.StoreServer{Addr: addr}
//	if err := s.Start(); err != nil {
//		return err
//	}
//	defer s.Stop(ctx)
//	kv := &remote.Store{Addr: s.Bound(), HTTP: client}
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

// maxReceived bounds how many requests GET /received remembers.
const maxReceived = 4096

// Received is one request that a stand-in got.
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

// Faults is what POST /faults sets; fields that are left out are off. Each
// stand-in heeds those that make sense for it.
type Faults struct {
	// Outage refuses every call.
	Outage bool `json:"outage,omitempty"`
	// Refuse is the share of calls refused before they take effect.
	Refuse float64 `json:"refuse,omitempty"`
	// Delay is waited before each call takes effect.
	Delay model.Duration `json:"delay,omitempty"`
	// DropResponse is the share of calls whose connection closes after the effect
	// and before the answer.
	DropResponse float64 `json:"drop-answer,omitempty"`
	// CutAfter closes an engine's stream after so many tokens.
	CutAfter int64 `json:"cut-after,omitempty"`
	// WrongResponseID answers an engine's request with another request's id.
	WrongResponseID bool `json:"cross-answers,omitempty"`
	// DropOrderResponse is the share of an engine's orders whose answer is lost.
	DropOrderResponse float64 `json:"drop-orders,omitempty"`
	// FailLoads is the share of adapter loads that fail.
	FailLoads float64 `json:"fail-loads,omitempty"`
	// Lag delays what load reports and the list of instances show.
	Lag model.Duration `json:"lag,omitempty"`
	// IgnoreFencing takes orders with an old fencing number.
	IgnoreFencing bool `json:"ignore-fencing,omitempty"`
	// Crash restarts a target at once, empty and cold.
	Crash bool `json:"crash,omitempty"`
	// Cold returns a target to its cold start without a restart.
	Cold bool `json:"cold,omitempty"`
	// Rollback returns the store to an older state, so many revisions back.
	Rollback uint64 `json:"rollback,omitempty"`
}

// base is what all stand-ins share: the listener, the record of requests, the
// faults, and a seeded source of chance.
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

// Received returns the last requests, newest last.
func (b *base) Received() []Received {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Received{}, b.received...)
}

func (b *base) handleReceived(_ context.Context, c *app.RequestContext) {
	c.JSON(http.StatusOK, b.Received())
}

// drawFaults draws which faults hit one call.
func (b *base) drawFaults() (f Faults, refuse, drop bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f = b.faults
	refuse = f.Outage || b.rng.Float64() < f.Refuse
	drop = b.rng.Float64() < f.DropResponse
	return f, refuse, drop
}

// drawFault draws once against a share.
func (b *base) drawFault(share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rng.Float64() < share
}

func (b *base) setFaults(f Faults) {
	b.mu.Lock()
	b.faults = f
	b.mu.Unlock()
}

// withFaults wraps a handler with the faults that hit any call.
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

// dropConnection closes the caller's connection without an answer.
func dropConnection(c *app.RequestContext) {
	c.SetConnectionClose()
	// The answer fails on the closed connection, which is the point.
	_ = c.GetConn().Close()
}

// newReceived records what is common to all received requests.
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

// decodeFaults reads the body of POST /faults.
func decodeFaults(c *app.RequestContext) (Faults, bool) {
	var f Faults
	if err := model.DecodeStrict(c.Request.Body(), &f); err != nil {
		writeError(c, http.StatusBadRequest, "bad-faults", err.Error())
		return f, false
	}
	return f, true
}
