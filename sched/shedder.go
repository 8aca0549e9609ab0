package sched

import "time"

// Shedder decides at an instance that takes requests which of them are refused at once under
// overload. There is one for each service. Its exported fields must be set before the first call;
// nil leaves a rule out. It is safe for concurrent use.
type Shedder struct {
	Pressure *Pressure
	Returns  *ReturnSlots
	Floors   *Floors
	Heat     *Heat
}

// NewShedder returns a shedder with all rules.
func NewShedder() *Shedder {
	return &Shedder{
		Pressure: &Pressure{},
		Returns:  &ReturnSlots{},
		Floors:   &Floors{},
		Heat:     &Heat{},
	}
}

// Contender is a request that competes with others for the targets of a service.
type Contender struct {
	Priority     int
	Organisation string
	Prompt       int64
	Objective    time.Duration
	// NeedsLoad is set once the first target of its order has no place for its adapter, or
	// would have to load it from the weight store.
	NeedsLoad bool

	// excess is by how many times the organisation exceeds its usual rate.
	excess float64
	// attempted is set once the result of the first attempt was counted.
	attempted bool
	// held is set if the request is held in place of its refusal.
	held bool
}

// Contest is how a request competes at present.
type Contest struct {
	// Overload is set while there are more requests than the targets can answer on time.
	Overload bool
	// Floor is set under overload if the request belongs to a group that is served too seldom.
	Floor bool
	// Excess is by how many times the organisation exceeds its usual rate; 1 if it does not.
	Excess float64
}

// Arrive counts a request.
func (s *Shedder) Arrive(now time.Time, c *Contender) {
	c.excess = 1
	if s.Heat != nil {
		c.excess = s.Heat.Add(now, c.Organisation)
	}
}

// Contest returns how a request competes.
func (s *Shedder) Contest(now time.Time, c *Contender) Contest {
	k := Contest{
		Overload: s.Pressure.Overloaded(now, c.Objective),
		Excess:   max(c.excess, 1),
	}
	k.Floor = k.Overload && (c.held || k.Excess <= 1 && s.Floors != nil && s.Floors.Below(now, c.floors()))
	return k
}

// Placed records that a target admitted a request.
func (s *Shedder) Placed(now time.Time, c *Contender) {
	s.attempted(now, c, true)
	if s.Returns != nil {
		s.Returns.RecordPlaced(now)
	}
	s.record(now, c, true)
}

// Declined records that no target whose manager replied admitted a request in one attempt.
func (s *Shedder) Declined(now time.Time, c *Contender) {
	s.attempted(now, c, false)
}

// attempted counts the result of a request's first attempt.
func (s *Shedder) attempted(now time.Time, c *Contender, placed bool) {
	if !c.attempted {
		c.attempted = true
		s.Pressure.RecordPlacement(now, placed)
	}
}

// Refused records that a request was refused.
func (s *Shedder) Refused(now time.Time, c *Contender) {
	s.record(now, c, false)
}

// Refuse reports whether a request is refused at once that no target admitted under overload, and
// records it if so.
func (s *Shedder) Refuse(now time.Time, c *Contender) bool {
	if s.mayHold(now, c) {
		return false
	}
	s.record(now, c, false)
	return true
}

// RetryAfter returns the retry delay of a refused request whose caller waits for the given time.
func (s *Shedder) RetryAfter(now time.Time, remaining, usual time.Duration) time.Duration {
	if s.Returns == nil {
		return usual
	}
	return s.Returns.Take(now, remaining)
}

// mayHold reports whether a request is held in place of its refusal: its adapter has to be loaded,
// and its organisation is served too seldom. Organisations that use rare adapters would get
// nothing else under overload, because a load seldom ends in time.
func (s *Shedder) mayHold(now time.Time, c *Contender) bool {
	c.held = c.held || s.Floors != nil && c.excess <= 1 && c.NeedsLoad && s.Floors.Unserved(now, c.Organisation)
	return c.held
}

// record counts a request that was placed or refused.
func (s *Shedder) record(now time.Time, c *Contender, placed bool) {
	if s.Floors != nil {
		s.Floors.Record(now, c.floors(), placed)
	}
}

// floors returns what the groups of a request depend on.
func (c *Contender) floors() FloorRequest {
	return FloorRequest{
		Priority:     c.Priority,
		Organisation: c.Organisation,
		Prompt:       c.Prompt,
	}
}
