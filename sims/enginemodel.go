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

// EngineSettings are the sizes of a model engine.
type EngineSettings struct {
	// Slots is how many adapters fit at once.
	Slots int
	// Bears is how many requests a warm engine takes at once, ColdBears one in
	// its cold start.
	Bears     int
	ColdBears int
	// ColdTime is how long a cold start lasts.
	ColdTime time.Duration
	// StepTime is the time of one step of the batch, StepPerRequest what each
	// request in the batch adds to it.
	StepTime       time.Duration
	StepPerRequest time.Duration
	// PrefillTime is the time before a request's first token.
	PrefillTime time.Duration
	// RestartTime is how long the engine is away after it fell over.
	RestartTime time.Duration
}

// Defaults fills the fields that were left out.
func (s *EngineSettings) Defaults() {
	setDefault(&s.Slots, 8)
	setDefault(&s.Bears, 32)
	setDefault(&s.ColdBears, 2)
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
	// tokens carries one element for each generated token; it is closed at the
	// end of the sequence.
	tokens chan struct{}
	// failed is closed when the sequence is cut off.
	failed   chan struct{}
	first    time.Time
	left     int64
	finished bool
}

type residentAdapter struct {
	ready   bool
	running int
}

// engineModel is a model engine without its HTTP. It is not safe for
// concurrent use.
type engineModel struct {
	settings    EngineSettings
	name        string
	starts      int
	coldUntil   time.Time
	downUntil   time.Time
	residents   map[model.Adapter]*residentAdapter
	sequences   map[*sequence]struct{}
	fence       uint64
	ignoreFence bool
	evicted     uint64
	steps       uint64
	stepTokens  uint64
	stepGroups  uint64
	loads       uint64
}

func newEngineModel(name string, settings EngineSettings) *engineModel {
	settings.Defaults()
	return &engineModel{
		settings:  settings,
		name:      name,
		starts:    1,
		residents: make(map[model.Adapter]*residentAdapter),
		sequences: make(map[*sequence]struct{}),
	}
}

func refusal(code, format string, args ...any) error {
	return &engine.RefusalError{
		Code:    code,
		Message: fmt.Sprintf(format, args...),
	}
}

var errFellOver = errors.New("engine fell over under more work than it bears")

func (m *engineModel) phase(now time.Time) engine.Phase {
	if now.Before(m.coldUntil) {
		return engine.PhaseCold
	}
	return engine.PhaseWarm
}

func (m *engineModel) bears(now time.Time) int {
	if m.phase(now) == engine.PhaseCold {
		return m.settings.ColdBears
	}
	return m.settings.Bears
}

func (m *engineModel) down(now time.Time) bool {
	return now.Before(m.downUntil)
}

// admit puts a request into the batch. More work than a cold engine bears makes
// it fall over; a warm one refuses it.
func (m *engineModel) admit(now time.Time, a model.Adapter, tokens int64) (*sequence, error) {
	if m.down(now) {
		return nil, refusal(engine.CodeUnavailable, "engine is starting")
	}
	r, ok := m.residents[a]
	if !ok || !r.ready {
		return nil, refusal(engine.CodeNotLoaded, "adapter %s is not loaded", a)
	}
	if len(m.sequences) >= m.bears(now) {
		if m.phase(now) == engine.PhaseCold {
			m.crash(now)
			return nil, errFellOver
		}
		return nil, refusal(engine.CodeOverloaded, "engine runs %d requests", len(m.sequences))
	}
	s := &sequence{
		adapter: a,
		tokens:  make(chan struct{}, tokens),
		failed:  make(chan struct{}),
		first:   now.Add(m.settings.PrefillTime),
		left:    tokens,
	}
	r.running++
	m.sequences[s] = struct{}{}
	return s, nil
}

// leave takes a sequence out of the batch.
func (m *engineModel) leave(s *sequence) {
	if _, ok := m.sequences[s]; !ok {
		return
	}
	delete(m.sequences, s)
	if r, ok := m.residents[s.adapter]; ok {
		r.running--
	}
}

// cut ends a sequence before its last token.
func (m *engineModel) cut(s *sequence) {
	m.leave(s)
	if !s.finished {
		s.finished = true
		close(s.failed)
	}
}

// step generates one token for each sequence past its prefill.
func (m *engineModel) step(now time.Time) {
	groups := make(map[model.Adapter]struct{})
	var tokens uint64
	for s := range m.sequences {
		if now.Before(s.first) {
			continue
		}
		s.tokens <- struct{}{}
		s.left--
		tokens++
		groups[s.adapter] = struct{}{}
		if s.left == 0 {
			s.finished = true
			close(s.tokens)
			m.leave(s)
		}
	}
	if tokens > 0 {
		m.steps++
		m.stepTokens += tokens
		m.stepGroups += uint64(len(groups))
	}
}

// stepTime is how long the next step takes.
func (m *engineModel) stepTime() time.Duration {
	return m.settings.StepTime + time.Duration(len(m.sequences))*m.settings.StepPerRequest
}

// beginLoad takes a slot for an adapter. It reports false where the adapter is
// ready already.
func (m *engineModel) beginLoad(now time.Time, fence uint64, a model.Adapter) (bool, error) {
	if err := m.checkOrder(now, fence); err != nil {
		return false, err
	}
	if r, ok := m.residents[a]; ok {
		if r.ready {
			return false, nil
		}
		return false, refusal(engine.CodeInUse, "adapter %s is being loaded", a)
	}
	if len(m.residents) >= m.settings.Slots {
		return false, refusal(engine.CodeNoSlot, "all %d slots are taken", m.settings.Slots)
	}
	m.residents[a] = &residentAdapter{}
	m.loads++
	return true, nil
}

// endLoad makes a loaded adapter ready, or frees its slot when the load failed.
// A load that began before a restart changes nothing.
func (m *engineModel) endLoad(starts int, a model.Adapter, ok bool) {
	r, found := m.residents[a]
	if starts != m.starts || !found {
		return
	}
	if !ok {
		delete(m.residents, a)
		return
	}
	r.ready = true
}

// unload frees an adapter's slot. Requests that run on it are cut off, as an
// engine does that trusts its orders.
func (m *engineModel) unload(now time.Time, fence uint64, a model.Adapter) error {
	if err := m.checkOrder(now, fence); err != nil {
		return err
	}
	r, ok := m.residents[a]
	if !ok {
		return nil
	}
	if !r.ready {
		return refusal(engine.CodeInUse, "adapter %s is being loaded", a)
	}
	for s := range m.sequences {
		if s.adapter == a {
			m.evicted++
			m.cut(s)
		}
	}
	delete(m.residents, a)
	return nil
}

func (m *engineModel) checkOrder(now time.Time, fence uint64) error {
	if m.down(now) {
		return refusal(engine.CodeUnavailable, "engine is starting")
	}
	if fence < m.fence && !m.ignoreFence {
		return refusal(engine.CodeStaleFencingToken, "fencing number %d is below %d", fence, m.fence)
	}
	m.fence = max(m.fence, fence)
	return nil
}

// crash restarts the engine empty and cold, cutting off whatever ran.
func (m *engineModel) crash(now time.Time) {
	for s := range m.sequences {
		m.cut(s)
	}
	m.residents = make(map[model.Adapter]*residentAdapter)
	m.starts++
	m.downUntil = now.Add(m.settings.RestartTime)
	m.cool(m.downUntil)
}

// cool begins a cold start.
func (m *engineModel) cool(now time.Time) {
	m.coldUntil = now.Add(m.settings.ColdTime)
}

func (m *engineModel) state(now time.Time) engine.State {
	s := engine.State{
		Incarnation:    fmt.Sprintf("%s-%d", m.name, m.starts),
		Phase:          m.phase(now),
		MaxConcurrent:  m.bears(now),
		Running:        len(m.sequences),
		Slots:          m.settings.Slots,
		Adapters:       []engine.AdapterState{},
		FencingToken:   m.fence,
		EvictedRunning: m.evicted,
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

// TokenText is the i-th token that an adapter version generates for a prompt:
// whoever knows the prompt can tell whether an answer is whole and its own.
func TokenText(a model.Adapter, prompt string, i int64) string {
	h := xxhash.Sum64String(fmt.Sprintf("%s %s %d", a, prompt, i))
	return fmt.Sprintf("%04x ", h&0xffff)
}

// PromptTokens is the length of a prompt in tokens, as engines count it.
func PromptTokens(prompt string) int64 {
	const bytesPerToken = 4
	return int64(len(prompt)+bytesPerToken-1) / bytesPerToken
}
