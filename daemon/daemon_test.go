package daemon_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"currantstile/daemon"
	"currantstile/demo"
	"currantstile/itest"
	"currantstile/rest"
	"currantstile/sims"
)

func openingHoursStatus(t *testing.T, f *demo.Fleet, instance int) int {
	return itest.Send(t, f, instance, "", rest.Request{
		Method: http.MethodGet,
		Path:   "/svc/opening-hours/",
	}).Status
}

// TestIsolatedInstance guards against an isolated instance that admits requests under an
// outdated configuration, in which a withdrawn key is still valid. During a store outage,
// instances that reach one another must continue to admit. An instance that is also cut
// off from its peers must refuse requests, and admit again once it reaches a peer.
func TestIsolatedInstance(t *testing.T) {
	f := &demo.Fleet{
		Profile:        itest.SmallProfile(),
		Seed:           1,
		IsolationLimit: 6 * time.Second,
		Log: log.Logger{
			Level: log.PanicLevel,
		},
	}
	require.NoError(t, f.Start(context.Background()))
	t.Cleanup(func() {
		require.NoError(t, f.Stop(context.Background()))
	})
	f.Store.SetFaults(sims.Faults{Outage: true})
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		require.Equal(t, http.StatusOK, openingHoursStatus(t, f, 0))
	}
	f.Partition(true, 0, 1)
	require.Eventually(t, func() bool {
		return openingHoursStatus(t, f, 0) == http.StatusServiceUnavailable
	}, 20*time.Second, 100*time.Millisecond)
	f.Partition(false, 0, 1)
	require.Eventually(t, func() bool {
		return openingHoursStatus(t, f, 0) == http.StatusOK
	}, 20*time.Second, 100*time.Millisecond)
}

// Guards against settings that are only partly validated: every invalid setting must be
// reported, under the name of its flag.
func TestSettingsValidate(t *testing.T) {
	s := daemon.Settings{
		ID:              "Entry 1",
		Quota:           "none",
		MaxBodyBytes:    -1,
		WriteTimeout:    -1,
		ShutdownTimeout: -1,
		IsolationLimit:  -1,
	}
	err := s.Validate()
	for _, path := range []string{"id", "data-centre", "callers", "operators", "peers", "store", "members", "quota", "max-body", "write-timeout", "shutdown-timeout", "alone-limit"} {
		require.ErrorContains(t, err, path+":")
	}
}
