package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy"
	"github.com/stretchr/testify/require"

	"currantstile/itest"
	"currantstile/rest"
)

// newProxy puts a fault-injecting proxy in front of an address.
func newProxy(t testing.TB, name string, to netip.AddrPort) (*toxiproxy.Proxy, netip.AddrPort) {
	p := toxiproxy.NewProxy()
	p.Name = name
	// Start replaces port 0 by the port that the listener got.
	p.Listen = "127.0.0.1:0"
	p.Upstream = to.String()
	require.NoError(t, p.Start())
	t.Cleanup(p.Stop)
	return p, netip.MustParseAddrPort(p.Listen)
}

// Between real processes whose calls to one another are cut, held up or swallowed
// by half-open connections, an organisation gets no more than its rate and burst,
// and every instance goes on admitting from its own part.
func TestPeerLinkFaults(t *testing.T) {
	f := startProcessFleet(t, 3, withProxies)
	limits := filepath.Join(t.TempDir(), "alpha.json")
	const rate, burst, cost = 300, 600, 60
	require.NoError(t, os.WriteFile(limits, []byte(fmt.Sprintf(`{"organisation":"alpha","rate":%d,"burst":%d,
		"adapters":[{"name":"sort","versions":["v1"]}],"routes":[{"name":"bookings","service":"desk","cost":%d}]}`, rate, burst, cost)), 0o600))
	code, out := f.runOperatorCommand("contract", "apply", "-wait", "5s", limits)
	require.Equal(t, exitOK, code, out)
	faults := []struct {
		name string
		set  func(p *toxiproxy.Proxy) error
	}{
		{
			name: "healthy",
			set: func(*toxiproxy.Proxy) error {
				return nil
			},
		},
		{
			name: "delay",
			set: func(p *toxiproxy.Proxy) error {
				_, err := p.Toxics.AddToxicJson(strings.NewReader(`{"name":"d","type":"latency","attributes":{"latency":400,"jitter":300}}`))
				return err
			},
		},
		{
			name: "half-open",
			set: func(p *toxiproxy.Proxy) error {
				_, err := p.Toxics.AddToxicJson(strings.NewReader(`{"name":"h","type":"timeout","attributes":{"timeout":0}}`))
				return err
			},
		},
		{
			name: "cut",
			set: func(p *toxiproxy.Proxy) error {
				p.Stop()
				return nil
			},
		},
	}
	begun := time.Now()
	ran := 0
	for _, fault := range faults {
		for _, p := range f.proxies {
			p.Toxics.ResetToxics()
			require.NoError(t, fault.set(p), fault.name)
		}
		byInstance := make([]int, len(f.callerAddrs))
		for until := time.Now().Add(4 * time.Second); time.Now().Before(until); {
			for i := range f.callerAddrs {
				if f.sendBooking(t, i) {
					byInstance[i]++
					ran++
				}
			}
		}
		for i, n := range byInstance {
			require.Positive(t, n, "%s: instance %d admitted nothing", fault.name, i)
		}
		span := time.Since(begun)
		require.LessOrEqual(t, float64(ran*cost), burst+rate*span.Seconds(), fault.name)
	}
	require.Len(t, receivedRequests(t, f.serviceAddr), ran)
}

// sendBooking sends one booking and reports whether it ran.
func (f *processFleet) sendBooking(t *testing.T, i int) bool {
	a, err := itest.Client.Exchange(t.Context(), rest.Request{
		Method: http.MethodPost,
		Addr:   f.callerAddrs[i],
		Path:   "/svc/bookings/",
		Header: http.Header{"Authorization": {"Bearer " + f.callerKey}},
		Body:   []byte("{}"),
	})
	require.NoError(t, err)
	require.Contains(t, []int{http.StatusOK, http.StatusTooManyRequests}, a.Status, "%s", a.Body)
	return a.Status == http.StatusOK
}
