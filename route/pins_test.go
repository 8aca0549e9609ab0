package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/cache"
	"currantstile/model"
)

// Guards against slots of an expired pin becoming usable again when the next pin on
// the same adapter is granted: the manager may have granted them to other holders
// meanwhile. The property test of package cache found this fault.
func TestExpiredSlotsAreNotRestored(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	pins := NewPins()
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
	pins.BeginRequest(key)
	ticket, ok := pins.RecordGranted(now, now, key, pin)
	require.True(t, ok)
	pins.Release(now, ticket)
	later := now.Add(cache.PinTTL + time.Second)
	pin.Slots = 1
	pins.BeginRequest(key)
	_, ok = pins.RecordGranted(later, later, key, pin)
	require.True(t, ok)
	_, ok = pins.Acquire(later, key)
	require.False(t, ok, "only the slot of the new pin is usable")
}
