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
func TestOrderMoves(t *testing.T) {
	list := members(18)
	without := append(append(model.Members{}, list[:7]...), list[8:]...)
	moved := 0
	for i := range 1000 {
		key := fmt.Sprintf("adapter-%d@v1", i)
		before, after := Top(key, list, 1, all)[0], Top(key, without, 1, all)[0]
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
	whole := Top("k", list, 50, all)
	require.Len(t, whole, 50)
	require.Equal(t, whole[:3], Top("k", list, 3, all))
	require.Equal(t, whole[1:4], Top("k", list, 3, func(m *model.Member) bool {
		return m.ID != whole[0].ID
	}))
	require.Len(t, Top("k", list[:2], 3, all), 2)
}

// A pin is used while it is valid by the clock of the moment, and a slot that
// others wait for is given up at once.
func TestHolds(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	k := HoldKey{Target: "t", Adapter: model.Adapter{Name: "a", Version: "v1"}}
	pin := cache.Pin{Incarnation: "i", Adapter: k.Adapter, Slots: 2, ValidFor: cache.PinTime}
	h := NewHolds()
	_, ok := h.Take(now, k)
	require.False(t, ok)
	h.Ask(k)
	first, ok := h.Granted(now, now, k, pin)
	require.True(t, ok)
	second, ok := h.Take(now, k)
	require.True(t, ok)
	_, ok = h.Take(now, k)
	require.False(t, ok, "both slots are in use")
	_, release := h.Return(now, second)
	require.False(t, release)
	_, ok = h.Take(now.Add(cache.PinTime), k)
	require.False(t, ok, "a process that was paused finds its pin lapsed")
	require.Equal(t, 1, h.Renewals(now.Add(IdleTime))[0].Hold.Slots, "the idle slot is given up")
	h.Void(k, "i")
	h.Return(now, first)
	require.Empty(t, h.Renewals(now))
	pin.Contended = true
	h.Ask(k)
	third, ok := h.Granted(now, now, k, pin)
	require.True(t, ok)
	told, release := h.Return(now, third)
	require.True(t, release)
	require.Zero(t, told.Hold.Slots)
	h.Ask(k)
	_, ok = h.Granted(now.Add(cache.PinTime), now, k, pin)
	require.False(t, ok, "an answer that came after the pin's end")
}

// BenchmarkOrder gives the time to order the targets for one request.
func BenchmarkOrder(b *testing.B) {
	for _, n := range []int{22, 430, 6900} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			list := members(n)
			b.ReportAllocs()
			for range b.N {
				Top("inspect-dealers-ost-000001@v1", list, 3, all)
			}
		})
	}
}
