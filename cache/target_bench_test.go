package cache

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkTarget measures a manager's time for one request and its renewal, and
// its memory for one adapter on a target.
func BenchmarkTarget(b *testing.B) {
	for _, slots := range []int{8, 64} {
		b.Run(fmt.Sprintf("adapters=%d", slots), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			t := NewTarget("t")
			t.RecordReport(start, report("i1", 1<<30, slots))
			for n := range slots {
				t.RequestPin(start, PinRequest{Holder: "e", Adapter: adapter(n), Slots: 1, ID: 1})
				t.RecordLoaded(start, adapter(n), true)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				a := adapter(i % slots)
				t.RequestPin(start, PinRequest{Holder: "e", Adapter: a, Slots: 1, ID: uint64(i)})
				t.Renew(start, "e", []HeldPin{{Adapter: a, Incarnation: "i1", Asked: uint64(i)}})
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(slots), "B/adapter")
		})
	}
}
