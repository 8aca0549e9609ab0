// Package metric provides histograms of durations, and sets of counters and
// histograms by organisation, which are exported as expvar variables.
//
// # Usage
//
//	s := metric.NewSet()
//	s.Record("rheintal-depots", metric.ClassFirstToken, 120*time.Millisecond)
//	s.Count("rheintal-depots", metric.CountComplete)
//	fmt.Println(s.Var().String()) // JSON
package metric

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minDuration       = int64(time.Microsecond)
	maxDuration       = int64(10 * time.Minute)
	significantDigits = 3
)

// Summary holds the exported statistics of a histogram. Durations are in
// milliseconds.
type Summary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50-ms"`
	P95   float64 `json:"p95-ms"`
	P99   float64 `json:"p99-ms"`
	Max   float64 `json:"max-ms"`
}

// Histogram records durations from a microsecond to ten minutes with three
// significant digits. It is safe for concurrent use.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{
		h: hdrhistogram.New(minDuration, maxDuration, significantDigits),
	}
}

// Record adds a duration. Values out of range are clamped.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// RecordValue fails only for values out of range.
	_ = h.h.RecordValue(min(max(int64(d), minDuration), maxDuration))
}

// Quantile returns the q-quantile of the recorded durations, with q from 0 to 1.
func (h *Histogram) Quantile(q float64) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.h.ValueAtQuantile(100 * q))
}

// Count returns the number of recorded durations.
func (h *Histogram) Count() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.h.TotalCount()
}

// Summary returns the histogram's statistics.
func (h *Histogram) Summary() Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Summary{
		Count: h.h.TotalCount(),
		P50:   milliseconds(h.h.ValueAtQuantile(50)),
		P95:   milliseconds(h.h.ValueAtQuantile(95)),
		P99:   milliseconds(h.h.ValueAtQuantile(99)),
		Max:   milliseconds(h.h.Max()),
	}
}

func milliseconds(ns int64) float64 {
	return float64(ns) / float64(time.Millisecond)
}

// String implements expvar.Var.
func (h *Histogram) String() string {
	// Marshalling a Summary cannot fail.
	b, _ := json.Marshal(h.Summary())
	return string(b)
}

// Class is the kind of duration that a histogram records.
type Class string

// The classes of durations.
const (
	ClassFirstToken    Class = "first-token"
	ClassBetweenTokens Class = "between-tokens"
	ClassLoadStall     Class = "load-stall"
	ClassService       Class = "service"
)

// Counter is the name of a counter.
type Counter string

// The counters of an organisation. CountAdmitted counts tokens, the others requests.
const (
	CountAdmitted           Counter = "admitted-tokens"
	CountComplete           Counter = "complete"
	CountNotRun             Counter = "not-run"
	CountFailed             Counter = "failed"
	CountUnknown            Counter = "unknown"
	CountRefused            Counter = "refused-rate"
	CountCallerDisconnected Counter = "callers-left"
)

// Set holds the metrics of all organisations of one instance. It is safe for
// concurrent use.
type Set struct {
	root *expvar.Map
	mu   sync.RWMutex
	orgs map[string]*orgMetrics
}

// orgMetrics holds one organisation's histograms and counters.
type orgMetrics struct {
	vars       *expvar.Map
	mu         sync.Mutex
	histograms map[Class]*Histogram
}

// NewSet returns an empty set. It is not published under a global expvar name, so
// that one process can have several.
func NewSet() *Set {
	return &Set{
		root: new(expvar.Map).Init(),
		orgs: make(map[string]*orgMetrics),
	}
}

// Var returns the set as one expvar variable.
func (s *Set) Var() expvar.Var {
	return s.root
}

// Record adds a duration to a histogram of an organisation.
func (s *Set) Record(org string, class Class, d time.Duration) {
	s.metricsOf(org).histogram(class).Record(d)
}

// Count increments a counter of an organisation.
func (s *Set) Count(org string, c Counter) {
	s.Add(org, c, 1)
}

// Add adds n to a counter of an organisation.
func (s *Set) Add(org string, c Counter, n int64) {
	s.metricsOf(org).vars.Add(string(c), n)
}

// Value returns the value of a counter of an organisation.
func (s *Set) Value(org string, c Counter) int64 {
	v, ok := s.metricsOf(org).vars.Get(string(c)).(*expvar.Int)
	if !ok {
		return 0
	}
	return v.Value()
}

// Histogram returns an organisation's histogram of class. It is created if it does
// not exist.
func (s *Set) Histogram(org string, class Class) *Histogram {
	return s.metricsOf(org).histogram(class)
}

// metricsOf returns the metrics of an organisation and creates them if they do not exist.
func (s *Set) metricsOf(org string) *orgMetrics {
	s.mu.RLock()
	m, ok := s.orgs[org]
	s.mu.RUnlock()
	if ok {
		return m
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok = s.orgs[org]; ok {
		return m
	}
	m = &orgMetrics{
		vars:       new(expvar.Map).Init(),
		histograms: make(map[Class]*Histogram),
	}
	s.orgs[org] = m
	s.root.Set(org, m.vars)
	return m
}

// histogram returns the histogram of a class and creates it if it does not exist.
func (m *orgMetrics) histogram(class Class) *Histogram {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.histograms[class]
	if !ok {
		h = NewHistogram()
		m.histograms[class] = h
		m.vars.Set(string(class), h)
	}
	return h
}
