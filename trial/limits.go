package trial

import (
	"context"
	"time"

	"currantstile/daemon"
	"currantstile/demo"
	"currantstile/sims"
)

// Labels of the phases that compare quota modes. In the uniform and skewed phases the
// instances lend to one another (QuotaLend), with the load spread over all instances
// or with one organisation on a single instance. The split and local phases run under
// QuotaSplit and QuotaLocal.
const (
	labelUniform = "uniform"
	labelSkewed  = "skewed"
	labelSplit   = "split"
	labelLocal   = "local"
)

const (
	limitsPhaseDuration = 12 * time.Second
	overRateFactor      = 5
	withinRateFactor    = 0.9
	memberListLag       = 3 * time.Second
	maxWrongfulShare    = 0.001
	minAdmittedShare    = 0.99
	faultAt             = 3 * time.Second
)

// oneOverRate returns a load with the first organisation at 5 times its rate and the
// others at 0.9 of theirs. If skewed is set, all requests of the second organisation
// go to one instance.
func oneOverRate(skewed bool) func(int) OrgLoad {
	return func(n int) OrgLoad {
		if n == 0 {
			return OrgLoad{
				RateFactor: overRateFactor,
			}
		}
		return OrgLoad{
			RateFactor:  withinRateFactor,
			OneInstance: skewed && n == 1,
		}
	}
}

func limitsPhase(label string, mode daemon.QuotaMode, load func(int) OrgLoad, duration time.Duration, events ...Event) Phase {
	return Phase{
		Label:        label,
		Quota:        mode,
		Duration:     duration,
		Load:         load,
		ZipfExponent: zipfHot,
		Events:       events,
	}
}

// zeroBounds returns a bound of zero on a measure for each of the given phases.
func zeroBounds(measure string, phases ...string) []Bound {
	list := make([]Bound, 0, len(phases))
	for _, p := range phases {
		list = append(list, Bound{
			Measure: withPhaseLabel(p, measure),
		})
	}
	return list
}

func overRate() Scenario {
	bounds := zeroBounds("excess-tokens", labelUniform, labelSkewed)
	bounds = append(bounds, zeroBounds("wrongful-refusals", labelUniform, labelSkewed)...)
	bounds = append(bounds, Bound{
		// Only organisations within their rate are compared: the one above its rate
		// is delayed by its own burst of requests.
		Measure: withPhaseLabel(labelSkewed, "worst-within-rate-over-median"),
		Limit:   maxWorstOrgRatio,
	})
	return Scenario{
		Name:    "over-rate",
		Summary: "one organisation at 5 times its rate, the others at 0.9; against fixed splits",
		Phases: []Phase{
			limitsPhase(labelUniform, daemon.QuotaLend, oneOverRate(false), limitsPhaseDuration),
			limitsPhase(labelSkewed, daemon.QuotaLend, oneOverRate(true), limitsPhaseDuration),
			limitsPhase(labelSplit, daemon.QuotaSplit, oneOverRate(true), limitsPhaseDuration),
			limitsPhase(labelLocal, daemon.QuotaLocal, oneOverRate(true), limitsPhaseDuration),
		},
		Bounds: bounds,
	}
}

func exactRate() Scenario {
	bounds := zeroBounds("excess-tokens", labelUniform, labelSkewed)
	for _, p := range []string{labelUniform, labelSkewed} {
		bounds = append(bounds, Bound{
			Measure: withPhaseLabel(p, "admitted-share-at-rate"),
			Limit:   minAdmittedShare,
			AtLeast: true,
		})
	}
	skewed := func(n int) OrgLoad {
		return OrgLoad{
			RateFactor:  1,
			OneInstance: n == 1,
		}
	}
	return Scenario{
		Name:    "exact-rate",
		Summary: "all organisations at exactly their rates",
		Phases: []Phase{
			limitsPhase(labelUniform, daemon.QuotaLend, uniformLoad(1), 2*limitsPhaseDuration),
			limitsPhase(labelSkewed, daemon.QuotaLend, skewed, 2*limitsPhaseDuration),
			limitsPhase(labelSplit, daemon.QuotaSplit, skewed, 2*limitsPhaseDuration),
		},
		Bounds: bounds,
	}
}

// killEvent returns an event that kills the last instance, which stays listed for
// memberListLag.
func killEvent(at time.Duration) Event {
	return Event{
		At: at,
		Do: func(_ context.Context, f *demo.Fleet) error {
			f.Kill(len(f.Instances)-1, memberListLag)
			return nil
		},
	}
}

func instanceDeath() Scenario {
	return Scenario{
		Name:    "instance-death",
		Summary: "an instance is killed; the others at 0.9 of the rates for a minute",
		Phases: []Phase{
			limitsPhase("", daemon.QuotaLend, uniformLoad(withinRateFactor), 65*time.Second, killEvent(faultAt)),
		},
		Bounds: []Bound{
			{
				Measure: "excess-tokens",
			},
			{
				Measure: "wrongful-share",
				Limit:   maxWrongfulShare,
			},
			{
				Measure: "wrong",
			},
		},
	}
}

func storeOutage() Scenario {
	outage := Event{
		At: faultAt,
		Do: func(_ context.Context, f *demo.Fleet) error {
			f.Store.SetFaults(sims.Faults{
				Outage: true,
			})
			return nil
		},
	}
	return Scenario{
		Name:    "store-outage",
		Summary: "the key-value service is unavailable for 40 s, one organisation on one instance",
		Phases: []Phase{
			limitsPhase("", daemon.QuotaLend, oneOverRate(true), 43*time.Second, outage),
			limitsPhase(labelSplit, daemon.QuotaSplit, oneOverRate(true), 43*time.Second, outage),
		},
		Bounds: append(commonBounds(), Bound{
			Measure: "wrongful-refusals",
		}),
	}
}

func partition() Scenario {
	partitionEvent := func(at time.Duration, blocked bool, instances ...int) Event {
		return Event{
			At: at,
			Do: func(_ context.Context, f *demo.Fleet) error {
				f.Partition(blocked, instances...)
				return nil
			},
		}
	}
	begin := partitionEvent(faultAt, true, 0, 1, 2)
	end := partitionEvent(faultAt+15*time.Second, false, 0, 1, 2)
	return Scenario{
		Name:    "partition",
		Summary: "three instances cannot be called by any other for 15 s, at 0.9 of the rates",
		Phases: []Phase{
			limitsPhase("", daemon.QuotaLend, uniformLoad(withinRateFactor), 30*time.Second, begin, end),
			limitsPhase(labelSplit, daemon.QuotaSplit, uniformLoad(withinRateFactor), 30*time.Second, begin, end),
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
