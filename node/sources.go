package node

import (
	"context"
	"time"

	"currantstile/config"
	"currantstile/fleet"
	"currantstile/sched"
	"currantstile/watch"
)

// OperatorChange is a change that the operator has written to the store. It is one of
// NewConfig, ZoneDisabled and AdapterVersion.
type OperatorChange interface {
	operatorChange()
}

// NewConfig declares a new configuration.
type NewConfig struct {
	Config *config.Config
}

// ZoneDisabled declares whether a data centre is excluded from getting requests.
type ZoneDisabled struct {
	Zone     string
	Disabled bool
}

// AdapterVersion declares the newest version of an adapter, named MODEL/NAME.
type AdapterVersion struct {
	Adapter string
	Version uint64
}

func (NewConfig) operatorChange()      {}
func (ZoneDisabled) operatorChange()   {}
func (AdapterVersion) operatorChange() {}

// Sources decodes the entries of the platform's store.
type Sources interface {
	// Prefixes returns the key prefixes under which operators and targets write.
	Prefixes() (operators, targets string)
	// DecodeOperatorChange decodes a change made by the operator.
	DecodeOperatorChange(now time.Time, c watch.Change) (OperatorChange, error)
	// SameTarget reports whether a target's new entry differs from the previous one in nothing
	// that matters, so that it need not be applied.
	SameTarget(before, after []byte) bool
	// DecodeTarget decodes a target's entry. For a deleted entry, or with an error, only
	// the ID of the target is set.
	DecodeTarget(now time.Time, c watch.Change) (fleet.Target, error)
}

// applyOperator applies changes made by the operator and skips invalid entries.
func (n *Node) applyOperator(now time.Time, changes []watch.Change) {
	for _, c := range changes {
		if n.versions.keepLost(now, c) {
			continue
		}
		change, err := n.Sources.DecodeOperatorChange(now, c)
		if err != nil {
			n.Log.Warn().Err(err).Str("key", c.Entry.Key).Msg("node: invalid operator entry; skipping it")
			continue
		}
		switch change := change.(type) {
		case NewConfig:
			n.versions.offer(change.Config, c.Entry)
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

// applyConfig puts cfg in force unless the current configuration has the same or
// a newer version.
func (n *Node) applyConfig(cfg *config.Config) {
	for {
		old := n.config.Load()
		if old != nil && old.Version >= cfg.Version {
			return
		}
		if n.config.CompareAndSwap(old, cfg) {
			n.Log.Info().Uint64("configuration", cfg.Version).Int("routes", len(cfg.Routes)).
				Int("organisations", len(cfg.Organisations)).Msg("node: configuration in force")
			for _, note := range cfg.Notes {
				n.Log.Warn().Uint64("configuration", cfg.Version).Str("note", note).Msg("node: part of the configuration is in force in another way")
			}
			return
		}
	}
}

// applyInstances applies changes made by the instances.
func (n *Node) applyInstances(now time.Time, changes []watch.Change) {
	n.session.Apply(now, changes)
	if n.duties != nil {
		n.duties.holder.Apply(now, changes)
	}
	for _, c := range changes {
		if c.Entry.Key == membershipKey {
			n.limiter.allocator.Apply(now, c.Entry)
		}
		n.screen.apply(now, c)
		n.notices.apply(now, c.Entry)
	}
}

// applyTargets applies changes that targets have made to their own entries.
func (n *Node) applyTargets(now time.Time, changes []watch.Change) {
	for _, c := range changes {
		t, err := n.Sources.DecodeTarget(now, c)
		if err != nil {
			n.Log.Warn().Err(err).Str("key", c.Entry.Key).Msg("node: invalid target entry; removing the target")
			// Without a readable entry the target cannot be used.
			n.registry.RemoveTarget(t.ID)
			continue
		}
		if c.Entry.Deleted {
			d := deletion{
				seen:     now,
				renewed:  c.Renewed,
				returned: n.hub.LastOutage(),
			}
			if c.Entry.Rewound {
				// The target writes its entry again.
				d.returned = now
			}
			n.handleDeletedTarget(t.ID, d)
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

// handleDeletedTarget removes a target whose entry was deleted, or waits for the entry if it may have
// expired while the store was away.
func (n *Node) handleDeletedTarget(id string, d deletion) {
	if at := removalTime(d); at.After(d.seen) {
		n.Log.Info().Str("target", id).Dur("wait", at.Sub(d.seen)).Dur("since-return", d.seen.Sub(d.returned)).
			Msg("node: target entry expired around a store outage; waiting for its return")
		n.removalMu.Lock()
		n.pendingRemovals[id] = at
		n.removalMu.Unlock()
		return
	}
	n.Log.Info().Str("target", id).Bool("renewed", d.renewed).Msg("node: target is gone")
	n.registry.RemoveTarget(id)
}

// removeExpired removes the targets whose entries have not come back in time.
func (n *Node) removeExpired(now time.Time) {
	n.removalMu.Lock()
	defer n.removalMu.Unlock()
	for id, at := range n.pendingRemovals {
		if now.Before(at) {
			continue
		}
		delete(n.pendingRemovals, id)
		n.Log.Info().Str("target", id).Msg("node: target entry did not come back; removing the target")
		n.registry.RemoveTarget(id)
	}
	n.registry.Publish()
}

// managedTargets returns the IDs of the targets that need a manager: those of
// services with an engine.
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

// targetLimits returns the limits that apply to each target of a service. It reports
// false if there is no configuration yet, or if the service is unknown or has no engine.
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

// coldRate returns how many requests a second a cold target of a plain service takes from all instances
// together; 0 for any number, and for engines, whose manager bounds them.
func (n *Node) coldRate(service string) float64 {
	cfg := n.config.Load()
	if cfg == nil {
		return 0
	}
	s, ok := cfg.Service(service)
	if !ok || s.Engine != nil {
		return 0
	}
	return s.ColdRate
}

// modelFor returns the base model that a target without one should load, which is the one of the service's
// models that the fewest of its targets hold, and the rate of the weight store in loads a second; 0 for any.
// It returns "" if there is no configuration or the service has no engine.
func (n *Node) modelFor(t fleet.Target) (string, float64) {
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
	return best, s.Engine.LoadsPerSecond
}

// takeLoadToken takes the right to begin one load of a base model.
func (n *Node) takeLoadToken(ctx context.Context, service string, rate float64) bool {
	return n.router.TakeLoadToken(ctx, service, rate)
}
