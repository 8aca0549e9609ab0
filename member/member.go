// Package member provides the current list of instances and targets. It polls the
// platform's member list, which may be out of date, and keeps the last version
// while the list cannot be read.
//
// # Usage
//
//	w := &member.Watcher{Source: source}
//	go w.Run(ctx)
//	view := w.View()
package member

import (
	"context"
	"sort"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"currantstile/model"
)

// DefaultInterval is the default polling interval.
const DefaultInterval = 500 * time.Millisecond

// Source provides the platform's member list.
type Source interface {
	Members(ctx context.Context) (model.Members, error)
}

// View is the list as last read, grouped by role and sorted by ID. It is immutable.
type View struct {
	// RequestedAt is the time at which the request for the list was sent.
	RequestedAt time.Time
	Entries     model.Members
	Engines     model.Members
	Services    model.Members
}

func newView(requestedAt time.Time, list model.Members) *View {
	v := &View{
		RequestedAt: requestedAt,
	}
	for _, m := range list {
		switch m.Role {
		case model.RoleEntry:
			v.Entries = append(v.Entries, m)
		case model.RoleEngine:
			v.Engines = append(v.Engines, m)
		case model.RoleService:
			v.Services = append(v.Services, m)
		}
	}
	for _, group := range []model.Members{v.Entries, v.Engines, v.Services} {
		sort.Slice(group, func(i, j int) bool {
			return group[i].ID < group[j].ID
		})
	}
	return v
}

// Watcher keeps a View up to date. Its exported fields must be set before Run.
type Watcher struct {
	Source Source
	// Interval is the polling interval; DefaultInterval if zero.
	Interval time.Duration
	Log      log.Logger

	view atomic.Pointer[View]
}

// View returns the list as last read, or an empty one. It never returns nil.
func (w *Watcher) View() *View {
	if v := w.view.Load(); v != nil {
		return v
	}
	return &View{}
}

// Run polls the list until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	interval := w.Interval
	if interval == 0 {
		interval = DefaultInterval
	}
	t := time.NewTicker(interval)
	defer t.Stop()
	failing := false
	for {
		err := w.Refresh(ctx)
		if err != nil && !failing && ctx.Err() == nil {
			w.Log.Warn().Err(err).Msg("member: cannot read the member list; keeping the last one")
		}
		failing = err != nil
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// Refresh reads the list once and updates the view. Invalid entries are skipped.
func (w *Watcher) Refresh(ctx context.Context) error {
	requestedAt := time.Now()
	list, err := w.Source.Members(ctx)
	if err != nil {
		return err
	}
	valid := make(model.Members, 0, len(list))
	for _, m := range list {
		if err := m.Validate(); err != nil {
			w.Log.Warn().Err(err).Msgf("member: entry %q of the member list is invalid; skipping it", m.ID)
			continue
		}
		valid = append(valid, m)
	}
	w.view.Store(newView(requestedAt, valid))
	return nil
}
