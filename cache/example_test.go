package cache_test

import (
	"fmt"
	"time"

	"currantstile/cache"
	"currantstile/model"
)

// The first request for a pin loads the adapter; the next one is granted.
func Example() {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	target := cache.NewTarget("engine-1")
	target.RecordReport(now, cache.Report{
		Incarnation:  "engine-1/1",
		Capacity:     8,
		AdapterSlots: 2,
	})
	req := cache.PinRequest{
		Holder: "entry-0/1",
		Adapter: model.Adapter{
			Name:    "damage-triage",
			Version: "v2",
		},
		Slots: 1,
		ID:    1,
	}
	if load, ok := target.RequestPin(now, req).(cache.Load); ok {
		fmt.Println("load", load.Adapter)
		target.RecordLoaded(now, load.Adapter, true)
	}
	if granted, ok := target.RequestPin(now, req).(cache.Granted); ok {
		fmt.Println("granted", granted.Pin.Slots, "for", granted.Pin.ValidFor)
	}
	// Output:
	// load damage-triage@v2
	// granted 1 for 5s
}
