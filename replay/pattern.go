package replay

import "time"

// Class is a kind of request.
type Class struct {
	Name     string
	Priority int
	// Rate is the number of requests a second outside bursts.
	Rate      float64
	Objective time.Duration
	MaxGap    time.Duration
	Deadline  time.Duration
	// Prompt is the mean length of prompts in tokens, and Output that of answers.
	Prompt int64
	Output int
	// Worth is the worth of an answer on time, and LateWorth that of a later one.
	Worth     float64
	LateWorth float64
}

// Disturbance is a change of the load or of the fleet for some time. It is one of Burst,
// HotOrganisation, Shift, SlowTargets, Crash, Unreachable, FrozenManager and
// DeafEntries.
type Disturbance interface {
	isDisturbance()
}

// Burst multiplies the requests of one class, or of all classes if Class is empty.
type Burst struct {
	Class  string
	At     time.Duration
	For    time.Duration
	Factor float64
}

// HotOrganisation multiplies the requests of one organisation.
type HotOrganisation struct {
	Organisation int
	At           time.Duration
	For          time.Duration
	Factor       float64
}

// Shift replaces the popular adapters by others.
type Shift struct {
	At time.Duration
}

// SlowTargets makes some targets slower.
type SlowTargets struct {
	At     time.Duration
	For    time.Duration
	Count  int
	Factor float64
}

// Crash ends some targets, which come back empty.
type Crash struct {
	At    time.Duration
	For   time.Duration
	Count int
}

// Unreachable cuts some targets off: their runs end, and connections to them are not opened.
// They keep their adapters.
type Unreachable struct {
	At    time.Duration
	For   time.Duration
	Count int
}

// FrozenManager makes one manager answer nothing for some time.
type FrozenManager struct {
	At      time.Duration
	For     time.Duration
	Manager int
}

// DeafEntries lets some entries get no reports of the managers' queues for some time.
type DeafEntries struct {
	At    time.Duration
	For   time.Duration
	Count int
}

func (Burst) isDisturbance()           {}
func (HotOrganisation) isDisturbance() {}
func (Shift) isDisturbance()           {}
func (SlowTargets) isDisturbance()     {}
func (Crash) isDisturbance()           {}
func (Unreachable) isDisturbance()     {}
func (FrozenManager) isDisturbance()   {}
func (DeafEntries) isDisturbance()     {}

// Pattern is a pattern of load.
type Pattern struct {
	Name     string
	Summary  string
	Fleet    Fleet
	Duration time.Duration
	Classes  []Class
	// Adapters is the number of adapters, and Zipf the exponent of their popularity.
	Adapters int
	Zipf     float64
	// Organisations is the number of organisations among which the adapters are divided; 0
	// means one.
	Organisations int
	Disturbances  []Disturbance
}

// notes are the classes of a deployment with many short prompts.
func notes(load float64) []Class {
	return []Class{
		{
			Name:      "note",
			Priority:  1,
			Rate:      51 * load,
			Objective: time.Second,
			MaxGap:    400 * time.Millisecond,
			Deadline:  5 * time.Second,
			Prompt:    2400,
			Output:    22,
			Worth:     1.9,
			LateWorth: 0.56,
		},
		{
			Name:      "bulk",
			Priority:  2,
			Rate:      7 * load,
			Objective: time.Second,
			MaxGap:    400 * time.Millisecond,
			Deadline:  15 * time.Second,
			Prompt:    2400,
			Output:    22,
			Worth:     0.93,
			LateWorth: 0.28,
		},
		{
			Name:      "draft",
			Priority:  0,
			Rate:      15 * load,
			Objective: time.Second,
			MaxGap:    400 * time.Millisecond,
			Deadline:  15 * time.Second,
			Prompt:    1460,
			Output:    172,
			Worth:     2.4,
			LateWorth: 0.72,
		},
	}
}

// quotes are the classes of a deployment with few long prompts.
func quotes(load float64) []Class {
	return []Class{
		{
			Name:      "rush",
			Priority:  1,
			Rate:      14 * load,
			Objective: 800 * time.Millisecond,
			MaxGap:    300 * time.Millisecond,
			Deadline:  5 * time.Second,
			Prompt:    9200,
			Output:    21,
			Worth:     2.4,
			LateWorth: 0.72,
		},
		{
			Name:      "overnight",
			Priority:  2,
			Rate:      2.4 * load,
			Objective: time.Second,
			MaxGap:    300 * time.Millisecond,
			Deadline:  6 * time.Second,
			Prompt:    9200,
			Output:    21,
			Worth:     1.2,
			LateWorth: 0.36,
		},
		{
			Name:      "ask",
			Priority:  0,
			Rate:      18 * load,
			Objective: 600 * time.Millisecond,
			MaxGap:    300 * time.Millisecond,
			Deadline:  15 * time.Second,
			Prompt:    830,
			Output:    116,
			Worth:     0.89,
			LateWorth: 0.27,
		},
	}
}

const patternTime = 40 * time.Second

// Patterns returns the patterns that can be played.
func Patterns() []Pattern {
	return append([]Pattern{
		{
			Name:     "quiet",
			Summary:  "short prompts, most adapters asked for once or twice",
			Fleet:    SmallFleet(),
			Duration: patternTime,
			Classes:  notes(1),
			Adapters: 3000,
			Zipf:     1.2,
		},
		{
			Name:     "shift",
			Summary:  "the popular adapters change every five seconds",
			Fleet:    SmallFleet(),
			Duration: patternTime,
			Classes:  notes(1),
			Adapters: 3000,
			Zipf:     1.2,
			Disturbances: []Disturbance{
				Shift{
					At: 5 * time.Second,
				},
				Shift{
					At: 10 * time.Second,
				},
				Shift{
					At: 15 * time.Second,
				},
				Shift{
					At: 20 * time.Second,
				},
			},
		},
		{
			Name:     "burst",
			Summary:  "six times as many bulk requests while the popular adapters change",
			Fleet:    SmallFleet(),
			Duration: patternTime,
			Classes:  notes(1.2),
			Adapters: 3000,
			Zipf:     1.2,
			Disturbances: []Disturbance{
				Burst{
					Class:  "bulk",
					At:     5 * time.Second,
					For:    8 * time.Second,
					Factor: 6,
				},
				Shift{
					At: 6 * time.Second,
				},
			},
		},
		{
			Name:     "long",
			Summary:  "long prompts that targets read in pieces, with a burst of them",
			Fleet:    PieceFleet(),
			Duration: patternTime,
			Classes:  quotes(1),
			Adapters: 3000,
			Zipf:     1.2,
			Disturbances: []Disturbance{
				Burst{
					Class:  "overnight",
					At:     5 * time.Second,
					For:    6 * time.Second,
					Factor: 8,
				},
			},
		},
		{
			Name:     "faults",
			Summary:  "slow and crashing targets during a shift",
			Fleet:    SmallFleet(),
			Duration: patternTime,
			Classes:  notes(1),
			Adapters: 3000,
			Zipf:     1.2,
			Disturbances: []Disturbance{
				SlowTargets{
					At:     5 * time.Second,
					For:    8 * time.Second,
					Count:  3,
					Factor: 4,
				},
				Crash{
					At:    15 * time.Second,
					For:   2 * time.Second,
					Count: 3,
				},
				Shift{
					At: 16 * time.Second,
				},
			},
		},
	}, overloadPatterns()...)
}
