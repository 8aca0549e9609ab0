package allot_test

import (
	"fmt"
	"time"

	"currantstile/allot"
	"currantstile/model"
)

// The first process creates the table and may use the total once it has read the table
// back.
func Example() {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	a := &allot.Allocation{
		Self: allot.Share{
			Holder:   "entry-0/1",
			Instance: "entry-0",
		},
		Total: 1000,
	}
	table, ok := a.Plan(now, allot.Members{
		Eligible: map[model.InstanceID]bool{"entry-0": true},
	}, false)
	fmt.Println(ok, a.Usable(now))
	// The table is written by compare-and-swap and read back here.
	a.Observe(now, now, table)
	fmt.Println(a.Usable(now), a.Usable(now.Add(allot.ShareTTL)))
	// Output:
	// true 0
	// 1000 0
}
