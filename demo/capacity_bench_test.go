package demo

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
)

// processCPUTime returns the user CPU time plus system CPU time of this process.
func processCPUTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkIdleFleet measures the control-plane cost of an idle instance: CPU
// time, memory, bytes between instances, and calls to the store. The fleet and its
// simulated services run in one process, so CPU time and memory include the
// services. Run it with -benchtime 1x.
func BenchmarkIdleFleet(b *testing.B) {
	for _, n := range []int{1, 2, 4, 7, 16, 32} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			const span = 12 * time.Second
			for range b.N {
				measureIdleFleet(b, n, span)
			}
		})
	}
}

func measureIdleFleet(b *testing.B, n int, span time.Duration) {
	p := rheintalProfile()
	p.Instances = n
	p.Engines = 2 * n
	f := &Fleet{
		Profile: p,
		Seed:    1,
		Cold:    true,
		Log: log.Logger{
			Level: log.PanicLevel,
		},
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	require.NoError(b, f.Start(context.Background()))
	time.Sleep(span)
	calls, bytes, cpu := f.Store.Calls(), f.peerBytes(), processCPUTime(b)
	time.Sleep(span)
	seconds := span.Seconds()
	now := f.Store.Calls()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(now.Reads-calls.Reads)/seconds, "store-reads/s")
	b.ReportMetric(float64(now.Writes-calls.Writes)/seconds, "store-writes/s")
	b.ReportMetric(float64(f.peerBytes()-bytes)/seconds/float64(n), "peer-B/s/instance")
	b.ReportMetric(100*(processCPUTime(b)-cpu).Seconds()/seconds/float64(n), "%core/instance")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n)/1e6, "MB/instance")
	require.NoError(b, f.Stop(context.Background()))
}

// peerBytes returns the number of bytes that the links have forwarded between
// instances.
func (f *Fleet) peerBytes() int64 {
	sum := int64(0)
	for _, l := range f.links {
		sum += l.forwardedBytes.Load()
	}
	return sum
}
