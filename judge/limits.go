package judge

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"
)

// decideAttempts: a request runs on no more targets than it may; those that ended do not count.
func decideAttempts(x *index, v *Verdict) {
	var wrong []Break
	x.each(func(r *request) {
		targets := make(map[string]bool)
		for _, run := range r.runs {
			if _, ended := x.ended[run.Target]; !ended {
				targets[run.Target] = true
			}
		}
		if len(r.runs) > 0 {
			v.Exercised++
		}
		if len(targets) > r.first().Attempts*len(r.sent) {
			wrong = append(wrong, Break{
				At:       r.runs[0].At(),
				Text:     r.id + " ran on " + strings.Join(slices.Sorted(maps.Keys(targets)), ", "),
				Requests: []string{r.id},
			})
		}
	})
	if len(wrong) > maxWrongAttempts {
		v.Breaks = wrong
	}
}

// decideDeadline: targets are given no more time than is left.
func decideDeadline(x *index, v *Verdict) {
	var long []Break
	x.each(func(r *request) {
		s := r.first()
		if s.Kind.Streaming() || len(r.sent) > 1 {
			return
		}
		for _, a := range r.arrivals {
			v.Exercised++
			left := s.At() + s.Deadline - a.At()
			if a.TimeLeft < 0 || a.TimeLeft > left+deadlineSlack {
				long = append(long, Break{
					At:       a.At(),
					Text:     r.id + " was given " + a.TimeLeft.String() + " of " + left.String(),
					Requests: []string{r.id},
				})
			}
		}
	})
	if len(long) > maxLongDeadlines && 5*len(long) > v.Exercised {
		v.Breaks = long
	}
}

// decideCrash: once a request, or what is the same, has ended three targets, few more get it.
func decideCrash(x *index, v *Verdict) {
	groups := make(map[string][]*request)
	x.each(func(r *request) {
		if s := r.first(); s.Crashes {
			key := s.Method + s.URI + s.Body + s.Parts
			if s.Kind.Streaming() {
				key = s.Parts
			}
			groups[key] = append(groups[key], r)
		}
	})
	for _, key := range slices.Sorted(maps.Keys(groups)) {
		var ends []time.Duration
		var arrivals []Arrived
		var ids []string
		for _, r := range groups[key] {
			ids = append(ids, r.id)
			arrivals = append(arrivals, r.arrivals...)
			for _, e := range x.ended {
				if e.By == r.id {
					ends = append(ends, e.At())
				}
			}
		}
		slices.Sort(ends)
		if len(ends) < crashesOfReport {
			continue
		}
		v.Exercised++
		from, late := ends[crashesOfReport-1]+x.Bounds.StableWindow, 0
		var last time.Duration
		for _, a := range arrivals {
			if a.At() > from && x.isSound(a.Instance, a.At(), a.At()) {
				late++
				last = max(last, a.At())
			}
		}
		if late > maxLateCrashes {
			v.add(last, ids, "a request under which %d targets ended was sent to targets %d times more", len(ends), late)
		}
	}
}

// decideRetries: arrivals beyond the first of each request stay within the budget of the fleet.
func decideRetries(x *index, v *Verdict) {
	type arrival struct {
		at     time.Duration
		repeat bool
	}
	byService := make(map[string][]arrival)
	sent := make(map[string][]time.Duration)
	x.each(func(r *request) {
		s := r.first()
		for _, again := range r.sent {
			sent[s.Service] = append(sent[s.Service], again.At())
		}
		for i, a := range r.arrivals {
			byService[a.Service] = append(byService[a.Service], arrival{
				at:     a.At(),
				repeat: i >= len(r.sent),
			})
			if i >= len(r.sent) {
				v.Exercised++
			}
		}
	})
	w := x.Bounds.RetryWindow
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		list := byService[service]
		slices.SortFunc(list, func(a, b arrival) int {
			return int(a.at - b.at)
		})
		requests := func(from time.Duration) float64 {
			n := 0
			for _, at := range sent[service] {
				if at >= from && at < from+w {
					n++
				}
			}
			return float64(n)
		}
		for i, first := range list {
			repeats := 0
			for _, a := range list[i:] {
				if a.at >= first.at+w {
					break
				}
				if a.repeat {
					repeats++
				}
			}
			most := max(requests(first.at), requests(first.at-w), requests(first.at-w/2))
			if float64(repeats) > x.Bounds.RetryRatio*most+x.Bounds.RetrySlack {
				v.add(first.at, nil, "%d repeats reached %s within %v, for %.0f requests", repeats, service, w, most)
				break
			}
		}
	}
}

// decidePushback: a target that wants no requests gets few from each instance that got its answer.
func decidePushback(x *index, v *Verdict) {
	arrivals := x.arrivalsByTarget()
	for _, id := range x.ids {
		for _, p := range x.requests[id].replies {
			if p.Status != http.StatusServiceUnavailable || p.RetryAfter <= pushbackSettles || !p.Whole || p.ResponseID != p.ID || !x.wasAwaited(p) {
				continue
			}
			v.Exercised++
			from, until := p.At()+pushbackSettles, p.At()+p.RetryAfter
			if x.forgot(p.Instance, p.At(), until) || x.endedBy(p.Target, until) {
				continue
			}
			var ids []string
			for _, a := range arrivals[p.Target] {
				if a.Instance == p.Instance && !a.Misdirected && a.At() > from && a.At() < until {
					ids = append(ids, a.ID)
				}
			}
			if len(ids) > maxInPushback {
				v.add(from, append(ids, id), "%s got %d requests from %s, whose request it had refused at %v, wanting none for %v", p.Target, len(ids), p.Instance, p.At(), p.RetryAfter)
			}
		}
	}
}

// arrivalsByTarget returns the requests that reached each target, in order.
func (x *index) arrivalsByTarget() map[string][]Arrived {
	byTarget := make(map[string][]Arrived)
	for _, e := range x.Events {
		if a, ok := e.(Arrived); ok {
			byTarget[a.Target] = append(byTarget[a.Target], a)
		}
	}
	return byTarget
}

// decideGone: a request whose caller has left is not sent to targets any more.
func decideGone(x *index, v *Verdict) {
	var late []Break
	x.each(func(r *request) {
		for _, l := range r.left {
			if len(r.sent) > 1 {
				continue
			}
			v.Exercised++
			for _, a := range r.arrivals {
				if a.At() > l.At()+leftSettles && x.isUndisturbed(a.Instance, a.At(), a.At()) {
					late = append(late, Break{
						At:       a.At(),
						Text:     r.id + " reached " + a.Target + " after its caller had left",
						Requests: []string{r.id},
					})
				}
			}
		}
	})
	if len(late) > maxAfterLeft {
		v.Breaks = late
	}
}

// decideTimeLimit: a request is answered when the time limit of its route is over.
func decideTimeLimit(x *index, v *Verdict) {
	var late []Break
	x.each(func(r *request) {
		s := r.first()
		if !s.Proper || len(r.sent) > 1 || len(r.left) > 0 || len(r.answers) != 1 || s.Deadline < s.Timeout {
			return
		}
		a, limit := r.answers[0], s.At()+s.Timeout
		if a.At() < limit-atLimit || !x.isSound(s.Instance, s.At(), limit+lateAnswer) {
			return
		}
		v.Exercised++
		if a.At() > limit+lateAnswer {
			late = append(late, Break{
				At:       limit,
				Text:     r.id + " was answered " + (a.At() - limit).String() + " after its time limit",
				Requests: []string{r.id},
			})
		}
	})
	if 2*len(late) > v.Exercised {
		v.Breaks = late
	}
}

// decideQuota: what an organisation runs stays within its limit.
func decideQuota(x *index, v *Verdict) {
	limits := make(map[string]Rate)
	for _, e := range x.Events {
		if c, ok := e.(Configured); ok {
			for org, rate := range c.Rates {
				// The loosest limit of the day counts.
				old := limits[org]
				limits[org] = Rate{
					PerSecond: max(old.PerSecond, rate.PerSecond),
					Burst:     max(old.Burst, rate.Burst),
				}
			}
		}
	}
	type charge struct {
		sent, ran time.Duration
		cost      int
	}
	charges := make(map[string][]charge)
	x.each(func(r *request) {
		if s := r.first(); len(r.runs) > 0 {
			v.Exercised++
			charges[s.Organisation] = append(charges[s.Organisation], charge{
				sent: s.At(),
				ran:  r.runs[0].At(),
				cost: s.Cost,
			})
		}
	})
	w := x.Bounds.QuotaWindow
	for _, org := range slices.Sorted(maps.Keys(limits)) {
		limit := limits[org]
		if limit.PerSecond <= 0 {
			continue
		}
		bound := (float64(limit.PerSecond)*w.Seconds()+float64(limit.Burst))*(1+x.Bounds.QuotaOvershoot) + x.Bounds.QuotaSlack
		list := charges[org]
		for _, first := range list {
			sum := 0
			for _, c := range list {
				if c.sent >= first.sent && c.ran < first.sent+w {
					sum += c.cost
				}
			}
			if float64(sum) > bound {
				v.add(first.sent, nil, "%s ran %d tokens within %v, allowed are %.0f", org, sum, w, bound)
				break
			}
		}
	}
}

// decideCold: a cold target gets no more requests in a second than it bears.
func decideCold(x *index, v *Verdict) {
	for target, arrivals := range x.arrivalsByTarget() {
		var cold []Arrived
		for _, a := range arrivals {
			if a.Cold && !a.Misdirected {
				cold = append(cold, a)
			}
		}
		v.Exercised += len(cold)
		bound := x.Bounds.ColdRate*coldOvershoot + coldSlack
		for i := range cold {
			n := 0
			for _, a := range cold[i:] {
				if a.At() < cold[i].At()+time.Second {
					n++
				}
			}
			if float64(n) > bound {
				v.add(cold[i].At(), nil, "%s, which is cold, got %d requests within a second, allowed are %.1f", target, n, bound)
				break
			}
		}
	}
}
