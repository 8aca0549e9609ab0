package route

import (
	"fmt"
	"strconv"
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

// Removing a member moves only the keys of that member.
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

// Top returns a prefix of the full order, without the members that keep excludes.
func TestTop(t *testing.T) {
	list := members(50)
	ranked := Top("k", list, 50, keepAll)
	require.Len(t, ranked, 50)
	require.Equal(t, ranked[:3], Top("k", list, 3, keepAll))
	require.Equal(t, ranked[1:4], Top("k", list, 3, func(m *model.Member) bool {
		return m.ID != ranked[0].ID
	}))
	require.Len(t, Top("k", list[:2], 3, keepAll), 2)
}

// A pin is used only while it is valid at the current time, and a slot of a
// contended pin is removed as soon as it is free.
func TestPins(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	k := PinKey{Target: "t", Adapter: model.Adapter{Name: "a", Version: "v1"}}
	pin := cache.Pin{Incarnation: "i", Adapter: k.Adapter, Slots: 2, ValidFor: cache.PinTTL}
	pins := NewPins()
	_, ok := pins.Acquire(now, k)
	require.False(t, ok)
	pins.BeginRequest(k)
	first, ok := pins.RecordGranted(now, now, k, pin)
	require.True(t, ok)
	second, ok := pins.Acquire(now, k)
	require.True(t, ok)
	_, ok = pins.Acquire(now, k)
	require.False(t, ok, "both slots are in use")
	_, release := pins.Release(now, second)
	require.False(t, release)
	_, ok = pins.Acquire(now.Add(cache.PinTTL), k)
	require.False(t, ok, "a process that was paused finds its pin expired")
	require.Equal(t, 1, pins.PrepareRenewals(now.Add(SlotIdleTimeout))[0].Pin.Slots, "the idle slot is removed")
	pins.Void(k, "i")
	pins.Release(now, first)
	require.Empty(t, pins.PrepareRenewals(now))
	pin.Contended = true
	pins.BeginRequest(k)
	third, ok := pins.RecordGranted(now, now, k, pin)
	require.True(t, ok)
	update, release := pins.Release(now, third)
	require.True(t, release)
	require.Zero(t, update.Pin.Slots)
	pins.BeginRequest(k)
	_, ok = pins.RecordGranted(now.Add(cache.PinTTL), now, k, pin)
	require.False(t, ok, "the reply arrived after the pin expired")
}

// BenchmarkOrder measures the time to rank the targets for one request.
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

// Guards against small instances managing as much as large ones: over many keys an item
// is first in proportion to its weight, and removing an item moves only its own keys.
func TestWeightedFollowsWeights(t *testing.T) {
	type item struct {
		id     string
		weight float64
	}
	items := []item{
		{id: "small-1", weight: 0.2},
		{id: "small-2", weight: 0.2},
		{id: "large", weight: 0.8},
	}
	describe := func(i *item) (string, float64) {
		return i.id, i.weight
	}
	const keys = 12000
	counts := make(map[string]float64)
	for k := range keys {
		key := strconv.Itoa(k)
		first, ok := Weighted(key, items, describe)
		require.True(t, ok)
		counts[first.id]++
		if first.id == "large" {
			continue
		}
		again, _ := Weighted(key, []item{first, items[2]}, describe)
		require.Equal(t, first.id, again.id)
	}
	for _, i := range items {
		require.InEpsilon(t, keys*i.weight/1.2, counts[i.id], 0.08, i.id)
	}
	_, ok := Weighted("k", []item{}, describe)
	require.False(t, ok)
}
