package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/cache"
	"currantstile/model"
)

// Slots that lapsed unused do not come back with the next pin: their target may
// have granted them to others. The random walk of package cache found it.
func TestLapsedSlotsDoNotComeBack(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	h := NewHolds()
	key := HoldKey{
		Target: "t",
		Adapter: model.Adapter{
			Name:    "a",
			Version: "v1",
		},
	}
	pin := cache.Pin{
		Incarnation: "i1",
		Adapter:     key.Adapter,
		Slots:       3,
		ValidFor:    cache.PinTime,
	}
	h.Ask(key)
	ticket, ok := h.Granted(now, now, key, pin)
	require.True(t, ok)
	h.Return(now, ticket)
	later := now.Add(cache.PinTime + time.Second)
	pin.Slots = 1
	h.Ask(key)
	_, ok = h.Granted(later, later, key, pin)
	require.True(t, ok)
	_, ok = h.Take(later, key)
	require.False(t, ok, "only one slot is held")
}
