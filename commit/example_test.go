package commit_test

import (
	"context"
	"fmt"
	"time"

	"currantstile/commit"
	"currantstile/memkv"
	"currantstile/model"
)

// A change is accepted once, even if it is submitted repeatedly.
func Example() {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	a := &commit.Acceptor{
		KV: &memkv.Store{},
	}
	c, err := model.ParseContract([]byte(`{"organisation":"gulf-brine","rate":100,"burst":1000}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	for range 2 {
		accepted, err := a.Accept(context.Background(), now, commit.Change{
			ID: "c-1",
			By: "nadia",
			Edits: commit.Edits{
				commit.PutContract{
					Contract: c,
				},
			},
		})
		fmt.Println(accepted.Revision, err)
	}
	// Output:
	// 1 <nil>
	// 1 <nil>
}
