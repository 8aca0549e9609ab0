package model

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkContractIndex measures the memory per adapter of the configuration,
// which every instance keeps in full, and the time to resolve an adapter.
func BenchmarkContractIndex(b *testing.B) {
	for _, n := range []int{100, 3000, 160000} {
		b.Run(fmt.Sprintf("adapters=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c := Contract{
				Organisation: "a",
				Rate:         1,
				Burst:        1,
			}
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprintf("inspect-dealers-ost-%06d", i)
				c.Adapters = append(c.Adapters, ContractAdapter{
					Name:     names[i],
					Current:  "v1",
					Versions: []string{"v1"},
				})
			}
			index := NewContractIndex(c)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				if _, ok := index.Resolve(Adapter{Name: names[i%n]}); !ok {
					b.Fatal("adapter is not in the index")
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/adapter")
		})
	}
}
