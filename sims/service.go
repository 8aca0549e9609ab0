package sims

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/route"

	"currantstile/engine"
)

const (
	defaultServiceTime          = 20 * time.Millisecond
	defaultServiceMaxConcurrent = 64
)

// ServiceServer simulates a plain service, such as one that books consignments. It
// executes every call without deduplication, up to its limit of concurrent calls, and
// counts the executions for each idempotency key. Its exported fields must be set
// before Start.
type ServiceServer struct {
	Addr netip.AddrPort
	Name string
	Seed uint64
	// ServiceTime is the duration of one call.
	ServiceTime time.Duration
	// MaxConcurrent is the maximum number of concurrent calls, ColdMaxConcurrent the
	// maximum during the cold start, which lasts ColdTime.
	MaxConcurrent     int
	ColdMaxConcurrent int
	ColdTime          time.Duration

	base
	runMu      sync.Mutex
	runs       map[string]int
	running    int
	startCount int
	coldUntil  time.Time
}

// serviceResponse is the response body of a call.
type serviceResponse struct {
	RequestID string `json:"request-id"`
	Service   string `json:"service"`
	// Run is the number of executions with the call's idempotency key so far.
	Run int `json:"run"`
}

// Start starts the server and returns without waiting for requests.
func (s *ServiceServer) Start() error {
	s.runs = make(map[string]int)
	s.startCount = 1
	setDefault(&s.ServiceTime, defaultServiceTime)
	setDefault(&s.MaxConcurrent, defaultServiceMaxConcurrent)
	setDefault(&s.ColdMaxConcurrent, 2)
	setDefault(&s.ColdTime, 5*time.Second)
	return s.start(s.Addr, s.Seed, func(e *route.Engine) {
		e.GET("/state", s.withFaults(s.handleState))
		e.GET("/runs", s.handleRuns)
		e.POST("/faults", s.handleFaults)
		e.NoRoute(s.withFaults(s.handleCall))
	})
}

// Stop stops the server.
func (s *ServiceServer) Stop(ctx context.Context) error {
	return s.server.Stop(ctx)
}

// BoundAddr returns the address that the server listens on.
func (s *ServiceServer) BoundAddr() netip.AddrPort {
	return s.server.BoundAddr()
}

// Runs returns the number of executions for each idempotency key.
func (s *ServiceServer) Runs() map[string]int {
	s.runMu.Lock()
	defer s.runMu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		runs[k] = n
	}
	return runs
}

// SetFaults replaces the injected faults. Crash and Cold are carried out immediately and
// only once.
func (s *ServiceServer) SetFaults(f Faults) {
	now := time.Now()
	s.runMu.Lock()
	if f.Crash {
		s.startCount++
	}
	if f.Crash || f.Cold {
		s.coldUntil = now.Add(s.ColdTime)
	}
	s.runMu.Unlock()
	f.Crash = false
	f.Cold = false
	s.setFaults(f)
}

func (s *ServiceServer) handleFaults(_ context.Context, c *app.RequestContext) {
	f, ok := decodeFaults(c)
	if !ok {
		return
	}
	s.SetFaults(f)
	c.JSON(http.StatusOK, f)
}

func (s *ServiceServer) handleRuns(_ context.Context, c *app.RequestContext) {
	c.JSON(http.StatusOK, s.Runs())
}

// capacity returns the phase and the maximum number of concurrent calls.
func (s *ServiceServer) capacity(now time.Time) (engine.Phase, int) {
	if now.Before(s.coldUntil) {
		return engine.PhaseCold, s.ColdMaxConcurrent
	}
	return engine.PhaseWarm, s.MaxConcurrent
}

func (s *ServiceServer) handleState(_ context.Context, c *app.RequestContext) {
	s.runMu.Lock()
	defer s.runMu.Unlock()
	phase, limit := s.capacity(time.Now())
	c.JSON(http.StatusOK, engine.State{
		Incarnation:   fmt.Sprintf("%s-%d", s.Name, s.startCount),
		Phase:         phase,
		MaxConcurrent: limit,
		Running:       s.running,
		Adapters:      []engine.AdapterState{},
	})
}

func (s *ServiceServer) handleCall(_ context.Context, c *app.RequestContext) {
	r := newReceived(time.Now(), c)
	key := string(c.Request.Header.Peek(engine.HeaderIdempotencyKey))
	run, ok := s.beginCall(time.Now(), key)
	s.record(r)
	if !ok {
		writeError(c, http.StatusServiceUnavailable, engine.CodeOverloaded, "service runs as many calls as it bears")
		return
	}
	time.Sleep(s.ServiceTime)
	s.endCall()
	c.Response.Header.Set(engine.HeaderRequestID, r.RequestID)
	c.JSON(http.StatusOK, serviceResponse{
		RequestID: r.RequestID,
		Service:   s.Name,
		Run:       run,
	})
}

// beginCall counts a call as running and returns the number of executions with its key.
// At the limit it returns false; a service in its cold start then restarts.
func (s *ServiceServer) beginCall(now time.Time, key string) (int, bool) {
	s.runMu.Lock()
	defer s.runMu.Unlock()
	phase, limit := s.capacity(now)
	if s.running >= limit {
		if phase == engine.PhaseCold {
			s.startCount++
			s.coldUntil = now.Add(s.ColdTime)
		}
		return 0, false
	}
	s.running++
	s.runs[key]++
	return s.runs[key], true
}

func (s *ServiceServer) endCall() {
	s.runMu.Lock()
	defer s.runMu.Unlock()
	s.running--
}
