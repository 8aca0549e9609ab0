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

// statusTimeout bounds how long a peer may take to tell its status.
const statusTimeout = time.Second

// Resource is one data centre, instance or target for operators.
type Resource struct {
	Name string       `json:"name"`
	Role model.Role   `json:"role,omitempty"`
	Zone model.ZoneID `json:"data-centre,omitempty"`
	// State is live, leaving or out.
	State string     `json:"state"`
	By    string     `json:"by,omitempty"`
	Since *time.Time `json:"since,omitempty"`
}

// Resources is a list of data centres, instances or targets.
type Resources []Resource

const stateOut = "out"

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

// resources lists what there is of a kind, as the platform's list and the operators'
// intent have it.
func (s *Server) resources(kind model.ResourceKind) Resources {
	v := s.View()
	members := s.Members()
	lines := Resources{}
	seen := make(map[string]bool)
	add := func(l Resource) {
		if !seen[l.Name] {
			seen[l.Name] = true
			lines = append(lines, withOutage(l, kind, v.Fleet))
		}
	}
	for _, part := range []model.Members{members.Entries, members.Engines, members.Services} {
		for _, m := range part {
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
	return lines
}

func withOutage(l Resource, kind model.ResourceKind, fleet model.Fleet) Resource {
	for _, o := range fleet.Out {
		if o.Kind == kind && o.Name == l.Name {
			l.State = stateOut
			l.By = o.By
			l.Since = &o.At
		}
	}
	return l
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
	lines := s.resources(kind)
	if !lines.contains(name) {
		writeProblem(c, http.StatusNotFound, Problem{
			Code:    "not-found",
			Message: "the platform lists no such " + string(kind),
		})
		return
	}
	if c.Query("force") != "true" && lines.isLastLive(name) {
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

func (ls Resources) contains(name string) bool {
	for _, l := range ls {
		if l.Name == name {
			return true
		}
	}
	return false
}

// isLastLive reports whether no other line is in service.
func (ls Resources) isLastLive(name string) bool {
	for _, l := range ls {
		if l.Name != name && l.State == string(model.StateLive) {
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

// AdapterStatus is one adapter on one target.
type AdapterStatus struct {
	Target  model.TargetID `json:"target"`
	Adapter string         `json:"adapter"`
	State   string         `json:"state"`
	// Pinned is how many requests may run on it now.
	Pinned int `json:"pinned"`
}

// AdapterStatuses is a list of adapters on targets.
type AdapterStatuses []AdapterStatus

// handleAdapters lists the adapters on the targets that this instance manages.
func (s *Server) handleAdapters(_ context.Context, c *app.RequestContext) {
	lines := AdapterStatuses{}
	for _, t := range s.Adapters() {
		for _, a := range t.Adapters {
			lines = append(lines, AdapterStatus{
				Target:  t.Target,
				Adapter: a.Adapter.String(),
				State:   a.State,
				Pinned:  a.Granted,
			})
		}
	}
	c.JSON(http.StatusOK, lines)
}

// InstanceStatus is one instance as the fleet's status shows it.
type InstanceStatus struct {
	ID       model.InstanceID `json:"id"`
	Zone     model.ZoneID     `json:"data-centre"`
	Answered bool             `json:"answered"`
	Error    string           `json:"error,omitempty"`
	Phase    string           `json:"phase,omitempty"`
	Revision commit.Revision  `json:"revision"`
	// ConfirmedAgo is how long ago the store last confirmed the revision.
	ConfirmedAgo model.Duration `json:"confirmed-ago"`
	Running      int64          `json:"running"`
	// Organisations are the instance's counts since its start.
	Organisations []wire.OrgCounts `json:"-"`
}

// FleetStatus is what all instances say of themselves.
type FleetStatus struct {
	// Revision is the newest in force anywhere.
	Revision  commit.Revision  `json:"revision"`
	Instances []InstanceStatus `json:"instances"`
	Out       model.Outages    `json:"out"`
}

func (s *Server) handleStatus(ctx context.Context, c *app.RequestContext) {
	c.JSON(http.StatusOK, s.fleetStatus(ctx, time.Now()))
}

// fleetStatus asks all instances at once.
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
	for _, in := range status.Instances {
		status.Revision = max(status.Revision, in.Revision)
	}
	return status
}

func (s *Server) instanceStatus(ctx context.Context, now time.Time, m model.Member) InstanceStatus {
	line := InstanceStatus{
		ID:   model.InstanceID(m.ID),
		Zone: m.Zone,
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var reply wire.StatusReply
	if err := s.Peers.Call(ctx, m.Addr, wire.MethodStatus, wire.StatusArgs{}, &reply); err != nil {
		line.Error = err.Error()
		return line
	}
	line.Answered = true
	line.Phase = reply.Phase
	line.Revision = commit.Revision(reply.Revision)
	line.Running = reply.Running
	line.Organisations = reply.Organisations
	if !reply.Confirmed.IsZero() {
		line.ConfirmedAgo = model.Duration(now.Sub(reply.Confirmed).Round(time.Millisecond))
	}
	return line
}

func (s *Server) handleVars(_ context.Context, c *app.RequestContext) {
	c.Data(http.StatusOK, "application/json", []byte(s.Stats.Var().String()))
}
