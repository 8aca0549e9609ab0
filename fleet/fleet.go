// Package fleet keeps the targets and their managers, the instances, the disabled data
// centres and the newest version of each adapter, as listed in the platform's store. A
// View is an immutable snapshot of them.
//
// # Usage
//
//	r := fleet.NewRegistry()
//	r.SetTarget(t)
//	r.Publish()
//	view := r.View()
//	for _, t := range view.Service("scribe-pool") { ... }
package fleet

import (
	"iter"
	"maps"
	"net/netip"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

// Target is a back end as described by its own key in the store.
type Target struct {
	ID      string
	Service string
	Addr    netip.AddrPort
	Zone    string
	// Slots is how many requests the target can run at once.
	Slots int
	// Draining targets accept no new requests.
	Draining bool
	// EndsAt is when a draining target ends that was taken away at short notice, whatever it is running; the
	// zero time means that no end is known.
	EndsAt time.Time
	// ColdUntil is the end of the cold start, until which the target accepts only its
	// service's ColdRate.
	ColdUntil time.Time
	// Started is the start time in Unix milliseconds. It distinguishes incarnations
	// that use the same ID.
	Started int64
	// Models are the base models that the target has loaded, with their adapters.
	Models []LoadedModel
	// AcceptedOrders is the number of orders accepted since the start.
	AcceptedOrders uint64
}

// LoadedModel is a base model that a target has loaded, with its adapters.
type LoadedModel struct {
	Model    string
	Adapters []Adapter
}

// Adapter is a version of an adapter that a target has loaded.
type Adapter struct {
	Name    string
	Version uint64
}

// SameIncarnation reports whether both values describe the same run of a target.
func (t *Target) SameIncarnation(o *Target) bool {
	return t.ID == o.ID && t.Started == o.Started && t.Addr == o.Addr
}

// HoldsModel reports whether the target has loaded a base model.
func (t *Target) HoldsModel(name string) bool {
	for _, m := range t.Models {
		if m.Model == name {
			return true
		}
	}
	return false
}

// Instance is a running instance of currantstile.
type Instance struct {
	Name string
	Zone string
	// Peers is the address on which the instance accepts calls from other instances.
	Peers netip.AddrPort
	// Started is the start time of the process in Unix milliseconds.
	Started int64
	// Cores is the processor time that the instance may use per second, and LinkMbit the
	// bandwidth of its link in Mbit/s. Zero means unknown.
	Cores    float64
	LinkMbit float64
}

// Manager is the instance that may send orders to a target.
type Manager struct {
	Instance string
	// FencingToken is sent with the manager's orders; it is higher than that of every
	// previous manager.
	FencingToken uint64
}

// View is an immutable snapshot of a Registry.
type View struct {
	managers      map[string]Manager
	targets       map[string]*Target
	services      map[string][]*Target
	instances     []Instance
	zones         map[netip.AddrPort]string
	disabledZones map[string]bool
	versions      map[string]uint64
}

// Target returns the target with the given ID.
func (v *View) Target(id string) (*Target, bool) {
	t, ok := v.targets[id]
	return t, ok
}

// Service returns a service's targets sorted by ID, including draining ones.
func (v *View) Service(name string) []*Target {
	return v.services[name]
}

// TargetCount returns the number of targets.
func (v *View) TargetCount() int {
	return len(v.targets)
}

// Targets returns all targets, in no order.
func (v *View) Targets() iter.Seq[*Target] {
	return maps.Values(v.targets)
}

// Instances returns the instances sorted by name.
func (v *View) Instances() []Instance {
	return v.instances
}

// Instance returns the instance with the given name.
func (v *View) Instance(name string) (Instance, bool) {
	i := sort.Search(len(v.instances), func(i int) bool {
		return v.instances[i].Name >= name
	})
	if i < len(v.instances) && v.instances[i].Name == name {
		return v.instances[i], true
	}
	return Instance{}, false
}

// ZoneOf returns the data centre of the instance with the given peer address, or "" if
// there is none.
func (v *View) ZoneOf(peers netip.AddrPort) string {
	return v.zones[peers]
}

// Manager returns a target's manager.
func (v *View) Manager(target string) (Manager, bool) {
	m, ok := v.managers[target]
	return m, ok
}

// ZoneDisabled reports whether a data centre must not receive requests.
func (v *View) ZoneDisabled(zone string) bool {
	return v.disabledZones[zone]
}

// Version returns the newest declared version of an adapter, given as MODEL/NAME.
func (v *View) Version(adapter string) (uint64, bool) {
	n, ok := v.versions[adapter]
	return n, ok
}

// Registry collects changes and publishes them as views. The zero value is not usable;
// use NewRegistry. It is safe for concurrent use.
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

// NewRegistry returns an empty registry with an empty view published.
func NewRegistry() *Registry {
	r := &Registry{
		targets:       make(map[string]*Target),
		instances:     make(map[string]Instance),
		disabledZones: make(map[string]bool),
		versions:      make(map[string]uint64),
		managers:      make(map[string]Manager),
	}
	r.Publish()
	return r
}

// View returns the last published view.
func (r *Registry) View() *View {
	return r.view.Load()
}

// SetTarget adds or replaces a target.
func (r *Registry) SetTarget(t Target) {
	r.update(func() {
		r.targets[t.ID] = &t
	})
}

// RemoveTarget removes a target.
func (r *Registry) RemoveTarget(id string) {
	r.update(func() {
		delete(r.targets, id)
	})
}

// SetInstance adds or replaces an instance.
func (r *Registry) SetInstance(i Instance) {
	r.update(func() {
		r.instances[i.Name] = i
	})
}

// RemoveInstance removes an instance.
func (r *Registry) RemoveInstance(name string) {
	r.update(func() {
		delete(r.instances, name)
	})
}

// SetManager sets a target's manager.
func (r *Registry) SetManager(target string, m Manager) {
	r.update(func() {
		r.managers[target] = m
	})
}

// RemoveManager removes a target's manager.
func (r *Registry) RemoveManager(target string) {
	r.update(func() {
		delete(r.managers, target)
	})
}

// SetZoneDisabled sets whether a data centre must not receive requests.
func (r *Registry) SetZoneDisabled(zone string, disabled bool) {
	r.update(func() {
		if disabled {
			r.disabledZones[zone] = true
		} else {
			delete(r.disabledZones, zone)
		}
	})
}

// SetVersion sets the newest version of an adapter, given as MODEL/NAME. A version lower
// than the current one is ignored.
func (r *Registry) SetVersion(adapter string, version uint64) {
	r.update(func() {
		r.versions[adapter] = max(r.versions[adapter], version)
	})
}

// update applies a change under the lock. It becomes visible with the next Publish.
func (r *Registry) update(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	r.dirty = true
}

// Publish publishes a view with all changes since the last one, if there are any.
func (r *Registry) Publish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.dirty && r.view.Load() != nil {
		return
	}
	r.dirty = false
	v := &View{
		targets:       make(map[string]*Target, len(r.targets)),
		services:      make(map[string][]*Target),
		zones:         make(map[netip.AddrPort]string, len(r.instances)),
		disabledZones: make(map[string]bool, len(r.disabledZones)),
		versions:      make(map[string]uint64, len(r.versions)),
		managers:      make(map[string]Manager, len(r.managers)),
	}
	for id, t := range r.targets {
		v.targets[id] = t
		v.services[t.Service] = append(v.services[t.Service], t)
	}
	for _, list := range v.services {
		sort.Slice(list, func(i, j int) bool {
			return list[i].ID < list[j].ID
		})
	}
	for _, i := range r.instances {
		v.instances = append(v.instances, i)
		v.zones[i.Peers] = i.Zone
	}
	sort.Slice(v.instances, func(i, j int) bool {
		return v.instances[i].Name < v.instances[j].Name
	})
	for z := range r.disabledZones {
		v.disabledZones[z] = true
	}
	for a, n := range r.versions {
		v.versions[a] = n
	}
	for t, m := range r.managers {
		v.managers[t] = m
	}
	r.view.Store(v)
}
