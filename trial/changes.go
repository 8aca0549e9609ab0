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
	changesTime = 25 * time.Second
	changeAt    = 5 * time.Second
	backAt      = 15 * time.Second
	// boundEffect is how soon the old state has its last effect, in seconds.
	boundEffect = 3.0
	// boundZone is how much longer the first token may take while a data centre
	// is away.
	boundZone = 1.5
)

// moment is a time that an event notes and a measure reads.
type moment struct {
	nanos atomic.Int64
}

func (m *moment) set(t time.Time) {
	m.nanos.Store(t.UnixNano())
}

func (m *moment) time() time.Time {
	return time.Unix(0, m.nanos.Load())
}

// operate is an event in which an operator makes a change at an instance; done
// notes when it was accepted.
func operate(at time.Duration, instance int, method string, path func(*demo.Fleet) string, done *moment) Event {
	return Event{
		At: at,
		Do: func(ctx context.Context, f *demo.Fleet) error {
			if err := f.Operate(ctx, instance, method, path(f)); err != nil {
				return err
			}
			done.set(time.Now())
			return nil
		},
	}
}

func keyWithdrawal() Scenario {
	withdrawn := &moment{}
	path := func(f *demo.Fleet) string {
		o := f.Profile.Orgs[0]
		parts := strings.Split(f.Keys[o.ID], ".")
		return "/v1/contracts/" + string(o.ID) + "/keys/" + parts[len(parts)-2]
	}
	return Scenario{
		Name:  "key-withdrawal",
		Short: "a key is withdrawn under load, on open connections",
		Phases: []Phase{
			{
				Quota:  daemon.QuotaLend,
				Time:   changesTime / 2,
				Load:   share(withinRate),
				Zipf:   zipfHot,
				Events: []Event{operate(changeAt, 2, http.MethodDelete, path, withdrawn)},
				Extra: func(ms *Measures, f *demo.Fleet, records []record) {
					measureWithdrawal(ms, f.Profile.Orgs[0].ID, withdrawn.time(), records)
				},
			},
		},
		Bounds: []Bound{
			{
				Measure: "withdrawn-key-last-use-s",
				Limit:   boundEffect,
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

// measureWithdrawal gives how long after the acceptance a request with the
// withdrawn key still began and was served.
func measureWithdrawal(ms *Measures, org model.OrgID, at time.Time, records []record) {
	last := 0.0
	others, refused := 0, 0
	for _, r := range records {
		switch {
		case r.org != org && r.end != endWhole && r.end != endLimited:
			others++
		case r.org == org && r.end == endWhole:
			last = max(last, r.sent.Sub(at).Seconds())
		case r.org == org && r.status == http.StatusUnauthorized:
			refused++
		}
	}
	ms.Add("withdrawn-key-last-use-s", last)
	ms.Add("withdrawn-key-refused", float64(refused))
	ms.Add("others-not-answered-whole", float64(others))
}

func zoneOutBack() Scenario {
	out, back := &moment{}, &moment{}
	path := func(f *demo.Fleet) string {
		return "/v1/out/zone/" + string(f.Profile.Zones[1])
	}
	lastWork := &moment{}
	look := Event{
		// Just before the data centre comes back.
		At: backAt - time.Second,
		Do: func(_ context.Context, f *demo.Fleet) error {
			lastWork.set(f.LastWork(f.Profile.Zones[1]))
			return nil
		},
	}
	return Scenario{
		Name:  "zone-out-back",
		Short: "a data centre is taken out and comes back under load",
		Phases: []Phase{
			{
				Quota: daemon.QuotaLend,
				Time:  changesTime,
				Load:  share(0.7),
				Zipf:  zipfNormal,
				Events: []Event{
					operate(changeAt, 2, http.MethodPut, path, out),
					look,
					operate(backAt, 4, http.MethodDelete, path, back),
				},
				Extra: func(ms *Measures, _ *demo.Fleet, records []record) {
					ms.Add("zone-last-work-s", max(lastWork.time().Sub(out.time()).Seconds(), 0))
					measureAway(ms, out.time(), back.time(), records)
				},
			},
		},
		Bounds: append(wholeAnswers(),
			Bound{
				Measure: "zone-last-work-s",
				Limit:   boundEffect,
			},
			Bound{
				Measure: "away-over-before",
				Limit:   boundZone,
			},
		),
	}
}

// measureAway compares the time to the first token while a data centre is away
// with the time before.
func measureAway(ms *Measures, out, back time.Time, records []record) {
	var before, away []record
	for _, r := range records {
		switch {
		case r.sent.Before(out):
			before = append(before, r)
		case r.sent.Before(back):
			away = append(away, r)
		}
	}
	b, a := firstTokens(before), firstTokens(away)
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
		Name:  "rolling-restart",
		Short: "each instance is replaced in turn under load",
		Phases: []Phase{
			{
				Quota:  daemon.QuotaLend,
				Time:   55 * time.Second,
				Load:   share(0.7),
				Zipf:   zipfNormal,
				Events: events,
			},
		},
		Bounds: append(wholeAnswers(), Bound{
			Measure: "wrongful-share",
			Limit:   boundDeath,
		}),
	}
}
