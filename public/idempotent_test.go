package public_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"currantstile/demo"
	"currantstile/itest"
	"currantstile/rest"
	"currantstile/sims"
)

// bookingResult is the result of one booking request as its caller sees it.
type bookingResult struct {
	status   int
	outcome  string
	replayed bool
}

func sendBooking(t *testing.T, f *demo.Fleet, instance int, key, body string) bookingResult {
	a := itest.Send(t, f, instance, f.Keys["alpha"], rest.Request{
		Method: http.MethodPost,
		Path:   "/svc/bookings/",
		Header: http.Header{"Idempotency-Key": {key}},
		Body:   []byte(body),
	})
	if a.Status == http.StatusOK {
		return bookingResult{
			status:   a.Status,
			outcome:  a.Header.Get("X-Outcome"),
			replayed: a.Header.Get("Idempotency-Replayed") == "true",
		}
	}
	var e errorResponse
	require.NoError(t, json.Unmarshal(a.Body, &e), "%s", a.Body)
	return bookingResult{
		status:  a.Status,
		outcome: e.Error.Outcome,
	}
}

// Guards against a second run of a repeated booking: any instance must return the
// recorded response, a different booking with the same idempotency key must be
// rejected, and the keys of two organisations must not collide.
func TestRepeatedBooking(t *testing.T) {
	f := itest.StartFleet(t, itest.SmallProfile())
	require.Equal(t, bookingResult{status: 200, outcome: "complete"}, sendBooking(t, f, 0, "b-1", "{}"))
	for instance := range f.Instances {
		require.Equal(t, bookingResult{status: 200, outcome: "complete", replayed: true}, sendBooking(t, f, instance, "b-1", "{}"))
	}
	require.Equal(t, bookingResult{status: 422, outcome: "not-run"}, sendBooking(t, f, 1, "b-1", `{"other":1}`))
	require.Equal(t, map[string]int{"b-1": 1}, f.Services[0].Runs())
	f.Keys["alpha"] = f.Keys["beta"]
	require.Equal(t, bookingResult{status: 200, outcome: "complete"}, sendBooking(t, f, 0, "b-1", "{}"))
}

// Without the store no claim can be made, so a booking must not run and the error
// response must say so.
func TestBookingWithoutStore(t *testing.T) {
	f := itest.StartFleet(t, itest.SmallProfile())
	f.Store.SetFaults(sims.Faults{Outage: true})
	require.Equal(t, bookingResult{status: 503, outcome: "not-run"}, sendBooking(t, f, 0, "b-1", "{}"))
	f.Store.SetFaults(sims.Faults{})
	require.Empty(t, f.Services[0].Runs())
	require.Equal(t, bookingResult{status: 200, outcome: "complete"}, sendBooking(t, f, 0, "b-1", "{}"))
}

// Guards against double runs and wrong outcomes: each booking is sent several times,
// concurrently and to two instances, while the store and the service drop responses and
// refuse calls. No booking may run twice, and one whose responses all say not-run must
// not have run. It fails without the claim, and if a lost response of the service counts
// as not run.
func TestBookingRunsAtMostOnce(t *testing.T) {
	f := itest.StartFleet(t, itest.SmallProfile())
	f.Store.SetFaults(sims.Faults{DropResponse: 0.2, Refuse: 0.1})
	f.Services[0].SetFaults(sims.Faults{DropResponse: 0.2, Refuse: 0.1})
	const bookings, attempts = 60, 4
	outcomes := make([][]bookingResult, bookings)
	var wg sync.WaitGroup
	var mu sync.Mutex
	for b := range bookings {
		for s := range attempts {
			wg.Go(func() {
				a := sendBooking(t, f, s%2, fmt.Sprintf("b-%d", b), "{}")
				mu.Lock()
				defer mu.Unlock()
				outcomes[b] = append(outcomes[b], a)
			})
		}
	}
	wg.Wait()
	runs := f.Services[0].Runs()
	ran := 0
	for b := range bookings {
		key := fmt.Sprintf("b-%d", b)
		require.LessOrEqual(t, runs[key], 1, key)
		ran += runs[key]
		allNotRun := true
		for _, a := range outcomes[b] {
			allNotRun = allNotRun && a.outcome == "not-run"
			if a.outcome == "complete" {
				require.Equal(t, 1, runs[key], key)
			}
		}
		if allNotRun {
			require.Zero(t, runs[key], "booking %s ran although all responses said not-run", key)
		}
	}
	require.Positive(t, ran)
}
