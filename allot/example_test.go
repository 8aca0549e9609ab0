package allot_test

import (
	"fmt"
	"time"

	"currantstile/allot"
	"currantstile/model"
)

// The first process creates the table and may use it all once it has read it
// back.
func Example() {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	r := &allot.Allocation{
		Self: allot.Share{
			Holder:   "entry-0/1",
			Instance: "entry-0",
		},
		Total: 1000,
	}
	table, ok := r.Plan(now, allot.Members{
		Eligible: map[model.InstanceID]bool{"entry-0": true},
	}, false)
	fmt.Println(ok, r.Usable(now))
	// Here the table is written by compare-and-swap, and read.
	r.Observe(now, now, table)
	fmt.Println(r.Usable(now), r.Usable(now.Add(allot.ShareTTL)))
	// Output:
	// true 0
	// 1000 0
}
