// Package scale decides how many targets a service needs in a data centre. It performs no I/O, and the time is an
// argument.
//
// The number follows the work that arrived: the highest mean over a few seconds within a look-back of several boot
// times is divided by the share of a target's time that may be used. More targets are ordered at once, fewer only
// in steps, after the need has been lower for longer than a target takes to boot.
//
// # Usage
//
//	s := scale.NewState(time.Now(), limits)
//	s.Observe(now, sample)
//	if o, ok := s.Decide(now, targets); ok {
//		// order o.Count targets, then s.RecordOrder(now, o)
//	}
package scale

import (
	"math"
	"time"
)

const (
	// utilisation is the share of the targets' time that work may take. Prompts that arrive at random wait about
	// as long as they take to read at 0.65 of a target's speed, which is a quarter of the usual objective, and a
	// few targets may be slow or unreachable.
	utilisation = 0.65
	// upUtilisation is the share from which more targets are ordered, and downUtilisation the share that must not
	// be exceeded with fewer. The distance between the two keeps the number from going up and down.
	upUtilisation   = 0.75
	downUtilisation = 0.60
	// growthTime is how far ahead of a boot the growth of demand is extrapolated.
	growthTime = time.Second
	// maxGrowth bounds the extrapolation: demand rises to 2.8 times its trough within about half a minute.
	maxGrowth = 1.5
	// firstOrderTime is how long demand is observed before more targets are ordered.
	firstOrderTime = 4 * time.Second
	// minLookback is the least time over which the highest demand counts: demand may move between data centres
	// within 11 s and come back.
	minLookback = 16 * time.Second
	// lookbackBoots is the look-back in boot times.
	lookbackBoots = 2
	// downStepShare is the share of the targets by which the number is lowered at once.
	downStepShare = 0.25
	// minDownInterval is the least time between two orders of fewer targets.
	minDownInterval = 5 * time.Second
	// smoothing is the time over which work is averaged: shorter peaks wait.
	smoothing = 3 * time.Second
	// lateShare is the share of late or refused requests from which targets are added.
	lateShare = 0.05
	// lateWork is the share of the targets' time that work takes at least if late requests show a want of targets.
	lateWork = 0.4
	// lateGrowth is by which share of the targets the number grows while too many requests are late.
	lateGrowth = 0.15
	// minLate is the least number of late or refused requests in the smoothing time that is not chance.
	minLate = 5
)

// Cost is what a target costs against what callers lose.
type Cost struct {
	// TargetSecond is the price of one target for a second.
	TargetSecond float64
	// LateRequest is what callers lose by one late or refused request.
	LateRequest float64
}

// DefaultCost is used where nothing is known of prices: one late request per second is worth one target.
var DefaultCost = Cost{
	TargetSecond: 1,
	LateRequest:  1,
}

// Limits bound the number of targets.
type Limits struct {
	Minimum  int
	Maximum  int
	BootTime time.Duration
	Cost     Cost
}

// Sample is the demand in a data centre over a time that ends at At.
type Sample struct {
	At time.Time
	// Work is how many targets the work that arrived would have kept busy, with that of requests that were
	// refused or wait.
	Work float64
	// Answered is how many requests began to run, Late how many of them after their objective, and Refused how
	// many did not run for want of a target.
	Answered float64
	Late     float64
	Refused  float64
	// Duration is the time that the sample covers.
	Duration time.Duration
}

// Target is a target of the service in the data centre.
type Target struct {
	ID string
	// Leaving is set if the target drains.
	Leaving bool
	// TakenAway is set if it drains since it is taken away at short notice.
	TakenAway bool
}

// State is what is known of one service in one data centre. It is not safe for concurrent use.
type State struct {
	limits  Limits
	started time.Time
	samples []Sample
	// current is the order in force; before the first one it is the number of targets that there were.
	current    Order
	hasOrdered bool
	// uncertain is set while it is not known whether the last order was carried out, or will be.
	uncertain bool
	// fewerSince is since when fewer targets are there than there were at first; zero if they are not.
	fewerSince time.Time
	// lastDown is when fewer targets were last ordered, and lowSince since when fewer are needed; zero if they
	// are not.
	lastDown time.Time
	lowSince time.Time
	// lastLate is when targets were last added for late requests.
	lastLate time.Time
	// replaced are the targets that are taken away and for which others are ordered in addition.
	replaced map[string]bool
}

// Order is a number of targets to be ordered.
type Order struct {
	// Count is the number that is ordered, and Need how many of them the demand needs; the others replace
	// targets that are taken away.
	Count int
	Need  int
	// Work and Peak are the expected work and the highest within the look-back, for the log.
	Work float64
	Peak float64
}

// NewState returns the state at the start of the observation.
func NewState(now time.Time, l Limits) *State {
	if l.Cost == (Cost{}) {
		l.Cost = DefaultCost
	}
	return &State{
		limits:   l,
		started:  now,
		replaced: make(map[string]bool),
	}
}

// SetLimits replaces the limits.
func (s *State) SetLimits(l Limits) {
	if l.Cost == (Cost{}) {
		l.Cost = DefaultCost
	}
	s.limits = l
}

// Observe records a sample.
func (s *State) Observe(sample Sample) {
	if sample.Duration <= 0 {
		return
	}
	s.samples = append(s.samples, sample)
	oldest := sample.At.Add(-s.lookback())
	for len(s.samples) > 0 && s.samples[0].At.Before(oldest) {
		s.samples = s.samples[1:]
	}
}

// lookback returns the time over which the highest demand counts.
func (s *State) lookback() time.Duration {
	return max(minLookback, lookbackBoots*s.limits.BootTime)
}

// RecordOrder records that an order was carried out.
func (s *State) RecordOrder(now time.Time, o Order) {
	if o.Need < s.current.Need {
		s.lastDown = now
	}
	s.current, s.hasOrdered, s.uncertain = o, true, false
	s.lowSince = time.Time{}
}

// RecordLost records that an order had no response. The next decision is ordered whatever the number.
func (s *State) RecordLost() {
	s.uncertain = true
}

// Decide returns the order to send now, or false if the number in force is right or the demand is not known yet.
func (s *State) Decide(now time.Time, targets []Target) (Order, bool) {
	open := countOpen(targets)
	if !s.hasOrdered {
		s.current.Need = max(s.current.Need, open)
		s.current.Count = s.current.Need
	}
	extra := s.replace(targets, open)
	if now.Sub(s.started) < firstOrderTime || len(s.samples) == 0 || now.Sub(s.samples[len(s.samples)-1].At) > firstOrderTime {
		return Order{}, false
	}
	o := Order{
		Need: s.clamp(s.need(now, s.current.Need)),
		Work: s.expectedWork(now),
		Peak: s.peak(),
	}
	o.Count = s.clamp(o.Need + extra)
	return o, o.Count != s.current.Count || s.uncertain || s.isShort(now, open)
}

// isShort reports whether targets have been missing for longer than others boot, before the first order: a late order of
// an earlier holder may have been carried out.
func (s *State) isShort(now time.Time, open int) bool {
	if s.hasOrdered || open >= s.current.Need {
		s.fewerSince = time.Time{}
		return false
	}
	if s.fewerSince.IsZero() {
		s.fewerSince = now
	}
	return now.Sub(s.fewerSince) > 2*s.limits.BootTime
}

// need returns the number of targets that the demand needs, from the number in force.
func (s *State) need(now time.Time, base int) int {
	observed := now.Sub(s.started)
	work := s.expectedWork(now)
	peak := s.peak()
	up := ceil(work / utilisation)
	if float64(base)*upUtilisation < work && up > base {
		s.lowSince = time.Time{}
		return up
	}
	if n, ok := s.lateNeed(now, base); ok {
		s.lowSince = time.Time{}
		return n
	}
	down := s.clamp(ceil(max(work, peak)/downUtilisation) + 1)
	if down >= base || s.recentlyLate() {
		s.lowSince = time.Time{}
		return base
	}
	if s.lowSince.IsZero() {
		s.lowSince = now
	}
	if observed < s.lookback() || now.Sub(s.lowSince) < s.limits.BootTime || now.Sub(s.lastDown) < max(s.limits.BootTime, minDownInterval) {
		return base
	}
	return max(down, base-max(int(downStepShare*float64(base)), 1))
}

// lateNeed returns the number of targets while callers lose more by late requests than another target costs.
func (s *State) lateNeed(now time.Time, base int) (int, bool) {
	late, answered, d := s.recentLate()
	loss := late / max(d.Seconds(), 1e-3) * s.limits.Cost.LateRequest
	busy := s.meanWork(len(s.samples)-1) >= lateWork*float64(base)
	if !busy || late < minLate || late < lateShare*answered || loss < s.limits.Cost.TargetSecond {
		return 0, false
	}
	// Those that were ordered for this have to boot first.
	if !s.lastLate.IsZero() && now.Sub(s.lastLate) < s.limits.BootTime+smoothing {
		return base, true
	}
	s.lastLate = now
	return base + max(ceil(lateGrowth*float64(base)), 1), true
}

// recentlyLate reports whether so many requests are late that fewer targets would not do.
func (s *State) recentlyLate() bool {
	late, answered, _ := s.recentLate()
	return late >= minLate && late >= lateShare/2*answered
}

// recentLate sums late and refused requests over the smoothing time.
func (s *State) recentLate() (late, answered float64, d time.Duration) {
	for i := len(s.samples) - 1; i >= 0 && d < smoothing; i-- {
		late += s.samples[i].Late + s.samples[i].Refused
		answered += s.samples[i].Answered + s.samples[i].Refused
		d += s.samples[i].Duration
	}
	return late, answered, d
}

// meanWork returns the mean work over the smoothing time that ends with sample i.
func (s *State) meanWork(i int) float64 {
	sum, d := 0.0, 0.0
	for ; i >= 0 && d < smoothing.Seconds(); i-- {
		sum += s.samples[i].Work * s.samples[i].Duration.Seconds()
		d += s.samples[i].Duration.Seconds()
	}
	if d == 0 {
		return 0
	}
	return sum / d
}

// peak returns the highest mean work within the look-back.
func (s *State) peak() float64 {
	peak := 0.0
	for i := range s.samples {
		peak = max(peak, s.meanWork(i))
	}
	return peak
}

// expectedWork returns the work that is expected when a target that is ordered now has booted: the present work, and
// its growth over the smoothing time extrapolated.
func (s *State) expectedWork(now time.Time) float64 {
	last := len(s.samples) - 1
	work := s.meanWork(last)
	before := -1
	for i := last; i >= 0; i-- {
		if s.samples[last].At.Sub(s.samples[i].At) >= smoothing {
			before = i
			break
		}
	}
	if before < 0 || now.Sub(s.started) < 2*smoothing {
		return work
	}
	growth := (work - s.meanWork(before)) / s.samples[last].At.Sub(s.samples[before].At).Seconds()
	if growth <= 0 {
		return work
	}
	return min(work+growth*(s.limits.BootTime+growthTime).Seconds(), work*maxGrowth)
}

// countOpen returns how many targets take requests.
func countOpen(targets []Target) int {
	open := 0
	for _, t := range targets {
		if !t.Leaving {
			open++
		}
	}
	return open
}

// replace returns for how many targets that are taken away others are ordered in addition, until they have ended.
// A target that drains because fewer were ordered is not replaced: the others are as many as are needed.
func (s *State) replace(targets []Target, open int) int {
	takenAway := make(map[string]bool, len(targets))
	for _, t := range targets {
		takenAway[t.ID] = t.TakenAway
	}
	for id := range s.replaced {
		if !takenAway[id] {
			delete(s.replaced, id)
		}
	}
	for _, t := range targets {
		if t.TakenAway && s.current.Need-open > len(s.replaced) {
			s.replaced[t.ID] = true
		}
	}
	return len(s.replaced)
}

func (s *State) clamp(n int) int {
	return min(max(n, s.limits.Minimum), max(s.limits.Maximum, s.limits.Minimum))
}

func ceil(v float64) int {
	return int(math.Ceil(v - 1e-9))
}
