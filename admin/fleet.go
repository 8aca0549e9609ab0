package admin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"currantstile/commit"
	"currantstile/model"
	"currantstile/wire"
)

// statusTimeout bounds the status call to one instance.
const statusTimeout = time.Second

// Resource is the state of one data centre, instance or target.
type Resource struct {
	Name string       `json:"name"`
	Role model.Role   `json:"role,omitempty"`
	Zone model.ZoneID `json:"data-centre,omitempty"`
	// State is "live" or "leaving" from the member list, or "out" if an operator has
	// taken the resource out of service.
	State string     `json:"state"`
	By    string     `json:"by,omitempty"`
	Since *time.Time `json:"since,omitempty"`
}

// Resources lists the resources of one kind.
type Resources []Resource

const stateOut = "out"

// kindParam returns the kind of resource in the path. If it is unknown, kindParam writes
// a problem and returns false.
func kindParam(c *app.RequestContext) (model.ResourceKind, bool) {
	kind := model.ResourceKind(c.Param("kind"))
	if kind == model.KindZone || kind == model.KindInstance || kind == model.KindTarget {
		return kind, true
	}
	writeProblem(c, http.StatusBadRequest, Problem{
		Code:    "invalid",
		Message: "kind is not one of zone, instance, target",
	})
	return "", false
}

// resources lists the resources of a kind in the platform's member list, with the
// outages that operators have set.
func (s *Server) resources(kind model.ResourceKind) Resources {
	v := s.View()
	members := s.Members()
	list := Resources{}
	seen := make(map[string]bool)
	add := func(r Resource) {
		if !seen[r.Name] {
			seen[r.Name] = true
			list = append(list, withOutage(r, kind, v.Fleet))
		}
	}
	for _, role := range []model.Members{members.Entries, members.Engines, members.Services} {
		for _, m := range role {
			switch {
			case kind == model.KindZone:
				add(Resource{
					Name:  string(m.Zone),
					State: string(model.StateLive),
				})
			case (kind == model.KindInstance) == (m.Role == model.RoleEntry):
				add(Resource{
					Name:  m.ID,
					Role:  m.Role,
					Zone:  m.Zone,
					State: string(m.State),
				})
			}
		}
	}
	return list
}

// withOutage returns r with the state of the outage set for it, if any.
func withOutage(r Resource, kind model.ResourceKind, fleet model.Fleet) Resource {
	for _, o := range fleet.Out {
		if o.Kind == kind && o.Name == r.Name {
			r.State = stateOut
			r.By = o.By
			r.Since = &o.At
		}
	}
	return r
}

func (s *Server) handleListResources(_ context.Context, c *app.RequestContext) {
	if kind, ok := kindParam(c); ok {
		c.JSON(http.StatusOK, s.resources(kind))
	}
}

func (s *Server) handleTakeOut(ctx context.Context, c *app.RequestContext) {
	kind, ok := kindParam(c)
	if !ok {
		return
	}
	name := c.Param("name")
	list := s.resources(kind)
	if !list.contains(name) {
		writeProblem(c, http.StatusNotFound, Problem{
			Code:    "not-found",
			Message: "the platform lists no such " + string(kind),
		})
		return
	}
	if c.Query("force") != "true" && list.isLastLive(name) {
		writeProblem(c, http.StatusConflict, Problem{
			Code:    "last",
			Message: "it is the last " + string(kind) + " in service; taking it out stops all work and needs -force",
		})
		return
	}
	s.accept(ctx, c, commit.TakeOut{
		Kind: kind,
		Name: name,
	})
}

func (rs Resources) contains(name string) bool {
	for _, r := range rs {
		if r.Name == name {
			return true
		}
	}
	return false
}

// isLastLive reports whether no resource other than name is live.
func (rs Resources) isLastLive(name string) bool {
	for _, r := range rs {
		if r.Name != name && r.State == string(model.StateLive) {
			return false
		}
	}
	return true
}

func (s *Server) handlePutBack(ctx context.Context, c *app.RequestContext) {
	if kind, ok := kindParam(c); ok {
		s.accept(ctx, c, commit.PutBack{
			Kind: kind,
			Name: c.Param("name"),
		})
	}
}

// AdapterStatus is the state of one adapter on one target.
type AdapterStatus struct {
	Target  model.TargetID `json:"target"`
	Adapter string         `json:"adapter"`
	State   string         `json:"state"`
	// Pinned is the number of requests that the current pins allow to run.
	Pinned int `json:"pinned"`
}

// AdapterStatuses lists the adapters of several targets.
type AdapterStatuses []AdapterStatus

// handleAdapters lists the adapters on the targets that this instance manages; targets
// of other instances are not included.
func (s *Server) handleAdapters(_ context.Context, c *app.RequestContext) {
	list := AdapterStatuses{}
	for _, t := range s.Adapters() {
		for _, a := range t.Adapters {
			list = append(list, AdapterStatus{
				Target:  t.Target,
				Adapter: a.Adapter.String(),
				State:   a.State,
				Pinned:  a.Granted,
			})
		}
	}
	c.JSON(http.StatusOK, list)
}

// InstanceStatus is the status of one instance in FleetStatus.
type InstanceStatus struct {
	ID       model.InstanceID `json:"id"`
	Zone     model.ZoneID     `json:"data-centre"`
	Answered bool             `json:"answered"`
	Error    string           `json:"error,omitempty"`
	Phase    string           `json:"phase,omitempty"`
	Revision commit.Revision  `json:"revision"`
	// ConfirmedAgo is the time since the store last confirmed the revision; zero if it
	// never has.
	ConfirmedAgo model.Duration `json:"confirmed-ago"`
	Running      int64          `json:"running"`
	// Organisations holds the request counts of each organisation since the instance
	// started.
	Organisations []wire.OrgCounts `json:"-"`
}

// FleetStatus is the status of all instances and the outages that operators have set.
type FleetStatus struct {
	// Revision is the newest revision in force on any instance that responded.
	Revision  commit.Revision  `json:"revision"`
	Instances []InstanceStatus `json:"instances"`
	Out       model.Outages    `json:"out"`
}

func (s *Server) handleStatus(ctx context.Context, c *app.RequestContext) {
	c.JSON(http.StatusOK, s.fleetStatus(ctx, time.Now()))
}

// fleetStatus queries all instances concurrently.
func (s *Server) fleetStatus(ctx context.Context, now time.Time) FleetStatus {
	entries := s.Members().Entries
	status := FleetStatus{
		Instances: make([]InstanceStatus, len(entries)),
		Out:       append(model.Outages{}, s.View().Fleet.Out...),
	}
	var wg sync.WaitGroup
	for i, m := range entries {
		wg.Go(func() {
			status.Instances[i] = s.instanceStatus(ctx, now, m)
		})
	}
	wg.Wait()
	for _, instance := range status.Instances {
		status.Revision = max(status.Revision, instance.Revision)
	}
	return status
}

// instanceStatus queries one instance. If the call fails, Answered is false and Error is
// set.
func (s *Server) instanceStatus(ctx context.Context, now time.Time, m model.Member) InstanceStatus {
	status := InstanceStatus{
		ID:   model.InstanceID(m.ID),
		Zone: m.Zone,
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var reply wire.StatusReply
	if err := s.Peers.Call(ctx, m.Addr, wire.MethodStatus, wire.StatusArgs{}, &reply); err != nil {
		status.Error = err.Error()
		return status
	}
	status.Answered = true
	status.Phase = reply.Phase
	status.Revision = commit.Revision(reply.Revision)
	status.Running = reply.Running
	status.Organisations = reply.Organisations
	if !reply.Confirmed.IsZero() {
		status.ConfirmedAgo = model.Duration(now.Sub(reply.Confirmed).Round(time.Millisecond))
	}
	return status
}

func (s *Server) handleVars(_ context.Context, c *app.RequestContext) {
	c.Data(http.StatusOK, "application/json", []byte(s.Stats.Var().String()))
}
