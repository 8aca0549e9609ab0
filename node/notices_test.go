package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a pushback that lasts longer at an instance whose clock is behind that of the
// one which stored it.
func TestPushbackDoesNotGrowWithClockError(t *testing.T) {
	now := time.Date(2026, 12, 5, 8, 0, 0, 0, time.UTC)
	v := storedNotice{
		Until: now.Add(3 * time.Second).UnixMilli(),
		ForMS: 3000,
	}
	for _, c := range []struct {
		read time.Time
		want time.Duration
	}{
		{
			read: now,
			want: 3 * time.Second,
		},
		{
			read: now.Add(time.Second),
			want: 2 * time.Second,
		},
		{
			read: now.Add(-15 * time.Second),
			want: 3 * time.Second,
		},
	} {
		require.Equal(t, c.want, v.pushback(c.read))
	}
	require.Zero(t, (&storedNotice{}).pushback(now))
}
