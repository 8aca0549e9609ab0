//go:build review

package rig

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"currantstile/platform/fake"
)

// heartbeatInterval is how often a worker writes its entry, as in the settings file.
const heartbeatInterval = 1200 * time.Millisecond

// rig is a small deployment. Its methods may be called by several goroutines.
type rig struct {
	dir     string
	program string
	started time.Time
	store   *fake.Store

	mu      sync.Mutex
	record  io.Writer
	closers []func()
}

// newRig starts a store and writes what happens to record.
func newRig(record io.Writer) (*rig, error) {
	dir, err := os.MkdirTemp("", "review-rig-")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs("target/currantstile")
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &rig{
		dir:     dir,
		program: program,
		started: time.Now(),
		store:   fake.StartStore(ln),
		record:  record,
	}
	r.atEnd(func() {
		_ = os.RemoveAll(dir)
	})
	r.atEnd(r.store.Close)
	return r, nil
}

// atEnd registers a function that close calls, the last one first.
func (r *rig) atEnd(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closers = append(r.closers, f)
}

// close ends all processes and servers that the rig started.
func (r *rig) close() {
	r.mu.Lock()
	closers := r.closers
	r.closers = nil
	r.mu.Unlock()
	for i := len(closers) - 1; i >= 0; i-- {
		closers[i]()
	}
}

// note writes one line to the record, with the seconds since the start.
func (r *rig) note(format string, args ...any) {
	r.noteAt(time.Now(), format, args...)
}

func (r *rig) noteAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f "+format+"\n", append([]any{at.Sub(r.started).Seconds()}, args...)...)
}

// relay is a TCP proxy that forwards the bytes of connections, or holds them back for as long as it
// is silent: new connections are accepted then, but nothing is answered.
type relay struct {
	ln     net.Listener
	target string

	mu     sync.Mutex
	silent bool
	conns  map[net.Conn]bool
}

// startRelay starts a relay to the given address.
func (r *rig) startRelay(target netip.AddrPort) (*relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &relay{
		ln:     ln,
		target: target.String(),
		conns:  make(map[net.Conn]bool),
	}
	go p.accept()
	r.atEnd(func() {
		_ = ln.Close()
		p.closeConns()
	})
	return p, nil
}

func (p *relay) addr() netip.AddrPort {
	return netip.MustParseAddrPort(p.ln.Addr().String())
}

func (p *relay) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *relay) serve(c net.Conn) {
	defer c.Close()
	up, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer up.Close()
	p.mu.Lock()
	p.conns[c], p.conns[up] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{c, up}, {up, c}} {
		go func() {
			p.copy(pair[1], pair[0])
			done <- struct{}{}
		}()
	}
	<-done
}

// copy forwards bytes in one direction. What is read while the relay is silent is dropped, with all
// that follows on the connection.
func (p *relay) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	dropped := false
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		p.mu.Lock()
		dropped = dropped || p.silent
		p.mu.Unlock()
		if dropped {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// setSilent begins or ends the silence. At its end the connections that it struck are reset.
func (p *relay) setSilent(silent bool) {
	p.mu.Lock()
	p.silent = silent
	p.mu.Unlock()
	if !silent {
		p.closeConns()
	}
}

func (p *relay) closeConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tc, ok := c.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		_ = c.Close()
	}
	p.conns = make(map[net.Conn]bool)
}

// arrival is a request that a worker ran.
type arrival struct {
	id     string
	worker string
	tenant string
	at     time.Time
}

// worker is a worker of a plain service.
type worker struct {
	rig  *rig
	id   string
	work time.Duration

	// end ends the worker as a crash does.
	end func()

	mu       sync.Mutex
	arrivals []arrival
	deadly   *deadly
}

// startWorker starts a worker of the service app that takes some time for each request, and registers it.
func (r *rig) startWorker(id string, work time.Duration) (*worker, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		rig:  r,
		id:   id,
		work: work,
	}
	srv := &http.Server{
		Handler: w,
	}
	go func() {
		_ = srv.Serve(ln)
	}()
	ctx, cancel := context.WithCancel(context.Background())
	w.end = func() {
		cancel()
		_ = srv.Close()
	}
	go w.beat(ctx, ln.Addr().String())
	r.atEnd(w.end)
	return w, nil
}

// setDeadly lets requests with deadlyBody crash the worker.
func (w *worker) setDeadly(d *deadly) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deadly = d
}

// beat writes the worker's entry until ctx ends.
func (w *worker) beat(ctx context.Context, addr string) {
	born := time.Now().UnixMilli()
	for sequence := 1; ctx.Err() == nil; sequence++ {
		w.rig.store.Write("servers/"+w.id, fmt.Appendf(nil,
			`{"service":"app","address":%q,"zone":"mobile-yard","version":"v1","slots":64,"state":"ready","sequence":%d,"cold_remaining_ms":0,"born":%d,"models":[]}`,
			addr, sequence, born))
		select {
		case <-time.After(heartbeatInterval):
		case <-ctx.Done():
		}
	}
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	rw.Header().Set("X-Request-Id", id)
	if r.Header.Get("X-Expect-Instance") != w.id {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a := arrival{
		id:     id,
		worker: w.id,
		tenant: r.Header.Get("X-Tenant"),
		at:     time.Now(),
	}
	w.mu.Lock()
	w.arrivals = append(w.arrivals, a)
	d := w.deadly
	w.mu.Unlock()
	w.rig.noteAt(a.at, "run %s at %s for %s", id, w.id, a.tenant)
	if d != nil && string(body) == deadlyBody {
		d.crash(w, id)
		return
	}
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		return
	}
	rw.Header().Set("X-Response-Signature", "sig-"+w.id+"-"+id)
	_, _ = io.WriteString(rw, "done by "+w.id)
}

func (w *worker) ran() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]arrival(nil), w.arrivals...)
}

// node is an instance that runs as a process of its own.
type node struct {
	name    string
	callers string
	ready   string
	// settings is the path of the settings file, and logFile gets what the process writes.
	settings string
	program  string
	logFile  *os.File
	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	// closed is set at the end of the case: the process is not started again.
	closed bool
	// inRotation is set while the platform sends new connections to the node.
	inRotation atomic.Bool
}

// freePorts returns free ports of an address.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		ports = append(ports, ln.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// nodeOptions are the parameters of a node.
type nodeOptions struct {
	name     string
	zone     string
	ip       string
	store    netip.AddrPort
	memoryMB int
}

// startNode starts a node.
func (r *rig) startNode(o nodeOptions) (*node, error) {
	ports, err := freePorts(o.ip, 4)
	if err != nil {
		return nil, err
	}
	n := &node{
		name:     o.name,
		callers:  fmt.Sprintf("%s:%d", o.ip, ports[0]),
		ready:    fmt.Sprintf("%s:%d", o.ip, ports[1]),
		settings: filepath.Join(r.dir, o.name+".yaml"),
		program:  r.program,
	}
	// The internal ports are a range, of which only the ends are used.
	first, last := min(ports[2], ports[3]), max(ports[2], ports[3])
	text := fmt.Sprintf(settingsFile, o.name, o.ip, o.zone, n.callers, n.ready, first, last, o.memoryMB, o.store)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	n.logFile, err = os.Create(filepath.Join(r.dir, o.name+".log"))
	if err != nil {
		return nil, err
	}
	if err := n.start(); err != nil {
		return nil, err
	}
	r.note("node %s started", n.name)
	ctx, cancel := context.WithCancel(context.Background())
	go r.askReady(ctx, n)
	r.atEnd(func() {
		cancel()
		n.mu.Lock()
		n.closed = true
		n.mu.Unlock()
		n.kill()
		_ = n.logFile.Close()
	})
	return n, nil
}

// start starts the process of a node with the command of the deploy file.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return fmt.Errorf("node %s is closed", n.name)
	}
	cmd := exec.Command(n.program, "node")
	cmd.Env = []string{"CURRANTSTILE_CONFIG=" + n.settings, "PATH=" + os.Getenv("PATH")}
	cmd.Stdout, cmd.Stderr = n.logFile, n.logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.cmd, n.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// kill ends the process of a node and waits for its end.
func (n *node) kill() {
	n.mu.Lock()
	cmd, exited := n.cmd, n.exited
	n.mu.Unlock()
	_ = cmd.Process.Kill()
	<-exited
}

// pid returns the ID of the process of a node.
func (n *node) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd.Process.Pid
}

// askReady asks a node once a second whether it is ready, as the platform does.
func (r *rig) askReady(ctx context.Context, n *node) {
	client := &http.Client{
		Timeout: time.Second,
	}
	misses := 0
	for ctx.Err() == nil {
		resp, err := client.Get("http://" + n.ready + "/readiness")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		switch {
		case ok:
			misses = 0
			if !n.inRotation.Swap(true) {
				r.note("node %s is in rotation", n.name)
			}
		default:
			if misses++; misses >= 2 && n.inRotation.Swap(false) {
				r.note("node %s is out of rotation", n.name)
			}
		}
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
	}
}

// awaitRotation waits until a node is in rotation.
func (n *node) awaitRotation(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if n.inRotation.Load() {
			return nil
		}
	}
	return fmt.Errorf("node %s is not ready after %s", n.name, limit)
}

// settingsFile is a settings file with the bounds of the users' deployments.
const settingsFile = `node_name: %q
role: "entry"
machine_class: "frontend"
serves:
  - "frontend"
ip_address: %q
zone: %q
region: "gulf-south"
zones:
  mobile-yard: "gulf-south"
  baton-rouge: "gulf-south"
  jackson-depot: "gulf-south"
  pensacola-dock: "gulf-south"
listen_addresses:
  frontend: %q
  ready: %q
internal_port_range:
  - %d
  - %d
bootstrap: true
limits:
  cpu_share: 0.4
  cpu_cores: 1
  memory_mb: %d
  file_descriptors: 4100
  link_mbps: 1000.0
  disk_mb: 0
heartbeat_interval_ms: 1200
fault_tolerance:
  machines: 1
  zones: 1
  regions: 0
bounds:
  stable_window_ms: 3000
  drain_timeout_ms: 2000
  grace_period_s: 8
  loss_slack_ms: 200
  configuration_apply_ms: 2000
  retry_budget_ratio: 0.2
  retry_window_s: 10
  retry_budget_slack: 52
  quota_window_s: 8
  quota_overshoot: 0.1
  quota_slack: 17000
  fencing_required: true
  lease_duration_ms: 3000
  thaw_slack_ms: 300
platform:
  address: %q
  form: "kv"
  writes_per_s: 400
  reads_per_s: 2000
  history_s: 20
  value_bytes: 1048576
  min_ttl_ms: 1000
`
