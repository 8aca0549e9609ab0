package commit

import (
	"sort"
	"time"

	"currantstile/model"
)

// View is an accepted configuration, indexed for use by an instance. It is immutable.
type View struct {
	Manifest Manifest
	Fleet    model.Fleet
	// AcceptedAt is when the revision was accepted.
	AcceptedAt time.Time
	contracts  map[model.OrgID]*model.ContractIndex
	openRoutes map[string]model.OrgID
}

// EmptyView returns the configuration before the first change.
func EmptyView() *View {
	return newView(Manifest{}, model.Fleet{}, nil)
}

func newView(m Manifest, fleet model.Fleet, contracts map[model.OrgID]*model.ContractIndex) *View {
	v := &View{
		Manifest:   m,
		Fleet:      fleet,
		AcceptedAt: m.At,
		contracts:  contracts,
		openRoutes: make(map[string]model.OrgID),
	}
	for org, x := range contracts {
		for _, r := range x.Contract.Routes {
			if r.Open {
				v.openRoutes[r.Name] = org
			}
		}
	}
	return v
}

// Revision returns the view's revision.
func (v *View) Revision() Revision {
	return v.Manifest.Revision
}

// Contract returns an organisation's contract, and whether it has one.
func (v *View) Contract(org model.OrgID) (*model.ContractIndex, bool) {
	x, ok := v.contracts[org]
	return x, ok
}

// OpenRoute returns the contract that declares the named route as open, which means
// usable without a key.
func (v *View) OpenRoute(name string) (*model.ContractIndex, bool) {
	org, ok := v.openRoutes[name]
	if !ok {
		return nil, false
	}
	return v.Contract(org)
}

// Organisations returns all organisations, sorted.
func (v *View) Organisations() []model.OrgID {
	list := make([]model.OrgID, 0, len(v.contracts))
	for org := range v.contracts {
		list = append(list, org)
	}
	sort.Slice(list, func(i, j int) bool {
		return list[i] < list[j]
	})
	return list
}

// InService reports whether a member may receive new work: neither it nor its data
// centre has been taken out of service, and the platform lists it as live.
func (v *View) InService(m model.Member) bool {
	kind := model.KindTarget
	if m.Role == model.RoleEntry {
		kind = model.KindInstance
	}
	return m.State == model.StateLive &&
		!v.Fleet.IsOut(model.KindZone, string(m.Zone)) &&
		!v.Fleet.IsOut(kind, m.ID)
}
