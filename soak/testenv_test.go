package soak

import (
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
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
	// orgRate is both the organisation's rate in tokens a second and its burst in tokens.
	orgRate = 2500
	// plainCost is the charge in tokens for a request without token counts, engineCost for a
	// model request (100 prompt tokens and 20 output tokens).
	plainCost   = 10
	engineCost  = 120
	gracePeriod = 3 * time.Second
)

// instance is an instance in a process of its own, which is restarted whenever it exits.
type instance struct {
	callerAddr   netip.AddrPort
	settingsPath string
	logFile      *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the process has exited.
	exited chan struct{}
	// logReader is the reader of the process's log, and logCopied is closed when it has ended.
	logReader *os.File
	logCopied chan struct{}
	signals   []sentSignal
}

// testEnv is the environment of one seed: the store, the targets, the instances, and the
// proxies between them.
type testEnv struct {
	t         *testing.T
	number    uint32
	binary    string
	store     *fake.Store
	engines   []*fake.Worker
	services  []*fake.Worker
	instances []*instance
	rec       *recorder
	// storeProxies are the proxies between instances and the store, by index of the instance;
	// targetProxies are those in front of targets, by target ID.
	storeProxies  []*toxiproxy.Proxy
	targetProxies map[string]*toxiproxy.Proxy
	// storeRelays and targetRelays stand in front of them.
	storeRelays  []*relay
	targetRelays map[string]*relay

	mu            sync.Mutex
	configVersion int
	idleTimeout   time.Duration
	keys          []string
	stopping      bool
}

// startProxy starts a proxy to the upstream address.
func startProxy(t testing.TB, name, upstream string) *toxiproxy.Proxy {
	p := toxiproxy.NewProxy()
	// Start replaces port 0 in Listen by the port of the listener.
	p.Name, p.Listen, p.Upstream = name, "127.0.0.1:0", upstream
	require.NoError(t, p.Start())
	t.Cleanup(p.Stop)
	return p
}

func newTestEnv(t *testing.T, binary, dir string) *testEnv {
	e := &testEnv{
		t:             t,
		number:        environments.Add(1),
		binary:        binary,
		store:         fake.NewStore(t),
		targetProxies: make(map[string]*toxiproxy.Proxy),
		targetRelays:  make(map[string]*relay),
		keys:          []string{"k1", "k2"},
		rec:           newRecorder(),
		configVersion: 1,
	}
	e.writeNextConfig()
	for i := range engineCount {
		e.engines = append(e.engines, e.startTarget(fmt.Sprint("llm-", i), "llm"))
	}
	for i := range serviceCount {
		e.services = append(e.services, e.startTarget(fmt.Sprint("app-", i), "app"))
	}
	for i := range instanceCount {
		e.startInstance(i, dir)
	}
	t.Cleanup(e.stop)
	return e
}

// startTarget starts a target behind a proxy and registers it in the store.
func (e *testEnv) startTarget(id, service string) *fake.Worker {
	w := fake.NewWorker(e.t, id)
	e.targetProxies[id] = startProxy(e.t, id, w.Addr())
	e.targetRelays[id] = startRelay(e.t, e.targetProxies[id].Listen)
	e.register(w, service, "ready")
	return w
}

func (e *testEnv) register(w *fake.Worker, service, state string) {
	e.store.Write(fake.WorkerPrefix+w.ID, w.Entry(service, state, e.targetRelays[w.ID].addr))
}

// writeNextConfig writes a configuration with the next version and the current API keys.
func (e *testEnv) writeNextConfig() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.configVersion++
	quoted := make([]string, 0, len(e.keys))
	for _, k := range e.keys {
		quoted = append(quoted, fmt.Sprintf("%q", k))
	}
	e.store.Write(fake.ConfigKey, fake.Config(fake.ConfigOptions{
		Version: e.configVersion,
		Keys:    strings.Join(quoted, ","),
		Rate:    orgRate,

		IdleTimeout: e.idleTimeout,
	}))
}

func (e *testEnv) startInstance(i int, dir string) {
	p := startProxy(e.t, fmt.Sprint("store-", i), e.store.Addr().String())
	e.storeProxies = append(e.storeProxies, p)
	r := startRelay(e.t, p.Listen)
	e.storeRelays = append(e.storeRelays, r)
	name := fmt.Sprint("entry-", i)
	ip := instanceAddr(e.number, i)
	n := &instance{
		callerAddr:   netip.AddrPortFrom(ip, callerPort),
		settingsPath: filepath.Join(dir, name+".yaml"),
	}
	file := fake.SettingsFile(fake.InstanceSettings{
		Name:          name,
		CallerAddr:    n.callerAddr,
		ReadinessAddr: netip.AddrPortFrom(ip, readinessPort),
		PeerPort:      peerPort,
		StoreAddr:     netip.MustParseAddrPort(r.addr),
		GracePeriod:   gracePeriod,
	})
	require.NoError(e.t, os.WriteFile(n.settingsPath, file, 0o600))
	var err error
	n.logFile, err = os.Create(filepath.Join(dir, name+".log"))
	require.NoError(e.t, err)
	e.instances = append(e.instances, n)
	e.startProcess(n)
}

// Ports of an instance on its loopback address.
const (
	callerPort = 7500 + iota
	readinessPort
	peerPort
)

// environments counts the environments of this process.
var environments atomic.Uint32

// instanceAddr returns a loopback address for one instance of one environment. Instances do not
// share 127.0.0.1, where another socket could take their ports (the fault of seed 114).
func instanceAddr(environment uint32, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%250), byte(1 + environment%250), byte(10 + i)})
}

// startProcess starts an instance's process and restarts it when it exits, until the
// environment is stopped.
func (e *testEnv) startProcess(n *instance) {
	cmd := exec.Command(e.binary, "node", "-settings", n.settingsPath)
	reader, writer, err := os.Pipe()
	if err != nil {
		e.t.Errorf("opening a pipe for a log failed: %v", err)
		return
	}
	// Reports of the runtime need no reader.
	cmd.Stdout, cmd.Stderr = writer, n.logFile
	exited, copied := make(chan struct{}), make(chan struct{})
	n.mu.Lock()
	err = cmd.Start()
	n.cmd, n.exited, n.logReader, n.logCopied = cmd, exited, reader, copied
	n.mu.Unlock()
	_ = writer.Close()
	go func() {
		defer close(copied)
		// It ends with the process, or when the reader is closed.
		_, _ = io.Copy(n.logFile, reader)
		_ = reader.Close()
	}()
	if err != nil {
		e.t.Errorf("starting an instance failed: %v", err)
		return
	}
	go func() {
		// The exit status is ignored: most processes are ended by a signal.
		_ = cmd.Wait()
		close(exited)
		time.Sleep(restartDelay)
		e.mu.Lock()
		stopping := e.stopping
		e.mu.Unlock()
		if !stopping {
			e.startProcess(n)
		}
	}()
}

// restartDelay is the time between the exit of a process and its restart.
const restartDelay = 200 * time.Millisecond

// signal sends a signal to the instance's process if it is running.
func (n *instance) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.exited:
	default:
		// A process that was not suspended takes no notice of SIGCONT.
		if s != syscall.SIGCONT {
			n.signals = append(n.signals, sentSignal{
				at:      time.Now(),
				name:    s.String(),
				planned: s == syscall.SIGTERM || s == syscall.SIGHUP,
			})
		}
		// Fails only if the process has exited meanwhile.
		_ = n.cmd.Process.Signal(s)
	}
}

// endLogReader closes the reader of the process's log.
func (n *instance) endLogReader() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.signals = append(n.signals, sentSignal{
		at:      time.Now(),
		name:    "log reader ends",
		planned: true,
	})
	_ = n.logReader.Close()
}

// stop ends all instances for good; further calls do nothing.
func (e *testEnv) stop() {
	e.mu.Lock()
	stopped := e.stopping
	e.stopping = true
	e.mu.Unlock()
	if stopped {
		return
	}
	for _, n := range e.instances {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
	}
	for _, n := range e.instances {
		n.mu.Lock()
		exited, copied := n.exited, n.logCopied
		n.mu.Unlock()
		<-exited
		<-copied
		_ = n.logFile.Close()
	}
}
