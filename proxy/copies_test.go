package proxy

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/config"
	"currantstile/poison"
)

// waitingScreen lets each request wait until its context ends.
type waitingScreen struct {
	blockingScreen
}

func (s *waitingScreen) Check(ctx context.Context, _ time.Time, _ string, features []poison.Feature) poison.Decision {
	if _, ok := ctx.Deadline(); ok {
		<-ctx.Done()
	}
	return poison.Blocked{
		Feature: features[0],
	}
}

// Guards against a copy of a request that waits for another one beyond its time limit.
func TestCopyWaitsWithinItsTimeLimit(t *testing.T) {
	x := retryable(t, config.Route{}, 1)
	x.w = httptest.NewRecorder()
	x.gate.Screen = &waitingScreen{}
	x.Deadline = time.Now().Add(2 * responseMargin)
	require.NotNil(t, x.checkFeatures(context.Background()))
	require.False(t, time.Now().Before(x.Deadline.Add(-responseMargin)), "the check had no time limit")
}
