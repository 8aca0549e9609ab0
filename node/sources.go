package node

import (
	"time"

	"currantstile/config"
	"currantstile/fleet"
	"currantstile/sched"
	"currantstile/watch"
)

// OperatorChange is something that the operator has written. It is one of
// NewConfig, ZoneClosed and AdapterVersion.
type OperatorChange interface {
	operatorChange()
}

// NewConfig is a new configuration.
type NewConfig struct {
	Config *config.Config
}

// ZoneDisabled tells whether a data centre is to get nothing.
type ZoneDisabled struct {
	Zone     string
	Disabled bool
}

// AdapterVersion is the newest version of an adapter, named MODEL/NAME.
type AdapterVersion struct {
	Adapter string
	Version uint64
}

func (NewConfig) operatorChange()      {}
func (ZoneDisabled) operatorChange()   {}
func (AdapterVersion) operatorChange() {}

// Sources decode what the platform's store holds.
type Sources interface {
	// Prefixes are where operators and targets write.
	Prefixes() (operators, targets string)
	// DecodeOperatorChange decodes a change by the operator.
	DecodeOperatorChange(now time.Time, c watch.Change) (OperatorChange, error)
	// SameTarget reports whether a target's new entry says nothing new.
	SameTarget(before, after []byte) bool
	// DecodeTarget decodes a target's entry. For a deleted one, and beside an error, only
	// the ID is set.
	DecodeTarget(now time.Time, c watch.Change) (fleet.Target, error)
}

// applyOperator takes in what the operator has written.
func (n *Node) applyOperator(now time.Time, changes []watch.Change) {
	for _, c := range changes {
		change, err := n.Sources.DecodeOperatorChange(now, c)
		if err != nil {
			n.Log.Warn().Err(err).Str("key", c.Entry.Key).Msg("node: entry of the operator is passed over")
			continue
		}
		switch change := change.(type) {
		case NewConfig:
			n.applyConfig(change.Config)
		case ZoneDisabled:
			n.Log.Info().Str("data-centre", change.Zone).Bool("closed", change.Disabled).Msg("node: data centre changed")
			n.registry.SetZoneDisabled(change.Zone, change.Disabled)
		case AdapterVersion:
			n.Log.Info().Str("adapter", change.Adapter).Uint64("version", change.Version).Msg("node: adapter has a new version")
			n.registry.SetVersion(change.Adapter, change.Version)
		}
	}
	n.registry.Publish()
}

// applyConfig puts a configuration in force unless a newer one is.
func (n *Node) applyConfig(cfg *config.Config) {
	for {
		old := n.config.Load()
		if old != nil && old.Version >= cfg.Version {
			return
		}
		if n.config.CompareAndSwap(old, cfg) {
			n.Log.Info().Uint64("configuration", cfg.Version).Int("routes", len(cfg.Routes)).
				Int("organisations", len(cfg.Organisations)).Msg("node: configuration in force")
			return
		}
	}
}

// applyInstances takes in what the instances have written.
func (n *Node) applyInstances(now time.Time, changes []watch.Change) {
	n.session.Apply(now, changes)
	for _, c := range changes {
		if c.Entry.Key == membershipKey {
			n.limiter.allocator.Apply(now, c.Entry)
		}
	}
}

// applyTargets takes in what targets have written of themselves.
func (n *Node) applyTargets(now time.Time, changes []watch.Change) {
	for _, c := range changes {
		t, err := n.Sources.DecodeTarget(now, c)
		if err != nil {
			n.Log.Warn().Err(err).Str("key", c.Entry.Key).Msg("node: entry of a target is passed over")
			// An entry that cannot be read names no target to use.
			n.registry.RemoveTarget(t.ID)
			continue
		}
		if c.Entry.Deleted {
			n.handleDeletedTarget(now, t.ID)
			continue
		}
		n.removalMu.Lock()
		delete(n.pendingRemovals, t.ID)
		n.removalMu.Unlock()
		if old, ok := n.registry.View().Target(t.ID); !ok || old.Draining != t.Draining || old.Started != t.Started {
			n.Log.Info().Str("target", t.ID).Str("service", t.Service).Bool("draining", t.Draining).
				Time("cold-until", t.ColdUntil).Msg("node: target changed")
		}
		n.registry.SetTarget(t)
	}
	n.registry.Publish()
}

// handleDeletedTarget takes in that a target's entry is gone. Around an outage of the store
// the entry may have lapsed though the target lives.
func (n *Node) handleDeletedTarget(now time.Time, id string) {
	if now.Sub(n.hub.LastOutage()) < outageWindow {
		n.Log.Info().Str("target", id).Msg("node: target's entry lapsed around an outage of the store; waiting for it")
		n.removalMu.Lock()
		n.pendingRemovals[id] = now.Add(removalGrace)
		n.removalMu.Unlock()
		return
	}
	n.Log.Info().Str("target", id).Msg("node: target is gone")
	n.registry.RemoveTarget(id)
}

// removeExpired drops the targets whose entries did not come back.
func (n *Node) removeExpired(now time.Time) {
	n.removalMu.Lock()
	defer n.removalMu.Unlock()
	for id, at := range n.pendingRemovals {
		if now.Before(at) {
			continue
		}
		delete(n.pendingRemovals, id)
		n.Log.Info().Str("target", id).Msg("node: target did not come back")
		n.registry.RemoveTarget(id)
	}
	n.registry.Publish()
}

// managedTargets lists the targets that need a manager.
func (n *Node) managedTargets() []string {
	cfg := n.config.Load()
	if cfg == nil {
		return nil
	}
	view := n.registry.View()
	var ids []string
	for _, s := range cfg.Services {
		if s.Engine == nil {
			continue
		}
		for _, t := range view.Service(s.Name) {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

// targetLimits is what the targets of a service bear.
func (n *Node) targetLimits(service string) (sched.Limits, bool) {
	cfg := n.config.Load()
	if cfg == nil {
		return sched.Limits{}, false
	}
	s, ok := cfg.Service(service)
	if !ok || s.Engine == nil {
		return sched.Limits{}, false
	}
	return sched.Limits{
		Slots:        s.Engine.Slots,
		MemoryTokens: int64(s.Engine.MemoryTokens),
		AdapterSlots: s.Engine.AdapterSlots,
		ColdRate:     s.ColdRate,
		EventSteps:   s.Engine.EventTokens,
		MaxGap:       s.MaxGap(),
	}, true
}

// modelFor is the base model that a target which holds none should load: the one
// that the fewest targets hold. The loads of all instances together stay below the
// weight store's rate.
func (n *Node) modelFor(t fleet.Target) (string, time.Duration) {
	cfg := n.config.Load()
	if cfg == nil {
		return "", 0
	}
	s, ok := cfg.Service(t.Service)
	if !ok || s.Engine == nil {
		return "", 0
	}
	view := n.registry.View()
	best, fewest := "", 0
	for _, m := range s.Engine.Models {
		holders := 0
		for _, other := range view.Service(t.Service) {
			if other.HoldsModel(m.Name) {
				holders++
			}
		}
		if best == "" || holders < fewest {
			best, fewest = m.Name, holders
		}
	}
	if s.Engine.LoadsPerSecond <= 0 {
		return best, 0
	}
	instances := float64(max(len(view.Instances()), 1))
	return best, time.Duration(instances / s.Engine.LoadsPerSecond * float64(time.Second))
}
