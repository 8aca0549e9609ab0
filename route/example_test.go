package route_test

import (
	"fmt"

	"currantstile/model"
	"currantstile/route"
)

// Every instance computes the same first targets for an adapter.
func ExampleTop() {
	targets := model.Members{
		{ID: "engine-1", State: model.StateLive},
		{ID: "engine-2", State: model.StateLeaving},
		{ID: "engine-3", State: model.StateLive},
	}
	first := route.Top("damage-triage@v2", targets, 2, func(m *model.Member) bool {
		return m.State == model.StateLive
	})
	fmt.Println(len(first), first[0].State)
	// Output: 2 live
}
