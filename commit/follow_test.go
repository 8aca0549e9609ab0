package commit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/clock"
)

// Guards against an instance that counts as in contact, or as isolated, because its time of day
// was set.
func TestIsolationIgnoresClockSteps(t *testing.T) {
	f := &Follower{}
	now := time.Now()
	f.recordConfirmed(now)
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		require.Equal(t, time.Second, f.IsolatedFor(clock.Stepped(now.Add(time.Second), step)))
	}
	require.True(t, f.ConfirmedAt().Equal(now))
}
