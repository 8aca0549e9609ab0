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

	"currantstile/avail"
	"currantstile/duty"
	"currantstile/errs"
	"currantstile/memory"
	"currantstile/metric"
	"currantstile/peer"
	"currantstile/poison"
	"currantstile/proxy"
	"currantstile/scale"
	"currantstile/sched"
)

// metrics holds the counters, gauges and histograms of an instance. They are
// served as text, one NAME{LABEL="VALUE"} NUMBER per line.
type metrics struct {
	counters *expvar.Map
	gauges   *expvar.Map
	// storeCalls counts store calls by name and outcome.
	storeCalls *expvar.Map
	// peerCalls and peerBytes count the calls to other instances and their traffic by
	// method and data centre.
	peerCalls *expvar.Map
	peerBytes *expvar.Map

	mu        sync.Mutex
	firstByte map[string]*metric.Histogram
	// blocks are the features that are blocked.
	blocks []poison.BlockInfo
	// closed are the targets that are closed because of their answers.
	closed []avail.Closed
	// limited are the targets that name a rate limit.
	limited []avail.LimitedTarget
}

// maxHistograms bounds the number of routes that have their own latency histogram.
const maxHistograms = 256

func newMetrics() *metrics {
	return &metrics{
		counters: new(expvar.Map).Init(),
		gauges:   new(expvar.Map).Init(),

		storeCalls: new(expvar.Map).Init(),
		peerCalls:  new(expvar.Map).Init(),
		peerBytes:  new(expvar.Map).Init(),
		firstByte:  make(map[string]*metric.Histogram),
	}
}

// recordRequest counts a finished request and records its time to first byte, which is
// zero if there was no response. Routes beyond maxHistograms are only counted.
func (m *metrics) recordRequest(route, org string, e *proxy.Exchange) {
	m.counters.Add(fmt.Sprintf("requests_total{route=%q,organisation=%q,status=%q,reason=%q}", route, org, strconv.Itoa(e.Status), e.Reason), 1)
	e.EachWait(func(cause string, d time.Duration) {
		m.counters.Add(fmt.Sprintf("wait_milliseconds_total{cause=%q}", cause), d.Milliseconds())
	})
	if e.FirstByte == 0 {
		return
	}
	m.mu.Lock()
	h, ok := m.firstByte[route]
	if !ok && len(m.firstByte) < maxHistograms {
		h = metric.NewHistogram()
		m.firstByte[route] = h
	}
	m.mu.Unlock()
	if h != nil {
		h.Record(e.FirstByte)
	}
}

// recordStoreCall counts a store call by its outcome.
func (m *metrics) recordStoreCall(call string, err error) {
	outcome := "-done"
	if err != nil {
		outcome = "-failed"
	}
	m.storeCalls.Add(call+outcome, 1)
}

// logStoreCalls logs the numbers of store calls since the start of the process.
func (m *metrics) logStoreCalls(l *log.Logger) {
	line := l.Info()
	m.storeCalls.Do(func(kv expvar.KeyValue) {
		line.Str(kv.Key, kv.Value.String())
	})
	line.Msg("node: store calls since start")
}

// recordDutyCall counts a call of a singleton duty by its result. Calls that were not made are not counted.
func (m *metrics) recordDutyCall(s duty.Subject, r duty.Result) {
	m.counters.Add(fmt.Sprintf("duty_calls_total{subject=%q,result=%q}", s.String(), r.Name()), 1)
}

// recordUsageReport counts a window of usage that was reported or missed.
func (m *metrics) recordUsageReport(_ int64, sent bool) {
	result := "missed"
	if sent {
		result = "sent"
	}
	m.counters.Add(fmt.Sprintf("usage_windows_total{result=%q}", result), 1)
}

// recordScaleOrder records the number of targets that was last ordered, and the work for which it was.
func (m *metrics) recordScaleOrder(s duty.Subject, o scale.Order) {
	for name, value := range map[string]float64{
		"targets_ordered": float64(o.Count),
		"targets_work":    o.Work,
	} {
		v := new(expvar.Float)
		v.Set(value)
		m.gauges.Set(fmt.Sprintf("%s{service=%q,data_centre=%q}", name, s.Service, s.Zone), v)
	}
}

// recordPeerTransfer counts the traffic of a call to another instance; local is set if
// the instance is in the same data centre.
func (m *metrics) recordPeerTransfer(t peer.Transfer, local bool) {
	zone := "other"
	if local {
		zone = "same"
	}
	if t.Request {
		m.peerCalls.Add(fmt.Sprintf("method=%q,data_centre=%q", t.Method, zone), 1)
	}
	direction := "received"
	if t.Request {
		direction = "sent"
	}
	m.peerBytes.Add(fmt.Sprintf("method=%q,data_centre=%q,direction=%q", t.Method, zone, direction), t.Bytes)
}

// logPeerCalls logs the total calls to other instances and their bytes.
func (m *metrics) logPeerCalls(l *log.Logger) {
	line := l.Info()
	for suffix, counts := range map[string]*expvar.Map{
		" calls": m.peerCalls,
		" bytes": m.peerBytes,
	} {
		counts.Do(func(kv expvar.KeyValue) {
			line.Str(strings.ReplaceAll(kv.Key, `"`, "")+suffix, kv.Value.String())
		})
	}
	line.Msg("node: calls to other instances since start")
}

// overloadGauges sets the gauges of model services under overload.
func overloadGauges(o proxy.OverloadCounts, gauge func(name string, value float64)) {
	gauge("overloaded_services", float64(o.Active))
	gauge("overloads_total", float64(o.Began))
	gauge("overload_refusals_total", float64(o.Refused))
	gauge("overload_held_total", float64(o.Held))
	gauge("overload_floor_attempts_total", float64(o.Floors))
}

// setGauge sets one gauge.
func (m *metrics) setGauge(name string, value float64) {
	v := new(expvar.Float)
	v.Set(value)
	m.gauges.Set(name, v)
}

// updateBounds sets the gauges of what requests and connections take of the instance.
func (m *metrics) updateBounds(n *Node) {
	for share, pool := range map[string]*memory.Pool{
		"bodies":      n.Budget.Bodies,
		"answers":     n.Budget.Answers,
		"state":       n.Budget.State,
		"connections": n.Budget.Conns,
		"messages":    n.Budget.Messages,
	} {
		m.setGauge(fmt.Sprintf("memory_held_bytes{share=%q}", share), float64(pool.Held()))
		m.setGauge(fmt.Sprintf("memory_limit_bytes{share=%q}", share), float64(pool.Limit()))
		m.setGauge(fmt.Sprintf("memory_refusals_total{share=%q}", share), float64(pool.Refused()))
	}
	for _, l := range append(n.listeners, n.gate.Bounded(), n.peers.Bounded()) {
		m.setGauge(fmt.Sprintf("connections_open{listener=%q}", l.Name), float64(l.Len()))
		l.EachCount(func(kind string, count int64) {
			m.setGauge(fmt.Sprintf("connections_refused_total{listener=%q,kind=%q}", l.Name, kind), float64(count))
		})
	}
}

// updateGauges sets the gauges to the current state of n. limits_part is the usable
// share of the limits, from 0 to 1.
func (m *metrics) updateGauges(n *Node) {
	now := time.Now()
	gauge := m.setGauge
	if cfg := n.config.Load(); cfg != nil {
		gauge("configuration_version", float64(cfg.Version))
	}
	view := n.registry.View()
	gauge("targets", float64(view.TargetCount()))
	gauge("targets_managed", float64(n.manager.TargetCount()))
	gauge("instances", float64(len(view.Instances())))
	gauge("limits_part", float64(n.limiter.allocator.UsableShare(now))/1e6)
	evidence, upToDate := n.hub.Evidence(now)
	gauge("evidence_age_seconds", evidence.Seconds())
	gauge("up_to_date", map[bool]float64{true: 1}[upToDate])
	era, changes := n.hub.Era()
	gauge("store_era", float64(era))
	gauge("store_era_changes_total", float64(changes))
	gauge("store_age_seconds", now.Sub(n.health.LastSuccess()).Seconds())
	gauge("requests_running", float64(n.gate.Running()))
	gauge("connections_opened", float64(n.Conns.OpenedConns()))
	gauge("connections_idle", float64(n.Conns.IdleConns()))
	gauge("connections_silent", float64(n.Conns.SilentConns()))
	if n.duties != nil {
		gauge("duties_held", float64(n.duties.holder.Held()))
		gauge("duty_clock_offset_seconds", n.duties.clock.True(now).Sub(now.Round(0)).Seconds())
	}
	m.updateBounds(n)
	blocks := n.screen.ledger.Blocks(now)
	gauge("blocked_features", float64(len(blocks)))
	closed := n.avail.Closed(now, view)
	gauge("targets_closed", float64(len(closed)))
	totals := n.avail.Totals()
	gauge("target_leaving_total", float64(totals.Leaving))
	gauge("target_pushbacks_total", float64(totals.Pushbacks))
	gauge("target_limit_changes_total", float64(totals.Limits))
	gauge("malformed_answers_total", float64(n.router.Malformed()))
	updateSlotGauges(n, gauge)
	overloadGauges(n.router.Overload(), gauge)
	m.mu.Lock()
	m.blocks, m.closed, m.limited = blocks, closed, n.avail.LimitedTargets(view)
	m.mu.Unlock()
}

// updateSlotGauges sets the gauges of the slots that one instance grants for all.
func updateSlotGauges(n *Node, gauge func(name string, value float64)) {
	slots := n.slots.Totals()
	gauge("slots_granted_total", float64(slots.Granted))
	gauge("slots_refused_total", float64(slots.Refused))
	gauge("slot_requests_waiting", float64(slots.Waiting))
	asked, alone := n.router.SlotTotals()
	gauge("slots_asked_total", float64(asked))
	gauge("slots_unanswered_total", float64(alone))
	n.router.EachCrossing(func(reason sched.CrossingReason, c proxy.CrossingCount) {
		gauge(fmt.Sprintf("crossing_requests_total{reason=%q}", string(reason)), float64(c.Requests))
		gauge(fmt.Sprintf("crossing_bytes_total{reason=%q}", string(reason)), float64(c.Bytes))
	})
}

// formatTime returns a time as a metric label; it is empty for the zero time.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339Nano)
}

// serveMetrics writes all metrics as plain text.
func (m *metrics) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	var b strings.Builder
	for _, group := range []*expvar.Map{m.counters, m.gauges} {
		group.Do(func(kv expvar.KeyValue) {
			fmt.Fprintf(&b, "currantstile_%s %s\n", kv.Key, kv.Value)
		})
	}
	errs.EachPanic(func(step string, count int64) {
		fmt.Fprintf(&b, "currantstile_panics_recovered_total{step=%q} %d\n", step, count)
	})
	m.storeCalls.Do(func(kv expvar.KeyValue) {
		fmt.Fprintf(&b, "currantstile_store_calls_total{call=%q} %s\n", kv.Key, kv.Value)
	})
	m.peerCalls.Do(func(kv expvar.KeyValue) {
		fmt.Fprintf(&b, "currantstile_peer_calls_total{%s} %s\n", kv.Key, kv.Value)
	})
	m.peerBytes.Do(func(kv expvar.KeyValue) {
		fmt.Fprintf(&b, "currantstile_peer_bytes_total{%s} %s\n", kv.Key, kv.Value)
	})
	m.mu.Lock()
	for _, info := range m.blocks {
		fmt.Fprintf(&b, "currantstile_blocked_feature{feature=%q,by=%q,targets=\"%d\",trials=\"%d\",since=%q} 1\n",
			info.Feature, info.By, len(info.Targets), info.Trials, info.Since.UTC().Format(time.RFC3339))
	}
	for _, c := range m.closed {
		fmt.Fprintf(&b, "currantstile_target_closed{target=%q,reason=%q,since=%q,until=%q} 1\n", c.Target, c.Reason, formatTime(c.Since), formatTime(c.Until))
	}
	for _, l := range m.limited {
		fmt.Fprintf(&b, "currantstile_target_limit{target=%q,since=%q} %g\n", l.Target, formatTime(l.Since), l.Rate)
	}
	routes := make([]string, 0, len(m.firstByte))
	for r := range m.firstByte {
		routes = append(routes, r)
	}
	sort.Strings(routes)
	for _, r := range routes {
		s := m.firstByte[r].Summary()
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
	m.mu.Unlock()
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	// A write error means that the client has disconnected; there is nothing to do.
	_, _ = w.Write([]byte(b.String()))
}
