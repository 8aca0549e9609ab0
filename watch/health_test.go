package watch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// outageCalls counts the calls in an outage of that length in which four parts of an
// instance want to ask every 100 ms.
func outageCalls(h *Health, now time.Time, length time.Duration) int {
	calls := 0
	h.Missed(now)
	for end := now.Add(length); now.Before(end); now = now.Add(100 * time.Millisecond) {
		for range 4 {
			if h.MayAsk(now) {
				calls++
				h.Missed(now)
			}
		}
	}
	return calls
}

// A large fleet must not spend its calls on a store that is away: the parts of an
// instance share one probe, and probes become rare.
func TestOutageCostsFewCalls(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	reader := &Health{}
	require.True(t, reader.MayAsk(now))
	require.LessOrEqual(t, outageCalls(reader, now, 5*time.Second), 9)
	listener := &Health{}
	listener.SetPatient(true)
	require.LessOrEqual(t, outageCalls(listener, now, 5*time.Second), 6)
}

func TestStoreThatReturnsIsAskedAtOnce(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	h := &Health{}
	h.SetPatient(true)
	outageCalls(h, now, 10*time.Second)
	now = now.Add(10*time.Second + minProbe)
	require.False(t, h.MayAsk(now))
	h.Returned()
	require.True(t, h.MayAsk(now))
	require.False(t, h.MayAsk(now), "the parts of an instance share one probe")
	h.Reached(now)
	require.True(t, h.MayAsk(now))
	require.True(t, h.MayAsk(now))
}
