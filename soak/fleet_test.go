package soak

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy"
	"github.com/stretchr/testify/require"

	"currantstile/platform/fake"
)

const (
	instanceCount = 3
	engineCount   = 3
	serviceCount  = 2
	// orgRate is the organisation's limit in tokens a second, and its burst.
	orgRate = 2500
	// plainCost is what a request without tokens takes, engineCost one with.
	plainCost   = 10
	engineCost  = 120
	gracePeriod = 3 * time.Second
)

// instance is one process, started again whenever it has ended.
type instance struct {
	callerAddr   netip.AddrPort
	settingsPath string
	logFile      *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
}

// testEnv is what one seed runs.
type testEnv struct {
	t         *testing.T
	seed      uint64
	binary    string
	store     *fake.Store
	engines   []*fake.Worker
	services  []*fake.Worker
	instances []*instance
	// storeProxies and targetLinks are proxies, by instance and by target ID.
	storeProxies  []*toxiproxy.Proxy
	targetProxies map[string]*toxiproxy.Proxy

	mu            sync.Mutex
	configVersion int
	keys          []string
	stopping      bool
}

// startProxy puts a proxy in front of an address.
func startProxy(t testing.TB, name, to string) *toxiproxy.Proxy {
	p := toxiproxy.NewProxy()
	// Start replaces port 0 by the port that the listener got.
	p.Name, p.Listen, p.Upstream = name, "127.0.0.1:0", to
	require.NoError(t, p.Start())
	t.Cleanup(p.Stop)
	return p
}

func newTestEnv(t *testing.T, seed uint64, program, dir string) *testEnv {
	f := &testEnv{
		t:             t,
		seed:          seed,
		binary:        program,
		store:         fake.NewStore(t),
		targetProxies: make(map[string]*toxiproxy.Proxy),
		keys:          []string{"k1", "k2"},
		configVersion: 1,
	}
	f.writeNextConfig()
	for i := range engineCount {
		f.engines = append(f.engines, f.startTarget(fmt.Sprint("llm-", i), "llm"))
	}
	for i := range serviceCount {
		f.services = append(f.services, f.startTarget(fmt.Sprint("app-", i), "app"))
	}
	for i := range instanceCount {
		f.startInstance(i, dir)
	}
	t.Cleanup(f.stop)
	return f
}

// startTarget starts a target behind a link and registers it.
func (f *testEnv) startTarget(id, service string) *fake.Worker {
	w := fake.NewWorker(f.t, id)
	f.targetProxies[id] = startProxy(f.t, id, w.Addr())
	f.register(w, service, "ready")
	return w
}

func (f *testEnv) register(w *fake.Worker, service, state string) {
	f.store.Write(fake.WorkerPrefix+w.ID, w.Entry(service, state, f.targetProxies[w.ID].Listen))
}

// writeNextConfig writes the next configuration, with the keys of now.
func (f *testEnv) writeNextConfig() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configVersion++
	quoted := make([]string, 0, len(f.keys))
	for _, k := range f.keys {
		quoted = append(quoted, fmt.Sprintf("%q", k))
	}
	f.store.Write(fake.ConfigKey, fake.Config(fake.ConfigOptions{
		Version: f.configVersion,
		Keys:    strings.Join(quoted, ","),
		Rate:    orgRate,
	}))
}

func (f *testEnv) startInstance(i int, dir string) {
	p := startProxy(f.t, fmt.Sprint("store-", i), f.store.Addr().String())
	f.storeProxies = append(f.storeProxies, p)
	name := fmt.Sprint("entry-", i)
	ip := instanceAddr(f.seed, i)
	n := &instance{
		callerAddr:   netip.AddrPortFrom(ip, callerPort),
		settingsPath: filepath.Join(dir, name+".yaml"),
	}
	file := fake.SettingsFile(fake.InstanceSettings{
		Name:          name,
		CallerAddr:    n.callerAddr,
		ReadinessAddr: netip.AddrPortFrom(ip, readinessPort),
		PeerPort:      peerPort,
		StoreAddr:     netip.MustParseAddrPort(p.Listen),
		GracePeriod:   gracePeriod,
	})
	require.NoError(f.t, os.WriteFile(n.settingsPath, file, 0o600))
	var err error
	n.logFile, err = os.Create(filepath.Join(dir, name+".log"))
	require.NoError(f.t, err)
	f.instances = append(f.instances, n)
	f.startProcess(n)
}

// Ports of an instance on its own address.
const (
	callerPort = 7500 + iota
	readinessPort
	peerPort
)

// instanceAddr is an address of the loopback network for one instance of one seed, on which
// no other socket takes its ports.
func instanceAddr(seed uint64, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%250), byte(1 + seed%250), byte(10 + i)})
}

// startProcess starts an instance's process, and has it started again when it ends.
func (f *testEnv) startProcess(n *instance) {
	cmd := exec.Command(f.binary, "node", "-settings", n.settingsPath)
	cmd.Stdout, cmd.Stderr = n.logFile, n.logFile
	ended := make(chan struct{})
	n.mu.Lock()
	err := cmd.Start()
	n.cmd, n.exited = cmd, ended
	n.mu.Unlock()
	if err != nil {
		f.t.Errorf("instance does not start: %v", err)
		return
	}
	go func() {
		// How a process that was killed ends says nothing.
		_ = cmd.Wait()
		close(ended)
		time.Sleep(restartDelay)
		f.mu.Lock()
		closing := f.stopping
		f.mu.Unlock()
		if !closing {
			f.startProcess(n)
		}
	}()
}

// restartDelay is left between a process's end and its next start.
const restartDelay = 200 * time.Millisecond

// signal sends a signal to an instance's process if it runs.
func (n *instance) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.exited:
	default:
		// A process that has just ended needs none.
		_ = n.cmd.Process.Signal(s)
	}
}

func (f *testEnv) stop() {
	f.mu.Lock()
	f.stopping = true
	f.mu.Unlock()
	for _, n := range f.instances {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
	}
	for _, n := range f.instances {
		n.mu.Lock()
		ended := n.exited
		n.mu.Unlock()
		<-ended
		_ = n.logFile.Close()
	}
}
