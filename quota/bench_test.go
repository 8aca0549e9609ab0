package quota

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"currantstile/model"
)

// BenchmarkReserve measures the CPU time of one reservation and its settlement, and the
// memory of one organisation's account.
func BenchmarkReserve(b *testing.B) {
	for _, orgs := range []int{5, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("organisations=%d", orgs), func(b *testing.B) {
			names := make([]model.OrgID, orgs)
			for i := range names {
				names[i] = model.OrgID(fmt.Sprintf("org-%d", i))
			}
			limits := Limits{
				Rate:  1_000_000,
				Burst: 1_000_000,
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			l := NewLedger()
			l.SetBaseShare(start.Add(-time.Hour), TotalWeight/7, start.Add(time.Hour))
			for _, org := range names {
				l.Reserve(start, org, limits, 1)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			b.ResetTimer()
			now := start
			for i := range b.N {
				now = now.Add(time.Microsecond)
				d, ok := l.Reserve(now, names[i%orgs], limits, 100).(Admitted)
				if ok {
					l.Settle(now, d.Reservation, 60)
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(orgs), "B/org")
		})
	}
}

// BenchmarkSkewedLoad measures the calls between instances when all requests of an
// organisation reach one of several instances at 0.9 of its rate.
func BenchmarkSkewedLoad(b *testing.B) {
	for _, size := range []int{1, 2, 4, 7, 16, 32} {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			const tokens, seconds = 100, 30
			calls, admitted, offered := 0, 0, 0
			for range b.N {
				f := newFleetModel(Limits{
					Rate:  10_000,
					Burst: 20_000,
				}, make([]float64, size))
				step := time.Second / 90
				for f.real = 0; f.real < seconds*time.Second; f.real += step {
					calls += len(f.network)
					f.tick(step)
					offered++
					if f.reserve(0, tokens) {
						admitted++
					}
				}
			}
			b.ReportMetric(float64(calls)/float64(b.N)/seconds, "calls/s")
			b.ReportMetric(float64(calls)/float64(max(admitted, 1)), "calls/admitted")
			b.ReportMetric(float64(admitted)/float64(offered), "admitted-share")
		})
	}
}
