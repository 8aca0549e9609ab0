package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/rest"
)

const (
	clockTicksPerSecond = 100
	oneCoreDuration     = 8 * time.Second
	oneCoreCallers      = 128
)

// cpuTime returns the user and system time that a process has used, from /proc.
func cpuTime(t testing.TB, pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	require.NoError(t, err)
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+2:]))
	ticks := 0
	for _, f := range fields[11:13] {
		n, err := strconv.Atoi(f)
		require.NoError(t, err)
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicksPerSecond
}

// residentBytes returns the resident memory of a process.
func residentBytes(t testing.TB, pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	require.NoError(t, err)
	pages, err := strconv.ParseFloat(strings.Fields(string(text))[1], 64)
	require.NoError(t, err)
	return pages * float64(os.Getpagesize())
}

// BenchmarkOneCore measures the throughput of one instance on one processor (GOMAXPROCS=1),
// in requests of one token and in streamed tokens. Run it with -benchtime 1x.
func BenchmarkOneCore(b *testing.B) {
	b.Setenv("GOMAXPROCS", "1")
	tests := []struct {
		name   string
		tokens int
	}{
		{
			name:   "requests",
			tokens: 1,
		},
		{
			name:   "tokens",
			tokens: 400,
		},
	}
	for _, tt := range tests {
		b.Run(tt.name, func(b *testing.B) {
			f := startOneCoreFleet(b)
			pid := f.instances[0].cmd.Process.Pid
			for range b.N {
				cpu := cpuTime(b, pid)
				requests, tokens := f.generateLoad(b, tt.tokens)
				used := (cpuTime(b, pid) - cpu).Seconds()
				b.ReportMetric(float64(requests)/oneCoreDuration.Seconds(), "requests/s")
				b.ReportMetric(float64(tokens)/oneCoreDuration.Seconds(), "tokens/s")
				b.ReportMetric(float64(requests)/used, "requests/core-s")
				b.ReportMetric(float64(tokens)/used, "tokens/core-s")
				b.ReportMetric(residentBytes(b, pid)/1e6, "MB")
			}
		})
	}
}

func startOneCoreFleet(b *testing.B) *processFleet {
	return startProcessFleet(b, 1, withoutProxies, "-bears", "256", "-step-time", "2ms", "-step-per-request", "1us", "-prefill-time", "1ms")
}

// generateLoad sends requests from oneCoreCallers concurrent callers for oneCoreDuration. It
// returns the number of requests with a complete response and the number of tokens received.
func (f *processFleet) generateLoad(b *testing.B, tokens int) (requests, received int64) {
	client := rest.NewClient(time.Second, oneCoreCallers)
	ctx, cancel := context.WithTimeout(b.Context(), 4*oneCoreDuration)
	defer cancel()
	end := time.Now().Add(oneCoreDuration)
	var completed, streamed atomic.Int64
	var wg sync.WaitGroup
	for range oneCoreCallers {
		wg.Go(func() {
			for time.Now().Before(end) {
				n, err := f.countTokens(ctx, client, tokens)
				streamed.Add(n)
				if err == nil {
					completed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return completed.Load(), streamed.Load()
}

// countTokens sends one streamed request and returns the number of tokens received.
func (f *processFleet) countTokens(ctx context.Context, client *rest.Client, tokens int) (int64, error) {
	resp, err := client.Send(ctx, rest.Request{
		Method: http.MethodPost,
		Addr:   f.callerAddrs[0],
		Path:   "/v1/completions",
		Header: http.Header{"Authorization": {"Bearer " + f.callerKey}},
		Body:   []byte(fmt.Sprintf(`{"model":"sort@v1","prompt":"x","max_tokens":%d,"stream":true}`, tokens)),
	})
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	buf := make([]byte, 64<<10)
	n := int64(0)
	for {
		k, err := resp.Body.Read(buf)
		n += int64(bytes.Count(buf[:k], []byte(`"content"`)))
		if err == io.EOF {
			return n, nil
		}
		if err != nil {
			return n, err
		}
	}
}
