package replay

import "time"

// The arrival list of an overload: a burst of all classes, unreachable targets and a hot
// organisation at once.
const (
	overloadAt    = 30 * time.Second
	overloadFor   = 6 * time.Second
	overloadTime  = 54 * time.Second
	overloadBurst = 2.4
	hotFactor     = 7.5
	hotFor        = 6500 * time.Millisecond
	cutFor        = 4500 * time.Millisecond
	// hotOrganisation is an organisation of about the mean size.
	hotOrganisation = 5
)

// OverloadFleet returns a tenth of a large deployment: its targets hold few adapters, and its
// callers use very many.
func OverloadFleet() Fleet {
	f := SmallFleet()
	f.Targets, f.Managers, f.AdapterSlots = 14, 7, 4
	f.StepTime, f.ReadRate = 8900*time.Microsecond, 19
	return f
}

// drafts are the classes of a large deployment, with a tenth of its requests.
func drafts() []Class {
	return []Class{
		{
			Name:      "draft",
			Priority:  0,
			Rate:      47.5,
			Objective: time.Second,
			MaxGap:    400 * time.Millisecond,
			Deadline:  5 * time.Second,
			Prompt:    2368,
			Output:    20,
			Worth:     2.3,
			LateWorth: 0.27,
		},
		{
			Name:      "review",
			Priority:  1,
			Rate:      6.6,
			Objective: time.Second,
			MaxGap:    400 * time.Millisecond,
			Deadline:  8 * time.Second,
			Prompt:    2368,
			Output:    20,
			Worth:     1.2,
			LateWorth: 0.36,
		},
		{
			Name:      "summary",
			Priority:  2,
			Rate:      14,
			Objective: 2 * time.Second,
			MaxGap:    400 * time.Millisecond,
			Deadline:  15 * time.Second,
			Prompt:    1460,
			Output:    171,
			Worth:     0.78,
			LateWorth: 0.36,
		},
	}
}

// overloadPatterns returns patterns in which callers compete for too little capacity, and the
// same load without a disturbance.
func overloadPatterns() []Pattern {
	quiet := Pattern{
		Name:          "roomy",
		Summary:       "a tenth of a large deployment with room for all",
		Fleet:         OverloadFleet(),
		Duration:      overloadTime,
		Classes:       drafts(),
		Adapters:      1000,
		Zipf:          1.4,
		Organisations: 40,
	}
	burst := quiet
	burst.Name, burst.Summary = "rush", "2.4 times the load for six seconds"
	burst.Disturbances = []Disturbance{
		Burst{
			At:     overloadAt,
			For:    overloadFor,
			Factor: overloadBurst,
		},
	}
	all := burst
	all.Name, all.Summary = "overload", "2.4 times the load, 17 % of targets unreachable and a hot organisation at once"
	all.Disturbances = append([]Disturbance{
		HotOrganisation{
			Organisation: hotOrganisation,
			At:           overloadAt,
			For:          hotFor,
			Factor:       hotFactor,
		},
		Unreachable{
			At:    overloadAt,
			For:   cutFor,
			Count: 2,
		},
	}, burst.Disturbances...)
	return []Pattern{quiet, burst, all}
}
