package cache

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/model"
)

func alwaysReady(model.Adapter) bool {
	return true
}

// Guards against one organisation's burst of requests delaying another's, which
// happens if startTag ignores the organisation's last finish tag.
func TestQueueFairness(t *testing.T) {
	q := NewQueue()
	for range 50 {
		q.Add("flood", 1, adapter(1))
	}
	q.Add("quiet", 1, adapter(2))
	q.Add("quiet", 1, adapter(2))
	var order []model.OrgID
	for range 4 {
		w := q.Next(alwaysReady)
		order = append(order, w.organisation)
		q.MarkServed(w)
	}
	require.Equal(t, []model.OrgID{"flood", "quiet", "flood", "quiet"}, order)
}

func TestQueuePriority(t *testing.T) {
	q := NewQueue()
	for range 40 {
		q.Add("heavy", 3, adapter(1))
		q.Add("light", 1, adapter(1))
	}
	served := make(map[model.OrgID]int)
	for range 40 {
		w := q.Next(alwaysReady)
		served[w.organisation]++
		q.MarkServed(w)
	}
	require.InDelta(t, 30, served["heavy"], 1)
	require.InDelta(t, 10, served["light"], 1)
}

// A request whose adapter is not ready does not block those behind it, and a
// canceled request costs its organisation nothing.
func TestQueueSkipsUnreadyAdapters(t *testing.T) {
	q := NewQueue()
	first := q.Add("a", 1, adapter(1))
	second := q.Add("a", 1, adapter(2))
	require.Same(t, second, q.Next(func(a model.Adapter) bool {
		return a == adapter(2)
	}))
	q.Cancel(first)
	q.Cancel(second)
	require.Nil(t, q.Next(alwaysReady))
	require.Zero(t, q.Add("a", 1, adapter(1)).startTag)
	require.Equal(t, 1, q.Len())
}

// At most eight loads are in flight, and at most four a second start after a burst
// of four, whichever permits are released, lost or expired.
func TestLoadLimiter(t *testing.T) {
	l := NewLoadLimiter()
	now := start
	started := 0
	var open []PermitID
	for step := range 4000 {
		now = now.Add(10 * time.Millisecond)
		id, wait, ok := l.Acquire(now)
		if ok {
			started++
			open = append(open, id)
		} else {
			require.Positive(t, wait)
		}
		if step%37 == 0 && len(open) > 0 {
			l.Release(open[0])
			open = open[1:]
		}
		require.LessOrEqual(t, len(open), MaxConcurrentLoads)
		require.LessOrEqual(t, float64(started), PermitBurst+float64(now.Sub(start))/float64(PermitInterval)+1)
	}
	require.Greater(t, started, 80)
	for range MaxConcurrentLoads {
		_, _, _ = l.Acquire(now)
	}
	_, _, ok := l.Acquire(now.Add(PermitTTL))
	require.True(t, ok, "permits that were not released have expired")
}
