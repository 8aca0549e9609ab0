// Package node assembles an instance that runs on a platform. The instance keeps
// no local state: it reads its configuration, its targets and the other instances
// from the platform's store. All instances share the management of targets and
// the limits of organisations.
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
	"maps"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"currantstile/accept"
	"currantstile/avail"
	"currantstile/clock"
	"currantstile/config"
	"currantstile/driver"
	"currantstile/duty"
	"currantstile/elect"
	"currantstile/errs"
	"currantstile/fleet"
	"currantstile/memory"
	"currantstile/origin"
	"currantstile/peer"
	"currantstile/proxy"
	"currantstile/sched"
	"currantstile/socket"
	"currantstile/store"
	"currantstile/watch"
	"currantstile/wire"
)

const (
	// memoryLimitRatio is the ratio of the Go memory limit to the memory of the
	// process; the rest is left to buffers of the operating system.
	memoryLimitRatio = 0.7
	// drainDelay is how long an instance still accepts connections after it has
	// reported that it is not ready. The load balancer checks readiness once a
	// second and removes an instance after two failed checks.
	drainDelay = 2300 * time.Millisecond
	// shutdownMargin is the part of the grace period that remains when running
	// requests are ended.
	shutdownMargin = 700 * time.Millisecond
	// maintenanceInterval is the interval of the steps of maintain.
	maintenanceInterval = 250 * time.Millisecond
	// storeLogInterval is how often the total numbers of store calls are logged.
	storeLogInterval = 10 * time.Second
	// maxRegistrationWait is how long the listing of the other instances waits for this
	// one's registration.
	maxRegistrationWait = 2 * time.Second
	// operatorReaders is the number of instances that watch the operator's keys,
	// which change seldom.
	operatorReaders = 2
	// targetsBatchDelay batches the changes of targets, each of which writes about
	// once a second. A draining target must get no requests after two seconds.
	targetsBatchDelay = 300 * time.Millisecond
)

// Node is one instance. Its exported fields must be set before Start.
type Node struct {
	Settings Settings
	KV       store.KV
	Sources  Sources
	Codec    proxy.Codec
	Orders   driver.Orders
	Conns    *origin.Pool
	// DutyClient makes the calls of singleton duties; nil if the platform has none.
	DutyClient duty.Client
	// Budget bounds what is held for requests and answers; nil is one by Settings. KV has its own part of it.
	Budget *memory.Budget
	// Network is the network in which the instance listens and calls others; nil is the
	// operating system's. KV and Conns have their own.
	Network socket.Network
	Log     log.Logger

	started  time.Time
	config   atomic.Pointer[config.Config]
	registry *fleet.Registry
	avail    *avail.Book
	health   watch.Health
	session  *elect.Session
	manager  *driver.Manager
	pool     *peer.Pool
	peers    *peer.Server
	limiter  *limiter
	screen   *screen
	notices  *notices
	versions *versions
	// duties is nil if there are none.
	duties           *duties
	router           *proxy.Router
	slots            *driver.Slots
	gate             *proxy.Gate
	hub              *watch.Hub
	instanceFollower *watch.Follower
	metrics          *metrics
	servers          []*http.Server
	listeners        []*accept.Listener
	draining         atomic.Bool
	cancel           context.CancelFunc
	wg               sync.WaitGroup

	removalMu sync.Mutex
	// pendingRemovals maps the IDs of targets whose entries were deleted around a
	// store outage to the times at which they are removed.
	pendingRemovals map[string]time.Time
}

// Start starts the instance and returns once its listeners are open. It fails if
// the settings are invalid or a listener cannot be opened.
func (n *Node) Start(ctx context.Context) error {
	if err := n.Settings.Validate(); err != nil {
		return errs.WithOp(err, "Node.Start")
	}
	n.started = time.Now()
	debug.SetMemoryLimit(int64(memoryLimitRatio * float64(n.Settings.MemoryBytes)))
	n.pendingRemovals = make(map[string]time.Time)
	n.registry = fleet.NewRegistry()
	n.avail = &avail.Book{
		Self:     n.Settings.Name,
		ColdRate: n.coldRate,
	}
	n.metrics = newMetrics()
	n.Conns.Log = n.Log
	n.pool = &peer.Pool{
		Log:     n.Log,
		Observe: n.observePeerTransfer,
		Network: n.Network,
		GaveUp:  n.recordGivenUp,
	}
	n.KV = &store.Instrumented{
		KV:      n.KV,
		Observe: n.metrics.recordStoreCall,
	}
	if n.Budget == nil {
		n.Budget = memory.NewBudget(n.Settings.MemoryBytes)
	}
	n.Conns.Answers = n.Budget.Answers
	n.versions = newVersions(n)
	n.buildManager()
	n.buildFollowers()
	n.limiter = newLimiter(n)
	n.screen = newScreen(n)
	n.notices = newNotices(n)
	n.duties = newDuties(n)
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

// buildManager creates the session with the store and the manager of targets.
func (n *Node) buildManager() {
	s := n.Settings
	n.session = &elect.Session{
		Self: fleet.Instance{
			Name:     s.Name,
			Zone:     s.Zone,
			Peers:    s.Peers,
			Started:  n.started.UnixMilli(),
			Cores:    s.Cores,
			LinkMbit: s.LinkMbit,
		},
		KV:              n.KV,
		Registry:        n.registry,
		Targets:         n.managedTargets,
		Health:          &n.health,
		LeaseTime:       s.LeaseTime,
		FencingEnforced: s.FencingEnforced,
		Era:             n.storeEra,
		Log:             n.Log,
	}
	n.manager = &driver.Manager{
		Session:   n.session,
		Registry:  n.registry,
		Orders:    n.Orders,
		ModelFor:  n.modelFor,
		LoadToken: n.takeLoadToken,
		LimitsFor: n.targetLimits,
		Holder:    s.Name,
		Avail:     n.avail,
		Log:       n.Log,
	}
}

// buildGate creates the gate for callers, the router behind it and the server
// for calls of other instances.
func (n *Node) buildGate() {
	s := n.Settings
	n.slots = &driver.Slots{
		Self:     s.Name,
		Registry: n.registry,
		Avail:    n.avail,
		Log:      n.Log,
	}
	n.router = &proxy.Router{
		Self:     s.Name,
		Zone:     s.Zone,
		Registry: n.registry,
		Manager:  n.manager,
		Peers:    n.pool,
		Budget: &sched.RetryBudget{
			Ratio:     s.RetryRatio,
			Window:    s.RetryWindow,
			Slack:     s.RetrySlack,
			StartedAt: n.started,
		},
		Sharers: n.limiter.allocator.Members,
		Avail:   n.avail,
		Slots:   n.slots,

		BytePrice: s.BytePrice,

		Share: n.notices.share,
		Log:   n.Log,
	}
	n.gate = &proxy.Gate{
		Addr:           s.Callers,
		Codec:          n.Codec,
		Config:         n.config.Load,
		UpToDate:       n.hub.UpToDate,
		Limiter:        n.limiter,
		Screen:         n.screen,
		Router:         n.router,
		Conns:          n.Conns,
		Budget:         n.Budget,
		Limits:         callerLimits(),
		ObserveRequest: n.metrics.recordRequest,
		Network:        n.Network,
		Log:            n.Log,
	}
	services := map[string]any{
		wire.ServiceSched: &driver.Service{
			Manager: n.manager,
		},
		wire.ServiceSlots: &driver.SlotService{
			Slots: n.slots,
		},
		wire.ServicePeer: n.limiter.service(),
		wire.ServiceFeed: &FeedService{
			hub:      n.hub,
			versions: n.versions,
		},
		wire.ServicePoison: &PoisonService{
			ledger: n.screen.ledger,
			copies: &n.screen.copies,
		},
	}
	if n.duties != nil {
		if n.Settings.Duties.Usage {
			n.gate.ObserveRun = n.duties.observeRun
		}
		services[wire.ServiceDuty] = &DutyService{
			duties: n.duties,
		}
	}
	n.peers = &peer.Server{
		Addr:     s.Peers,
		Network:  n.Network,
		MaxConns: accept.MaxConns(accept.PeerShare),
		Messages: n.Budget.Messages,
		Log:      n.Log,
		Services: services,
	}
}

// buildFollowers creates the followers of the keys that operators, targets and
// instances write, and the hub that distributes their changes.
func (n *Node) buildFollowers() {
	operators, targets := n.Sources.Prefixes()
	n.instanceFollower = n.follower(elect.Prefix, n.applyInstances)
	targetFollower := n.follower(targets, n.applyTargets)
	targetFollower.Same = n.Sources.SameTarget
	targetFollower.WatchDelay = targetsBatchDelay
	operatorFollower := n.follower(operators, n.applyOperator)
	operatorFollower.Readers = operatorReaders
	// An instance that lists the others after its own registration sees all that have
	// registered before it, so that few instances of a starting fleet take themselves for
	// the store reader.
	n.instanceFollower.Deferred = func() bool {
		return !n.session.Registered() && time.Since(n.started) < maxRegistrationWait
	}
	n.health.SetStarting(true)
	n.hub = &watch.Hub{
		Self:      n.Settings.Name,
		Zone:      n.Settings.Zone,
		Followers: []*watch.Follower{operatorFollower, targetFollower, n.instanceFollower},
		Peers:     n.feedPeers,
		Recorded:  n.recordedPeers,
		Joined: func() bool {
			return n.session.Registered() && n.instanceFollower.ListedOnce() || time.Since(n.started) >= maxRegistrationWait
		},
		Send: func(ctx context.Context, to watch.Peer, m watch.Message) error {
			return n.pool.Call(ctx, to.Addr, wire.MethodPush, m, &wire.Empty{})
		},
		Fetch: func(ctx context.Context, from watch.Peer, args watch.FetchArgs) (watch.FetchReply, error) {
			var reply watch.FetchReply
			err := n.pool.Call(ctx, from.Addr, wire.MethodChanges, args, &reply)
			return reply, err
		},
		Announce:  n.versions.newest,
		Announced: n.versions.fetchAnnounced,
		Health:    &n.health,
		Log:       n.Log,
	}
}

// storeEra returns the highest known era of the store.
func (n *Node) storeEra() store.Era {
	era, _ := n.hub.Era()
	return era
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

// feedPeers returns the names and addresses of all instances.
func (n *Node) feedPeers() []watch.Peer {
	instances := n.registry.View().Instances()
	peers := make([]watch.Peer, 0, len(instances))
	for _, i := range instances {
		peers = append(peers, watch.Peer{
			Name:     i.Name,
			Zone:     i.Zone,
			Addr:     i.Peers,
			LinkMbit: i.LinkMbit,
		})
	}
	return peers
}

// recordedPeers returns the instances of the membership record, which outlasts their entries and this process.
func (n *Node) recordedPeers() []watch.Peer {
	var peers []watch.Peer
	for name, addr := range n.limiter.allocator.RecordedAddrs() {
		peers = append(peers, watch.Peer{
			Name: name,
			Addr: addr,
		})
	}
	return peers
}

// observePeerTransfer counts the traffic of a call to another instance. Instances that are
// not known count as being in another data centre.
func (n *Node) observePeerTransfer(t peer.Transfer) {
	n.metrics.recordPeerTransfer(t, n.registry.View().ZoneOf(t.Addr) == n.Settings.Zone)
}

// recordGivenUp logs and counts a silent connection to another instance that was replaced.
func (n *Node) recordGivenUp(g peer.GivenUp) {
	n.metrics.counters.Add("peer_connections_replaced_total", 1)
	n.Log.Warn().Str("peer", g.Addr.String()).Dur("silent", g.Silent).Int("waiting", g.Waiting).Msg("node: connection to another instance is silent; calls go on over a new one")
}

// run starts the background loops, which run until Stop.
func (n *Node) run(ctx context.Context) {
	loops := map[string]func(context.Context){
		"Session.Run":      n.session.Run,
		"Manager.Run":      n.manager.Run,
		"Router.Run":       n.router.Run,
		"Gate.Run":         n.gate.Run,
		"limiter.run":      n.limiter.run,
		"screen.run":       n.screen.run,
		"screen.runWrites": n.screen.runWrites,
		"Node.maintain":    n.maintain,
		"versions.run":     n.versions.run,
		"Hub.Run":          n.hub.Run,
		"Server.Run":       n.peers.Run,
	}
	for _, l := range n.listeners {
		loops["Listener.Run "+l.Name] = l.Run
	}
	if n.duties != nil {
		maps.Copy(loops, n.duties.loops())
	}
	for name, loop := range loops {
		n.wg.Go(func() {
			// The steps of a loop contain their panics themselves; a loop that ends all the same starts again.
			for ctx.Err() == nil {
				errs.Contain(&n.Log, name, func() {
					loop(ctx)
				})
				clock.Sleep(ctx, maintenanceInterval)
			}
		})
	}
}

// maintain periodically removes expired targets, updates the gauges and logs
// share changes and store call totals.
func (n *Node) maintain(ctx context.Context) {
	lastLog := time.Now()
	unused := memory.Returner{
		MemoryBytes: n.Settings.MemoryBytes,
	}
	for clock.Sleep(ctx, maintenanceInterval) {
		errs.Contain(&n.Log, "Node.maintain", func() {
			now := time.Now()
			n.removeExpired(now)
			n.limiter.logShareChange(now)
			n.metrics.updateGauges(n)
			if n.Network == nil {
				// Instances in a network of tests share their process with others.
				unused.Step(now)
			}
			if now.Sub(lastLog) >= storeLogInterval {
				lastLog = now
				n.metrics.logStoreCalls(&n.Log)
				n.metrics.logPeerCalls(&n.Log)
			}
		})
	}
}

// ReadyTargetCount returns the number of targets that this instance manages and
// whose state it knows.
func (n *Node) ReadyTargetCount() int {
	return n.manager.ReadyCount()
}

// Ready reports whether the instance should get new requests, and the reason if
// not.
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

// Stop drains and stops the instance. It reports not ready, keeps serving until
// the load balancer has noticed, and lets running requests finish within the
// grace period.
func (n *Node) Stop() {
	start := time.Now()
	until := start.Add(n.Settings.Grace - shutdownMargin)
	n.draining.Store(true)
	n.gate.Drain(until)
	if n.duties != nil {
		go errs.Contain(&n.Log, "duties.leave", n.duties.leave)
	}
	n.Log.Info().Int64("running", n.gate.Running()).Msg("node: draining; waiting for running requests")
	time.Sleep(min(drainDelay, n.Settings.Grace/2))
	if err := n.gate.Stop(until); err != nil {
		n.Log.Warn().Err(err).Msg("node: grace period is over; running requests were cut off")
	}
	n.limiter.release()
	if n.duties != nil {
		n.duties.handOver()
	}
	n.cancel()
	n.pool.Close()
	// Errors on close have no consequence: the instance is stopping.
	_ = n.peers.Stop()
	for _, s := range n.servers {
		_ = s.Close()
	}
	n.Log.Info().Dur("took", time.Since(start)).Msg("node: stopped")
}
