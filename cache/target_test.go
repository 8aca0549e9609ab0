package cache

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"currantstile/model"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func adapter(n int) model.Adapter {
	return model.Adapter{
		Name:    fmt.Sprintf("a%d", n),
		Version: "v1",
	}
}

func report(incarnation string, capacity, slots int) Report {
	return Report{
		Incarnation:  incarnation,
		Capacity:     capacity,
		AdapterSlots: slots,
	}
}

func TestRequestPin(t *testing.T) {
	target := NewTarget("t")
	req := PinRequest{
		Holder:  "e1",
		Adapter: adapter(1),
		Slots:   2,
		ID:      1,
	}
	require.IsType(t, NotReady{}, target.RequestPin(start, req), "before the first report")
	target.RecordReport(start, report("i1", 3, 1))
	require.Equal(t, Load{Adapter: adapter(1)}, target.RequestPin(start, req))
	require.IsType(t, NotReady{}, target.RequestPin(start, req), "while loading")
	target.RecordLoaded(start, adapter(1), true)
	granted, ok := target.RequestPin(start, req).(Granted)
	require.True(t, ok)
	require.Equal(t, 2, granted.Pin.Slots)
	req.Holder = "e2"
	granted, ok = target.RequestPin(start, req).(Granted)
	require.True(t, ok)
	require.Equal(t, 1, granted.Pin.Slots, "limited by the target's capacity")
	require.IsType(t, Full{}, target.RequestPin(start, req))
	req.Adapter = adapter(2)
	require.IsType(t, NoAdapterSlot{}, target.RequestPin(start, req), "the only adapter is pinned")
}

// Guards against evicting an adapter under a running request after its pin expired:
// a report shows that it is idle only if it arrives MaxReportLag after the expiry.
func TestEvictionAfterPinExpiry(t *testing.T) {
	target := NewTarget("t")
	target.RecordReport(start, report("i1", 4, 1))
	target.RequestPin(start, PinRequest{Holder: "e1", Adapter: adapter(1), Slots: 1, ID: 1})
	target.RecordLoaded(start, adapter(1), true)
	require.IsType(t, Granted{}, target.RequestPin(start, PinRequest{Holder: "e1", Adapter: adapter(1), Slots: 1, ID: 2}))
	other := PinRequest{Holder: "e2", Adapter: adapter(2), Slots: 1, ID: 1}
	expired := start.Add(PinTTL + PinMargin)
	require.IsType(t, NoAdapterSlot{}, target.RequestPin(expired, other))
	running := report("i1", 4, 1)
	running.Adapters = []ReportAdapter{{Adapter: adapter(1), Ready: true, Running: 1}}
	idle := report("i1", 4, 1)
	idle.Adapters = []ReportAdapter{{Adapter: adapter(1), Ready: true}}
	target.RecordReport(expired.Add(MaxReportLag-1), idle)
	require.IsType(t, NoAdapterSlot{}, target.RequestPin(expired.Add(MaxReportLag), other), "the report may describe an earlier state")
	target.RecordReport(expired.Add(MaxReportLag), running)
	require.IsType(t, NoAdapterSlot{}, target.RequestPin(expired.Add(MaxReportLag), other), "a request is still running")
	target.RecordReport(expired.Add(MaxReportLag+1), idle)
	require.Equal(t, Load{Adapter: adapter(2), Evict: adapter(1)}, target.RequestPin(expired.Add(MaxReportLag+1), other))
}

// The least popular adapter is evicted, and its popularity is restored when it is
// loaded again.
func TestEvictionByPopularity(t *testing.T) {
	target := NewTarget("t")
	target.RecordReport(start, report("i1", 9, 2))
	id := uint64(0)
	use := func(at time.Time, n, times int) Decision {
		var d Decision
		for range times {
			id++
			d = target.RequestPin(at, PinRequest{Holder: "e1", Adapter: adapter(n), Slots: 1, ID: id})
			if load, ok := d.(Load); ok {
				target.RecordUnloaded(load.Evict, true)
				target.RecordLoaded(at, adapter(n), true)
				target.RequestPin(at, PinRequest{Holder: "e1", Adapter: adapter(n), Slots: 1, ID: id})
			}
			target.Renew(at, "e1", []HeldPin{{Adapter: adapter(n), Incarnation: "i1", Asked: id}})
		}
		return d
	}
	use(start, 1, 5)
	use(start.Add(time.Second), 2, 2)
	require.Equal(t, Load{Adapter: adapter(3), Evict: adapter(2)}, use(start.Add(2*time.Second), 3, 1))
	require.Equal(t, Load{Adapter: adapter(2), Evict: adapter(3)}, use(start.Add(3*time.Second), 2, 1))
	require.Equal(t, Load{Adapter: adapter(3), Evict: adapter(2)}, use(start.Add(4*time.Second), 3, 1), "3 uses against 5")
	use(start.Add(5*time.Second), 3, 8)
	shifted := start.Add(5 * time.Second)
	require.Equal(t, Load{Adapter: adapter(2), Evict: adapter(1)}, use(shifted.Add(time.Second), 2, 1), "popularity follows recent use")
}

// After a restart the target's adapters are lost, and pins of its earlier
// incarnation are void.
func TestRestart(t *testing.T) {
	target := NewTarget("t")
	target.RecordReport(start, report("i1", 4, 2))
	target.RequestPin(start, PinRequest{Holder: "e1", Adapter: adapter(1), Slots: 1, ID: 1})
	target.RecordLoaded(start, adapter(1), true)
	target.RequestPin(start, PinRequest{Holder: "e1", Adapter: adapter(1), Slots: 1, ID: 2})
	target.RecordReport(start, report("i2", 1, 2))
	void := target.Renew(start, "e1", []HeldPin{{Adapter: adapter(1), Incarnation: "i1", Slots: 1, Asked: 2}})
	require.Equal(t, []model.Adapter{adapter(1)}, void)
	require.IsType(t, Load{}, target.RequestPin(start, PinRequest{Holder: "e1", Adapter: adapter(1), Slots: 1, ID: 3}))
}

// A renewal whose slots were counted before a later grant does not revoke that
// grant. One whose slots were counted after a grant whose reply was lost does.
func TestRenewSlotCounts(t *testing.T) {
	tests := []struct {
		name string
		pin  HeldPin
		want int
	}{
		{
			name: "counted before the second grant",
			pin:  HeldPin{Slots: 1, Asked: 2},
			want: 2,
		},
		{
			name: "second reply lost",
			pin:  HeldPin{Slots: 1, Asked: 3},
			want: 1,
		},
		{
			name: "second reply still pending",
			pin:  HeldPin{Slots: 1, Asked: 3, Asking: true},
			want: 2,
		},
		{
			name: "all returned",
			pin:  HeldPin{Slots: 0, Asked: 3},
			want: 0,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			target := NewTarget("t")
			target.RecordReport(start, report("i1", 4, 2))
			for id := range uint64(3) {
				target.RequestPin(start, PinRequest{Holder: "e1", Adapter: adapter(1), Slots: 1, ID: id + 1})
				target.RecordLoaded(start, adapter(1), true)
			}
			tt.pin.Adapter = adapter(1)
			tt.pin.Incarnation = "i1"
			require.Empty(t, target.Renew(start, "e1", []HeldPin{tt.pin}))
			require.Equal(t, tt.want, target.Summaries()[0].Granted)
		})
	}
}

// simHolder is a simulated instance with its own view of its pins.
type simHolder struct {
	slots         map[model.Adapter]int
	running       map[model.Adapter]int
	expires       map[model.Adapter]time.Time
	lastRequestID uint64
}

// Instances request, renew, return and lose pins in random order. The valid pins
// never exceed the target's capacity, and no adapter is evicted while a request is
// running on it. The test fails without the sum in freeSlots, without the check of
// grantedSlots or of unverifiedFrom in evictable, or if expireGrants ignores
// PinMargin.
func TestPinsProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const capacity, slots = 3, 2
		now := start
		target := NewTarget("t")
		target.RecordReport(now, report("i1", capacity, slots))
		holders := []*simHolder{newSimHolder(), newSimHolder(), newSimHolder()}
		loaded := make(map[model.Adapter]bool)
		rt.Repeat(map[string]func(*rapid.T){
			"ask": func(rt *rapid.T) {
				h := rapid.SampledFrom(holders).Draw(rt, "holder")
				a := adapter(rapid.IntRange(0, 3).Draw(rt, "adapter"))
				h.lastRequestID++
				d := target.RequestPin(now, PinRequest{Holder: h.id(holders), Adapter: a, Slots: 1, ID: h.lastRequestID})
				switch d := d.(type) {
				case Load:
					if d.Evict != (model.Adapter{}) {
						for _, other := range holders {
							require.Zero(rt, other.running[d.Evict], "evicted while a request was running")
						}
						target.RecordUnloaded(d.Evict, true)
						delete(loaded, d.Evict)
					}
					target.RecordLoaded(now, d.Adapter, true)
					loaded[d.Adapter] = true
				case Granted:
					if rapid.Bool().Draw(rt, "answer lost") {
						return
					}
					if !now.Before(h.expires[a]) {
						h.slots[a] = 0
					}
					h.slots[a] += d.Pin.Slots
					h.expires[a] = now.Add(PinTTL)
				}
			},
			"run": func(rt *rapid.T) {
				h := rapid.SampledFrom(holders).Draw(rt, "holder")
				for _, a := range sortedAdapters(h.slots) {
					if n := h.slots[a]; h.running[a] < n && now.Before(h.expires[a]) {
						h.running[a]++
					}
				}
			},
			"end": func(rt *rapid.T) {
				h := rapid.SampledFrom(holders).Draw(rt, "holder")
				for a := range h.running {
					h.running[a] = 0
				}
			},
			"renew": func(rt *rapid.T) {
				h := rapid.SampledFrom(holders).Draw(rt, "holder")
				var pins []HeldPin
				for _, a := range sortedAdapters(h.slots) {
					h.slots[a] = h.running[a]
					pins = append(pins, HeldPin{Adapter: a, Incarnation: "i1", Slots: h.slots[a], Asked: h.lastRequestID})
				}
				void := target.Renew(now, h.id(holders), pins)
				for a := range h.slots {
					h.expires[a] = now.Add(PinTTL)
				}
				for _, a := range void {
					h.slots[a] = 0
				}
			},
			"report": func(*rapid.T) {
				r := report("i1", capacity, slots)
				for a := range loaded {
					n := 0
					for _, h := range holders {
						n += h.running[a]
					}
					r.Adapters = append(r.Adapters, ReportAdapter{Adapter: a, Ready: true, Running: n})
				}
				target.RecordReport(now, r)
			},
			"wait": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(rt, "ms")) * time.Millisecond)
			},
			"": func(rt *rapid.T) {
				mayRun := 0
				for _, h := range holders {
					for a, n := range h.slots {
						if now.Before(h.expires[a]) {
							mayRun += n
						}
					}
				}
				require.LessOrEqual(rt, mayRun, capacity)
			},
		})
	})
}

// sortedAdapters returns the adapters in a fixed order, so that a failure can be
// reproduced from its seed.
func sortedAdapters(slots map[model.Adapter]int) []model.Adapter {
	return slices.SortedFunc(maps.Keys(slots), func(a, b model.Adapter) int {
		return strings.Compare(a.String(), b.String())
	})
}

func newSimHolder() *simHolder {
	return &simHolder{
		slots:   make(map[model.Adapter]int),
		running: make(map[model.Adapter]int),
		expires: make(map[model.Adapter]time.Time),
	}
}

func (h *simHolder) id(all []*simHolder) Holder {
	for i, other := range all {
		if other == h {
			return Holder(fmt.Sprintf("e%d", i))
		}
	}
	return ""
}
