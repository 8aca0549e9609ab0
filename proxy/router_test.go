package proxy

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/call"
	"currantstile/config"
	"currantstile/fleet"
	"currantstile/sched"
)

// A request that goes back to a target whose adapter is late counts once against the
// budget of repeats, however often a place is sought for it.
func TestRequestCountedOnceInRetryBudget(t *testing.T) {
	cfg, err := config.New(config.Document{
		Services: []config.Service{
			{
				Name: "s",
			},
		},
	})
	require.NoError(t, err)
	r := &Router{
		Book: fleet.NewRegistry(),
		Budget: &sched.RetryBudget{
			Ratio:  1,
			Window: 10 * time.Second,
		},
	}
	x := &Exchange{
		Request: &call.Request{
			ID: "r1",
		},
		Route: &config.Route{
			Services: []config.WeightedService{
				{
					Service: "s",
					Weight:  1,
				},
			},
		},
		cfg: cfg,
	}
	for range 20 {
		_, reason := r.Place(context.Background(), x, map[string]bool{})
		require.Equal(t, "no-target", reason)
	}
	require.False(t, r.AllowRetry(time.Now(), x), "one request earns less than one repeat")
}
