package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"currantstile/clock"
	"currantstile/config"
	"currantstile/errs"
	"currantstile/store"
	"currantstile/watch"
	"currantstile/wire"
)

const (
	// compareInterval is the interval at which other instances are asked for their configuration, for
	// comparePeriod after a start or a change of the store's era, and compareChoices how many at once.
	// startCompareInterval replaces compareInterval until the first comparison, for which callers wait.
	compareInterval      = 500 * time.Millisecond
	startCompareInterval = 150 * time.Millisecond
	comparePeriod        = 6 * time.Second
	compareChoices       = 3
	// compareTimeout limits one question.
	compareTimeout = 400 * time.Millisecond
	// aloneTime is how long an instance waits for others before it takes the store's configuration for the
	// newest one: they register within two seconds after the store's return.
	aloneTime = 3 * time.Second
	// maxCompareTime is the longest such wait while others are registered and none replies.
	maxCompareTime = 10 * time.Second
	// lostOperatorTime is how long a key that the store has lost is kept: the operator writes it again.
	lostOperatorTime = 6 * time.Second
)

// versions keeps the newest configuration that was seen. After its return from an older copy the store may
// hold an earlier one, which an instance that starts then must not take for the newest: in an era above 0 it
// puts none in force before it has compared it with those of others.
type versions struct {
	node *Node

	mu sync.Mutex
	// config is the newest configuration, and entry its key and value.
	config *config.Config
	entry  store.Entry
	// compared is set once configurations are put in force as they come.
	compared bool
	// asking is set while another instance is asked for an announced configuration.
	asking bool
	// era is the last known era, since a time.
	era   store.Era
	since time.Time
	// old is set once the store is known to have been in its era for markDelay.
	old atomic.Bool
	// lost are the operator's keys that the store has lost, and until when they are kept.
	lost map[string]lostKey
}

// lostKey is a change that applies unless its key is written again.
type lostKey struct {
	change watch.Change
	until  time.Time
}

func newVersions(n *Node) *versions {
	return &versions{
		node:  n,
		since: time.Now(),
		lost:  make(map[string]lostKey),
	}
}

// offer takes a configuration and puts the newest one in force, unless it has to be compared first.
func (v *versions) offer(cfg *config.Config, e store.Entry) {
	v.mu.Lock()
	if v.config == nil || cfg.Version > v.config.Version {
		v.config, v.entry = cfg, e
	}
	if v.node.storeEra() == 0 {
		v.compared = true
	}
	newest, compared := v.config, v.compared
	v.mu.Unlock()
	if compared {
		v.node.applyConfig(newest)
	}
}

// newest returns the version of the newest configuration that may be announced; 0 if there is none.
func (v *versions) newest() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.config == nil || !v.compared {
		return 0
	}
	return v.config.Version
}

// answer answers the question of another instance.
func (v *versions) answer(args wire.NewestArgs) wire.NewestReply {
	v.mu.Lock()
	defer v.mu.Unlock()
	reply := wire.NewestReply{
		Compared: v.compared,
	}
	if v.config == nil {
		return reply
	}
	reply.Version = v.config.Version
	if reply.Version > args.Have {
		reply.Key, reply.Value = v.entry.Key, v.entry.Value
	}
	return reply
}

// fetchAnnounced asks for a configuration that a store reader announces, if it is newer.
func (v *versions) fetchAnnounced(version uint64, sources []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.asking || v.config != nil && v.config.Version >= version {
		return
	}
	v.asking = true
	go errs.Contain(&v.node.Log, "versions.fetchAnnounced", func() {
		defer func() {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.asking = false
		}()
		for _, p := range v.node.feedPeers() {
			if slices.Contains(sources, p.Name) {
				v.ask(context.Background(), p)
			}
		}
	})
}

// ask asks an instance for a newer configuration, and takes it. It reports whether the instance replied, and
// whether that has compared its own.
func (v *versions) ask(ctx context.Context, p watch.Peer) (replied, compared bool) {
	ctx, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	v.mu.Lock()
	args := wire.NewestArgs{}
	if v.config != nil {
		args.Have = v.config.Version
	}
	v.mu.Unlock()
	var reply wire.NewestReply
	if err := v.node.pool.Call(ctx, p.Addr, wire.MethodNewest, args, &reply); err != nil {
		v.node.Log.Debug().Err(err).Str("instance", p.Name).Msg("node: no reply about the newest configuration")
		return false, false
	}
	if len(reply.Value) == 0 {
		return true, reply.Compared
	}
	e := store.Entry{
		Key:   reply.Key,
		Value: reply.Value,
	}
	change, err := v.node.Sources.DecodeOperatorChange(time.Now(), watch.Change{
		Entry: e,
	})
	cfg, ok := change.(NewConfig)
	if err != nil || !ok {
		v.node.Log.Warn().Err(err).Str("instance", p.Name).Msg("node: invalid configuration from another instance; ignoring it")
		return false, false
	}
	v.node.Log.Info().Uint64("configuration", cfg.Config.Version).Uint64("before", args.Have).Str("instance", p.Name).
		Msg("node: newer configuration from another instance")
	v.offer(cfg.Config, e)
	return true, reply.Compared
}

// run compares configurations after a start and after each change of the store's era, until ctx ends.
func (v *versions) run(ctx context.Context) {
	for clock.Sleep(ctx, v.interval()) {
		errs.Contain(&v.node.Log, "versions.run", func() {
			v.step(ctx, time.Now())
		})
	}
}

// interval returns the time until the next step.
func (v *versions) interval() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.compared {
		return compareInterval
	}
	return startCompareInterval
}

// step compares configurations if that is due.
func (v *versions) step(ctx context.Context, now time.Time) {
	v.applyLost(now)
	era := v.node.storeEra()
	v.mu.Lock()
	if era > v.era {
		v.era, v.since = era, now
	}
	markDue := era > 0 && v.compared && now.Sub(v.since) >= markDelay
	due := era > 0 && (!v.compared || now.Sub(v.since) < comparePeriod)
	v.mu.Unlock()
	v.mark(ctx, era, markDue)
	if !due {
		return
	}
	var others []watch.Peer
	for _, p := range v.node.feedPeers() {
		if p.Name != v.node.Settings.Name {
			others = append(others, p)
		}
	}
	rand.Shuffle(len(others), func(i, j int) {
		others[i], others[j] = others[j], others[i]
	})
	asked := others[:min(len(others), compareChoices)]
	var mu sync.Mutex
	var wg sync.WaitGroup
	round := comparison{
		asked: len(asked),
		old:   v.old.Load(),
	}
	for _, p := range asked {
		wg.Go(func() {
			errs.Contain(&v.node.Log, "versions.ask", func() {
				replied, compared := v.ask(ctx, p)
				mu.Lock()
				defer mu.Unlock()
				if replied {
					round.replied++
				}
				round.compared = round.compared || compared
			})
		})
	}
	wg.Wait()
	v.release(now, round)
}

// comparison is the result of asking some instances.
type comparison struct {
	asked    int
	replied  int
	compared bool
	// old is set if the era is marked as old.
	old bool
}

// mayRelease reports whether the newest configuration that an instance has seen may be put in force: one
// that has compared its own has replied, or none can be expected to.
func (c comparison) mayRelease(waited time.Duration) bool {
	return c.compared || c.old || waited >= aloneTime && c.replied == c.asked || waited >= maxCompareTime
}

// release puts the newest configuration in force if enough instances were asked.
func (v *versions) release(now time.Time, round comparison) {
	v.mu.Lock()
	if v.compared || v.config == nil || !round.mayRelease(now.Sub(v.node.started)) {
		v.mu.Unlock()
		return
	}
	v.compared = true
	newest := v.config
	v.mu.Unlock()
	v.node.Log.Info().Uint64("configuration", newest.Version).Int("asked", round.asked).Int("replied", round.replied).
		Msg("node: configuration compared with those of other instances")
	v.node.applyConfig(newest)
}

// keepLost keeps what the operator has written and the store has lost, until it is written again. It
// reports whether nothing else is to be done with the change.
func (v *versions) keepLost(now time.Time, c watch.Change) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !c.Entry.Rewound {
		delete(v.lost, c.Entry.Key)
		return false
	}
	v.node.Log.Info().Str("key", c.Entry.Key).Msg("node: operator key lost by the store; waiting for its return")
	v.lost[c.Entry.Key] = lostKey{
		change: c,
		until:  now.Add(lostOperatorTime),
	}
	return true
}

// applyLost applies the deletions of the keys that have not been written again.
func (v *versions) applyLost(now time.Time) {
	v.mu.Lock()
	var due []watch.Change
	for key, l := range v.lost {
		if now.After(l.until) {
			delete(v.lost, key)
			l.change.Entry.Rewound = false
			due = append(due, l.change)
		}
	}
	v.mu.Unlock()
	if len(due) > 0 {
		v.node.applyOperator(now, due)
	}
}
