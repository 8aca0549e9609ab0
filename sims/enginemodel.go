package sims

import (
	"fmt"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"currantstile/engine"
	"currantstile/model"
)

// EngineSettings are the capacity and the timing of a model engine.
type EngineSettings struct {
	// Slots is the maximum number of loaded adapters.
	Slots int
	// MaxConcurrent is the maximum number of concurrent requests of a warm engine,
	// ColdMaxConcurrent the maximum during a cold start.
	MaxConcurrent     int
	ColdMaxConcurrent int
	// ColdTime is the duration of a cold start.
	ColdTime time.Duration
	// StepTime is the base duration of one step of the batch, StepPerRequest the
	// time that each request in the batch adds to it.
	StepTime       time.Duration
	StepPerRequest time.Duration
	// PrefillTime is the time before a request's first token.
	PrefillTime time.Duration
	// RestartTime is the time for which the engine is unavailable after a crash.
	RestartTime time.Duration
}

// SetDefaults sets the fields that are zero to their default values.
func (s *EngineSettings) SetDefaults() {
	setDefault(&s.Slots, 8)
	setDefault(&s.MaxConcurrent, 32)
	setDefault(&s.ColdMaxConcurrent, 2)
	setDefault(&s.ColdTime, 5*time.Second)
	setDefault(&s.StepTime, 10*time.Millisecond)
	setDefault(&s.StepPerRequest, 200*time.Microsecond)
	setDefault(&s.PrefillTime, 20*time.Millisecond)
	setDefault(&s.RestartTime, time.Second)
}

func setDefault[T comparable](v *T, fallback T) {
	var zero T
	if *v == zero {
		*v = fallback
	}
}

// sequence is one request in an engine's batch.
type sequence struct {
	adapter model.Adapter
	// tokens receives one element for each generated token and is closed after the
	// last one.
	tokens chan struct{}
	// aborted is closed if the sequence ends before its last token.
	aborted      chan struct{}
	firstTokenAt time.Time
	remaining    int64
	finished     bool
}

// residentAdapter is an adapter that occupies a slot. It is not ready while it loads.
type residentAdapter struct {
	ready   bool
	running int
}

// engineModel is the state of a model engine. startCount counts its starts and is part
// of its incarnation. It is not safe for concurrent use.
type engineModel struct {
	settings       EngineSettings
	name           string
	startCount     int
	coldUntil      time.Time
	downUntil      time.Time
	residents      map[model.Adapter]*residentAdapter
	sequences      map[*sequence]struct{}
	fencingToken   uint64
	ignoreFencing  bool
	evictedRunning uint64
	steps          uint64
	stepTokens     uint64
	stepGroups     uint64
	loads          uint64
}

func newEngineModel(name string, settings EngineSettings) *engineModel {
	settings.SetDefaults()
	return &engineModel{
		settings:   settings,
		name:       name,
		startCount: 1,
		residents:  make(map[model.Adapter]*residentAdapter),
		sequences:  make(map[*sequence]struct{}),
	}
}

func newRefusal(code, format string, args ...any) error {
	return &engine.RefusalError{
		Code:    code,
		Message: fmt.Sprintf(format, args...),
	}
}

var errOverloadCrash = errors.New("engine crashed: more requests than it can run during its cold start")

func (m *engineModel) phase(now time.Time) engine.Phase {
	if now.Before(m.coldUntil) {
		return engine.PhaseCold
	}
	return engine.PhaseWarm
}

func (m *engineModel) maxConcurrent(now time.Time) int {
	if m.phase(now) == engine.PhaseCold {
		return m.settings.ColdMaxConcurrent
	}
	return m.settings.MaxConcurrent
}

func (m *engineModel) isDown(now time.Time) bool {
	return now.Before(m.downUntil)
}

// admit adds a request to the batch. Above the limit of concurrent requests, an
// engine in its cold start crashes, and a warm one refuses the request.
func (m *engineModel) admit(now time.Time, a model.Adapter, tokens int64) (*sequence, error) {
	if m.isDown(now) {
		return nil, newRefusal(engine.CodeUnavailable, "engine is starting")
	}
	r, ok := m.residents[a]
	if !ok || !r.ready {
		return nil, newRefusal(engine.CodeNotLoaded, "adapter %s is not loaded", a)
	}
	if len(m.sequences) >= m.maxConcurrent(now) {
		if m.phase(now) == engine.PhaseCold {
			m.crash(now)
			return nil, errOverloadCrash
		}
		return nil, newRefusal(engine.CodeOverloaded, "engine already runs %d requests", len(m.sequences))
	}
	s := &sequence{
		adapter:      a,
		tokens:       make(chan struct{}, tokens),
		aborted:      make(chan struct{}),
		firstTokenAt: now.Add(m.settings.PrefillTime),
		remaining:    tokens,
	}
	r.running++
	m.sequences[s] = struct{}{}
	return s, nil
}

// removeSequence removes a sequence from the batch, if it is still in it.
func (m *engineModel) removeSequence(s *sequence) {
	if _, ok := m.sequences[s]; !ok {
		return
	}
	delete(m.sequences, s)
	if r, ok := m.residents[s.adapter]; ok {
		r.running--
	}
}

// abort removes a sequence from the batch and ends it, unless it has finished.
func (m *engineModel) abort(s *sequence) {
	m.removeSequence(s)
	if !s.finished {
		s.finished = true
		close(s.aborted)
	}
}

// step generates one token for each sequence whose prefill is done.
func (m *engineModel) step(now time.Time) {
	groups := make(map[model.Adapter]struct{})
	var tokens uint64
	for s := range m.sequences {
		if now.Before(s.firstTokenAt) {
			continue
		}
		s.tokens <- struct{}{}
		s.remaining--
		tokens++
		groups[s.adapter] = struct{}{}
		if s.remaining == 0 {
			s.finished = true
			close(s.tokens)
			m.removeSequence(s)
		}
	}
	if tokens > 0 {
		m.steps++
		m.stepTokens += tokens
		m.stepGroups += uint64(len(groups))
	}
}

// stepTime returns the duration of the next step, which grows with the batch.
func (m *engineModel) stepTime() time.Duration {
	return m.settings.StepTime + time.Duration(len(m.sequences))*m.settings.StepPerRequest
}

// beginLoad reserves a slot for an adapter. It returns false without an error if the
// adapter is already loaded.
func (m *engineModel) beginLoad(now time.Time, token uint64, a model.Adapter) (bool, error) {
	if err := m.checkOrder(now, token); err != nil {
		return false, err
	}
	if r, ok := m.residents[a]; ok {
		if r.ready {
			return false, nil
		}
		return false, newRefusal(engine.CodeInUse, "adapter %s is being loaded", a)
	}
	if len(m.residents) >= m.settings.Slots {
		return false, newRefusal(engine.CodeNoSlot, "all %d adapter slots are in use", m.settings.Slots)
	}
	m.residents[a] = &residentAdapter{}
	m.loads++
	return true, nil
}

// endLoad marks an adapter as ready, or frees its slot if the load failed. It ignores
// loads that began before the latest restart.
func (m *engineModel) endLoad(startCount int, a model.Adapter, ok bool) {
	r, found := m.residents[a]
	if startCount != m.startCount || !found {
		return
	}
	if !ok {
		delete(m.residents, a)
		return
	}
	r.ready = true
}

// unload frees an adapter's slot. Like a real engine, it does not check whether the
// adapter is in use, and aborts the requests that run on it.
func (m *engineModel) unload(now time.Time, token uint64, a model.Adapter) error {
	if err := m.checkOrder(now, token); err != nil {
		return err
	}
	r, ok := m.residents[a]
	if !ok {
		return nil
	}
	if !r.ready {
		return newRefusal(engine.CodeInUse, "adapter %s is being loaded", a)
	}
	for s := range m.sequences {
		if s.adapter == a {
			m.evictedRunning++
			m.abort(s)
		}
	}
	delete(m.residents, a)
	return nil
}

// checkOrder refuses an order while the engine is down, and an order whose fencing token
// is below the highest one accepted so far.
func (m *engineModel) checkOrder(now time.Time, token uint64) error {
	if m.isDown(now) {
		return newRefusal(engine.CodeUnavailable, "engine is starting")
	}
	if token < m.fencingToken && !m.ignoreFencing {
		return newRefusal(engine.CodeStaleFencingToken, "fencing token %d is below the current token %d", token, m.fencingToken)
	}
	m.fencingToken = max(m.fencingToken, token)
	return nil
}

// crash aborts all requests and restarts the engine without loaded adapters and in its
// cold start.
func (m *engineModel) crash(now time.Time) {
	for s := range m.sequences {
		m.abort(s)
	}
	m.residents = make(map[model.Adapter]*residentAdapter)
	m.startCount++
	m.downUntil = now.Add(m.settings.RestartTime)
	m.beginColdStart(m.downUntil)
}

// beginColdStart starts a cold start at now.
func (m *engineModel) beginColdStart(now time.Time) {
	m.coldUntil = now.Add(m.settings.ColdTime)
}

func (m *engineModel) state(now time.Time) engine.State {
	s := engine.State{
		Incarnation:    fmt.Sprintf("%s-%d", m.name, m.startCount),
		Phase:          m.phase(now),
		MaxConcurrent:  m.maxConcurrent(now),
		Running:        len(m.sequences),
		Slots:          m.settings.Slots,
		Adapters:       []engine.AdapterState{},
		FencingToken:   m.fencingToken,
		EvictedRunning: m.evictedRunning,
		Steps:          m.steps,
		StepTokens:     m.stepTokens,
		StepGroups:     m.stepGroups,
		Loads:          m.loads,
	}
	for a, r := range m.residents {
		s.Adapters = append(s.Adapters, engine.AdapterState{
			Name:    a.Name,
			Version: a.Version,
			Ready:   r.ready,
			Running: r.running,
		})
	}
	sort.Slice(s.Adapters, func(i, j int) bool {
		return s.Adapters[i].Name+"@"+s.Adapters[i].Version < s.Adapters[j].Name+"@"+s.Adapters[j].Version
	})
	return s
}

// TokenText returns the i-th token that an adapter version generates for a prompt. As
// the text is deterministic, a client can check that a response is complete and belongs
// to its request.
func TokenText(a model.Adapter, prompt string, i int64) string {
	h := xxhash.Sum64String(fmt.Sprintf("%s %s %d", a, prompt, i))
	return fmt.Sprintf("%04x ", h&0xffff)
}

// PromptTokens returns the number of tokens in a prompt, as the simulated engines count
// them: one for every 4 bytes, rounded up.
func PromptTokens(prompt string) int64 {
	const bytesPerToken = 4
	return int64(len(prompt)+bytesPerToken-1) / bytesPerToken
}
