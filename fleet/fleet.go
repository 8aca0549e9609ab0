// Package fleet knows the targets, the instances, the data centres that are to
// get nothing, and the newest version of each adapter, as the platform's store
// lists them. A View is never changed after it was built.
//
// # Usage
//
//	b := fleet.NewBook()
//	b.SetTarget(now, t)
//	view := b.View()
//	for _, t := range view.Service("scribe-pool") { ... }
package fleet

import (
	"net/netip"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

// Target is a back end as it describes itself.
type Target struct {
	ID      string
	Service string
	Addr    netip.AddrPort
	Zone    string
	Slots   int
	// Draining targets take no new requests.
	Draining bool
	// ColdUntil is until when the target bears only its service's cold rate.
	ColdUntil time.Time
	// Started tells starts under one ID apart: the Unix millisecond of the start.
	Started int64
	// Models are the base models that the target holds, with their adapters.
	Models []LoadedModel
	// AcceptedOrders is how many orders the target has accepted since its start.
	AcceptedOrders uint64
}

// LoadedModel is a base model that a target holds.
type LoadedModel struct {
	Model    string
	Adapters []Adapter
}

// Adapter is an adapter that a target holds.
type Adapter struct {
	Name    string
	Version uint64
}

// SameIncarnation reports whether both describe one run of a target.
func (t *Target) SameIncarnation(o *Target) bool {
	return t.ID == o.ID && t.Started == o.Started && t.Addr == o.Addr
}

// HoldsModel reports whether the target holds a base model.
func (t *Target) HoldsModel(name string) bool {
	for _, m := range t.Models {
		if m.Model == name {
			return true
		}
	}
	return false
}

// Instance is an instance of currantstile.
type Instance struct {
	Name string
	Zone string
	// Peers is where the instance takes calls from other instances.
	Peers netip.AddrPort
	// Started is when its process started, as Unix milliseconds.
	Started int64
}

// Manager is the instance that may order a target about.
type Manager struct {
	Instance string
	// FencingToken is the number that the manager's orders bear; each manager's is
	// higher than that of the one before.
	FencingToken uint64
}

// View is what is known at one moment.
type View struct {
	managers      map[string]Manager
	targets       map[string]*Target
	services      map[string][]*Target
	instances     []Instance
	disabledZones map[string]bool
	versions      map[string]uint64
}

// Target returns a target by its ID.
func (v *View) Target(id string) (*Target, bool) {
	t, ok := v.targets[id]
	return t, ok
}

// Service lists a service's targets by ID, draining ones included.
func (v *View) Service(name string) []*Target {
	return v.services[name]
}

// TargetCount is how many targets are known.
func (v *View) TargetCount() int {
	return len(v.targets)
}

// Instances lists the instances by name.
func (v *View) Instances() []Instance {
	return v.instances
}

// Instance returns the instance of that name.
func (v *View) Instance(name string) (Instance, bool) {
	i := sort.Search(len(v.instances), func(i int) bool {
		return v.instances[i].Name >= name
	})
	if i < len(v.instances) && v.instances[i].Name == name {
		return v.instances[i], true
	}
	return Instance{}, false
}

// Manager returns a target's manager.
func (v *View) Manager(target string) (Manager, bool) {
	m, ok := v.managers[target]
	return m, ok
}

// Usable reports whether new requests may go to a target.
func (v *View) Usable(t *Target) bool {
	return !t.Draining && !v.disabledZones[t.Zone]
}

// ZoneDisabled reports whether a data centre is to get nothing.
func (v *View) ZoneDisabled(zone string) bool {
	return v.disabledZones[zone]
}

// Version returns the newest declared version of an adapter, named MODEL/NAME.
func (v *View) Version(adapter string) (uint64, bool) {
	n, ok := v.versions[adapter]
	return n, ok
}

// Registry collects changes and publishes views. The zero value is not usable; see
// NewBook. It is safe for concurrent use.
type Registry struct {
	mu            sync.Mutex
	targets       map[string]*Target
	instances     map[string]Instance
	disabledZones map[string]bool
	versions      map[string]uint64
	managers      map[string]Manager
	dirty         bool
	view          atomic.Pointer[View]
}

// NewRegistry returns an empty book.
func NewRegistry() *Registry {
	b := &Registry{
		targets:       make(map[string]*Target),
		instances:     make(map[string]Instance),
		disabledZones: make(map[string]bool),
		versions:      make(map[string]uint64),
		managers:      make(map[string]Manager),
	}
	b.Publish()
	return b
}

// View returns what was last published.
func (b *Registry) View() *View {
	return b.view.Load()
}

// SetTarget notes a target.
func (b *Registry) SetTarget(t Target) {
	b.update(func() {
		b.targets[t.ID] = &t
	})
}

// RemoveTarget forgets a target.
func (b *Registry) RemoveTarget(id string) {
	b.update(func() {
		delete(b.targets, id)
	})
}

// SetInstance notes an instance.
func (b *Registry) SetInstance(i Instance) {
	b.update(func() {
		b.instances[i.Name] = i
	})
}

// RemoveInstance forgets an instance.
func (b *Registry) RemoveInstance(name string) {
	b.update(func() {
		delete(b.instances, name)
	})
}

// SetManager notes a target's manager.
func (b *Registry) SetManager(target string, m Manager) {
	b.update(func() {
		b.managers[target] = m
	})
}

// RemoveManager notes that a target has no manager.
func (b *Registry) RemoveManager(target string) {
	b.update(func() {
		delete(b.managers, target)
	})
}

// SetZoneDisabled notes whether a data centre is to get nothing.
func (b *Registry) SetZoneDisabled(zone string, closed bool) {
	b.update(func() {
		if closed {
			b.disabledZones[zone] = true
		} else {
			delete(b.disabledZones, zone)
		}
	})
}

// SetVersion notes the newest version of an adapter, named MODEL/NAME. A lower
// one than before is ignored.
func (b *Registry) SetVersion(adapter string, version uint64) {
	b.update(func() {
		b.versions[adapter] = max(b.versions[adapter], version)
	})
}

func (b *Registry) update(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f()
	b.dirty = true
}

// Publish makes a view of all changes so far, if there are any.
func (b *Registry) Publish() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.dirty && b.view.Load() != nil {
		return
	}
	b.dirty = false
	v := &View{
		targets:       make(map[string]*Target, len(b.targets)),
		services:      make(map[string][]*Target),
		disabledZones: make(map[string]bool, len(b.disabledZones)),
		versions:      make(map[string]uint64, len(b.versions)),
		managers:      make(map[string]Manager, len(b.managers)),
	}
	for id, t := range b.targets {
		v.targets[id] = t
		v.services[t.Service] = append(v.services[t.Service], t)
	}
	for _, list := range v.services {
		sort.Slice(list, func(i, j int) bool {
			return list[i].ID < list[j].ID
		})
	}
	for _, i := range b.instances {
		v.instances = append(v.instances, i)
	}
	sort.Slice(v.instances, func(i, j int) bool {
		return v.instances[i].Name < v.instances[j].Name
	})
	for z := range b.disabledZones {
		v.disabledZones[z] = true
	}
	for a, n := range b.versions {
		v.versions[a] = n
	}
	for t, m := range b.managers {
		v.managers[t] = m
	}
	b.view.Store(v)
}
