package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/cache"
	"currantstile/model"
)

func members(n int) model.Members {
	var list model.Members
	for i := range n {
		list = append(list, model.Member{
			ID: fmt.Sprintf("engine-%04d", i),
		})
	}
	return list
}

// A member that leaves moves only its own keys.
func TestRemovalMovesOnlyOwnKeys(t *testing.T) {
	list := members(18)
	without := append(append(model.Members{}, list[:7]...), list[8:]...)
	moved := 0
	for i := range 1000 {
		key := fmt.Sprintf("adapter-%d@v1", i)
		before, after := Top(key, list, 1, keepAll)[0], Top(key, without, 1, keepAll)[0]
		first, ok := First(key, list)
		require.True(t, ok)
		require.Equal(t, before.ID, first.ID)
		if before.ID != after.ID {
			moved++
			require.Equal(t, list[7].ID, before.ID)
		}
	}
	require.InDelta(t, 1000/18, moved, 25)
}

// Top gives the members in their order, and leaves out those not to be kept.
func TestTop(t *testing.T) {
	list := members(50)
	whole := Top("k", list, 50, keepAll)
	require.Len(t, whole, 50)
	require.Equal(t, whole[:3], Top("k", list, 3, keepAll))
	require.Equal(t, whole[1:4], Top("k", list, 3, func(m *model.Member) bool {
		return m.ID != whole[0].ID
	}))
	require.Len(t, Top("k", list[:2], 3, keepAll), 2)
}

// A pin is used while it is valid by the clock of the moment, and a slot that
// others wait for is given up at once.
func TestPins(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	k := PinKey{Target: "t", Adapter: model.Adapter{Name: "a", Version: "v1"}}
	pin := cache.Pin{Incarnation: "i", Adapter: k.Adapter, Slots: 2, ValidFor: cache.PinTTL}
	h := NewPins()
	_, ok := h.Acquire(now, k)
	require.False(t, ok)
	h.BeginRequest(k)
	first, ok := h.RecordGranted(now, now, k, pin)
	require.True(t, ok)
	second, ok := h.Acquire(now, k)
	require.True(t, ok)
	_, ok = h.Acquire(now, k)
	require.False(t, ok, "both slots are in use")
	_, release := h.Release(now, second)
	require.False(t, release)
	_, ok = h.Acquire(now.Add(cache.PinTTL), k)
	require.False(t, ok, "a process that was paused finds its pin lapsed")
	require.Equal(t, 1, h.PrepareRenewals(now.Add(SlotIdleTimeout))[0].Pin.Slots, "the idle slot is given up")
	h.Void(k, "i")
	h.Release(now, first)
	require.Empty(t, h.PrepareRenewals(now))
	pin.Contended = true
	h.BeginRequest(k)
	third, ok := h.RecordGranted(now, now, k, pin)
	require.True(t, ok)
	told, release := h.Release(now, third)
	require.True(t, release)
	require.Zero(t, told.Pin.Slots)
	h.BeginRequest(k)
	_, ok = h.RecordGranted(now.Add(cache.PinTTL), now, k, pin)
	require.False(t, ok, "an answer that came after the pin's end")
}

// BenchmarkOrder gives the time to order the targets for one request.
func BenchmarkOrder(b *testing.B) {
	for _, n := range []int{22, 430, 6900} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			list := members(n)
			b.ReportAllocs()
			for range b.N {
				Top("inspect-dealers-ost-000001@v1", list, 3, keepAll)
			}
		})
	}
}
