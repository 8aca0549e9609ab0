// Package node assembles an instance that runs on a platform: it keeps nothing on
// its machine, learns its configuration, its targets and its fellow instances
// from the platform's store, and shares the management of targets and the limits
// of organisations with the others.
//
// # Usage
//
//	n := &node.Node{Settings: settings, KV: kv, Sources: sources, Codec: codec, Orders: orders, Conns: conns, Log: logger}
//	if err := n.Start(ctx); err != nil {
//		return err
//	}
//	<-ctx.Done()
//	n.Stop()
package node

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"currantstile/clock"
	"currantstile/config"
	"currantstile/driver"
	"currantstile/elect"
	"currantstile/errs"
	"currantstile/fleet"
	"currantstile/origin"
	"currantstile/peer"
	"currantstile/proxy"
	"currantstile/sched"
	"currantstile/store"
	"currantstile/watch"
	"currantstile/wire"
)

const (
	// memoryLimitRatio is how much of the process's memory Go's collector plans with;
	// the rest is for buffers of the system.
	memoryLimitRatio = 0.7
	// drainDelay is how long an instance goes on taking connections after it has
	// said that it is not ready: the balancer asks once a second and needs two
	// refusals.
	drainDelay = 2300 * time.Millisecond
	// shutdownMargin is left of the grace period when running requests are cut off.
	shutdownMargin = 700 * time.Millisecond
	// removalGrace is how long a target's entry that vanished with the store may take
	// to come back before the target counts as gone.
	removalGrace = 2500 * time.Millisecond
	// outageWindow is how long after an outage of the store a vanished entry may
	// be due to it.
	outageWindow        = 3 * time.Second
	maintenanceInterval = 250 * time.Millisecond
	// storeLogInterval is how often the totals of the store's calls are logged.
	storeLogInterval = 10 * time.Second
	// operatorReaders watch what the operator writes, which is seldom.
	operatorReaders = 2
	// targetsBatchDelay gathers what targets write, which they do about once a second
	// each; a leaving target is to get nothing after two seconds.
	targetsBatchDelay = 300 * time.Millisecond
)

// Node is one instance. Its exported fields are set before Start.
type Node struct {
	Settings Settings
	KV       store.KV
	Sources  Sources
	Codec    proxy.Codec
	Orders   driver.Orders
	Conns    *origin.Pool
	Log      log.Logger

	started          time.Time
	config           atomic.Pointer[config.Config]
	registry         *fleet.Registry
	health           watch.Health
	session          *elect.Session
	manager          *driver.Manager
	pool             *peer.Pool
	peers            *peer.Server
	limiter          *limiter
	router           *proxy.Router
	gate             *proxy.Gate
	hub              *watch.Hub
	instanceFollower *watch.Follower
	metrics          *metrics
	servers          []*http.Server
	draining         atomic.Bool
	cancel           context.CancelFunc
	wg               sync.WaitGroup

	removalMu sync.Mutex
	// pendingRemovals holds the targets whose entries vanished around an outage of the
	// store, with when they count as gone.
	pendingRemovals map[string]time.Time
}

// Start brings up all parts. It returns once the listeners are open.
func (n *Node) Start(ctx context.Context) error {
	if err := n.Settings.Validate(); err != nil {
		return errs.WithOp(err, "Node.Start")
	}
	n.started = time.Now()
	debug.SetMemoryLimit(int64(memoryLimitRatio * float64(n.Settings.MemoryBytes)))
	n.pendingRemovals = make(map[string]time.Time)
	n.registry = fleet.NewRegistry()
	n.pool = &peer.Pool{}
	n.metrics = newMetrics()
	n.KV = &store.Instrumented{
		KV:      n.KV,
		Observe: n.metrics.recordStoreCall,
	}
	n.buildManager()
	n.buildFollowers()
	n.limiter = newLimiter(n)
	n.buildGate()
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	n.cancel = cancel
	if err := n.listen(); err != nil {
		cancel()
		return errs.WithOp(err, "Node.Start")
	}
	n.run(run)
	n.Log.Info().Str("instance", n.Settings.Name).Str("data-centre", n.Settings.Zone).Str("callers", n.Settings.Callers.String()).
		Str("peers", n.Settings.Peers.String()).Str("store", n.Settings.Store.String()).Msg("node: started")
	return nil
}

// buildManager makes what manages targets and limits organisations.
func (n *Node) buildManager() {
	s := n.Settings
	n.session = &elect.Session{
		Self: fleet.Instance{
			Name:    s.Name,
			Zone:    s.Zone,
			Peers:   s.Peers,
			Started: n.started.UnixMilli(),
		},
		KV:              n.KV,
		Book:            n.registry,
		Targets:         n.managedTargets,
		Health:          &n.health,
		LeaseTime:       s.LeaseTime,
		FencingEnforced: s.FencingEnforced,
		Log:             n.Log,
	}
	n.manager = &driver.Manager{
		Session:   n.session,
		Registry:  n.registry,
		Orders:    n.Orders,
		ModelFor:  n.modelFor,
		LimitsFor: n.targetLimits,
		Holder:    s.Name,
		Log:       n.Log,
	}
}

// buildGate makes the callers' interface and what it sends with.
func (n *Node) buildGate() {
	s := n.Settings
	n.router = &proxy.Router{
		Self:    s.Name,
		Zone:    s.Zone,
		Book:    n.registry,
		Manager: n.manager,
		Peers:   n.pool,
		Budget: &sched.RetryBudget{
			Ratio:     s.RetryRatio,
			Window:    s.RetryWindow,
			Slack:     s.RetrySlack,
			StartedAt: n.started,
		},
		Log: n.Log,
	}
	n.gate = &proxy.Gate{
		Addr:           s.Callers,
		Codec:          n.Codec,
		Config:         n.config.Load,
		Limiter:        n.limiter,
		Router:         n.router,
		Conns:          n.Conns,
		ObserveRequest: n.metrics.recordRequest,
		Log:            n.Log,
	}
	n.peers = &peer.Server{
		Addr: s.Peers,
		Services: map[string]any{
			wire.ServiceSched: &driver.Service{
				Manager: n.manager,
			},
			wire.ServicePeer: n.limiter.service(),
			wire.ServiceFeed: &FeedService{
				hub: n.hub,
			},
		},
	}
}

// buildFollowers follows the keys of the platform and those of the project.
func (n *Node) buildFollowers() {
	operators, targets := n.Sources.Prefixes()
	n.instanceFollower = n.follower(elect.Prefix, n.applyInstances)
	seen := n.follower(targets, n.applyTargets)
	seen.Same = n.Sources.SameTarget
	seen.WatchDelay = targetsBatchDelay
	written := n.follower(operators, n.applyOperator)
	written.Readers = operatorReaders
	n.hub = &watch.Hub{
		Self:      n.Settings.Name,
		Followers: []*watch.Follower{written, seen, n.instanceFollower},
		Peers:     n.feedPeers,
		Send: func(ctx context.Context, to watch.Peer, m watch.Message) error {
			return n.pool.Call(ctx, to.Addr, wire.MethodPush, m, &wire.Empty{})
		},
		Health: &n.health,
		Log:    n.Log,
	}
}

func (n *Node) follower(prefix string, apply func(time.Time, []watch.Change)) *watch.Follower {
	return &watch.Follower{
		KV:     n.KV,
		Prefix: prefix,
		Apply:  apply,
		Health: &n.health,
		Log:    n.Log,
	}
}

// feedPeers lists all instances.
func (n *Node) feedPeers() []watch.Peer {
	instances := n.registry.View().Instances()
	peers := make([]watch.Peer, 0, len(instances))
	for _, i := range instances {
		peers = append(peers, watch.Peer{
			Name: i.Name,
			Addr: i.Peers,
		})
	}
	return peers
}

// FeedService gives net/rpc the method signatures that it wants.
type FeedService struct {
	hub *watch.Hub
}

// Push answers wire.MethodPush.
func (s *FeedService) Push(m watch.Message, _ *wire.Empty) error {
	s.hub.Receive(time.Now(), m)
	return nil
}

func (n *Node) listen() error {
	if err := n.peers.Start(); err != nil {
		return err
	}
	ready := http.NewServeMux()
	ready.HandleFunc("/", n.handleReady)
	if err := n.serve(n.Settings.Readiness, ready); err != nil {
		return err
	}
	if n.Settings.Metrics.IsValid() {
		mux := http.NewServeMux()
		mux.HandleFunc("/metrics", n.metrics.serveMetrics)
		if err := n.serve(n.Settings.Metrics, mux); err != nil {
			return err
		}
	}
	return n.gate.Start()
}

// readHeaderTimeout bounds one request of the platform itself.
const readHeaderTimeout = 5 * time.Second

func (n *Node) serve(addr netip.AddrPort, h http.Handler) error {
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return errs.WithPeer(err, "Node.serve", addr)
	}
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
	}
	n.servers = append(n.servers, s)
	// Serve returns when the server is closed; until then nothing ends it.
	go func() {
		_ = s.Serve(ln)
	}()
	return nil
}

// run starts the loops that go on until Stop.
func (n *Node) run(ctx context.Context) {
	loops := []func(context.Context){
		n.session.Run,
		n.manager.Run,
		n.router.Run,
		n.gate.Run,
		n.limiter.run,
		n.maintain,
		n.hub.Run,
	}
	for _, loop := range loops {
		n.wg.Go(func() {
			loop(ctx)
		})
	}
}

// maintain drops targets that did not come back.
func (n *Node) maintain(ctx context.Context) {
	told := time.Now()
	for clock.Sleep(ctx, maintenanceInterval) {
		now := time.Now()
		n.removeExpired(now)
		n.limiter.logShareChange(now)
		n.metrics.updateGauges(n)
		if now.Sub(told) >= storeLogInterval {
			told = now
			n.metrics.logStoreCalls(&n.Log)
		}
	}
}

// ReadyTargetCount is how many targets this instance manages and knows the state of.
func (n *Node) ReadyTargetCount() int {
	return n.manager.ReadyCount()
}

// Ready reports whether new requests should come, and why not.
func (n *Node) Ready(now time.Time) (string, bool) {
	cfg := n.config.Load()
	switch {
	case n.draining.Load():
		return "draining", false
	case cfg == nil:
		return "no configuration", false
	case n.registry.View().TargetCount() == 0:
		return "no targets", false
	case !n.limiter.ready(now, cfg):
		return "no part of the limits", false
	default:
		return "", true
	}
}

func (n *Node) handleReady(w http.ResponseWriter, _ *http.Request) {
	if reason, ok := n.Ready(time.Now()); !ok {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Stop drains the instance and ends it: it stops being ready, goes on until the
// balancer has noticed, and lets running requests end within the grace period.
func (n *Node) Stop() {
	begun := time.Now()
	n.draining.Store(true)
	n.gate.Drain()
	n.Log.Info().Int64("running", n.gate.Running()).Msg("node: draining")
	time.Sleep(min(drainDelay, n.Settings.Grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(n.Settings.Grace-shutdownMargin))
	defer cancel()
	if err := n.gate.Stop(ctx); err != nil {
		n.Log.Warn().Err(err).Msg("node: running requests were cut off")
	}
	n.cancel()
	n.pool.Close()
	// What closing the rest brings up, nobody is left to act on.
	_ = n.peers.Stop()
	for _, s := range n.servers {
		_ = s.Close()
	}
	n.Log.Info().Dur("took", time.Since(begun)).Msg("node: stopped")
}
