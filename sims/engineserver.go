package sims

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/route"

	"currantstile/engine"
	"currantstile/model"
	"currantstile/rest"
)

const (
	snapshotInterval = 100 * time.Millisecond
	maxSnapshots     = 200
	loadTimeout      = 30 * time.Second
)

// EngineServer simulates a model engine. Its exported fields must be set before Start.
type EngineServer struct {
	Addr     netip.AddrPort
	Name     string
	Seed     uint64
	Settings EngineSettings
	// Preloaded lists the adapters that are loaded when the engine starts.
	Preloaded model.Adapters
	// Weights is the address of the weight store. If it is not valid, loads finish
	// immediately.
	Weights netip.AddrPort
	HTTP    *rest.Client

	base
	modelMu   sync.Mutex
	model     *engineModel
	hasWork   *sync.Cond
	snapshots []engine.State
	stopped   bool
	stop      chan struct{}
}

// Start starts the server and returns without waiting for requests.
func (s *EngineServer) Start() error {
	s.model = newEngineModel(s.Name, s.Settings)
	for _, a := range s.Preloaded {
		s.model.residents[a] = &residentAdapter{
			ready: true,
		}
	}
	s.hasWork = sync.NewCond(&s.modelMu)
	s.stop = make(chan struct{})
	if err := s.start(s.Addr, s.Seed, s.routes); err != nil {
		return err
	}
	go s.runSteps()
	go s.recordSnapshots()
	return nil
}

// Stop aborts the running requests and stops the server.
func (s *EngineServer) Stop(ctx context.Context) error {
	s.modelMu.Lock()
	s.stopped = true
	for seq := range s.model.sequences {
		s.model.abort(seq)
	}
	s.hasWork.Broadcast()
	s.modelMu.Unlock()
	close(s.stop)
	return s.server.Stop(ctx)
}

// BoundAddr returns the address that the server listens on.
func (s *EngineServer) BoundAddr() netip.AddrPort {
	return s.server.BoundAddr()
}

func (s *EngineServer) routes(e *route.Engine) {
	e.POST("/v1/completions", s.withFaults(s.handleGenerate))
	e.POST("/v1/chat/completions", s.withFaults(s.handleGenerate))
	e.POST("/orders", s.withFaults(s.handleOrder))
	e.GET("/state", s.withFaults(s.handleState))
	e.POST("/faults", s.handleFaults)
}

func (s *EngineServer) handleFaults(_ context.Context, c *app.RequestContext) {
	f, ok := decodeFaults(c)
	if !ok {
		return
	}
	s.SetFaults(f)
	c.JSON(http.StatusOK, f)
}

// SetFaults replaces the injected faults. Crash and Cold are carried out immediately and
// only once.
func (s *EngineServer) SetFaults(f Faults) {
	now := time.Now()
	s.modelMu.Lock()
	s.model.ignoreFencing = f.IgnoreFencing
	if f.Crash {
		s.model.crash(now)
	}
	if f.Cold {
		s.model.beginColdStart(now)
	}
	s.modelMu.Unlock()
	f.Crash = false
	f.Cold = false
	s.setFaults(f)
}

// State returns the engine's current state, without the lag of its reports.
func (s *EngineServer) State() engine.State {
	s.modelMu.Lock()
	defer s.modelMu.Unlock()
	return s.model.state(time.Now())
}

// Running returns the number of requests that the engine runs for an adapter version.
func (s *EngineServer) Running(a model.Adapter) int {
	s.modelMu.Lock()
	defer s.modelMu.Unlock()
	r, ok := s.model.residents[a]
	if !ok {
		return 0
	}
	return r.running
}

// runSteps executes the steps of the batch, and blocks while the batch is empty.
func (s *EngineServer) runSteps() {
	for {
		s.modelMu.Lock()
		for len(s.model.sequences) == 0 && !s.stopped {
			s.hasWork.Wait()
		}
		if s.stopped {
			s.modelMu.Unlock()
			return
		}
		wait := s.model.stepTime()
		s.modelMu.Unlock()
		time.Sleep(wait)
		s.modelMu.Lock()
		s.model.step(time.Now())
		s.modelMu.Unlock()
	}
}

// recordSnapshots records the state periodically for reports with a lag.
func (s *EngineServer) recordSnapshots() {
	t := time.NewTicker(snapshotInterval)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			s.modelMu.Lock()
			s.snapshots = append(s.snapshots, s.model.state(now))
			if len(s.snapshots) > maxSnapshots {
				s.snapshots = s.snapshots[1:]
			}
			s.modelMu.Unlock()
		case <-s.stop:
			return
		}
	}
}

func (s *EngineServer) handleState(_ context.Context, c *app.RequestContext) {
	f, _, _ := s.drawFaults()
	s.modelMu.Lock()
	defer s.modelMu.Unlock()
	now := time.Now()
	if s.model.isDown(now) {
		writeRefusal(c, newRefusal(engine.CodeUnavailable, "engine is starting"))
		return
	}
	state := s.model.state(now)
	if n := int(time.Duration(f.Lag) / snapshotInterval); n > 0 && len(s.snapshots) > 0 {
		state = s.snapshots[max(len(s.snapshots)-n, 0)]
	}
	c.JSON(http.StatusOK, state)
}

func (s *EngineServer) handleOrder(ctx context.Context, c *app.RequestContext) {
	var o engine.Order
	if err := model.DecodeStrict(c.Request.Body(), &o); err != nil {
		writeError(c, http.StatusBadRequest, "bad-order", err.Error())
		return
	}
	s.record(newReceived(time.Now(), c))
	a := model.Adapter{
		Name:    o.Name,
		Version: o.Version,
	}
	switch o.Op {
	case engine.OpLoad:
		writeRefusal(c, s.load(ctx, o.FencingToken, a))
	case engine.OpUnload:
		s.modelMu.Lock()
		err := s.model.unload(time.Now(), o.FencingToken, a)
		s.modelMu.Unlock()
		writeRefusal(c, err)
	default:
		writeError(c, http.StatusBadRequest, "bad-order", "op is neither load nor unload")
	}
	if f, _, _ := s.drawFaults(); s.drawFault(f.DropOrderResponse) {
		dropConnection(c)
	}
}

// load executes a load order. It ignores the context of the request, so that the load
// goes on if the caller disconnects.
func (s *EngineServer) load(_ context.Context, token uint64, a model.Adapter) error {
	s.modelMu.Lock()
	started, err := s.model.beginLoad(time.Now(), token, a)
	startCount := s.model.startCount
	s.modelMu.Unlock()
	if err != nil || !started {
		return err
	}
	err = s.fetchWeights(a)
	s.modelMu.Lock()
	s.model.endLoad(startCount, a, err == nil)
	s.modelMu.Unlock()
	return err
}

// fetchWeights simulates the transfer of an adapter from the weight store.
func (s *EngineServer) fetchWeights(a model.Adapter) error {
	f, _, _ := s.drawFaults()
	if s.drawFault(f.FailLoads) {
		return newRefusal(engine.CodeLoadFailed, "load of %s failed by an injected fault", a)
	}
	if !s.Weights.IsValid() {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	resp, err := s.HTTP.Exchange(ctx, rest.Request{
		Method: http.MethodGet,
		Addr:   s.Weights,
		Path:   "/weights/" + a.Name + "/" + a.Version,
	})
	if err != nil {
		return newRefusal(engine.CodeLoadFailed, "fetch weights of %s: %s", a, err)
	}
	if resp.Status != http.StatusOK {
		return newRefusal(engine.CodeLoadFailed, "fetch weights of %s: HTTP status %d", a, resp.Status)
	}
	return nil
}

// writeRefusal writes status 200 if err is nil, and otherwise an error response with
// the refusal code of err.
func writeRefusal(c *app.RequestContext, err error) {
	if err == nil {
		c.JSON(http.StatusOK, struct{}{})
		return
	}
	code := engine.RefusalCode(err)
	status := http.StatusConflict
	if code == engine.CodeUnavailable || code == engine.CodeOverloaded {
		status = http.StatusServiceUnavailable
	}
	writeError(c, status, code, err.Error())
}
