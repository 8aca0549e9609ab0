package trial

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"currantstile/daemon"
	"currantstile/demo"
	"currantstile/model"
)

const (
	changePhaseDuration = 25 * time.Second
	changeAt            = 5 * time.Second
	restoreAt           = 15 * time.Second
	// maxEffectSeconds bounds how long the old state may have an effect after a
	// change was accepted, in seconds.
	maxEffectSeconds = 3.0
	// maxZoneOutRatio bounds the p95 time to the first token while a data centre is
	// out, relative to the time before.
	maxZoneOutRatio = 1.5
)

// atomicTime is a time that an event stores and a measure loads.
type atomicTime struct {
	unixNanos atomic.Int64
}

func (m *atomicTime) store(t time.Time) {
	m.unixNanos.Store(t.UnixNano())
}

func (m *atomicTime) load() time.Time {
	return time.Unix(0, m.unixNanos.Load())
}

// operatorEvent returns an event that sends an operator's change to an instance and
// stores the time of its acceptance in accepted.
func operatorEvent(at time.Duration, instance int, method string, path func(*demo.Fleet) string, accepted *atomicTime) Event {
	return Event{
		At: at,
		Do: func(ctx context.Context, f *demo.Fleet) error {
			if err := f.Operate(ctx, instance, method, path(f)); err != nil {
				return err
			}
			accepted.store(time.Now())
			return nil
		},
	}
}

func keyWithdrawal() Scenario {
	withdrawn := &atomicTime{}
	path := func(f *demo.Fleet) string {
		o := f.Profile.Orgs[0]
		// The last part of a key is its secret, the one before it its ID.
		parts := strings.Split(f.Keys[o.ID], ".")
		return "/v1/contracts/" + string(o.ID) + "/keys/" + parts[len(parts)-2]
	}
	return Scenario{
		Name:    "key-withdrawal",
		Summary: "a key is withdrawn under load, on open connections",
		Phases: []Phase{
			{
				Quota:        daemon.QuotaLend,
				Duration:     changePhaseDuration / 2,
				Load:         uniformLoad(withinRateFactor),
				ZipfExponent: zipfHot,
				Events:       []Event{operatorEvent(changeAt, 2, http.MethodDelete, path, withdrawn)},
				ExtraMeasures: func(ms *Measures, f *demo.Fleet, records []record) {
					measureKeyWithdrawal(ms, f.Profile.Orgs[0].ID, withdrawn.load(), records)
				},
			},
		},
		Bounds: []Bound{
			{
				Measure: "withdrawn-key-last-use-s",
				Limit:   maxEffectSeconds,
			},
			{
				Measure: "others-not-answered-whole",
			},
			{
				Measure: "wrong",
			},
		},
	}
}

// measureKeyWithdrawal measures how long after the withdrawal was accepted, at the
// given time, a request with the withdrawn key was still sent and served. It also
// counts refusals of that key, and requests of other organisations that were neither
// answered completely nor rate limited.
func measureKeyWithdrawal(ms *Measures, org model.OrgID, at time.Time, records []record) {
	last := 0.0
	others, refused := 0, 0
	for _, r := range records {
		switch {
		case r.org != org && r.observed != outcomeComplete && r.observed != outcomeRateLimited:
			others++
		case r.org == org && r.observed == outcomeComplete:
			last = max(last, r.sentAt.Sub(at).Seconds())
		case r.org == org && r.status == http.StatusUnauthorized:
			refused++
		}
	}
	ms.Add("withdrawn-key-last-use-s", last)
	ms.Add("withdrawn-key-refused", float64(refused))
	ms.Add("others-not-answered-whole", float64(others))
}

func zoneOutBack() Scenario {
	out, back := &atomicTime{}, &atomicTime{}
	path := func(f *demo.Fleet) string {
		return "/v1/out/zone/" + string(f.Profile.Zones[1])
	}
	lastServed := &atomicTime{}
	readLastServed := Event{
		// One second before the data centre is put back, so that requests served
		// after its return do not count.
		At: restoreAt - time.Second,
		Do: func(_ context.Context, f *demo.Fleet) error {
			lastServed.store(f.LastServedAt(f.Profile.Zones[1]))
			return nil
		},
	}
	return Scenario{
		Name:    "zone-out-back",
		Summary: "a data centre is taken out and comes back under load",
		Phases: []Phase{
			{
				Quota:        daemon.QuotaLend,
				Duration:     changePhaseDuration,
				Load:         uniformLoad(0.7),
				ZipfExponent: zipfNormal,
				Events: []Event{
					operatorEvent(changeAt, 2, http.MethodPut, path, out),
					readLastServed,
					operatorEvent(restoreAt, 4, http.MethodDelete, path, back),
				},
				ExtraMeasures: func(ms *Measures, _ *demo.Fleet, records []record) {
					ms.Add("zone-last-work-s", max(lastServed.load().Sub(out.load()).Seconds(), 0))
					measureZoneOut(ms, out.load(), back.load(), records)
				},
			},
		},
		Bounds: append(commonBounds(),
			Bound{
				Measure: "zone-last-work-s",
				Limit:   maxEffectSeconds,
			},
			Bound{
				Measure: "away-over-before",
				Limit:   maxZoneOutRatio,
			},
		),
	}
}

// measureZoneOut compares the time to the first token while a data centre is out of
// service with the time before.
func measureZoneOut(ms *Measures, out, back time.Time, records []record) {
	var before, during []record
	for _, r := range records {
		switch {
		case r.sentAt.Before(out):
			before = append(before, r)
		case r.sentAt.Before(back):
			during = append(during, r)
		}
	}
	b, d := firstTokenHistogram(before), firstTokenHistogram(during)
	ms.Add("before-first-token-p95-ms", b.Summary().P95)
	ms.Add("away-first-token-p95-ms", d.Summary().P95)
	ms.Add("away-over-before", ratio(d.Summary().P95, b.Summary().P95))
}

func rollingRestart() Scenario {
	const interval = 5 * time.Second
	var events []Event
	for i := range 7 {
		events = append(events, Event{
			At: time.Duration(i+1) * interval,
			Do: func(ctx context.Context, f *demo.Fleet) error {
				return f.Restart(ctx, i)
			},
		})
	}
	return Scenario{
		Name:    "rolling-restart",
		Summary: "each instance is replaced in turn under load",
		Phases: []Phase{
			{
				Quota:        daemon.QuotaLend,
				Duration:     55 * time.Second,
				Load:         uniformLoad(0.7),
				ZipfExponent: zipfNormal,
				Events:       events,
			},
		},
		Bounds: append(commonBounds(), Bound{
			Measure: "wrongful-share",
			Limit:   maxWrongfulShare,
		}),
	}
}
