package sched_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/sched"
)

// batchModel is a target that reads at most chunk prompt tokens per batch step, in order of
// arrival, and produces one event for each eventSteps steps of a running stream.
type batchModel struct {
	target     *sched.Target
	chunk      int64
	rate       float64
	step       time.Duration
	eventSteps int
	reading    []*modelRequest
	running    []*modelRequest
	pending    []*modelRequest
	onTime     int
	late       int
	longPauses int
	streams    int
}

// modelRequest is a request in a batchModel.
type modelRequest struct {
	id        string
	arrivedAt time.Time
	sentAt    time.Time
	prompt    int64
	unread    int64
	events    int
	steps     int
	lastEvent time.Time
	maxPause  time.Duration
}

const (
	modelObjective = 800 * time.Millisecond
	modelMaxGap    = 300 * time.Millisecond
	// modelReportDelay is how long a progress report and the next request take.
	modelReportDelay = 15 * time.Millisecond
)

// play runs the model over the arrivals.
func (m *batchModel) play(now time.Time, arrivals []*modelRequest) {
	for len(arrivals)+len(m.pending)+len(m.reading)+len(m.running) > 0 {
		for len(arrivals) > 0 && !arrivals[0].arrivedAt.After(now) {
			m.pending = append(m.pending, arrivals[0])
			arrivals = arrivals[1:]
		}
		m.admit(now)
		now = now.Add(m.runStep(now))
	}
}

func (m *batchModel) admit(now time.Time) {
	var left []*modelRequest
	for _, r := range m.pending {
		if now.Sub(r.arrivedAt) > 5*time.Second {
			m.late++
			continue
		}
		d := m.target.Admit(now, sched.AdmissionRequest{
			ID:     r.id,
			Model:  "m",
			Prompt: r.prompt,
			Output: 40,
			Limit:  5 * time.Second,
			Left:   5 * time.Second,
		})
		if _, ok := d.(sched.Granted); !ok {
			left = append(left, r)
			continue
		}
		r.unread = r.prompt
		r.sentAt = now.Add(modelReportDelay)
		m.reading = append(m.reading, r)
	}
	m.pending = left
}

// runStep simulates one batch step and returns its duration.
func (m *batchModel) runStep(now time.Time) time.Duration {
	budget, read := m.chunk, int64(0)
	var reading []*modelRequest
	var first []*modelRequest
	for _, r := range m.reading {
		if r.sentAt.After(now) {
			reading = append(reading, r)
			continue
		}
		n := min(r.unread, budget)
		budget, read, r.unread = budget-n, read+n, r.unread-n
		if r.unread > 0 {
			reading = append(reading, r)
			continue
		}
		first = append(first, r)
	}
	m.reading = reading
	took := m.step + time.Duration(float64(read)/m.rate*float64(time.Millisecond))
	end := now.Add(took)
	var running []*modelRequest
	for _, r := range m.running {
		if r.steps++; r.steps%m.eventSteps == 0 {
			r.maxPause = max(r.maxPause, end.Sub(r.lastEvent))
			r.lastEvent = end
			r.events--
		}
		if r.events > 0 {
			running = append(running, r)
			continue
		}
		m.streams++
		if r.maxPause > modelMaxGap {
			m.longPauses++
		}
		m.target.RecordProgress(end, sched.ProgressUpdate{
			ID:       r.id,
			Kind:     sched.ProgressEnded,
			MaxPause: r.maxPause,
		})
	}
	for _, r := range first {
		r.lastEvent = end
		if end.Sub(r.arrivedAt) <= modelObjective {
			m.onTime++
		} else {
			m.late++
		}
		m.target.RecordProgress(end, sched.ProgressUpdate{
			ID:      r.id,
			Kind:    sched.ProgressFirstToken,
			Elapsed: end.Sub(r.sentAt),
		})
	}
	m.running = append(running, first...)
	return took
}

// playPrompts plays long and short prompts at a target that reads pieces of the given size.
func playPrompts(chunk int64, window *sched.PrefillWindow) *batchModel {
	m := &batchModel{
		target: sched.NewTarget("t", sched.Limits{
			Slots:        64,
			MemoryTokens: 230_000,
			AdapterSlots: 8,
			EventSteps:   5,
			MaxGap:       modelMaxGap,
		}),
		chunk:      chunk,
		rate:       38.4,
		step:       5230 * time.Microsecond,
		eventSteps: 5,
	}
	m.target.Models = []string{"m"}
	if window != nil {
		m.target.PrefillWindow = window
	}
	rng := rand.New(rand.NewPCG(3, 4))
	var arrivals []*modelRequest
	for at := start; at.Before(start.Add(30 * time.Second)); {
		at = at.Add(time.Duration(rng.ExpFloat64() * float64(230*time.Millisecond)))
		r := &modelRequest{
			id:        fmt.Sprint(len(arrivals)),
			arrivedAt: at,
			prompt:    800,
			events:    58,
		}
		if rng.IntN(2) == 0 {
			r.prompt, r.events = 9200, 10
		}
		arrivals = append(arrivals, r)
	}
	m.play(start, arrivals)
	return m
}

// A target that reads prompts in small pieces delays no stream however many prompts it has,
// and one prompt at a time leaves it idle between two: the window must open. It must stay
// nearly closed on a target that reads prompts whole.
func TestPrefillWindowFollowsPauses(t *testing.T) {
	small := playPrompts(1024, nil)
	require.Zero(t, small.longPauses, "of %d streams", small.streams)
	require.Greater(t, small.target.PrefillWindow.Tokens(&small.target.Limits), int64(2*9200))
	whole := playPrompts(16384, nil)
	require.LessOrEqual(t, whole.target.PrefillWindow.Tokens(&whole.target.Limits), int64(9200))
	t.Logf("pieces of 1024: %d on time, %d late; whole prompts: %d on time, %d late, %d of %d streams with a long pause",
		small.onTime, small.late, whole.onTime, whole.late, whole.longPauses, whole.streams)
}

// Long prompts are kept apart while it is unknown whether they delay streams.
func TestSeparatesLongPrompts(t *testing.T) {
	l := sched.Limits{
		EventSteps:   6,
		MaxGap:       modelMaxGap,
		MemoryTokens: 232_000,
	}
	tests := []struct {
		window int64
		want   bool
	}{
		{window: 0, want: true},
		{window: 1_000, want: true},
		{window: 40_000, want: false},
	}
	for _, tt := range tests {
		require.Equal(t, tt.want, l.SeparatesLongPrompts(tt.window), tt.window)
	}
}
