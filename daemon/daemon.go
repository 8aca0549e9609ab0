// Package daemon assembles one instance from its components: the servers for
// callers, operators and peers, the configuration follower, the member list, the
// quota ledger and share allocator, and the manager of targets.
//
// # Usage
//
//	in := &daemon.Instance{Settings: settings, Log: logger}
//	if err := in.Start(ctx); err != nil {
//		return err
//	}
//	<-ctx.Done()
//	err := in.Stop(context.Background())
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/qmuntal/stateless"

	"currantstile/accept"
	"currantstile/admin"
	"currantstile/broker"
	"currantstile/cache"
	"currantstile/clock"
	"currantstile/commit"
	"currantstile/dedup"
	"currantstile/engine"
	"currantstile/errs"
	"currantstile/loader"
	"currantstile/member"
	"currantstile/memory"
	"currantstile/metric"
	"currantstile/model"
	"currantstile/peer"
	"currantstile/public"
	"currantstile/quota"
	"currantstile/remote"
	"currantstile/rest"
	"currantstile/send"
	"currantstile/store"
)

const (
	dialTimeout         = 2 * time.Second
	maxIdleConnsPerHost = 256
	// shareUpdateInterval is how often the split and local modes recompute the share.
	shareUpdateInterval = 500 * time.Millisecond
	// memoryCheckInterval is the interval between checks of the memory in use.
	memoryCheckInterval = time.Second
	// stopTimeout bounds the shutdown of the server for operators.
	stopTimeout = 10 * time.Second
	// noExpiry is a validity longer than any process runs, for shares that do not
	// expire.
	noExpiry = 100 * 365 * 24 * time.Hour
	// releaseShareTimeout bounds how long a shutdown tries to release the share.
	releaseShareTimeout = 5 * time.Second
)

// Instance is one instance of currantstile. Its exported fields must be set before
// Start.
type Instance struct {
	Settings Settings
	Log      log.Logger

	phaseMachine  *stateless.StateMachine
	started       time.Time
	holder        cache.Holder
	follower      *commit.Follower
	members       *member.Watcher
	ledger        *quota.Ledger
	allocator     *broker.TableAllocator
	broker        *broker.Broker
	stats         *metric.Set
	loadLimiterMu sync.Mutex
	loadLimiter   *cache.LoadLimiter
	manager       *loader.Manager
	sender        *send.Sender
	pool          *peer.Pool
	publicServer  *public.Server
	adminServer   *admin.Server
	peerServer    *peer.Server
	cancel        context.CancelFunc
	wg            sync.WaitGroup
}

// Start fills in default settings, validates them, starts all components, and returns
// once the instance accepts requests. The instance starts even if the store is
// unreachable.
func (in *Instance) Start(ctx context.Context) error {
	in.Settings.SetDefaults()
	if err := in.Settings.Validate(); err != nil {
		return errs.WithOp(err, "Instance.Start")
	}
	in.phaseMachine = newPhaseMachine()
	in.started = time.Now()
	in.holder = newHolder(in.Settings.ID)
	in.build()
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	in.cancel = cancel
	if err := in.listen(); err != nil {
		cancel()
		return errs.WithOp(err, "Instance.Start")
	}
	in.run(run)
	if err := in.phaseMachine.Fire(eventStarted); err != nil {
		return errs.WithOp(err, "Instance.Start")
	}
	in.Log.Info().Msgf("entry: instance %s accepts requests at %s", in.Settings, in.publicServer.BoundAddr())
	return nil
}

// newHolder returns a holder name that is unique to this process, so that a restarted
// instance is distinct from its predecessor.
func newHolder(id model.InstanceID) cache.Holder {
	var nonce [8]byte
	// crypto/rand.Read never returns an error; it crashes the process instead.
	_, _ = rand.Read(nonce[:])
	return cache.Holder(string(id) + "/" + hex.EncodeToString(nonce[:]))
}

// build creates all components without starting them.
func (in *Instance) build() {
	kv := &remote.Store{
		Addr: in.Settings.StoreAddr,
		HTTP: rest.NewClient(dialTimeout, maxIdleConnsPerHost),
	}
	targets := &engine.Client{
		HTTP: rest.NewClient(dialTimeout, maxIdleConnsPerHost),
	}
	in.pool = &peer.Pool{
		Secret: in.Settings.FleetSecret,
	}
	in.stats = metric.NewSet()
	in.follower = &commit.Follower{
		KV:    kv,
		Peers: in,
		Log:   in.Log,
	}
	in.members = &member.Watcher{
		Source: &remote.Members{
			Addr: in.Settings.MembersAddr,
			HTTP: rest.NewClient(dialTimeout, maxIdleConnsPerHost),
		},
		Log: in.Log,
	}
	in.buildQuota(kv)
	in.buildTargets(targets)
	in.buildInterfaces(kv)
}

// buildQuota creates the components that enforce the contracts' limits.
func (in *Instance) buildQuota(kv store.KV) {
	in.ledger = quota.NewLedger()
	in.allocator = &broker.TableAllocator{
		KV:           kv,
		Ledger:       in.ledger,
		Members:      in.members.View,
		TableVersion: in.tableVersion,
		Log:          in.Log,
	}
	in.broker = &broker.Broker{
		Self:    quota.Peer(in.holder),
		Ledger:  in.ledger,
		Peers:   in.pool,
		Lenders: in.allocator,
		Limits:  in.limitsOf,
		Log:     in.Log,
	}
}

// buildTargets creates the components that manage targets and send requests to them.
func (in *Instance) buildTargets(targets *engine.Client) {
	in.loadLimiter = cache.NewLoadLimiter()
	in.manager = &loader.Manager{
		Engines:        targets,
		ManagedTargets: in.managedEngines,
		AcquirePermit:  in.acquireLoadPermit,
		ReleasePermit:  in.releaseLoadPermit,
		Instances: func() model.Members {
			return in.members.View().Entries
		},
		FetchPins: in.fetchPins,
		Log:       in.Log,
	}
	in.sender = &send.Sender{
		Self:    in.Settings.ID,
		Zone:    in.Settings.Zone,
		Holder:  in.holder,
		View:    in.follower.View,
		Members: in.members.View,
		Peers:   in.pool,
		Engines: targets,
		Manager: in.manager,
		Log:     in.Log,
	}
}

// buildInterfaces creates the servers for callers, operators and peers.
func (in *Instance) buildInterfaces(kv store.KV) {
	s := in.Settings
	budget := memory.NewBudget(s.MemoryBytes)
	in.publicServer = &public.Server{
		Addr:   s.CallersAddr,
		Self:   s.ID,
		View:   in.follower.View,
		Quota:  in.ledger,
		Sender: in.sender,
		Claims: &dedup.Claims{
			KV:  kv,
			Log: in.Log,
		},
		Stats:           in.stats,
		Log:             in.Log,
		Stale:           in.isStale,
		Ready:           in.CanAdmit,
		Budget:          budget,
		MaxBodyBytes:    s.MaxBodyBytes,
		WriteTimeout:    s.WriteTimeout,
		ShutdownTimeout: s.ShutdownTimeout,
	}
	if s.Quota == QuotaLend {
		in.publicServer.Borrow = in.broker.ExecutePlan
	}
	in.adminServer = &admin.Server{
		Addr: s.OperatorsAddr,
		Acceptor: &commit.Acceptor{
			KV: kv,
		},
		View:     in.follower.View,
		Members:  in.members.View,
		Peers:    in.pool,
		Self:     in.Status,
		Adapters: in.manager.Summaries,
		Stats:    in.stats,
		Token:    s.OperatorToken,
		Budget:   budget,
		Log:      in.Log,
		Listeners: func() []*accept.Listener {
			return []*accept.Listener{in.publicServer.Bounded(), in.adminServer.Bounded(), in.peerServer.Bounded()}
		},
	}
	in.peerServer = &peer.Server{
		MaxConns: accept.MaxConns(accept.PeerShare),
		Messages: budget.Messages,
		Addr:     s.PeersAddr,
		Handler:  in,
		Secret:   s.FleetSecret,
		Log:      in.Log,
	}
}

// listen starts the servers. The peer server is first, because the share contains the
// address that it is bound to, unless another is advertised.
func (in *Instance) listen() error {
	if err := in.peerServer.Start(); err != nil {
		return err
	}
	advertised := in.Settings.PeersAdvertised
	if !advertised.IsValid() {
		advertised = in.peerServer.BoundAddr()
	}
	in.allocator.Self = broker.NewShare(string(in.holder), in.Settings.ID, advertised)
	if err := in.adminServer.Start(); err != nil {
		return err
	}
	return in.publicServer.Start()
}

// run starts the background loops, which run until ctx is cancelled.
func (in *Instance) run(ctx context.Context) {
	loops := []func(context.Context){
		in.follower.Run,
		in.members.Run,
		in.manager.Run,
		in.sender.Run,
		in.publicServer.Claims.Run,
		in.publicServer.Run,
		in.adminServer.Run,
		in.peerServer.Run,
		in.returnMemory,
	}
	if in.Settings.Quota == QuotaLend {
		loops = append(loops, in.allocator.Run, in.broker.Run)
	} else {
		loops = append(loops, in.runFixedShare)
	}
	for _, loop := range loops {
		in.wg.Go(func() {
			loop(ctx)
		})
	}
}

// returnMemory returns memory that a burst has left to the system, until ctx ends.
func (in *Instance) returnMemory(ctx context.Context) {
	r := memory.Returner{
		MemoryBytes: in.Settings.MemoryBytes,
	}
	for clock.Sleep(ctx, memoryCheckInterval) {
		r.Step(time.Now())
	}
}

// runFixedShare sets this instance's share of the contracts in the split and local
// modes, and updates it when the number of instances changes.
func (in *Instance) runFixedShare(ctx context.Context) {
	t := time.NewTicker(shareUpdateInterval)
	defer t.Stop()
	last := int64(-1)
	for {
		if share := in.fixedShare(); share != last {
			now := time.Now()
			in.ledger.SetBaseShare(now, share, now.Add(noExpiry))
			last = share
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// fixedShare returns the share in the split and local modes, in millionths.
func (in *Instance) fixedShare() int64 {
	if in.Settings.Quota == QuotaLocal {
		return quota.TotalWeight
	}
	return quota.TotalWeight / int64(max(len(in.members.View().Entries), 1))
}

// managedEngines returns the engines that this instance manages.
func (in *Instance) managedEngines() model.Members {
	members := in.members.View()
	view := in.follower.View()
	var list model.Members
	for _, m := range members.Engines {
		manager, ok := send.ManagerOf(model.TargetID(m.ID), members, view)
		if ok && manager.ID == string(in.Settings.ID) {
			list = append(list, m)
		}
	}
	return list
}

// PublicServer returns the server for callers.
func (in *Instance) PublicServer() *public.Server {
	return in.publicServer
}

// AdminServer returns the server for operators.
func (in *Instance) AdminServer() *admin.Server {
	return in.adminServer
}

// PeerServer returns the server for other instances.
func (in *Instance) PeerServer() *peer.Server {
	return in.peerServer
}

// Stop drains the instance and stops it: new requests are refused, and running ones
// may finish within the shutdown timeout. Meanwhile the instance releases its share
// of the contracts.
func (in *Instance) Stop(ctx context.Context) error {
	if err := in.phaseMachine.Fire(eventDrain); err != nil {
		return errs.WithOp(err, "Instance.Stop")
	}
	in.Log.Info().Msgf("entry: instance %s is draining, with %d running requests", in.Settings, in.publicServer.Running())
	in.publicServer.Drain()
	released := in.releaseShare()
	err := in.publicServer.Stop(ctx)
	<-released
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if e := in.adminServer.Stop(stopping); err == nil {
		err = e
	}
	in.cancel()
	in.wg.Wait()
	if e := in.peerServer.Stop(); err == nil {
		err = e
	}
	in.pool.Close()
	if e := in.phaseMachine.Fire(eventStopped); err == nil {
		err = e
	}
	return errs.WithOp(err, "Instance.Stop")
}

// Kill stops the instance as a crash would: running requests are cut off, and neither
// shares nor pins are released.
func (in *Instance) Kill() {
	in.cancel()
	in.pool.Close()
	// The error is ignored, because a crash would not report it either.
	_ = in.peerServer.Stop()
	in.publicServer.Kill()
	in.adminServer.Kill()
	in.wg.Wait()
}

// releaseShare releases this instance's share of the contracts in the background. The
// returned channel is closed when that has succeeded or timed out.
func (in *Instance) releaseShare() <-chan struct{} {
	released := make(chan struct{})
	go func() {
		defer close(released)
		if in.Settings.Quota != QuotaLend {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), releaseShareTimeout)
		defer cancel()
		if !in.allocator.Leave(ctx) {
			in.Log.Warn().Msg("entry: share of the contracts not released in time; other instances reclaim it later")
		}
	}()
	return released
}

// limitsOf returns an organisation's limits in the current configuration. It returns
// false if the organisation has no contract.
func (in *Instance) limitsOf(org model.OrgID) (quota.Limits, bool) {
	x, ok := in.follower.View().Contract(org)
	if !ok {
		return quota.Limits{}, false
	}
	return quota.Limits{
		Rate:  x.Contract.Rate,
		Burst: x.Contract.Burst,
	}, true
}

// Ready reports whether the instance has a configuration, lists the given number of
// instances, and has a report from every target that it manages.
func (in *Instance) Ready(instances int) bool {
	return in.follower.View().Revision() > 0 &&
		len(in.members.View().Entries) == instances &&
		in.manager.Ready()
}

// isStale reports whether the instance has been isolated from the store and all other
// instances for longer than the isolation limit.
func (in *Instance) isStale() bool {
	return in.follower.IsolatedFor(time.Now()) > in.Settings.IsolationLimit
}

// CanAdmit reports whether the instance has a usable share of the contracts, or is one
// of those that get none and only borrow.
func (in *Instance) CanAdmit() bool {
	return in.Settings.Quota != QuotaLend || in.allocator.CanAdmit(time.Now())
}

// Share returns the share of every contract that the instance may use now without
// borrowing, in millionths.
func (in *Instance) Share() int64 {
	if in.Settings.Quota == QuotaLend {
		return in.allocator.UsableShare(time.Now())
	}
	return in.fixedShare()
}

// ManagedCount returns the number of targets that the instance manages.
func (in *Instance) ManagedCount() int {
	return in.manager.TargetCount()
}
