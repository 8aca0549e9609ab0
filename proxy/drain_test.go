package proxy

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/call"
	"currantstile/config"
)

// Guards against a request that is sent although the instance ends before its answer, and against
// one that is given up although it has been sent: a stream in the middle goes on elsewhere.
func TestRequestsOfAnEndingInstance(t *testing.T) {
	now := time.Date(2026, 12, 5, 8, 0, 0, 0, time.UTC)
	plain := &config.Route{
		Kind:      config.KindUnsafe,
		Objective: 300 * time.Millisecond,
	}
	streamed := &config.Route{
		Kind:      config.KindStream,
		Objective: time.Second,
	}
	tests := []struct {
		name    string
		route   *config.Route
		tokens  int64
		left    time.Duration
		sent    bool
		refused bool
	}{
		{
			name:  "booking in time",
			route: plain,
			left:  150 * time.Millisecond,
		},
		{
			name:    "booking too late",
			route:   plain,
			left:    149 * time.Millisecond,
			refused: true,
		},
		{
			name:   "stream in time",
			route:  streamed,
			tokens: 100,
			left:   2500 * time.Millisecond,
		},
		{
			name:    "stream too long",
			route:   streamed,
			tokens:  200,
			left:    2500 * time.Millisecond,
			refused: true,
		},
		{
			name:    "stream of any length",
			route:   streamed,
			tokens:  1 << 62,
			left:    time.Hour,
			refused: true,
		},
		{
			name:   "stream that has begun",
			route:  streamed,
			tokens: 200,
			left:   time.Second,
			sent:   true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := &Gate{}
			x := &Exchange{
				gate:  g,
				Route: tt.route,
				Request: &call.Request{
					OutputTokens: tt.tokens,
				},
			}
			x.headSent = tt.sent
			require.Nil(t, x.checkDrain(now), "the instance does not end")
			g.Drain(now.Add(tt.left))
			refusal := x.checkDrain(now)
			require.Equal(t, tt.refused, refusal != nil)
			if refusal != nil {
				require.Equal(t, http.StatusServiceUnavailable, refusal.Status)
				require.Positive(t, refusal.RetryAfter)
			}
		})
	}
}
