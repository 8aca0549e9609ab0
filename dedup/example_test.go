package dedup_test

import (
	"context"
	"fmt"
	"time"

	"currantstile/dedup"
	"currantstile/memkv"
)

// A repeated booking gets the recorded response of its only run.
func Example() {
	ctx := context.Background()
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	claims := &dedup.Claims{
		KV: &memkv.Store{},
	}
	request := dedup.Request{
		Organisation: "gulf-brine",
		Key:          "b-17",
		Content:      []byte("POST /bookings {}"),
		Deadline:     now.Add(time.Minute),
	}
	for range 2 {
		d, err := claims.Begin(ctx, now, request)
		if err != nil {
			fmt.Println("not run:", err)
			return
		}
		switch d := d.(type) {
		case dedup.Claimed:
			fmt.Println("running the request")
			err = claims.Record(ctx, d.Ticket, dedup.Response{
				Status: 200,
				Body:   []byte("booked"),
			})
		case dedup.Recorded:
			fmt.Println("recorded:", string(d.Response.Body))
		}
		if err != nil {
			fmt.Println("not recorded:", err)
		}
	}
	// Output:
	// running the request
	// recorded: booked
}
