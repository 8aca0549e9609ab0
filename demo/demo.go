// Package demo runs a complete fleet in one process, over TCP on loopback:
// simulated platform services, simulated targets, and the instances.
//
// # Usage
//
//	f := &demo.Fleet{Profile: profile, Seed: 1}
//	if err := f.Start(ctx); err != nil {
//		return err
//	}
//	defer f.Stop(context.Background())
//	fmt.Println(f.CallerAddrs())
package demo

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/phuslu/log"

	"currantstile/commit"
	"currantstile/daemon"
	"currantstile/errs"
	"currantstile/model"
	"currantstile/remote"
	"currantstile/rest"
	"currantstile/route"
	"currantstile/sims"
)

const (
	dialTimeout         = 2 * time.Second
	maxIdleConnsPerHost = 64
	readyTimeout        = 20 * time.Second
	readyPollInterval   = 20 * time.Millisecond
)

// loopbackAddr binds to a free loopback port.
var loopbackAddr = netip.MustParseAddrPort("127.0.0.1:0")

// Fleet is a complete fleet. The fields from Profile to Log are set by the caller
// before Start; Start sets the other exported fields.
type Fleet struct {
	Profile Profile
	Seed    uint64
	Quota   daemon.QuotaMode
	// OperatorToken and FleetSecret are passed to every instance.
	OperatorToken string
	FleetSecret   string
	// IsolationLimit is passed to every instance; zero selects the daemon's default.
	IsolationLimit time.Duration
	// WriteTimeout is passed to every instance; zero selects the daemon's default.
	WriteTimeout time.Duration
	// Cold starts the engines without loaded adapters.
	Cold bool
	Log  log.Logger

	Store     *sims.StoreServer
	Weights   *sims.WeightsServer
	Members   *sims.MembersServer
	Engines   []*sims.EngineServer
	Services  []*sims.ServiceServer
	Instances []*daemon.Instance
	// Keys holds the text of one key per organisation.
	Keys map[model.OrgID]string

	mu sync.Mutex
	// stopped marks the instances, by index, that were killed or that are being
	// restarted and do not pass their health check yet.
	stopped map[int]bool
	links   []*link
}

// Start starts the platform services, the targets and the instances, and returns
// once every instance is ready; see awaitReady. After an error, the servers and
// instances that have started keep running until Stop.
func (f *Fleet) Start(ctx context.Context) error {
	f.Keys = make(map[model.OrgID]string)
	f.stopped = make(map[int]bool)
	steps := []func(context.Context) error{
		f.startPlatform,
		f.startTargets,
		f.writeConfiguration,
		f.startInstances,
		f.awaitReady,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return errs.WithOp(err, "Fleet.Start")
		}
	}
	return nil
}

func (f *Fleet) startPlatform(context.Context) error {
	f.Store = &sims.StoreServer{
		Addr: loopbackAddr,
		Seed: f.Seed,
	}
	f.Weights = &sims.WeightsServer{
		Addr: loopbackAddr,
		Seed: f.Seed,
	}
	f.Members = &sims.MembersServer{
		Addr: loopbackAddr,
		Seed: f.Seed,
	}
	if err := f.Store.Start(); err != nil {
		return err
	}
	if err := f.Weights.Start(); err != nil {
		return err
	}
	return f.Members.Start()
}

func (f *Fleet) startTargets(context.Context) error {
	client := rest.NewClient(dialTimeout, maxIdleConnsPerHost)
	warm := f.warmAdapters()
	for i := range f.Profile.Engines {
		e := &sims.EngineServer{
			Addr:      loopbackAddr,
			Name:      engineName(i),
			Preloaded: warm[i],
			Seed:      f.Seed + uint64(i),
			Settings:  f.Profile.Engine,
			Weights:   f.Weights.BoundAddr(),
			HTTP:      client,
		}
		if err := e.Start(); err != nil {
			return err
		}
		f.Engines = append(f.Engines, e)
	}
	for i := range f.Profile.Services {
		s := &sims.ServiceServer{
			Addr: loopbackAddr,
			Name: fmt.Sprintf("%s-%d", f.Profile.ServiceName, i),
			Seed: f.Seed + uint64(i),
		}
		if err := s.Start(); err != nil {
			return err
		}
		f.Services = append(f.Services, s)
	}
	return nil
}

func engineName(i int) string {
	return fmt.Sprintf("engine-%02d", i)
}

// warmAdapters returns the adapters that each engine has loaded at the start. The
// most popular adapters of all organisations are placed on the engine that routing
// tries first, as they are after a long run.
func (f *Fleet) warmAdapters() []model.Adapters {
	warm := make([]model.Adapters, f.Profile.Engines)
	if f.Cold {
		return warm
	}
	var engines model.Members
	index := make(map[string]int)
	for i := range f.Profile.Engines {
		index[engineName(i)] = i
		engines = append(engines, model.Member{
			ID: engineName(i),
		})
	}
	perOrg := f.Profile.Engines * f.Profile.Engine.Slots / len(f.Profile.Orgs)
	for n := range perOrg {
		for _, o := range f.Profile.Orgs {
			a := Adapter(o, n)
			first, ok := route.First(a.String(), engines)
			i := index[first.ID]
			if ok && n < o.Adapters && len(warm[i]) < f.Profile.Engine.Slots {
				warm[i] = append(warm[i], a)
			}
		}
	}
	return warm
}

// writeConfiguration commits the profile's contracts, each with one key, as a
// single change.
func (f *Fleet) writeConfiguration(ctx context.Context) error {
	a := &commit.Acceptor{
		KV: &remote.Store{
			Addr: f.Store.BoundAddr(),
			HTTP: rest.NewClient(dialTimeout, maxIdleConnsPerHost),
		},
	}
	now := time.Now()
	change := commit.Change{
		ID: fmt.Sprintf("demo-%d", now.UnixNano()),
		By: "demo",
	}
	for _, o := range f.Profile.Orgs {
		text, key := model.IssueKey(now, o.ID)
		f.Keys[o.ID] = text
		c := f.Profile.Contract(o)
		c.Keys = model.Keys{key}
		change.Edits = append(change.Edits, commit.PutContract{
			Contract: c,
		})
	}
	_, err := a.Accept(ctx, now, change)
	return err
}

func (f *Fleet) startInstances(ctx context.Context) error {
	for i := range f.Profile.Instances {
		in, l, err := f.newInstance(ctx, i)
		if err != nil {
			return err
		}
		f.links = append(f.links, l)
		f.Instances = append(f.Instances, in)
	}
	f.Members.Replace(time.Time{}, f.MemberList())
	return nil
}

// newInstance starts the i-th instance. The instance advertises the address of its
// own link as its peer address, so that it can be partitioned from its peers.
func (f *Fleet) newInstance(ctx context.Context, i int) (*daemon.Instance, *link, error) {
	l, err := newLink()
	if err != nil {
		return nil, nil, err
	}
	in := &daemon.Instance{
		Settings: f.instanceSettings(i),
		Log:      f.Log,
	}
	in.Settings.PeersAdvertised = l.addr()
	if err := in.Start(ctx); err != nil {
		return nil, nil, err
	}
	l.serve(in.PeerServer().BoundAddr())
	return in, l, nil
}

func (f *Fleet) instanceSettings(i int) daemon.Settings {
	return daemon.Settings{
		ID:              model.InstanceID(fmt.Sprintf("entry-%d", i)),
		Zone:            f.zone(i),
		CallersAddr:     loopbackAddr,
		OperatorsAddr:   loopbackAddr,
		PeersAddr:       loopbackAddr,
		StoreAddr:       f.Store.BoundAddr(),
		MembersAddr:     f.Members.BoundAddr(),
		Quota:           f.Quota,
		IsolationLimit:  f.IsolationLimit,
		WriteTimeout:    f.WriteTimeout,
		OperatorToken:   f.OperatorToken,
		FleetSecret:     f.FleetSecret,
		ShutdownTimeout: 10 * time.Second,
	}
}

func (f *Fleet) zone(i int) model.ZoneID {
	return f.Profile.Zones[i%len(f.Profile.Zones)]
}

// MemberList returns the running instances and all targets. The simulated member
// service serves an older list while its fault Lag is set.
func (f *Fleet) MemberList() model.Members {
	var list model.Members
	for i := range f.Instances {
		if f.isStopped(i) {
			continue
		}
		in := f.instance(i)
		list = append(list, model.Member{
			ID:           string(in.Settings.ID),
			Role:         model.RoleEntry,
			Zone:         f.zone(i),
			Addr:         f.links[i].addr(),
			OperatorAddr: in.AdminServer().BoundAddr(),
			State:        model.StateLive,
		})
	}
	for i, e := range f.Engines {
		list = append(list, model.Member{
			ID:    e.Name,
			Role:  model.RoleEngine,
			Zone:  f.zone(i),
			Addr:  e.BoundAddr(),
			State: model.StateLive,
		})
	}
	for i, s := range f.Services {
		list = append(list, model.Member{
			ID:      s.Name,
			Role:    model.RoleService,
			Service: f.Profile.ServiceName,
			Zone:    f.zone(i),
			Addr:    s.BoundAddr(),
			State:   model.StateLive,
		})
	}
	return list
}

// awaitReady waits until every instance has the configuration, lists all instances,
// has a report from each target that it manages and can admit requests, and until as
// many targets are managed as there are engines.
func (f *Fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !f.ready() {
		select {
		case <-time.After(readyPollInterval):
		case <-ctx.Done():
			return errs.WithOp(ctx.Err(), "Fleet.awaitReady")
		}
	}
	return nil
}

func (f *Fleet) ready() bool {
	managed := 0
	for _, in := range f.Instances {
		if !in.Ready(len(f.Instances)) || !in.CanAdmit() {
			return false
		}
		managed += in.ManagedCount()
	}
	return managed == len(f.Engines)
}

// Stop shuts down the instances gracefully and at the same time, then the links,
// the targets and the platform services. It returns the first error.
func (f *Fleet) Stop(ctx context.Context) error {
	var first error
	keepFirst := func(err error) {
		if first == nil {
			first = err
		}
	}
	var wg sync.WaitGroup
	stopErrs := make([]error, len(f.Instances))
	for i, in := range f.Instances {
		if !f.isStopped(i) {
			wg.Go(func() {
				stopErrs[i] = in.Stop(ctx)
			})
		}
	}
	wg.Wait()
	for _, err := range stopErrs {
		keepFirst(err)
	}
	for _, l := range f.links {
		l.stop()
	}
	f.stopTargets(ctx, keepFirst)
	if f.Members != nil {
		keepFirst(f.Members.Stop(ctx))
	}
	if f.Weights != nil {
		keepFirst(f.Weights.Stop(ctx))
	}
	if f.Store != nil {
		keepFirst(f.Store.Stop(ctx))
	}
	return errs.WithOp(first, "Fleet.Stop")
}

func (f *Fleet) stopTargets(ctx context.Context, keepFirst func(error)) {
	for _, e := range f.Engines {
		keepFirst(e.Stop(ctx))
	}
	for _, s := range f.Services {
		keepFirst(s.Stop(ctx))
	}
}
