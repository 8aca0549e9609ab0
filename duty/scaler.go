package duty

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"currantstile/clock"
	"currantstile/errs"
	"currantstile/scale"
)

const (
	// sampleInterval is the interval at which the demand is asked for.
	sampleInterval = 2 * time.Second
	// scaleStepInterval is the interval of the steps.
	scaleStepInterval = 500 * time.Millisecond
)

// Scaler orders targets while the holder holds their subjects. Its exported fields are set before Run.
type Scaler struct {
	Holder *Holder
	Client Client
	// Subjects lists the pairs of service and data centre.
	Subjects func() []Subject
	// Limits returns the limits of a subject and the capacity of a target, or false if it is not ours to scale.
	Limits func(s Subject) (scale.Limits, scale.Capacity, bool)
	// Targets lists the targets of a subject.
	Targets func(s Subject) []scale.Target
	// Collect asks all instances for the demand of subjects.
	Collect func(ctx context.Context, subjects []Subject) map[Subject]map[scale.Source]scale.Load
	// Observe is called with each order that was accepted; it may be nil.
	Observe func(s Subject, o scale.Order)
	Log     log.Logger

	states      map[Subject]*scaling
	collectedAt time.Time
}

// scaling is the state of a subject that this instance holds.
type scaling struct {
	state *scale.State
	meter scale.Meter
	// heldAt is when the subject was last held.
	heldAt time.Time
}

// Run orders targets until ctx ends.
func (s *Scaler) Run(ctx context.Context) {
	for clock.Sleep(ctx, scaleStepInterval) {
		errs.Contain(&s.Log, "Scaler.step", func() {
			s.step(ctx, time.Now())
		})
	}
}

// step observes the demand and sends the orders that are due.
func (s *Scaler) step(ctx context.Context, now time.Time) {
	held := s.heldSubjects(now)
	if len(held) == 0 {
		return
	}
	if now.Sub(s.collectedAt) >= sampleInterval {
		s.collectedAt = now
		loads := s.Collect(ctx, held)
		now = time.Now()
		for _, subject := range held {
			_, capacity, _ := s.Limits(subject)
			st := s.states[subject]
			if sample, ok := st.meter.Sample(now, loads[subject], capacity); ok {
				st.state.Observe(sample)
			}
		}
	}
	for _, subject := range held {
		s.order(ctx, now, subject, s.states[subject].state)
	}
}

// heldSubjects returns the subjects that this instance holds, and forgets the others: another holder may have ordered
// meanwhile.
func (s *Scaler) heldSubjects(now time.Time) []Subject {
	if s.states == nil {
		s.states = make(map[Subject]*scaling)
	}
	var held []Subject
	for _, subject := range s.Subjects() {
		limits, _, ok := s.Limits(subject)
		if !ok || !s.Holder.Holds(now, subject) {
			continue
		}
		held = append(held, subject)
		st := s.states[subject]
		if st == nil {
			st = &scaling{
				state: scale.NewState(now, limits),
			}
			s.states[subject] = st
		}
		st.state.SetLimits(limits)
		st.heldAt = now
	}
	for subject, st := range s.states {
		// A subject that is claimed anew after a lost response is held by nobody else in between.
		if other := s.Holder.HolderOf(subject); now.Sub(st.heldAt) > s.Holder.LeaseTime || other != s.Holder.Self {
			delete(s.states, subject)
		}
	}
	return held
}

// order sends an order if one is due.
func (s *Scaler) order(ctx context.Context, now time.Time, subject Subject, state *scale.State) {
	o, ok := state.Decide(now, s.Targets(subject))
	if !ok {
		return
	}
	result := s.Holder.Call(ctx, subject, func(ctx context.Context, c Credentials) Result {
		return s.Client.OrderTargets(ctx, c, subject.Service, subject.Zone, o.Count)
	})
	switch r := result.(type) {
	case Accepted:
		state.RecordOrder(time.Now(), o)
		s.Log.Info().Str("service", subject.Service).Str("data-centre", subject.Zone).Int("count", o.Count).Int("need", o.Need).
			Float64("work", o.Work).Float64("peak", o.Peak).Msg("duty: targets ordered")
		if s.Observe != nil {
			s.Observe(subject, o)
		}
	case Lost:
		if r.MaybeSent {
			// It may still be carried out: only a newer token keeps it from undoing a later order.
			state.RecordLost()
			s.Holder.Renew(subject)
		}
	}
}
