package replay

import "time"

// Fleet describes the targets and the weight store.
type Fleet struct {
	// Targets is the number of targets, and Managers that of the instances among which
	// their management is divided.
	Targets  int
	Managers int
	// AdapterSlots is how many adapters a target holds, and Requests how many requests it
	// runs at once.
	AdapterSlots int
	Requests     int
	MemoryTokens int64
	// StepTime is the duration of a batch step without prompts, StepTokens how many prompt
	// tokens a target reads in one at most, and ReadRate how many it reads per millisecond.
	StepTime   time.Duration
	StepTokens int
	ReadRate   float64
	// EventTokens is the number of tokens of one stream event.
	EventTokens int
	// LoadTime is how long an adapter takes from the weight store while no more than
	// FullSpeedLoads are on their way over all targets; beyond, each takes longer in
	// proportion. RecentLoadTime is how long one takes that the target held recently.
	LoadTime       time.Duration
	FullSpeedLoads int
	RecentLoadTime time.Duration
}

// SmallFleet returns a fleet of the size of the users' first deployments.
func SmallFleet() Fleet {
	return Fleet{
		Targets:        18,
		Managers:       7,
		AdapterSlots:   6,
		Requests:       64,
		MemoryTokens:   114_000,
		StepTime:       10500 * time.Microsecond,
		StepTokens:     1 << 20,
		ReadRate:       19.2,
		EventTokens:    2,
		LoadTime:       250 * time.Millisecond,
		FullSpeedLoads: 8,
		RecentLoadTime: 25 * time.Millisecond,
	}
}

// PieceFleet returns a fleet whose targets read long prompts in small pieces.
func PieceFleet() Fleet {
	f := SmallFleet()
	f.AdapterSlots, f.MemoryTokens = 8, 260_000
	f.StepTokens, f.ReadRate = 1024, 38.4
	return f
}
