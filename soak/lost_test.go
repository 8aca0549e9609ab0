package soak

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sentSignal is a signal that an instance's process got, or another event that disturbs it.
type sentSignal struct {
	at   time.Time
	name string
	// planned reports whether it belongs to planned work, during which no answer may be lost.
	planned bool
}

// lostRequest is a request whose connection ended without an answer.
type lostRequest struct {
	id         string
	instance   *instance
	start, end time.Time
	err        error
}

// disturbedFor is how long an instance counts as disturbed after a signal that is not planned work:
// longer than the pauses of its process.
const disturbedFor = 4 * time.Second

// endedWithoutAnswer reports whether an error of a client says that its connection ended.
func endedWithoutAnswer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) ||
		strings.Contains(err.Error(), "server closed idle connection")
}

func (rec *recorder) recordReached(id string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.reached[id] = true
}

// recordLost records a request without an answer if its connection ended.
func (rec *recorder) recordLost(n *instance, id string, start time.Time, err error) {
	if !endedWithoutAnswer(err) {
		return
	}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.lost = append(rec.lost, lostRequest{
		id:       id,
		instance: n,
		start:    start,
		end:      time.Now(),
		err:      err,
	})
}

// lostViolations returns the requests that reached a target and were not answered although nothing
// but planned work disturbed their instance. The caller holds mu.
func (rec *recorder) lostViolations() []string {
	var violations []string
	for _, l := range rec.lost {
		if signals, planned := l.instance.signalsAround(l.start, l.end); planned && (rec.reached[l.id] || rec.runsByID[l.id] > 0) {
			violations = append(violations, fmt.Sprintf("%s reached a target and got no answer from %s, sent at %s, ended after %s: %v; signals: %s",
				l.id, l.instance.callerAddr, l.start.Format(timeFormat), l.end.Sub(l.start), l.err, signals))
		}
	}
	return violations
}

const timeFormat = "15:04:05.000"

// signalsAround returns the signals that may have disturbed the instance between two times, and
// whether all of them were planned work.
func (n *instance) signalsAround(start, end time.Time) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	names, planned := []string{}, true
	for _, s := range n.signals {
		if s.at.After(start.Add(-disturbedFor)) && !s.at.After(end) {
			names = append(names, s.name+" at "+s.at.Format(timeFormat))
			planned = planned && s.planned
		}
	}
	return strings.Join(names, ", "), planned
}

// TestLostRequestIsAViolation guards against a lost answer that the soak overlooks, and against one
// that it counts although the instance was killed.
func TestLostRequestIsAViolation(t *testing.T) {
	start := time.Date(2026, 12, 5, 10, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		name    string
		signals []sentSignal
		reached bool
		want    int
	}{
		{
			name:    "while stopping",
			signals: []sentSignal{{at: start, name: "terminated", planned: true}},
			reached: true,
			want:    1,
		},
		{
			name:    "without any signal",
			reached: true,
			want:    1,
		},
		{
			name:    "not passed on",
			signals: []sentSignal{{at: start, name: "terminated", planned: true}},
		},
		{
			name:    "killed",
			signals: []sentSignal{{at: start.Add(time.Second), name: "killed"}},
			reached: true,
		},
		{
			name:    "killed before the instance's present process",
			signals: []sentSignal{{at: start.Add(-disturbedFor), name: "killed"}},
			reached: true,
			want:    1,
		},
	} {
		rec := newRecorder()
		rec.reached["r1"] = c.reached
		n := &instance{
			signals: c.signals,
		}
		rec.recordLost(n, "r1", start, io.EOF)
		rec.lost[0].end = start.Add(2 * time.Second)
		rec.recordLost(n, "r1", start, errors.New("timeout"))
		require.Len(t, rec.lostViolations(), c.want, c.name)
	}
}
