package sims

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/route"
	"golang.org/x/time/rate"
)

// Load time and rate limit of the platform's weight store, as its users specify them.
// weightsFullSpeedLoads is the number of concurrent loads up to which a load takes
// weightsLoadTime; weightsLoadsPerSecond and weightsLoadBurst limit the loads started.
const (
	weightsLoadTime       = 250 * time.Millisecond
	weightsFullSpeedLoads = 8
	weightsLoadsPerSecond = 4
	weightsLoadBurst      = 8
)

// WeightsServer simulates the weight store. A load takes a quarter second while at
// most eight loads are in flight, and proportionally longer with more. Loads above
// the rate limit are refused. The exported fields must be set before Start.
type WeightsServer struct {
	Addr netip.AddrPort
	Seed uint64
	// PerSecond (loads a second) and Burst (loads) limit the rate of loads; zero means 4
	// and 8.
	PerSecond float64
	Burst     int

	base
	loadMu      sync.Mutex
	inFlight    int
	maxInFlight int
	limiter     *rate.Limiter
}

// WeightsState is the response body of GET /state: the current number of concurrent loads
// and the highest one since the start.
type WeightsState struct {
	InFlight    int `json:"in-flight"`
	MaxInFlight int `json:"most"`
}

// Start starts the server and returns without waiting for requests.
func (s *WeightsServer) Start() error {
	setDefault(&s.PerSecond, weightsLoadsPerSecond)
	setDefault(&s.Burst, weightsLoadBurst)
	s.limiter = rate.NewLimiter(rate.Limit(s.PerSecond), s.Burst)
	return s.start(s.Addr, s.Seed, func(e *route.Engine) {
		e.GET("/weights/:name/:version", s.withFaults(s.handleLoad))
		e.GET("/state", s.handleState)
		e.POST("/faults", s.handleFaults)
	})
}

// Stop stops the server.
func (s *WeightsServer) Stop(ctx context.Context) error {
	return s.server.Stop(ctx)
}

// BoundAddr returns the address that the server listens on.
func (s *WeightsServer) BoundAddr() netip.AddrPort {
	return s.server.BoundAddr()
}

func (s *WeightsServer) handleFaults(_ context.Context, c *app.RequestContext) {
	if f, ok := decodeFaults(c); ok {
		s.setFaults(f)
		c.JSON(http.StatusOK, f)
	}
}

func (s *WeightsServer) handleState(_ context.Context, c *app.RequestContext) {
	s.loadMu.Lock()
	defer s.loadMu.Unlock()
	c.JSON(http.StatusOK, WeightsState{
		InFlight:    s.inFlight,
		MaxInFlight: s.maxInFlight,
	})
}

func (s *WeightsServer) handleLoad(_ context.Context, c *app.RequestContext) {
	s.record(newReceived(time.Now(), c))
	if !s.limiter.AllowN(time.Now(), 1) {
		writeError(c, http.StatusTooManyRequests, "limited", "above the weight store's rate")
		return
	}
	time.Sleep(s.beginLoad())
	s.loadMu.Lock()
	s.inFlight--
	s.loadMu.Unlock()
	c.JSON(http.StatusOK, struct{}{})
}

// beginLoad counts a load as in flight and returns its duration.
func (s *WeightsServer) beginLoad() time.Duration {
	s.loadMu.Lock()
	defer s.loadMu.Unlock()
	s.inFlight++
	s.maxInFlight = max(s.maxInFlight, s.inFlight)
	return LoadTime(s.inFlight)
}

// LoadTime returns the duration of a load that starts with inFlight loads in flight,
// itself included.
func LoadTime(inFlight int) time.Duration {
	return weightsLoadTime * time.Duration(max(inFlight, weightsFullSpeedLoads)) / weightsFullSpeedLoads
}
