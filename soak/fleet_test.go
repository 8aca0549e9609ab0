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
	instances = 3
	engines   = 3
	services  = 2
	// rate is the organisation's limit in tokens a second, and its burst.
	rate = 2500
	// plainCost is what a request without tokens takes, engineCost one with.
	plainCost  = 10
	engineCost = 120
	grace      = 3 * time.Second
)

// instance is one process, started again whenever it has ended.
type instance struct {
	callers  netip.AddrPort
	settings string
	log      *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

// fleet is what one seed runs.
type fleet struct {
	t       *testing.T
	seed    uint64
	program string
	store   *fake.Store
	engines []*fake.Worker
	apps    []*fake.Worker
	nodes   []*instance
	// storeLinks and targetLinks are proxies, by instance and by target ID.
	storeLinks  []*toxiproxy.Proxy
	targetLinks map[string]*toxiproxy.Proxy

	mu      sync.Mutex
	version int
	keys    []string
	closing bool
}

// link puts a proxy in front of an address.
func link(t testing.TB, name, to string) *toxiproxy.Proxy {
	p := toxiproxy.NewProxy()
	// Start replaces port 0 by the port that the listener got.
	p.Name, p.Listen, p.Upstream = name, "127.0.0.1:0", to
	require.NoError(t, p.Start())
	t.Cleanup(p.Stop)
	return p
}

func newFleet(t *testing.T, seed uint64, program, dir string) *fleet {
	f := &fleet{
		t:           t,
		seed:        seed,
		program:     program,
		store:       fake.NewStore(t),
		targetLinks: make(map[string]*toxiproxy.Proxy),
		keys:        []string{"k1", "k2"},
		version:     1,
	}
	f.configure()
	for i := range engines {
		f.engines = append(f.engines, f.target(fmt.Sprint("llm-", i), "llm"))
	}
	for i := range services {
		f.apps = append(f.apps, f.target(fmt.Sprint("app-", i), "app"))
	}
	for i := range instances {
		f.startInstance(i, dir)
	}
	t.Cleanup(f.stop)
	return f
}

// target starts a target behind a link and registers it.
func (f *fleet) target(id, service string) *fake.Worker {
	w := fake.NewWorker(f.t, id)
	f.targetLinks[id] = link(f.t, id, w.Addr())
	f.register(w, service, "ready")
	return w
}

func (f *fleet) register(w *fake.Worker, service, state string) {
	f.store.Write(fake.WorkerPrefix+w.ID, w.Entry(service, state, f.targetLinks[w.ID].Listen))
}

// configure writes the next configuration, with the keys of now.
func (f *fleet) configure() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	quoted := make([]string, 0, len(f.keys))
	for _, k := range f.keys {
		quoted = append(quoted, fmt.Sprintf("%q", k))
	}
	f.store.Write(fake.ConfigKey, fake.Config(fake.ConfigOptions{
		Version: f.version,
		Keys:    strings.Join(quoted, ","),
		Rate:    rate,
	}))
}

func (f *fleet) startInstance(i int, dir string) {
	p := link(f.t, fmt.Sprint("store-", i), f.store.Addr().String())
	f.storeLinks = append(f.storeLinks, p)
	name := fmt.Sprint("entry-", i)
	ip := ownAddr(f.seed, i)
	n := &instance{
		callers:  netip.AddrPortFrom(ip, callersPort),
		settings: filepath.Join(dir, name+".yaml"),
	}
	file := fake.SettingsFile(fake.InstanceSettings{
		Name:      name,
		Callers:   n.callers,
		Readiness: netip.AddrPortFrom(ip, readinessPort),
		PeerPort:  peerPort,
		Store:     netip.MustParseAddrPort(p.Listen),
		Grace:     grace,
	})
	require.NoError(f.t, os.WriteFile(n.settings, file, 0o600))
	var err error
	n.log, err = os.Create(filepath.Join(dir, name+".log"))
	require.NoError(f.t, err)
	f.nodes = append(f.nodes, n)
	f.start(n)
}

// Ports of an instance on its own address.
const (
	callersPort = 7500 + iota
	readinessPort
	peerPort
)

// ownAddr is an address of the loopback network for one instance of one seed, on which
// no other socket takes its ports.
func ownAddr(seed uint64, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%250), byte(1 + seed%250), byte(10 + i)})
}

// start starts an instance's process, and has it started again when it ends.
func (f *fleet) start(n *instance) {
	cmd := exec.Command(f.program, "node", "-settings", n.settings)
	cmd.Stdout, cmd.Stderr = n.log, n.log
	ended := make(chan struct{})
	n.mu.Lock()
	err := cmd.Start()
	n.cmd, n.ended = cmd, ended
	n.mu.Unlock()
	if err != nil {
		f.t.Errorf("instance does not start: %v", err)
		return
	}
	go func() {
		// How a process that was killed ends says nothing.
		_ = cmd.Wait()
		close(ended)
		time.Sleep(restartTime)
		f.mu.Lock()
		closing := f.closing
		f.mu.Unlock()
		if !closing {
			f.start(n)
		}
	}()
}

// restartTime is left between a process's end and its next start.
const restartTime = 200 * time.Millisecond

// signal sends a signal to an instance's process if it runs.
func (n *instance) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.ended:
	default:
		// A process that has just ended needs none.
		_ = n.cmd.Process.Signal(s)
	}
}

func (f *fleet) stop() {
	f.mu.Lock()
	f.closing = true
	f.mu.Unlock()
	for _, n := range f.nodes {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
	}
	for _, n := range f.nodes {
		n.mu.Lock()
		ended := n.ended
		n.mu.Unlock()
		<-ended
		_ = n.log.Close()
	}
}
