package sims

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/route"

	"currantstile/model"
)

// MembersServer simulates the platform's list of instances and targets, which may lag
// behind the actual state. Its exported fields must be set before Start.
type MembersServer struct {
	Addr netip.AddrPort
	Seed uint64
	// Initial is the list that is served until the first Replace.
	Initial model.Members

	base
	listMu   sync.Mutex
	versions []membersVersion
}

// membersVersion is the list that is valid from a point in time on.
type membersVersion struct {
	since time.Time
	list  model.Members
}

// Start starts the server and returns without waiting for requests.
func (s *MembersServer) Start() error {
	s.versions = []membersVersion{
		{
			list: s.Initial,
		},
	}
	return s.start(s.Addr, s.Seed, func(e *route.Engine) {
		e.GET("/members", s.withFaults(s.handleList))
		e.PUT("/members", s.handleReplace)
		e.POST("/faults", s.handleFaults)
	})
}

// Stop stops the server.
func (s *MembersServer) Stop(ctx context.Context) error {
	return s.server.Stop(ctx)
}

// BoundAddr returns the address that the server listens on.
func (s *MembersServer) BoundAddr() netip.AddrPort {
	return s.server.BoundAddr()
}

// SetFaults replaces the injected faults.
func (s *MembersServer) SetFaults(f Faults) {
	s.setFaults(f)
}

// Replace sets the list. Clients see it once the fault Lag, if set, has passed since now.
func (s *MembersServer) Replace(now time.Time, list model.Members) {
	s.listMu.Lock()
	defer s.listMu.Unlock()
	s.versions = append(s.versions, membersVersion{
		since: now,
		list:  list,
	})
}

// listAt returns the list that clients see at now with the given lag.
func (s *MembersServer) listAt(now time.Time, lag time.Duration) model.Members {
	s.listMu.Lock()
	defer s.listMu.Unlock()
	for i := len(s.versions) - 1; i > 0; i-- {
		if v := s.versions[i]; !v.since.Add(lag).After(now) {
			return v.list
		}
	}
	return s.versions[0].list
}

func (s *MembersServer) handleFaults(_ context.Context, c *app.RequestContext) {
	if f, ok := decodeFaults(c); ok {
		s.setFaults(f)
		c.JSON(http.StatusOK, f)
	}
}

func (s *MembersServer) handleList(_ context.Context, c *app.RequestContext) {
	f, _, _ := s.drawFaults()
	list := s.listAt(time.Now(), time.Duration(f.Lag))
	if list == nil {
		list = model.Members{}
	}
	c.JSON(http.StatusOK, list)
}

func (s *MembersServer) handleReplace(_ context.Context, c *app.RequestContext) {
	var list model.Members
	if err := model.DecodeStrict(c.Request.Body(), &list); err != nil {
		writeError(c, http.StatusBadRequest, "bad-members", err.Error())
		return
	}
	for _, m := range list {
		if err := m.Validate(); err != nil {
			writeError(c, http.StatusBadRequest, "bad-members", m.ID+": "+err.Error())
			return
		}
	}
	s.Replace(time.Now(), list)
}
