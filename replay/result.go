package replay

import (
	"slices"
	"time"
)

// ClassResult is what became of the requests of one class.
type ClassResult struct {
	Class Class
	// Asked counts requests; OnTime, Late, Refused, Failed and Left how they ended, the last
	// for callers who left without a first token; Returned those that came back once.
	Asked    int
	OnTime   int
	Late     int
	Refused  int
	Failed   int
	Left     int
	Returned int
	// Paused counts the late answers whose first token was on time, but not a later one.
	Paused int

	// Seconds splits Asked, OnTime and Returned by the second of the first arrival, or of the
	// return.
	Seconds []Second

	first []time.Duration
}

// Second is what happened in one second of an experiment.
type Second struct {
	Asked    int
	Answered int
	OnTime   int
	Returned int
}

// FirstToken returns a percentile of the times to the first token, 0 to 100, or 0 if there are
// none.
func (c *ClassResult) FirstToken(percent int) time.Duration {
	if len(c.first) == 0 {
		return 0
	}
	list := slices.Sorted(slices.Values(c.first))
	return list[min(len(list)*percent/100, len(list)-1)]
}

// Result is the result of an experiment.
type Result struct {
	Classes []*ClassResult
	// Loads is the number of adapters fetched from the weight store, and VainLoads those for
	// requests that were not answered on time.
	Loads     int
	VainLoads int
	// Admissions is the number of admission requests.
	Admissions int
	// VainPrompts is the number of prompts read for callers who had left, and LatePrompts
	// that of answers that were late. GrantedLate is the number of grants that were expected
	// to be late.
	VainPrompts int
	LatePrompts int
	GrantedLate int
	// Groups counts requests and answers by organisation, by class, and by class and size of
	// prompt; of those that arrived while a disturbance lasted, if there are any.
	Groups map[string]*Group

	Dbg            map[string]int
	disturbedFrom  time.Duration
	disturbedUntil time.Duration
}

// Group is a part of all requests.
type Group struct {
	Asked    int
	Answered int
	OnTime   int
}

func newResult(p *Pattern) *Result {
	r := &Result{
		Groups: make(map[string]*Group),
	}
	r.disturbedFrom, r.disturbedUntil = p.disturbed()
	for _, c := range p.Classes {
		r.Classes = append(r.Classes, &ClassResult{
			Class: c,
		})
	}
	return r
}

// of returns the result of a request's class.
func (r *Result) of(q *request) *ClassResult {
	for _, c := range r.Classes {
		if c.Class.Name == q.class.Name {
			return c
		}
	}
	return nil
}

// Worth returns the worth earned as a fraction of what all answers on time are worth.
func (r *Result) Worth() float64 {
	earned, owed := 0.0, 0.0
	for _, c := range r.Classes {
		earned += c.Class.Worth*float64(c.OnTime) + c.Class.LateWorth*float64(c.Late)
		owed += c.Class.Worth * float64(c.Asked)
	}
	if owed == 0 {
		return 0
	}
	return earned / owed
}

// The sizes of prompts by which answers are counted: the largest tenth of a class, the fifth
// below it, and the others.
const (
	SizeLargest = "largest"
	SizeLarge   = "large"
	SizeOther   = "other"
)

// size returns the size of a request's prompt, which is between 0.5 and 1.5 times the mean.
func size(q *request) string {
	switch f := float64(q.prompt) / float64(q.class.Prompt); {
	case f > 1.4:
		return SizeLargest
	case f > 1.2:
		return SizeLarge
	default:
		return SizeOther
	}
}

// second returns the counts of the second of a time.
func (c *ClassResult) second(t time.Time) *Second {
	i := int(t.Sub(simStart) / time.Second)
	for len(c.Seconds) <= i {
		c.Seconds = append(c.Seconds, Second{})
	}
	return &c.Seconds[i]
}

// asked counts a request at its first arrival.
func (r *Result) asked(q *request) {
	c := r.of(q)
	c.Asked++
	c.second(q.arrived).Asked++
	for _, g := range r.groups(q) {
		g.Asked++
	}
}

// returned counts a caller who comes back at a time.
func (r *Result) returned(q *request, at time.Time) {
	c := r.of(q)
	c.Returned++
	c.second(at).Returned++
}

// ended counts the end of a request.
func (r *Result) ended(q *request, onTime bool) {
	second := r.of(q).second(q.arrived)
	answered := q.run != nil && !q.run.cancelled && q.first > 0
	for _, g := range r.groups(q) {
		if answered {
			g.Answered++
		}
		if onTime {
			g.OnTime++
		}
	}
	if answered {
		second.Answered++
	}
	if onTime {
		second.OnTime++
	} else {
		r.VainLoads += q.fetches
	}
}

// groups returns the groups of a request.
func (r *Result) groups(q *request) []*Group {
	var list []*Group
	if at := q.arrived.Sub(simStart); at < r.disturbedFrom || at >= r.disturbedUntil {
		return nil
	}
	for _, name := range []string{q.org, q.class.Name, q.class.Name + "/" + size(q)} {
		g, ok := r.Groups[name]
		if !ok {
			g = &Group{}
			r.Groups[name] = g
		}
		list = append(list, g)
	}
	return list
}

// OnTimeBetween returns how many requests of all classes that arrived from one time of the
// experiment until another were answered on time.
func (r *Result) OnTimeBetween(from, until time.Duration) int {
	n := 0
	for _, c := range r.Classes {
		n += c.OnTimeBetween(from, until)
	}
	return n
}

// OnTimeBetween is Result.OnTimeBetween for the class.
func (c *ClassResult) OnTimeBetween(from, until time.Duration) int {
	n := 0
	for i, s := range c.Seconds {
		if at := time.Duration(i) * time.Second; at >= from && at < until {
			n += s.OnTime
		}
	}
	return n
}

// MostReturns returns the largest number of callers who came back within one second.
func (r *Result) MostReturns() int {
	sums := make(map[int]int)
	most := 0
	for _, c := range r.Classes {
		for i, s := range c.Seconds {
			sums[i] += s.Returned
			most = max(most, sums[i])
		}
	}
	return most
}
