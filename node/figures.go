package node

import (
	"expvar"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"

	"currantstile/metric"
	"currantstile/proxy"
)

// metrics are the counters and histograms of an instance. They are served as
// lines of NAME{LABEL="VALUE"} NUMBER.
type metrics struct {
	counters *expvar.Map
	gauges   *expvar.Map
	// storeCalls are counted by name and outcome.
	storeCalls *expvar.Map

	mu        sync.Mutex
	firstByte map[string]*metric.Histogram
}

// maxHistograms bounds how many routes have a histogram of their own.
const maxHistograms = 256

func newMetrics() *metrics {
	return &metrics{
		counters: new(expvar.Map).Init(),
		gauges:   new(expvar.Map).Init(),

		storeCalls: new(expvar.Map).Init(),
		firstByte:  make(map[string]*metric.Histogram),
	}
}

// recordRequest takes in a finished request.
func (f *metrics) recordRequest(route, org string, e *proxy.Exchange) {
	f.counters.Add(fmt.Sprintf("requests_total{route=%q,organisation=%q,status=%q,reason=%q}", route, org, strconv.Itoa(e.Status), e.Reason), 1)
	if e.FirstByte == 0 {
		return
	}
	f.mu.Lock()
	h, ok := f.firstByte[route]
	if !ok && len(f.firstByte) < maxHistograms {
		h = metric.NewHistogram()
		f.firstByte[route] = h
	}
	f.mu.Unlock()
	if h != nil {
		h.Record(e.FirstByte)
	}
}

// recordStoreCall takes in a call of the store.
func (f *metrics) recordStoreCall(call string, err error) {
	outcome := "-done"
	if err != nil {
		outcome = "-failed"
	}
	f.storeCalls.Add(call+outcome, 1)
}

// logStoreCalls logs how many calls of the store there were since the start.
func (f *metrics) logStoreCalls(l *log.Logger) {
	line := l.Info()
	f.storeCalls.Do(func(kv expvar.KeyValue) {
		line.Str(kv.Key, kv.Value.String())
	})
	line.Msg("node: calls of the store")
}

// updateGauges takes in an instance's present state.
func (f *metrics) updateGauges(n *Node) {
	now := time.Now()
	gauge := func(name string, value float64) {
		v := new(expvar.Float)
		v.Set(value)
		f.gauges.Set(name, v)
	}
	if cfg := n.config.Load(); cfg != nil {
		gauge("configuration_version", float64(cfg.Version))
	}
	view := n.registry.View()
	gauge("targets", float64(view.TargetCount()))
	gauge("targets_managed", float64(n.manager.TargetCount()))
	gauge("instances", float64(len(view.Instances())))
	gauge("limits_part", float64(n.limiter.allocator.UsableShare(now))/1e6)
	gauge("store_age_seconds", now.Sub(n.health.LastSuccess()).Seconds())
	gauge("requests_running", float64(n.gate.Running()))
	gauge("connections_opened", float64(n.Conns.OpenedConns()))
}

// serveMetrics writes all figures as text.
func (f *metrics) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	var b strings.Builder
	for _, m := range []*expvar.Map{f.counters, f.gauges} {
		m.Do(func(kv expvar.KeyValue) {
			fmt.Fprintf(&b, "currantstile_%s %s\n", kv.Key, kv.Value)
		})
	}
	f.storeCalls.Do(func(kv expvar.KeyValue) {
		fmt.Fprintf(&b, "currantstile_store_calls_total{call=%q} %s\n", kv.Key, kv.Value)
	})
	f.mu.Lock()
	routes := make([]string, 0, len(f.firstByte))
	for r := range f.firstByte {
		routes = append(routes, r)
	}
	sort.Strings(routes)
	for _, r := range routes {
		s := f.firstByte[r].Summary()
		for _, q := range []struct {
			name  string
			value float64
		}{
			{
				name:  "0.5",
				value: s.P50,
			},
			{
				name:  "0.95",
				value: s.P95,
			},
			{
				name:  "0.99",
				value: s.P99,
			},
		} {
			fmt.Fprintf(&b, "currantstile_first_byte_milliseconds{route=%q,quantile=%q} %g\n", r, q.name, q.value)
		}
		fmt.Fprintf(&b, "currantstile_first_byte_count{route=%q} %d\n", r, s.Count)
	}
	f.mu.Unlock()
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	// A reader that is gone needs nothing.
	_, _ = w.Write([]byte(b.String()))
}
