package trial

import (
	"context"
	"time"

	"currantstile/daemon"
	"currantstile/demo"
	"currantstile/sims"
)

// Labels of the phases that compare ways to keep an organisation's limits.
const (
	labelUniform = "uniform"
	labelSkewed  = "skewed"
	labelSplit   = "split"
	labelLocal   = "local"
)

const (
	limitsTime  = 12 * time.Second
	overRate    = 5
	withinRate  = 0.9
	listLag     = 3 * time.Second
	boundDeath  = 0.001
	boundExact  = 0.99
	outageBegin = 3 * time.Second
)

// oneOver has the first organisation at five times its rate and the others at
// 0.9 of theirs. Skewed sends all of the second one's requests to one instance.
func oneOver(skewed bool) func(int) OrgLoad {
	return func(n int) OrgLoad {
		if n == 0 {
			return OrgLoad{
				Share: overRate,
			}
		}
		return OrgLoad{
			Share:       withinRate,
			OneInstance: skewed && n == 1,
		}
	}
}

func limitsPhase(label string, mode daemon.QuotaMode, load func(int) OrgLoad, span time.Duration, events ...Event) Phase {
	return Phase{
		Label:  label,
		Quota:  mode,
		Time:   span,
		Load:   load,
		Zipf:   zipfHot,
		Events: events,
	}
}

// zero are bounds of zero on a measure of several phases.
func zero(measure string, phases ...string) []Bound {
	list := make([]Bound, 0, len(phases))
	for _, p := range phases {
		list = append(list, Bound{
			Measure: label(p, measure),
		})
	}
	return list
}

func overRateScenario() Scenario {
	bounds := zero("excess-tokens", labelUniform, labelSkewed)
	bounds = append(bounds, zero("wrongful-refusals", labelUniform, labelSkewed)...)
	bounds = append(bounds, Bound{
		// The organisation above its rate waits for its own burst of requests;
		// the promise is to those within theirs.
		Measure: label(labelSkewed, "worst-within-rate-over-median"),
		Limit:   boundWorstOrg,
	})
	return Scenario{
		Name:  "over-rate",
		Short: "one organisation at 5 times its rate, the others at 0.9; against fixed splits",
		Phases: []Phase{
			limitsPhase(labelUniform, daemon.QuotaLend, oneOver(false), limitsTime),
			limitsPhase(labelSkewed, daemon.QuotaLend, oneOver(true), limitsTime),
			limitsPhase(labelSplit, daemon.QuotaSplit, oneOver(true), limitsTime),
			limitsPhase(labelLocal, daemon.QuotaLocal, oneOver(true), limitsTime),
		},
		Bounds: bounds,
	}
}

func exactRate() Scenario {
	bounds := zero("excess-tokens", labelUniform, labelSkewed)
	for _, p := range []string{labelUniform, labelSkewed} {
		bounds = append(bounds, Bound{
			Measure: label(p, "admitted-share-at-rate"),
			Limit:   boundExact,
			AtLeast: true,
		})
	}
	skewed := func(n int) OrgLoad {
		return OrgLoad{
			Share:       1,
			OneInstance: n == 1,
		}
	}
	return Scenario{
		Name:  "exact-rate",
		Short: "all organisations at exactly their rates",
		Phases: []Phase{
			limitsPhase(labelUniform, daemon.QuotaLend, share(1), 2*limitsTime),
			limitsPhase(labelSkewed, daemon.QuotaLend, skewed, 2*limitsTime),
			limitsPhase(labelSplit, daemon.QuotaSplit, skewed, 2*limitsTime),
		},
		Bounds: bounds,
	}
}

// death ends an instance without a shutdown.
func death(at time.Duration) Event {
	return Event{
		At: at,
		Do: func(_ context.Context, f *demo.Fleet) error {
			f.Kill(len(f.Instances)-1, listLag)
			return nil
		},
	}
}

func instanceDeath() Scenario {
	return Scenario{
		Name:  "instance-death",
		Short: "an instance dies; the others at 0.9 of the rates for a minute",
		Phases: []Phase{
			limitsPhase("", daemon.QuotaLend, share(withinRate), 65*time.Second, death(outageBegin)),
		},
		Bounds: []Bound{
			{
				Measure: "excess-tokens",
			},
			{
				Measure: "wrongful-share",
				Limit:   boundDeath,
			},
			{
				Measure: "wrong",
			},
		},
	}
}

func storeOutage() Scenario {
	outage := Event{
		At: outageBegin,
		Do: func(_ context.Context, f *demo.Fleet) error {
			f.Store.SetFaults(sims.Faults{
				Outage: true,
			})
			return nil
		},
	}
	return Scenario{
		Name:  "store-outage",
		Short: "the key-value service is away for 40 s, one organisation on one instance",
		Phases: []Phase{
			limitsPhase("", daemon.QuotaLend, oneOver(true), 43*time.Second, outage),
			limitsPhase(labelSplit, daemon.QuotaSplit, oneOver(true), 43*time.Second, outage),
		},
		Bounds: append(wholeAnswers(), Bound{
			Measure: "wrongful-refusals",
		}),
	}
}

func partition() Scenario {
	cut := func(at time.Duration, cut bool, instances ...int) Event {
		return Event{
			At: at,
			Do: func(_ context.Context, f *demo.Fleet) error {
				f.Partition(cut, instances...)
				return nil
			},
		}
	}
	begin := cut(outageBegin, true, 0, 1, 2)
	end := cut(outageBegin+15*time.Second, false, 0, 1, 2)
	return Scenario{
		Name:  "partition",
		Short: "three instances cannot be called by any other for 15 s, at 0.9 of the rates",
		Phases: []Phase{
			limitsPhase("", daemon.QuotaLend, share(withinRate), 30*time.Second, begin, end),
			limitsPhase(labelSplit, daemon.QuotaSplit, share(withinRate), 30*time.Second, begin, end),
		},
		Bounds: []Bound{
			{
				Measure: "excess-tokens",
			},
			{
				Measure: "wrong",
			},
			{
				Measure: "evicted-running",
			},
		},
	}
}
