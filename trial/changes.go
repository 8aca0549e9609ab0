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
	// maxEffectSeconds is how soon the old state has its last effect, in seconds.
	maxEffectSeconds = 3.0
	// maxZoneOutRatio is how much longer the first token may take while a data centre
	// is away.
	maxZoneOutRatio = 1.5
)

// atomicTime is a time that an event notes and a measure reads.
type atomicTime struct {
	unixNanos atomic.Int64
}

func (m *atomicTime) store(t time.Time) {
	m.unixNanos.Store(t.UnixNano())
}

func (m *atomicTime) load() time.Time {
	return time.Unix(0, m.unixNanos.Load())
}

// operatorEvent is an event in which an operator makes a change at an instance; done
// notes when it was accepted.
func operatorEvent(at time.Duration, instance int, method string, path func(*demo.Fleet) string, done *atomicTime) Event {
	return Event{
		At: at,
		Do: func(ctx context.Context, f *demo.Fleet) error {
			if err := f.Operate(ctx, instance, method, path(f)); err != nil {
				return err
			}
			done.store(time.Now())
			return nil
		},
	}
}

func keyWithdrawal() Scenario {
	withdrawn := &atomicTime{}
	path := func(f *demo.Fleet) string {
		o := f.Profile.Orgs[0]
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

// measureKeyWithdrawal gives how long after the acceptance a request with the
// withdrawn key still began and was served.
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
	lastWork := &atomicTime{}
	look := Event{
		// Just before the data centre comes back.
		At: restoreAt - time.Second,
		Do: func(_ context.Context, f *demo.Fleet) error {
			lastWork.store(f.LastServedAt(f.Profile.Zones[1]))
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
					look,
					operatorEvent(restoreAt, 4, http.MethodDelete, path, back),
				},
				ExtraMeasures: func(ms *Measures, _ *demo.Fleet, records []record) {
					ms.Add("zone-last-work-s", max(lastWork.load().Sub(out.load()).Seconds(), 0))
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

// measureZoneOut compares the time to the first token while a data centre is away
// with the time before.
func measureZoneOut(ms *Measures, out, back time.Time, records []record) {
	var before, away []record
	for _, r := range records {
		switch {
		case r.sentAt.Before(out):
			before = append(before, r)
		case r.sentAt.Before(back):
			away = append(away, r)
		}
	}
	b, a := firstTokenHistogram(before), firstTokenHistogram(away)
	ms.Add("before-first-token-p95-ms", b.Summary().P95)
	ms.Add("away-first-token-p95-ms", a.Summary().P95)
	ms.Add("away-over-before", ratio(a.Summary().P95, b.Summary().P95))
}

func rollingRestart() Scenario {
	const every = 5 * time.Second
	var events []Event
	for i := range 7 {
		events = append(events, Event{
			At: time.Duration(i+1) * every,
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
