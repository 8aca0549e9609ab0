// Package itest provides helpers for integration tests: a small fleet of instances
// and simulated services, and functions to send requests to it.
//
// # Usage
//
//	f := itest.StartFleet(t, itest.SmallProfile())
//	resp := itest.Send(t, f, 0, key, itest.Completion(body))
package itest

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"currantstile/demo"
	"currantstile/model"
	"currantstile/rest"
	"currantstile/sims"
)

// SmallProfile returns the profile of a fleet with two instances, two engines, one
// service and two organisations.
func SmallProfile() demo.Profile {
	return demo.Profile{
		User:         "small",
		Zones:        []model.ZoneID{"east", "west"},
		Instances:    2,
		Engines:      2,
		Services:     1,
		ServiceName:  "desk",
		BookingRoute: "bookings",
		BookingBody:  `{"pallets":2}`,
		Orgs: []demo.Org{
			{
				ID:            "alpha",
				Rate:          100000,
				Burst:         100000,
				Adapters:      4,
				AdapterPrefix: "sort",
			},
			{
				ID:            "beta",
				Rate:          100000,
				Burst:         100000,
				Adapters:      4,
				AdapterPrefix: "draft",
			},
		},
		Engine: sims.EngineSettings{
			Slots:       8,
			StepTime:    time.Millisecond,
			PrefillTime: time.Millisecond,
		},
	}
}

// StartFleet starts a fleet without log output and stops it when the test ends.
func StartFleet(t testing.TB, p demo.Profile) *demo.Fleet {
	t.Helper()
	f := &demo.Fleet{
		Profile: p,
		Seed:    1,
		Log: log.Logger{
			Level: log.PanicLevel,
		},
	}
	require.NoError(t, f.Start(context.Background()))
	t.Cleanup(func() {
		require.NoError(t, f.Stop(context.Background()))
	})
	return f
}

// Client is the HTTP client that Send uses.
var Client = rest.NewClient(time.Second, 16)

// Timeout is the maximum duration of one request.
const Timeout = 10 * time.Second

// Send sends one request to the instance with the given index and returns the response.
// If key is empty, the request carries no Authorization header. The test fails if the
// exchange fails.
func Send(t testing.TB, f *demo.Fleet, instance int, key string, r rest.Request) rest.Response {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), Timeout)
	defer cancel()
	if r.Header == nil {
		r.Header = make(http.Header)
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	r.Addr = f.Instances[instance].PublicServer().BoundAddr()
	resp, err := Client.Exchange(ctx, r)
	require.NoError(t, err)
	return resp
}

// Completion returns a completion request with the given body.
func Completion(body string) rest.Request {
	return rest.Request{
		Method: http.MethodPost,
		Path:   "/v1/completions",
		Body:   []byte(body),
	}
}

// WrongKey returns a well-formed key that differs from key in its last character.
func WrongKey(key string) string {
	const first, second = "a", "b"
	if wrong := key[:len(key)-1] + first; wrong != key {
		return wrong
	}
	return key[:len(key)-1] + second
}
