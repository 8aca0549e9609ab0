package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/itest"
	"currantstile/model"
	"currantstile/rest"
	"currantstile/sims"
)

// sendBookingWithKey sends a booking with an idempotency key to instance i. It returns the
// outcome in the response, or "" if no response with an outcome arrived.
func (f *processFleet) sendBookingWithKey(i int, key string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	a, err := itest.Client.Exchange(ctx, rest.Request{
		Method: http.MethodPost,
		Addr:   f.callerAddrs[i],
		Path:   "/svc/bookings/",
		Header: http.Header{
			"Authorization":   {"Bearer " + f.callerKey},
			"Idempotency-Key": {key},
		},
		Body: []byte("{}"),
	})
	if err != nil {
		return ""
	}
	if a.Status == http.StatusOK {
		return "complete"
	}
	var body struct {
		Error struct {
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	// A body that cannot be decoded leaves the outcome empty, as if no response had arrived.
	_ = json.Unmarshal(a.Body, &body)
	return body.Error.Outcome
}

// Guards against duplicate or misreported runs of requests with an idempotency key. Callers
// retry each booking at any instance while one instance is killed, another is paused and
// resumed, and the service delays its responses and drops a fifth of them. The service must
// count at most one run for each key, exactly one for each key reported as complete, and none
// for each key that was only ever reported as not run.
func TestBookingsAcrossKillAndPause(t *testing.T) {
	f := startProcessFleet(t, 3, withoutProxies)
	f.setFaults(t, f.serviceAddr, sims.Faults{DropResponse: 0.2, Delay: model.Duration(300 * time.Millisecond)})
	rng := rand.New(rand.NewPCG(7, 7))
	const bookings, attempts = 120, 4
	var wg sync.WaitGroup
	var mu sync.Mutex
	outcomes := make([]map[string]bool, bookings)
	for b := range bookings {
		outcomes[b] = make(map[string]bool)
		instances := rng.Perm(3)
		wait := time.Duration(rng.IntN(3000)) * time.Millisecond
		wg.Go(func() {
			time.Sleep(wait)
			for s := range attempts {
				outcome := f.sendBookingWithKey(instances[s%len(instances)], fmt.Sprintf("b-%d", b))
				mu.Lock()
				outcomes[b][outcome] = true
				mu.Unlock()
				if outcome == "complete" {
					return
				}
			}
		})
	}
	time.Sleep(time.Second)
	require.NoError(t, f.instances[0].cmd.Process.Signal(syscall.SIGSTOP))
	time.Sleep(500 * time.Millisecond)
	require.NoError(t, f.instances[1].cmd.Process.Kill())
	time.Sleep(time.Second)
	require.NoError(t, f.instances[0].cmd.Process.Signal(syscall.SIGCONT))
	wg.Wait()
	runs := make(map[string]int)
	_, err := itest.Client.ExchangeJSON(t.Context(), rest.Request{
		Method: http.MethodGet,
		Addr:   f.serviceAddr,
		Path:   "/runs",
	}, nil, &runs)
	require.NoError(t, err)
	complete := 0
	for b := range bookings {
		n := runs[fmt.Sprintf("b-%d", b)]
		require.LessOrEqual(t, n, 1, "booking %d", b)
		if outcomes[b]["complete"] {
			complete++
			require.Equal(t, 1, n, "booking %d", b)
		}
		if len(outcomes[b]) == 1 && outcomes[b]["not-run"] {
			require.Zero(t, n, "booking %d", b)
		}
	}
	require.Greater(t, complete, bookings/2)
}
