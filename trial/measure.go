package trial

import (
	"sort"
	"time"

	"currantstile/demo"
	"currantstile/metric"
)

// stallThreshold is the time to the first token from which a request counts as having
// waited for an adapter load, since a load takes a quarter of a second.
const stallThreshold = 250 * time.Millisecond

// computeMeasures derives the measures of a phase from the callers' records and the
// counters of the simulators.
func computeMeasures(f *demo.Fleet, p Phase, records []record) Measures {
	var ms Measures
	fleet := make([]record, 0, len(records))
	for _, r := range records {
		if !r.direct {
			fleet = append(fleet, r)
		}
	}
	measureOutcomes(&ms, fleet, p.Duration)
	measureLatency(&ms, f, p, fleet)
	measureLimits(&ms, f, p, fleet)
	measureTargets(&ms, f)
	if p.ExtraMeasures != nil {
		p.ExtraMeasures(&ms, f, fleet)
	}
	if p.SendDirect {
		measureAddedLatency(&ms, records)
	}
	return ms
}

func measureOutcomes(ms *Measures, records []record, span time.Duration) {
	counts := make(map[observedOutcome]int)
	falseNotRun := 0
	for _, r := range records {
		counts[r.observed]++
		if r.observed == outcomeRefused && !r.firstTokenAt.IsZero() {
			falseNotRun++
		}
	}
	ms.Add("requests", float64(len(records)))
	for _, outcome := range []observedOutcome{outcomeComplete, outcomeRateLimited, outcomeRefused, outcomeTruncated, outcomeMismatch, outcomeFailed} {
		ms.Add(string(outcome), float64(counts[outcome]))
	}
	ms.Add("not-answered-whole", float64(counts[outcomeRefused]+counts[outcomeTruncated]+counts[outcomeMismatch]+counts[outcomeFailed]))
	ms.Add("requests-per-second", float64(counts[outcomeComplete])/span.Seconds())
	ms.Add("tokens-per-second", float64(counts[outcomeComplete])*generatedTokens/span.Seconds())
}

// measureLatency measures the times to the first token and between tokens, compares
// the organisations with one another, and counts the requests that stalled.
func measureLatency(ms *Measures, f *demo.Fleet, p Phase, records []record) {
	first := metric.NewHistogram()
	gaps := metric.NewHistogram()
	stalls := 0
	byOrg := make([]*metric.Histogram, len(f.Profile.Orgs))
	for i := range byOrg {
		byOrg[i] = metric.NewHistogram()
	}
	for _, r := range records {
		if r.firstTokenAt.IsZero() {
			continue
		}
		wait := r.firstTokenAt.Sub(r.sentAt)
		first.Record(wait)
		byOrg[orgIndex(f.Profile, r.org)].Record(wait)
		if wait >= stallThreshold {
			stalls++
		}
		for _, g := range r.tokenGaps {
			gaps.Record(g)
		}
	}
	ms.Add("first-token-p50-ms", first.Summary().P50)
	ms.Add("first-token-p95-ms", first.Summary().P95)
	ms.Add("first-token-p99-ms", first.Summary().P99)
	ms.Add("between-tokens-p95-ms", gaps.Summary().P95)
	ms.Add("stalls", float64(stalls))
	ms.Add("stall-share", ratio(float64(stalls), float64(first.Count())))
	ms.Add("worst-over-median", worstOverMedian(byOrg))
	var within []*metric.Histogram
	for n, h := range byOrg {
		if p.Load(n).RateFactor <= 1 {
			within = append(within, h)
		}
	}
	ms.Add("worst-within-rate-over-median", worstOverMedian(within))
}

func firstTokenHistogram(records []record) *metric.Histogram {
	h := metric.NewHistogram()
	for _, r := range records {
		if !r.firstTokenAt.IsZero() {
			h.Record(r.firstTokenAt.Sub(r.sentAt))
		}
	}
	return h
}

// worstOverMedian returns the highest of the organisations' p95 values divided by their
// median, or 0 if there are none. Of an even number of values it takes the upper median.
func worstOverMedian(byOrg []*metric.Histogram) float64 {
	var p95 []float64
	for _, h := range byOrg {
		if h.Count() > 0 {
			p95 = append(p95, float64(h.Quantile(0.95)))
		}
	}
	if len(p95) == 0 {
		return 0
	}
	sort.Float64s(p95)
	return ratio(p95[len(p95)-1], p95[len(p95)/2])
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// measureTargets adds up the counters of the engines, and counts leaked keys and
// calls to the store.
func measureTargets(ms *Measures, f *demo.Fleet) {
	var evicted, steps, tokens, groups, loads uint64
	for _, e := range f.Engines {
		s := e.State()
		evicted += s.EvictedRunning
		steps += s.Steps
		tokens += s.StepTokens
		groups += s.StepGroups
		loads += s.Loads
	}
	ms.Add("evicted-running", float64(evicted))
	ms.Add("tokens-per-step", ratio(float64(tokens), float64(steps)))
	ms.Add("same-adapter-in-step", ratio(float64(tokens), float64(groups)))
	ms.Add("loads", float64(loads))
	ms.Add("keys-at-targets", float64(f.CountLeakedKeys()))
	calls := f.Store.Calls()
	ms.Add("store-calls", float64(calls.Reads+calls.Writes))
}

// measureAddedLatency measures the latency that an instance adds, from pairs of
// requests of which one went through an instance and one directly to the engine.
// Times to the first token that include an adapter load are left out.
func measureAddedLatency(ms *Measures, records []record) {
	through, direct := metric.NewHistogram(), metric.NewHistogram()
	throughGap, directGap := metric.NewHistogram(), metric.NewHistogram()
	for _, r := range records {
		if !r.paired || r.firstTokenAt.IsZero() {
			continue
		}
		h, g := through, throughGap
		if r.direct {
			h, g = direct, directGap
		}
		if wait := r.firstTokenAt.Sub(r.sentAt); wait < stallThreshold {
			h.Record(wait)
		}
		for _, gap := range r.tokenGaps {
			g.Record(gap)
		}
	}
	ms.Add("pairs", float64(min(through.Count(), direct.Count())))
	ms.Add("direct-first-token-p95-ms", direct.Summary().P95)
	ms.Add("added-first-token-p50-ms", through.Summary().P50-direct.Summary().P50)
	ms.Add("added-first-token-p95-ms", through.Summary().P95-direct.Summary().P95)
	ms.Add("added-between-tokens-p95-ms", throughGap.Summary().P95-directGap.Summary().P95)
}

// admissionInterval is the time range in which a request was admitted, with the
// tokens charged for it.
type admissionInterval struct {
	from   time.Time
	until  time.Time
	tokens float64
}

// measureLimits measures how exactly the limits of the organisations were enforced: the
// worst excess of admitted tokens, and the requests wrongly refused to organisations
// that send at most their rate.
func measureLimits(ms *Measures, f *demo.Fleet, p Phase, records []record) {
	worstExcess := 0.0
	wrongful, within := 0, 0
	admittedExact, offeredExact := 0.0, 0.0
	for n, o := range f.Profile.Orgs {
		var own []record
		for _, r := range records {
			if r.org == o.ID {
				own = append(own, r)
			}
		}
		worstExcess = max(worstExcess, maxExcess(admissionIntervals(own), o))
		factor := p.Load(n).RateFactor
		if factor <= 1 {
			refused, offered := countWrongfulRefusals(own, o)
			wrongful += refused
			within += offered
		}
		if factor == 1 {
			admitted, offered := countTokens(own)
			admittedExact += admitted
			offeredExact += offered
		}
	}
	ms.Add("excess-tokens", worstExcess)
	ms.Add("wrongful-refusals", float64(wrongful))
	ms.Add("wrongful-share", ratio(float64(wrongful), float64(within)))
	if offeredExact > 0 {
		ms.Add("admitted-share-at-rate", admittedExact/offeredExact)
	}
}

// admissionIntervals returns the intervals of the requests that were answered
// completely.
func admissionIntervals(records []record) []admissionInterval {
	var list []admissionInterval
	for _, r := range records {
		if r.totalTokens > 0 && r.observed == outcomeComplete {
			list = append(list, admissionInterval{
				from:   r.sentAt,
				until:  r.firstTokenAt,
				tokens: float64(r.totalTokens),
			})
		}
	}
	return list
}

// maxExcess returns the largest number of tokens by which the requests admitted in any
// interval exceed what burst and rate allow. A request counts for an interval only if
// it was sent and its first token arrived in it, so that it was certainly admitted in
// it. It sorts list.
func maxExcess(list []admissionInterval, o demo.Org) float64 {
	sort.Slice(list, func(i, j int) bool {
		return list[i].until.Before(list[j].until)
	})
	worst := 0.0
	for _, first := range list {
		sum := 0.0
		for _, a := range list {
			if a.from.Before(first.from) {
				continue
			}
			sum += a.tokens
			allowed := float64(o.Burst) + float64(o.Rate)*a.until.Sub(first.from).Seconds()
			worst = max(worst, sum-allowed)
		}
	}
	return worst
}

// countWrongfulRefusals counts the requests that were refused for the rate although a
// single token bucket over all of the organisation's requests would have admitted
// them. It sorts records.
func countWrongfulRefusals(records []record, o demo.Org) (refused, offered int) {
	sort.Slice(records, func(i, j int) bool {
		return records[i].sentAt.Before(records[j].sentAt)
	})
	level := float64(o.Burst)
	var at time.Time
	for _, r := range records {
		if !at.IsZero() {
			level = min(float64(o.Burst), level+float64(o.Rate)*r.sentAt.Sub(at).Seconds())
		}
		at = r.sentAt
		offered++
		fits := level >= tokensPerRequest
		if fits && (r.observed == outcomeRateLimited || r.observed == outcomeComplete) {
			level -= tokensPerRequest
		}
		if fits && r.observed == outcomeRateLimited {
			refused++
		}
	}
	return refused, offered
}

// countTokens estimates the tokens of the requests that were answered completely, and
// of all requests.
func countTokens(records []record) (admitted, offered float64) {
	for _, r := range records {
		offered += tokensPerRequest
		if r.observed == outcomeComplete {
			admitted += tokensPerRequest
		}
	}
	return admitted, offered
}
