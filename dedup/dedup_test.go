package dedup_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/dedup"
	"currantstile/memkv"
	"currantstile/store"
)

var now = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func newRequest(content string) dedup.Request {
	return dedup.Request{
		Organisation: "alpha",
		Key:          "b-1",
		Content:      []byte(content),
		Deadline:     now.Add(time.Minute),
	}
}

func begin(t *testing.T, c *dedup.Claims, at time.Time, content string) dedup.Decision {
	d, err := c.Begin(context.Background(), at, newRequest(content))
	require.NoError(t, err)
	return d
}

// Guards against wrong decisions for a repeated request: before and after the claim expires, after
// a response is recorded, and for another request under the same key.
func TestClaims(t *testing.T) {
	ctx := context.Background()
	kv := &memkv.Store{}
	one, two := &dedup.Claims{KV: kv}, &dedup.Claims{KV: kv}
	claimed, ok := begin(t, one, now, "x").(dedup.Claimed)
	require.True(t, ok)
	require.IsType(t, dedup.InProgress{}, begin(t, two, now, "x"))
	require.Equal(t, dedup.KeyReused{}, begin(t, two, now, "y"))
	require.True(t, claimed.Ticket.MayRun(now.Add(59*time.Second)))
	require.False(t, claimed.Ticket.MayRun(now.Add(61*time.Second)), "a claimant that was paused past the deadline must not run")
	late := now.Add(66 * time.Second)
	require.Equal(t, dedup.Unknown{}, begin(t, two, late, "x"), "the claim has expired without a recorded outcome")
	response := dedup.Response{Status: 200, Body: []byte("ok")}
	require.NoError(t, one.Record(ctx, claimed.Ticket, response))
	require.Equal(t, dedup.Recorded{Response: response}, begin(t, two, late, "x"))
}

// Guards against a released claim that still blocks the request from being sent again.
func TestRelease(t *testing.T) {
	c := &dedup.Claims{KV: &memkv.Store{}}
	claimed, ok := begin(t, c, now, "x").(dedup.Claimed)
	require.True(t, ok)
	require.NoError(t, c.Release(context.Background(), claimed.Ticket))
	require.IsType(t, dedup.Claimed{}, begin(t, c, now, "x"))
}

// Guards against running a request twice when the store's response to a write is lost, whether or
// not the write was applied: at most one of several attempts may obtain the claim.
func TestClaimsLostWriteResponses(t *testing.T) {
	for i := range 12 {
		// A claimant that fails after its run does not record a response.
		applied, recorded, lost := i%2 == 0, i%4 < 2, i/4
		t.Run(fmt.Sprintf("write %d applied %t recorded %t", lost, applied, recorded), func(t *testing.T) {
			kv := &memkv.Store{}
			writes := 0
			kv.WriteFault = func(string) (bool, error) {
				writes++
				if writes-1 == lost {
					return applied, store.ErrAmbiguous
				}
				return false, nil
			}
			runs := 0
			for range 4 {
				c := &dedup.Claims{KV: kv}
				// After an error the request is not sent.
				d, _ := c.Begin(context.Background(), now, newRequest("x"))
				claimed, ok := d.(dedup.Claimed)
				if !ok {
					continue
				}
				runs++
				if recorded {
					// A lost record must not affect the number of runs.
					_ = c.Record(context.Background(), claimed.Ticket, dedup.Response{Status: 200})
				}
			}
			require.LessOrEqual(t, runs, 1)
		})
	}
}

// Guards against more than one run when 32 attempts claim the same request concurrently.
func TestClaimsRace(t *testing.T) {
	kv := &memkv.Store{}
	var mu sync.Mutex
	runs := 0
	var wg sync.WaitGroup
	for range 32 {
		wg.Go(func() {
			c := &dedup.Claims{KV: kv}
			d, err := c.Begin(context.Background(), now, newRequest("x"))
			if _, ok := d.(dedup.Claimed); ok && err == nil {
				mu.Lock()
				runs++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	require.Equal(t, 1, runs)
}
