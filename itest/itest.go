// Package itest holds what the tests of several packages share: a small fleet of
// instances and stand-ins, and requests to it.
//
// # Usage
//
//	f := itest.StartFleet(t, itest.SmallProfile())
//	answer := itest.Complete(t, f, itest.Request{Instance: 0, Org: 0})
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

// SmallProfile is a fleet of two instances, two engines and one service, with
// two organisations.
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

// StartFleet runs a fleet until the test ends.
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

// Client sends the tests' requests.
var Client = rest.NewClient(time.Second, 16)

// Timeout bounds one request of a test.
const Timeout = 10 * time.Second

// Send sends one request to an instance with a key, which may be empty.
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
	a, err := Client.Exchange(ctx, r)
	require.NoError(t, err)
	return a
}

// Completion is a request for a completion with a body.
func Completion(body string) rest.Request {
	return rest.Request{
		Method: http.MethodPost,
		Path:   "/v1/completions",
		Body:   []byte(body),
	}
}

// WrongKey is a key that differs from one in its last letter, and is well formed.
func WrongKey(key string) string {
	const first, second = "a", "b"
	if wrong := key[:len(key)-1] + first; wrong != key {
		return wrong
	}
	return key[:len(key)-1] + second
}
