// Package trial runs load experiments: it sends an open-loop load to a demo fleet,
// injects faults at fixed times, and evaluates the result only from what callers and
// simulated services observed.
//
// # Usage
//
//	s, ok := trial.FindScenario("steady")
//	result, err := trial.Run(ctx, s, trial.Options{User: demo.UserRheintal, Seed: 1})
//	fmt.Println(result.Held)
package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/phuslu/log"

	"currantstile/clock"
	"currantstile/daemon"
	"currantstile/demo"
	"currantstile/errs"
	"currantstile/model"
)

// Measure is a named measured value.
type Measure struct {
	Name  string
	Value float64
}

// Measures is a list of measures, encoded as a single JSON object.
type Measures []Measure

// Add appends a measure.
func (ms *Measures) Add(name string, value float64) {
	*ms = append(*ms, Measure{
		Name:  name,
		Value: value,
	})
}

// Get returns the value of the first measure with the given name.
func (ms Measures) Get(name string) (float64, bool) {
	for _, m := range ms {
		if m.Name == name {
			return m.Value, true
		}
	}
	return 0, false
}

// MarshalJSON implements json.Marshaler; names become the keys of the object.
func (ms Measures) MarshalJSON() ([]byte, error) {
	object := make(map[string]float64, len(ms))
	for _, m := range ms {
		object[m.Name] = m.Value
	}
	return json.Marshal(object)
}

// Bound is a limit on a measure, from a stated objective.
type Bound struct {
	Measure string
	// Limit is the maximum of the measure, or its minimum if AtLeast is set.
	Limit   float64
	AtLeast bool
}

// BoundResult is a bound with the measured value; Held reports whether it holds.
type BoundResult struct {
	Limit   float64 `json:"limit"`
	AtLeast bool    `json:"at-least,omitempty"`
	Value   float64 `json:"value"`
	Held    bool    `json:"held"`
}

// Result is the result of a scenario; Held reports whether all its bounds hold.
type Result struct {
	Scenario string                 `json:"scenario"`
	User     demo.UserName          `json:"user"`
	Seed     uint64                 `json:"seed"`
	Measures Measures               `json:"measures"`
	Bounds   map[string]BoundResult `json:"bounds"`
	Held     bool                   `json:"held"`
	// Failures describes the first requests that were not answered completely, at
	// most maxFailures.
	Failures []string `json:"failures,omitempty"`
}

// warmUpDuration is how long a fleet runs without load at first, so that the token
// buckets fill and managers wait until pins of earlier managers have expired.
const warmUpDuration = 9 * time.Second

// maxFailures is the maximum number of failed requests that a result describes.
const maxFailures = 20

// OrgLoad is the load that an organisation sends.
type OrgLoad struct {
	// RateFactor is the load as a multiple of the organisation's rate.
	RateFactor float64
	// OneInstance sends all requests to a single instance.
	OneInstance bool
}

// Event is an action at a fixed time after the start of a phase: a fault, an operator's
// change or a reading.
type Event struct {
	At time.Duration
	Do func(ctx context.Context, f *demo.Fleet) error
}

// Phase is a load on a newly started fleet.
type Phase struct {
	// Label prefixes the names of the phase's measures; it may be empty.
	Label    string
	Quota    daemon.QuotaMode
	Duration time.Duration
	// Load returns the load of the n-th organisation of the profile.
	Load   func(n int) OrgLoad
	Events []Event
	// ZipfExponent is the exponent of the Zipf distribution of adapter popularity.
	ZipfExponent float64
	// ExtraMeasures adds measures specific to the phase; it may be nil.
	ExtraMeasures func(ms *Measures, f *demo.Fleet, records []record)
	// SendDirect also sends requests directly to the engines, for comparison.
	SendDirect bool
}

// Scenario is a named experiment.
type Scenario struct {
	Name    string
	Summary string
	Phases  []Phase
	Bounds  []Bound
}

// Options are the settings of a run.
type Options struct {
	User     demo.UserName
	Seed     uint64
	Log      log.Logger
	Progress io.Writer
	// PhaseDuration replaces the duration of each phase, if above 0.
	PhaseDuration time.Duration
}

// Run runs all phases of a scenario and evaluates its bounds. A bound that does not
// hold is no error; see Result.Held.
func Run(ctx context.Context, s Scenario, o Options) (Result, error) {
	result := Result{
		Scenario: s.Name,
		User:     o.User,
		Seed:     o.Seed,
		Bounds:   make(map[string]BoundResult),
		Held:     true,
	}
	profile, err := demo.FindProfile(string(o.User))
	if err != nil {
		return result, err
	}
	for _, p := range s.Phases {
		if o.PhaseDuration > 0 {
			p.Duration = o.PhaseDuration
		}
		measures, records, err := runPhase(ctx, p, profile, o)
		if err != nil {
			return result, errs.WithOp(err, "Run")
		}
		result.addFailures(p, records, profile)
		for _, m := range measures {
			result.Measures.Add(withPhaseLabel(p.Label, m.Name), m.Value)
		}
	}
	for _, b := range s.Bounds {
		r := b.evaluate(result.Measures)
		result.Bounds[b.Measure] = r
		result.Held = result.Held && r.Held
	}
	return result, nil
}

// addFailures describes requests that were not answered completely, except for direct
// requests and for rate-limit refusals of organisations above their rates.
func (r *Result) addFailures(p Phase, records []record, profile demo.Profile) {
	for _, rec := range records {
		within := p.Load(orgIndex(profile, rec.org)).RateFactor <= 1
		if rec.observed == outcomeComplete || rec.direct || (rec.observed == outcomeRateLimited && !within) || len(r.Failures) == maxFailures {
			continue
		}
		r.Failures = append(r.Failures, withPhaseLabel(p.Label, rec.String()))
	}
}

func withPhaseLabel(phase, name string) string {
	if phase == "" {
		return name
	}
	return phase + "." + name
}

// evaluate compares a measure with its bound. The bound does not hold if the measure
// is missing.
func (b Bound) evaluate(ms Measures) BoundResult {
	v, ok := ms.Get(b.Measure)
	held := ok && v <= b.Limit
	if b.AtLeast {
		held = ok && v >= b.Limit
	}
	return BoundResult{
		Limit:   b.Limit,
		AtLeast: b.AtLeast,
		Value:   v,
		Held:    held,
	}
}

// runPhase runs a phase on a fleet that it starts and stops.
func runPhase(ctx context.Context, p Phase, profile demo.Profile, o Options) (Measures, []record, error) {
	f := &demo.Fleet{
		Profile: profile,
		Seed:    o.Seed,
		Quota:   p.Quota,
		Log:     o.Log,
	}
	if err := f.Start(ctx); err != nil {
		return nil, nil, err
	}
	// New token buckets start empty; the scenarios measure a fleet that has been
	// running.
	clock.Sleep(ctx, warmUpDuration)
	g := newLoadGenerator(f, p, o.Seed)
	stop := g.reportProgress(o.Progress, withPhaseLabel(p.Label, string(o.User)))
	eventErr := make(chan error, 1)
	go func() {
		eventErr <- runEvents(ctx, p.Events, f, g)
	}()
	records := g.run(ctx)
	stop()
	err := <-eventErr
	measures := computeMeasures(f, p, records)
	if e := f.Stop(ctx); err == nil {
		err = e
	}
	return measures, records, err
}

// runEvents carries out the events in the order of their times and stops at the first
// error.
func runEvents(ctx context.Context, events []Event, f *demo.Fleet, g *loadGenerator) error {
	events = append([]Event{}, events...)
	sort.SliceStable(events, func(i, j int) bool {
		return events[i].At < events[j].At
	})
	for _, e := range events {
		if !sleepUntil(ctx, g.startedAt.Add(e.At)) {
			return ctx.Err()
		}
		if err := e.Do(ctx, f); err != nil {
			return errs.WithOp(err, fmt.Sprintf("event at %s", e.At))
		}
	}
	return nil
}

// sleepUntil sleeps until a point in time. It returns false if ctx ended first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	return clock.Sleep(ctx, time.Until(at))
}

// orgIndex returns the index of an organisation in a profile, or -1.
func orgIndex(p demo.Profile, id model.OrgID) int {
	for i, o := range p.Orgs {
		if o.ID == id {
			return i
		}
	}
	return -1
}
