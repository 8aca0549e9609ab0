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

// sendBookingWithKey sends a booking under a key and returns what its caller learned, or
// "" where no answer came.
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
	// An answer that cannot be read tells its caller nothing.
	_ = json.Unmarshal(a.Body, &body)
	return body.Error.Outcome
}

// Callers send each booking again, at any instance, until they know its outcome,
// while one instance is killed, another is paused and goes on, and the service is
// slow and loses a fifth of its answers: the service itself counts at most one run for each key, one for each that was said to be
// complete, and none for each that was only ever said to be not run.
func TestBookingsAcrossKillAndPause(t *testing.T) {
	f := startProcessFleet(t, 3, withoutProxies)
	f.setFaults(t, f.serviceAddr, sims.Faults{DropAnswer: 0.2, Delay: model.Duration(300 * time.Millisecond)})
	rng := rand.New(rand.NewPCG(7, 7))
	const bookings, sendings = 120, 4
	var wg sync.WaitGroup
	var mu sync.Mutex
	learned := make([]map[string]bool, bookings)
	for b := range bookings {
		learned[b] = make(map[string]bool)
		instances := rng.Perm(3)
		wait := time.Duration(rng.IntN(3000)) * time.Millisecond
		wg.Go(func() {
			time.Sleep(wait)
			for s := range sendings {
				outcome := f.sendBookingWithKey(instances[s%len(instances)], fmt.Sprintf("b-%d", b))
				mu.Lock()
				learned[b][outcome] = true
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
		if learned[b]["complete"] {
			complete++
			require.Equal(t, 1, n, "booking %d", b)
		}
		if len(learned[b]) == 1 && learned[b]["not-run"] {
			require.Zero(t, n, "booking %d", b)
		}
	}
	require.Greater(t, complete, bookings/2)
}
