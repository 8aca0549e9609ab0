package watch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// countOutageCalls returns the number of store calls during an outage of the given
// length when four components of an instance attempt a call every 100 ms.
func countOutageCalls(h *Health, now time.Time, length time.Duration) int {
	calls := 0
	h.RecordFailure(now)
	for end := now.Add(length); now.Before(end); now = now.Add(100 * time.Millisecond) {
		for range 4 {
			if h.AllowCall(now) {
				calls++
				h.RecordFailure(now)
			}
		}
	}
	return calls
}

// Guards against a large fleet calling an unavailable store at full rate: the
// components of an instance share one probe, and the probe interval grows.
func TestOutageLimitsStoreCalls(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	reader := &Health{}
	require.True(t, reader.AllowCall(now))
	require.LessOrEqual(t, countOutageCalls(reader, now, 5*time.Second), 9)
	listener := &Health{}
	listener.SetListener(true)
	require.LessOrEqual(t, countOutageCalls(listener, now, 5*time.Second), 6)
}

func TestRecoveredStoreIsCalledAtOnce(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	h := &Health{}
	h.SetListener(true)
	countOutageCalls(h, now, 10*time.Second)
	now = now.Add(10*time.Second + minProbeInterval)
	require.False(t, h.AllowCall(now))
	h.ResetBackoff()
	require.True(t, h.AllowCall(now))
	require.False(t, h.AllowCall(now), "the components of an instance share one probe")
	h.RecordSuccess(now)
	require.True(t, h.AllowCall(now))
	require.True(t, h.AllowCall(now))
}

// Guards against a long back-off right after a start: an instance makes several calls at
// once, whose failures are one, and it serves nothing before the store is back.
func TestStartingInstanceProbesOften(t *testing.T) {
	tests := []struct {
		name     string
		starting bool
		want     time.Duration
	}{
		{
			name:     "starting",
			starting: true,
			want:     startProbeInterval,
		},
		{
			name: "joined",
			want: maxProbeInterval,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var h Health
			h.SetStarting(tt.starting)
			for range 4 {
				h.RecordFailure(testStart)
			}
			require.True(t, h.AllowCall(testStart.Add(minProbeInterval)), "four failures at once are one")
			now := testStart.Add(minProbeInterval)
			for range maxFailures {
				h.RecordFailure(now)
				now = now.Add(maxProbeInterval)
			}
			h.RecordFailure(now)
			require.False(t, h.AllowCall(now.Add(tt.want-time.Millisecond)))
			require.True(t, h.AllowCall(now.Add(tt.want)))
		})
	}
}
