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

// Figures of the weight store as the users give them.
const (
	weightsLoadTime       = 250 * time.Millisecond
	weightsFullSpeedLoads = 8
	weightsPerSecond      = 4
	weightsBurst          = 8
)

// WeightsServer is the stand-in for the weight store: a load takes a quarter
// second while at most eight are in flight, proportionally longer beyond that,
// and loads above its rate are refused. Its exported fields are set before
// Start.
type WeightsServer struct {
	Addr netip.AddrPort
	Seed uint64
	// PerSecond and Burst bound the loads; zero takes 4 and 8.
	PerSecond float64
	Burst     int

	base
	loadMu      sync.Mutex
	inFlight    int
	maxInFlight int
	limiter     *rate.Limiter
}

// WeightsState is what GET /state of a weight store tells.
type WeightsState struct {
	InFlight    int `json:"in-flight"`
	MaxInFlight int `json:"most"`
}

// Start serves in the background.
func (s *WeightsServer) Start() error {
	setDefault(&s.PerSecond, weightsPerSecond)
	setDefault(&s.Burst, weightsBurst)
	s.limiter = rate.NewLimiter(rate.Limit(s.PerSecond), s.Burst)
	return s.start(s.Addr, s.Seed, func(e *route.Engine) {
		e.GET("/weights/:name/:version", s.withFaults(s.handleLoad))
		e.GET("/state", s.handleState)
		e.POST("/faults", s.handleFaults)
	})
}

// Stop ends the server.
func (s *WeightsServer) Stop(ctx context.Context) error {
	return s.server.Stop(ctx)
}

// BoundAddr returns the address that Start took.
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

// beginLoad counts a load and returns how long it takes.
func (s *WeightsServer) beginLoad() time.Duration {
	s.loadMu.Lock()
	defer s.loadMu.Unlock()
	s.inFlight++
	s.maxInFlight = max(s.maxInFlight, s.inFlight)
	return LoadTime(s.inFlight)
}

// LoadTime is how long a load takes while so many are in flight.
func LoadTime(inFlight int) time.Duration {
	return weightsLoadTime * time.Duration(max(inFlight, weightsFullSpeedLoads)) / weightsFullSpeedLoads
}
