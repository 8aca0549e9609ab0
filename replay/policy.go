package replay

// FetchRule decides which target loads an adapter that none holds. It is one of FetchSoonest
// and FetchFirst.
type FetchRule interface {
	isFetchRule()
}

// FetchSoonest is the rule in force: the target that expects the earliest first token.
type FetchSoonest struct{}

// FetchFirst is the first target of the adapter's order.
type FetchFirst struct{}

func (FetchSoonest) isFetchRule() {}
func (FetchFirst) isFetchRule()   {}

// SlotRule decides which load gets the next load slot. It is one of SlotByPriority and
// SlotByArrival.
type SlotRule interface {
	isSlotRule()
}

// SlotByPriority is the rule in force.
type SlotByPriority struct{}

// SlotByArrival grants slots in order of arrival.
type SlotByArrival struct{}

func (SlotByPriority) isSlotRule() {}
func (SlotByArrival) isSlotRule()  {}

// OverloadRule decides how requests compete for insufficient capacity. It is one of
// OverloadByScore and OverloadInTurn.
type OverloadRule interface {
	isOverloadRule()
}

// OverloadByScore is the rule in force: under overload requests are ordered by their score, and
// refused at once if they cannot be on time. The rules that are named are left out.
type OverloadByScore struct {
	// FixedRetry gives each refusal the same retry delay.
	FixedRetry bool
	// IgnoreWaited takes callers that return for new ones.
	IgnoreWaited bool
	NoFloors     bool
	NoHeat       bool
}

// OverloadInTurn is the order by priority and arrival, with requests held until half of their
// time has passed.
type OverloadInTurn struct{}

func (OverloadByScore) isOverloadRule() {}
func (OverloadInTurn) isOverloadRule()  {}

// Policy is a choice of rules, to be compared with others.
type Policy struct {
	Name     string
	Fetch    FetchRule
	Slots    SlotRule
	Overload OverloadRule
}

// Policies returns the policies that can be compared, the one in force first.
func Policies() []Policy {
	return []Policy{
		{
			Name:     "in-force",
			Fetch:    FetchSoonest{},
			Slots:    SlotByPriority{},
			Overload: OverloadByScore{},
		},
		{
			Name:     "fetch-first",
			Fetch:    FetchFirst{},
			Slots:    SlotByPriority{},
			Overload: OverloadByScore{},
		},
		{
			Name:     "slots-by-arrival",
			Fetch:    FetchSoonest{},
			Slots:    SlotByArrival{},
			Overload: OverloadByScore{},
		},
		{
			Name:     "neither",
			Fetch:    FetchFirst{},
			Slots:    SlotByArrival{},
			Overload: OverloadByScore{},
		},
		{
			Name:     "in-turn",
			Fetch:    FetchSoonest{},
			Slots:    SlotByPriority{},
			Overload: OverloadInTurn{},
		},
		{
			Name:  "fixed-retry",
			Fetch: FetchSoonest{},
			Slots: SlotByPriority{},
			Overload: OverloadByScore{
				FixedRetry: true,
			},
		},
		{
			Name:  "ignore-waited",
			Fetch: FetchSoonest{},
			Slots: SlotByPriority{},
			Overload: OverloadByScore{
				IgnoreWaited: true,
			},
		},
		{
			Name:  "no-floors",
			Fetch: FetchSoonest{},
			Slots: SlotByPriority{},
			Overload: OverloadByScore{
				NoFloors: true,
			},
		},
		{
			Name:  "no-heat",
			Fetch: FetchSoonest{},
			Slots: SlotByPriority{},
			Overload: OverloadByScore{
				NoHeat: true,
			},
		},
	}
}
