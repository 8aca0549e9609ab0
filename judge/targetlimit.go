package judge

import (
	"math"
	"slices"
	"strconv"
	"time"
)

// naming is an answer of a target and the rate limit that it names.
type naming struct {
	Replied
	// rate is in requests a second; it is valid if named is set.
	rate  float64
	named bool
	// none is set if the answer names no limit at all. One whose value is no number neither names a
	// limit nor ends one.
	none bool
	// passedOn is set if the answer reached the instance that waited for it.
	passedOn bool
}

// namingsByTarget returns the answers of each target, in order.
func (x *index) namingsByTarget() map[string][]naming {
	byTarget := make(map[string][]naming)
	for _, id := range x.ids {
		for _, p := range x.requests[id].replies {
			n := naming{
				Replied:  p,
				none:     p.Limit == "",
				passedOn: p.ResponseID == p.ID && !p.Garbled && x.wasAwaited(p),
			}
			if rate, err := strconv.ParseFloat(p.Limit, 64); err == nil && rate >= 0 {
				n.rate, n.named = rate, true
			}
			byTarget[p.Target] = append(byTarget[p.Target], n)
		}
	}
	for _, list := range byTarget {
		slices.SortStableFunc(list, func(a, b naming) int {
			return int(a.headAt() - b.headAt())
		})
	}
	return byTarget
}

// decideTargetLimit: a target that names a rate limit gets no more than that from all instances
// together, of those that had been told so.
func decideTargetLimit(x *index, v *Verdict) {
	arrivals := x.arrivalsByTarget()
	for target, answers := range x.namingsByTarget() {
		for i := 0; i < len(answers); i++ {
			if !answers[i].named {
				continue
			}
			// The limit holds until an answer names none.
			end := i
			for end < len(answers) && !answers[end].none {
				end++
			}
			until := time.Duration(math.MaxInt64)
			if end < len(answers) {
				until = answers[end].headAt()
			}
			x.decideLimited(v, target, answers[i:end], arrivals[target], until)
			i = end
		}
	}
}

// decideLimited decides about one span in which the answers of a target name a limit.
func (x *index) decideLimited(v *Verdict, target string, answers []naming, arrivals []Arrived, until time.Duration) {
	from := answers[0].headAt() + x.Bounds.StableWindow
	exercised := false
	for i, first := range arrivals {
		if first.At() < from || first.At() >= until {
			continue
		}
		rate := highestNamed(answers, first.At()-x.Bounds.StableWindow, first.At()+limitWindow)
		var ids []string
		for _, a := range arrivals[i:] {
			if a.At() >= min(first.At()+limitWindow, until) {
				break
			}
			if !a.Misdirected && x.isUndisturbed(a.Instance, first.At(), a.At()) && x.wasTold(answers, a) {
				ids = append(ids, a.ID)
			}
		}
		exercised = exercised || len(ids) > 0
		if allowed := limitOvershoot*rate*limitWindow.Seconds() + limitSlack; float64(len(ids)) > allowed {
			v.add(first.At(), ids, "%s, which had named a limit of %g a second, got %d requests within %v; allowed %.0f", target, rate, len(ids), limitWindow, allowed)
			break
		}
	}
	if exercised {
		v.Exercised++
	}
}

// highestNamed returns the highest limit in force at any time of a span.
func highestNamed(answers []naming, from, until time.Duration) float64 {
	before, highest := 0.0, 0.0
	for _, n := range answers {
		switch {
		case !n.named || n.headAt() >= until:
		case n.headAt() < from:
			before = n.rate
		default:
			highest = max(highest, n.rate)
		}
	}
	return max(before, highest)
}

// wasTold reports whether the instance that sent a request had passed on an answer that names a limit
// before, and was not disturbed since.
func (x *index) wasTold(answers []naming, a Arrived) bool {
	return slices.ContainsFunc(answers, func(n naming) bool {
		return n.named && n.passedOn && n.Instance == a.Instance && n.headAt()+limitTold <= a.At() && !x.forgot(a.Instance, n.headAt(), a.At())
	})
}
