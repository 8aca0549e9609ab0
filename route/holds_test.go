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
func TestExpiredSlotsAreNotRestored(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	h := NewPins()
	key := PinKey{
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
		ValidFor:    cache.PinTTL,
	}
	h.BeginRequest(key)
	ticket, ok := h.RecordGranted(now, now, key, pin)
	require.True(t, ok)
	h.Release(now, ticket)
	later := now.Add(cache.PinTTL + time.Second)
	pin.Slots = 1
	h.BeginRequest(key)
	_, ok = h.RecordGranted(later, later, key, pin)
	require.True(t, ok)
	_, ok = h.Acquire(later, key)
	require.False(t, ok, "only one slot is held")
}
