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

// Policy is a choice of rules, to be compared with others.
type Policy struct {
	Name  string
	Fetch FetchRule
	Slots SlotRule
}

// Policies returns the policies that can be compared, the one in force first.
func Policies() []Policy {
	return []Policy{
		{
			Name:  "in-force",
			Fetch: FetchSoonest{},
			Slots: SlotByPriority{},
		},
		{
			Name:  "fetch-first",
			Fetch: FetchFirst{},
			Slots: SlotByPriority{},
		},
		{
			Name:  "slots-by-arrival",
			Fetch: FetchSoonest{},
			Slots: SlotByArrival{},
		},
		{
			Name:  "neither",
			Fetch: FetchFirst{},
			Slots: SlotByArrival{},
		},
	}
}
