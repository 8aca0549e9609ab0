package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy"
	"github.com/stretchr/testify/require"

	"currantstile/itest"
	"currantstile/model"
	"currantstile/rest"
	"currantstile/sims"
)

// process is one running program of a fleet in which every instance and stand-in is a separate
// process, as in production.
type process struct {
	cmd *exec.Cmd
	out *bufio.Reader
}

// buildProgram builds the currantstile binary in a temporary folder of the test.
func buildProgram(t testing.TB) string {
	program := filepath.Join(t.TempDir(), "currantstile")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	require.NoError(t, err, "%s", out)
	return program
}

func startProcess(t testing.TB, program string, args ...string) *process {
	cmd := exec.Command(program, args...)
	pipe, err := cmd.StdoutPipe()
	require.NoError(t, err)
	cmd.Stderr = os.Stderr
	require.NoError(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return &process{
		cmd: cmd,
		out: bufio.NewReader(pipe),
	}
}

// readAddr reads the address that a stand-in prints as its first line.
func (p *process) readAddr(t testing.TB) netip.AddrPort {
	line, err := p.out.ReadString('\n')
	require.NoError(t, err)
	return netip.MustParseAddrPort(strings.TrimSpace(line))
}

// addresses counts the loopback addresses that freeAddr has used.
var addresses atomic.Uint32

// freeAddr returns a port on a loopback address of its own, which differs between processes of
// tests too: until an instance listens there, no other socket can take it.
func freeAddr(t testing.TB) netip.AddrPort {
	n := addresses.Add(1)
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 32+os.Getpid()%64, os.Getpid()/64%256, 1+n%250))
	require.NoError(t, err)
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// processFleet is a fleet of instances and stand-ins in separate processes.
type processFleet struct {
	program     string
	storeAddr   netip.AddrPort
	membersAddr netip.AddrPort
	serviceAddr netip.AddrPort
	memberList  model.Members
	instances   []*process
	callerAddrs []netip.AddrPort
	operatorURL string
	callerKey   string
	proxies     []*toxiproxy.Proxy
}

// Values of startProcessFleet's proxied: withProxies puts a fault-injecting proxy in front of
// each instance's peer address; withoutProxies lets instances call one another directly.
const (
	withProxies    = true
	withoutProxies = false
)

func startProcessFleet(t testing.TB, instances int, proxied bool, engineFlags ...string) *processFleet {
	f := &processFleet{
		program: buildProgram(t),
	}
	f.storeAddr = startProcess(t, f.program, "standin", "store").readAddr(t)
	f.membersAddr = startProcess(t, f.program, "standin", "instances").readAddr(t)
	weights := startProcess(t, f.program, "standin", "weights").readAddr(t)
	for i := range 2 {
		name := fmt.Sprintf("engine-%d", i)
		args := append([]string{"standin", "engine", "-name", name, "-weights", weights.String()}, engineFlags...)
		addr := startProcess(t, f.program, args...).readAddr(t)
		f.memberList = append(f.memberList, model.Member{ID: name, Role: model.RoleEngine, Zone: "east", Addr: addr, State: model.StateLive})
	}
	f.serviceAddr = startProcess(t, f.program, "standin", "service", "-name", "desk-0").readAddr(t)
	f.memberList = append(f.memberList, model.Member{ID: "desk-0", Role: model.RoleService, Service: "desk", Zone: "east", Addr: f.serviceAddr, State: model.StateLive})
	for i := range instances {
		f.startInstance(t, i, proxied)
	}
	f.publishMembers(t)
	f.applyContract(t)
	return f
}

func (f *processFleet) startInstance(t testing.TB, i int, proxied bool) {
	callers, operators, peers := freeAddr(t), freeAddr(t), freeAddr(t)
	id := fmt.Sprintf("entry-%d", i)
	advertised := peers
	if proxied {
		var p *toxiproxy.Proxy
		p, advertised = newProxy(t, id, peers)
		f.proxies = append(f.proxies, p)
	}
	f.instances = append(f.instances, startProcess(t, f.program, "serve", "-id", id, "-data-centre", "east",
		"-callers", callers.String(), "-operators", operators.String(), "-peers", peers.String(), "-peers-advertised", advertised.String(),
		"-store", f.storeAddr.String(), "-members", f.membersAddr.String(), "-log-level", "error", "-shutdown-timeout", "20s"))
	f.callerAddrs = append(f.callerAddrs, callers)
	f.operatorURL = "http://" + operators.String()
	f.memberList = append(f.memberList, model.Member{ID: id, Role: model.RoleEntry, Zone: "east", Addr: advertised, OperatorAddr: operators, State: model.StateLive})
}

// publishMembers writes the fleet's actual members to the platform's list of instances.
func (f *processFleet) publishMembers(t testing.TB) {
	a, err := itest.Client.ExchangeJSON(context.Background(), rest.Request{
		Method: http.MethodPut,
		Addr:   f.membersAddr,
		Path:   "/members",
	}, f.memberList, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, a.Status, "%s", a.Body)
}

func (f *processFleet) applyContract(t testing.TB) {
	contract := filepath.Join(t.TempDir(), "alpha.json")
	require.NoError(t, os.WriteFile(contract, []byte(`{"organisation":"alpha","rate":100000000,"burst":100000000,
		"adapters":[{"name":"sort","versions":["v1"]}],"routes":[{"name":"bookings","service":"desk"}]}`), 0o600))
	require.Eventually(t, func() bool {
		code, _ := f.runOperatorCommand("contract", "apply", "-wait", "5s", contract)
		return code == exitOK
	}, 20*time.Second, 100*time.Millisecond)
	code, out := f.runOperatorCommand("key", "issue", "-wait", "5s", "alpha")
	require.Equal(t, exitOK, code, out)
	f.callerKey = strings.Fields(out)[0]
	for _, addr := range f.callerAddrs {
		require.Eventually(t, func() bool {
			a, err := itest.Client.Exchange(context.Background(), rest.Request{
				Method: http.MethodGet,
				Addr:   addr,
				Path:   "/healthz",
			})
			return err == nil && a.Status == http.StatusOK
		}, 20*time.Second, 50*time.Millisecond)
	}
}

func (f *processFleet) runOperatorCommand(command, verb string, args ...string) (int, string) {
	var out bytes.Buffer
	code := run(append([]string{command, verb, "-operator", f.operatorURL}, args...), &out, &out)
	return code, out.String()
}

func (f *processFleet) requestCompletion(i, tokens int) (rest.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	return itest.Client.Exchange(ctx, rest.Request{
		Method: http.MethodPost,
		Addr:   f.callerAddrs[i],
		Path:   "/v1/completions",
		Header: http.Header{"Authorization": {"Bearer " + f.callerKey}},
		Body:   []byte(fmt.Sprintf(`{"model":"sort@v1","prompt":"x","max_tokens":%d,"stream":true}`, tokens)),
	})
}

// receivedRequests returns the requests that a target has received.
func receivedRequests(t *testing.T, addr netip.AddrPort) []sims.Received {
	var list []sims.Received
	_, err := itest.Client.ExchangeJSON(context.Background(), rest.Request{
		Method: http.MethodGet,
		Addr:   addr,
		Path:   "/received",
	}, nil, &list)
	require.NoError(t, err)
	return list
}

// Guards against failures that only appear between separate processes. The fleet must serve
// through every instance, go on after one is killed, serve while the store is unavailable, and
// complete a running stream when its instance gets SIGTERM.
func TestProcessFleet(t *testing.T) {
	f := startProcessFleet(t, 3, withoutProxies)
	for i := range f.callerAddrs {
		a, err := f.requestCompletion(i, 4)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, a.Status, "%s", a.Body)
		require.Contains(t, string(a.Body), "[DONE]")
	}
	require.NoError(t, f.instances[0].cmd.Process.Kill())
	f.memberList = append(f.memberList[:3:3], f.memberList[4:]...)
	f.publishMembers(t)
	require.Eventually(t, func() bool {
		a, err := f.requestCompletion(1, 4)
		return err == nil && strings.Contains(string(a.Body), "[DONE]")
	}, 20*time.Second, 100*time.Millisecond)
	f.setFaults(t, f.storeAddr, sims.Faults{Outage: true})
	a, err := f.requestCompletion(2, 4)
	require.NoError(t, err)
	require.Contains(t, string(a.Body), "[DONE]", "with the store unavailable")
	code, out := f.runOperatorCommand("key", "issue", "alpha")
	require.Equal(t, exitFailed, code)
	require.Contains(t, out, "nothing was changed")
	f.stopMidStream(t)
}

func (f *processFleet) setFaults(t *testing.T, addr netip.AddrPort, faults sims.Faults) {
	a, err := itest.Client.ExchangeJSON(context.Background(), rest.Request{
		Method: http.MethodPost,
		Addr:   addr,
		Path:   "/faults",
	}, faults, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, a.Status)
}

// stopMidStream sends SIGTERM to an instance during a stream and checks that the stream is
// complete, and that no engine received the caller's key.
func (f *processFleet) stopMidStream(t *testing.T) {
	resp, err := itest.Client.Send(context.Background(), rest.Request{
		Method: http.MethodPost,
		Addr:   f.callerAddrs[1],
		Path:   "/v1/completions",
		Header: http.Header{"Authorization": {"Bearer " + f.callerKey}},
		Body:   []byte(`{"model":"sort@v1","prompt":"x","max_tokens":100,"stream":true}`),
	})
	require.NoError(t, err)
	defer resp.Body.Close()
	first := make([]byte, 1)
	_, err = io.ReadFull(resp.Body, first)
	require.NoError(t, err)
	require.NoError(t, f.instances[1].cmd.Process.Signal(syscall.SIGTERM))
	var events json.RawMessage
	events, err = io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.True(t, strings.HasSuffix(string(events), "data: [DONE]\n\n"))
	require.NoError(t, f.instances[1].cmd.Wait())
	for _, m := range f.memberList[:2] {
		for _, r := range receivedRequests(t, m.Addr) {
			require.NotContains(t, fmt.Sprint(r), f.callerKey)
		}
	}
}

// Guards against a port that another socket takes between its choice and the start of the process
// that is to listen on it (KNOWN-RED until 2026-12-05).
func TestFreeAddrIsNotTakenMeanwhile(t *testing.T) {
	addr := freeAddr(t)
	other, err := net.Listen("tcp", netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), addr.Port()).String())
	if err == nil {
		defer other.Close()
	}
	ln, err := net.Listen("tcp", addr.String())
	require.NoError(t, err)
	require.NoError(t, ln.Close())
}
