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

// newProxy starts a fault-injecting proxy that forwards to an address, and returns the proxy
// and the address it listens on.
func newProxy(t testing.TB, name string, to netip.AddrPort) (*toxiproxy.Proxy, netip.AddrPort) {
	p := toxiproxy.NewProxy()
	p.Name = name
	// Start replaces port 0 with the port of the listener.
	p.Listen = "127.0.0.1:0"
	p.Upstream = to.String()
	require.NoError(t, p.Start())
	t.Cleanup(p.Stop)
	return p, netip.MustParseAddrPort(p.Listen)
}

// Guards against exceeding a contract, or stalling, when calls between instances fail. With
// real processes whose links are cut, delayed or half-open, an organisation must get no more
// than its rate and burst, and every instance must go on admitting from its own share.
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
	start := time.Now()
	executed := 0
	for _, fault := range faults {
		for _, p := range f.proxies {
			p.Toxics.ResetToxics()
			require.NoError(t, fault.set(p), fault.name)
		}
		byInstance := make([]int, len(f.callerAddrs))
		for deadline := time.Now().Add(4 * time.Second); time.Now().Before(deadline); {
			for i := range f.callerAddrs {
				if f.sendBooking(t, i) {
					byInstance[i]++
					executed++
				}
			}
		}
		for i, n := range byInstance {
			require.Positive(t, n, "%s: instance %d admitted nothing", fault.name, i)
		}
		elapsed := time.Since(start)
		require.LessOrEqual(t, float64(executed*cost), burst+rate*elapsed.Seconds(), fault.name)
	}
	require.Len(t, receivedRequests(t, f.serviceAddr), executed)
}

// sendBooking sends one booking to instance i and reports whether it was executed; the only
// other response that it accepts is status 429.
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
