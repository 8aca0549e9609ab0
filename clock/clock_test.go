package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against another layout of time.Time: the time of day moves and the time elapsed does not.
func TestStepped(t *testing.T) {
	now := time.Now()
	for _, d := range []time.Duration{-15 * time.Second, time.Hour, 0} {
		stepped := Stepped(now, d)
		require.Zero(t, stepped.Sub(now))
		require.Equal(t, d, stepped.Round(0).Sub(now.Round(0)))
	}
}
