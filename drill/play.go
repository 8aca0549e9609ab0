package drill

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"

	"currantstile/clock"
	"currantstile/judge"
	"currantstile/memnet"
	"currantstile/node"
	"currantstile/platform/fake"
	"currantstile/socket"
)

const (
	// linkDelay is how long bytes take between two machines.
	linkDelay = 500 * time.Microsecond
	// readyTimeout is how long a fleet may take to start.
	readyTimeout = 20 * time.Second
	// readyInterval is how often readiness is looked at.
	readyInterval = 50 * time.Millisecond
	// grace is how long an instance may run after it was asked to stop.
	grace = 4 * time.Second
	// Ports of the machines.
	storePort   = 2379
	callerPort  = 8080
	readyPort   = 8081
	peerPort    = 8082
	targetPort  = 9000
	leaseTime   = 3 * time.Second
	retryRatio  = 0.2
	retrySlack  = 50
	retryWindow = 10 * time.Second
)

// callersAddr is the address of the callers' machine.
var callersAddr = netip.AddrFrom4([4]byte{10, 3, 0, 1})

// zones are the data centres over which machines are spread.
var zones = []string{"buchs", "chur"}

// NewInstance returns an instance with the given settings in a network. Its fields are set; Play
// starts and stops it.
type NewInstance func(s node.Settings, n socket.Network, logger log.Logger) *node.Node

// Fleet says how a day is played.
type Fleet struct {
	NewInstance NewInstance
	// Log returns where an instance's log goes; nil discards all.
	Log func(instance string) io.Writer
}

// Outcome is what happened on a day.
type Outcome struct {
	History judge.History
	// Ready is set if the fleet has started.
	Ready bool
}

// InstanceName returns the name of an instance by its number.
func InstanceName(n int) string {
	return fmt.Sprintf("entry-%d", n)
}

// machine is a machine for an instance, on which one process follows the other.
type machine struct {
	name    string
	zone    string
	number  int
	addr    netip.Addr
	callers netip.AddrPort

	mu   sync.Mutex
	host *memnet.Host
	node *node.Node
	// away is set while the process is kept away.
	away bool
}

// player plays one day.
type player struct {
	fleet     Fleet
	day       *Day
	net       *memnet.Net
	start     time.Time
	store     *fake.Store
	storeAddr netip.AddrPort
	instances []*machine
	places    []*place
	// organisations are those of the keys.
	organisations map[string]string
	// crashes are the requests that end targets.
	crashes map[string]bool
	replies map[string][]Reply
	ctx     context.Context
	faults  sync.WaitGroup

	mu       sync.Mutex
	events   []judge.Event
	arrivals map[string]int
	// closed counts for each data centre the faults that close it at present.
	closed  map[string]int
	runs    int
	version int
	keys    []string
	// idleLimit is the limit of idle connections in force; zero is the usual one.
	idleLimit time.Duration
	versions  map[string]uint64
	// storeFaults are the faults of the store in force.
	storeFaults map[int]storeFault
}

// Play plays a day. Within testing/synctest its time is that of the bubble.
func Play(f Fleet, d *Day) Outcome {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := &player{
		fleet: f,
		day:   d,
		net: &memnet.Net{
			Delay: linkDelay,
		},
		start:     time.Now(),
		storeAddr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), storePort),
		organisations: map[string]string{
			alwaysKey: "org1",
			"k2":      "org1",
			"k-small": "small",
		},
		crashes:     make(map[string]bool),
		replies:     make(map[string][]Reply),
		ctx:         ctx,
		arrivals:    make(map[string]int),
		closed:      make(map[string]int),
		version:     1,
		keys:        []string{alwaysKey, "k2"},
		versions:    make(map[string]uint64),
		storeFaults: make(map[int]storeFault),
	}
	for n := range maxAddedKeys {
		p.organisations[addedKey(n)] = "org1"
	}
	for _, r := range d.Replies {
		p.replies[r.Request] = append(p.replies[r.Request], r)
		for _, m := range r.Mutations {
			p.crashes[r.Request] = p.crashes[r.Request] || r.Run == 0 && m.Op == "crash"
		}
	}
	out := Outcome{
		Ready: p.startAll(ctx),
	}
	if out.Ready {
		p.start = time.Now()
		p.run(ctx)
	}
	p.stopAll()
	cancel()
	p.store.Close()
	out.History = judge.History{
		Bounds: Bounds(),
		Events: p.events,
		Length: d.Length,
	}
	return out
}

// Bounds returns the bounds of the rules for the deployment of a day.
func Bounds() judge.Bounds {
	return judge.Bounds{
		StableWindow:   stableWindow,
		DrainTimeout:   2 * time.Second,
		ApplyTimeout:   2 * time.Second,
		MaxStretch:     5 * time.Second,
		RollbackSlack:  250 * time.Millisecond,
		Evacuation:     5 * time.Second,
		LeaseTime:      leaseTime,
		RetryRatio:     retryRatio,
		RetryWindow:    retryWindow,
		RetrySlack:     retrySlack,
		QuotaWindow:    8 * time.Second,
		QuotaOvershoot: 0.1,
		QuotaSlack:     0,
		ColdRate:       8.2,
		Grace:          grace,
		Recovery:       12 * time.Second,
	}
}

// now returns the time of the day.
func (p *player) now() judge.Time {
	return judge.Time(time.Since(p.start))
}

func (p *player) record(e judge.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.events = append(p.events, e)
}

// countArrival counts the arrivals of a request at targets that take it, from 1.
func (p *player) countArrival(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals[id]++
	return p.arrivals[id]
}

// closings adds to the number of faults that close a data centre and returns the sum.
func (p *player) closings(zone string, n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed[zone] += n
	return p.closed[zone]
}

func (p *player) nextRun() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs++
	return p.runs
}

// replyFor returns how an arrival of a request is answered.
func (p *player) replyFor(id string, arrival int) Reply {
	for _, r := range p.replies[id] {
		if r.Run == 0 || r.Run == arrival {
			return r
		}
	}
	return Reply{}
}

// addrOf returns the IP address of one end of a connection.
func addrOf(addr net.Addr) netip.Addr {
	return addr.(*net.TCPAddr).AddrPort().Addr()
}

// instanceAt returns the name of the instance at an address.
func (p *player) instanceAt(addr net.Addr) string {
	ip := addrOf(addr)
	for _, m := range p.instances {
		if m.addr == ip {
			return m.name
		}
	}
	return ip.String()
}

// startAll starts the store, the targets and the instances, and waits until all are ready.
func (p *player) startAll(ctx context.Context) bool {
	ln, err := p.net.Host(p.storeAddr.Addr()).Listen(p.storeAddr)
	if err != nil {
		return false
	}
	p.store = fake.StartStore(ln)
	p.writeConfig(nil, nil)
	add := func(service string, count int, third byte) {
		for i := range count {
			pl := &place{
				service: service,
				zone:    zones[i%len(zones)],
				addr:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, third, byte(i + 1)}), targetPort),
				number:  i,
			}
			p.places = append(p.places, pl)
			p.startTarget(ctx, pl, "", false)
		}
	}
	add(modelService, p.day.Engines, 0)
	add(plainService, p.day.Services, 1)
	for i := range p.day.Instances {
		addr := netip.AddrFrom4([4]byte{10, 1, 0, byte(i + 1)})
		m := &machine{
			name:    InstanceName(i),
			zone:    zones[i%len(zones)],
			number:  i,
			addr:    addr,
			callers: netip.AddrPortFrom(addr, callerPort),
		}
		p.instances = append(p.instances, m)
		if !p.startFirst(ctx, m) {
			return false
		}
	}
	until := time.Now().Add(readyTimeout)
	for !p.allReady() {
		if !time.Now().Before(until) || !clock.Sleep(ctx, readyInterval) {
			return false
		}
	}
	return true
}

func (p *player) allReady() bool {
	managed := 0
	for _, m := range p.firstInstances() {
		if m.node == nil {
			return false
		}
		if _, ok := m.node.Ready(time.Now()); !ok {
			return false
		}
		managed += m.node.ReadyTargetCount()
	}
	return managed >= p.day.Engines
}

// startInstance starts a process on a machine.
func (p *player) startInstance(ctx context.Context, m *machine) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.away || ctx.Err() != nil {
		return false
	}
	m.host = p.net.Host(m.addr)
	w := io.Discard
	if p.fleet.Log != nil {
		w = p.fleet.Log(m.name)
	}
	s := node.Settings{
		Name:            m.name,
		Zone:            m.zone,
		Callers:         m.callers,
		Readiness:       netip.AddrPortFrom(m.addr, readyPort),
		Peers:           netip.AddrPortFrom(m.addr, peerPort),
		Store:           p.storeAddr,
		FencingEnforced: true,
		LeaseTime:       leaseTime,
		RetryRatio:      retryRatio,
		RetryWindow:     retryWindow,
		RetrySlack:      retrySlack,
		Grace:           grace,
	}
	s.SetDefaults()
	n := p.fleet.NewInstance(s, m.host, log.Logger{
		Level: log.InfoLevel,
		Writer: &log.IOWriter{
			Writer: w,
		},
	})
	if err := n.Start(ctx); err != nil {
		return false
	}
	m.node = n
	return true
}

// stopInstance ends a process: in order, or as a kill does. It returns when the process is gone, and
// reports false if another call does that already or there is none. A kill ends one that is being
// stopped.
func (m *machine) stopInstance(kill bool) bool {
	m.mu.Lock()
	n, host := m.node, m.host
	m.node = nil
	m.mu.Unlock()
	if kill && host != nil {
		host.Kill()
	}
	if n == nil {
		return false
	}
	if kill {
		// What is left of the process can't reach anything.
		go n.Stop()
		return true
	}
	n.Stop()
	host.Kill()
	return true
}

// run plays the requests and faults.
func (p *player) run(ctx context.Context) {
	var callers sync.WaitGroup
	kept := make(map[int][]Request)
	host := p.net.Host(callersAddr)
	for _, r := range p.day.Requests {
		if r.Conn != 0 {
			kept[r.Conn] = append(kept[r.Conn], r)
			continue
		}
		callers.Go(func() {
			c := &caller{
				p:    p,
				host: host,
			}
			c.run(ctx, []Request{r})
		})
	}
	for _, list := range kept {
		callers.Go(func() {
			c := &caller{
				p:    p,
				host: host,
			}
			c.run(ctx, list)
		})
	}
	rng := rand.New(rand.NewPCG(p.day.Seed, 1))
	for _, f := range p.day.Faults {
		kind, ok := faultNamed(f.Kind)
		if !ok {
			continue
		}
		seed := rng.Uint64()
		p.faults.Go(func() {
			if clock.Sleep(ctx, time.Until(p.start.Add(f.At))) {
				kind.play(p, f, rand.New(rand.NewPCG(seed, 2)))
			}
		})
	}
	callers.Wait()
	p.faults.Wait()
	if left := time.Until(p.start.Add(p.day.Length)); left > 0 {
		clock.Sleep(ctx, left)
	}
}

// stopAll ends all processes.
func (p *player) stopAll() {
	var wg sync.WaitGroup
	for _, m := range p.instances {
		m.mu.Lock()
		m.away = true
		m.mu.Unlock()
		wg.Go(func() {
			m.stopInstance(false)
		})
	}
	wg.Wait()
	for _, pl := range p.places {
		pl.mu.Lock()
		x := pl.run
		pl.mu.Unlock()
		if x != nil {
			x.end()
			x.host.Kill()
		}
	}
}

// writeConfig writes the next configuration, with keys added and withdrawn. A key that is there
// already, or not there, is left as it is.
func (p *player) writeConfig(added, withdrawn []string) {
	p.mu.Lock()
	added = slices.DeleteFunc(added, func(k string) bool { return slices.Contains(p.keys, k) })
	withdrawn = slices.DeleteFunc(withdrawn, func(k string) bool { return !slices.Contains(p.keys, k) })
	p.keys = append(slices.DeleteFunc(p.keys, func(k string) bool { return slices.Contains(withdrawn, k) }), added...)
	p.version++
	quoted := make([]string, 0, len(p.keys))
	for _, k := range p.keys {
		quoted = append(quoted, strconv.Quote(k))
	}
	version := p.version
	p.store.Write(fake.ConfigKey, fake.Config(fake.ConfigOptions{
		Version: version,
		Keys:    strings.Join(quoted, ","),
		Rate:    p.day.Rate,

		IdleTimeout: p.idleLimit,
	}))
	p.mu.Unlock()
	p.record(judge.Configured{
		Time:      p.now(),
		Version:   version,
		Added:     added,
		Withdrawn: withdrawn,
		Rates: map[string]judge.Rate{
			"org1": {
				PerSecond: p.day.Rate,
				Burst:     p.day.Rate,
			},
		},
	})
}

// crash ends a target's process because of a request and starts another one later.
func (p *player) crash(x *process, by string, portAfter time.Duration) {
	x.stop(by, portAfter)
	p.replace(x, "", portAfter+crashAway)
}

// replace starts another process in the place of one that ended, after a time. The entry of the one
// that ended goes unless the new one has its ID.
func (p *player) replace(x *process, id string, after time.Duration) {
	// A request can end a process while the day waits for its faults, so this one does not count among them.
	go func() {
		if id == "" {
			time.AfterFunc(unregisterDelay, func() {
				p.store.Write(fake.WorkerPrefix+x.id, nil)
			})
		}
		if clock.Sleep(p.ctx, after) {
			p.startTarget(p.ctx, x.place, id, false)
		}
	}()
}
