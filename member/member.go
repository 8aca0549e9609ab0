// Package member knows which instances and targets there are. It reads the
// platform's list, which lags behind reality, and keeps the last one while the
// list cannot be read.
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

// DefaultInterval is how often the list is read.
const DefaultInterval = 500 * time.Millisecond

// Source gives the platform's list.
type Source interface {
	Members(ctx context.Context) (model.Members, error)
}

// View is the list as last read, in parts and sorted by name. It is never
// changed after it was built.
type View struct {
	// RequestedAt is when the read of the list was sent.
	RequestedAt time.Time
	Entries     model.Members
	Engines     model.Members
	Services    model.Members
}

func newView(asked time.Time, list model.Members) *View {
	v := &View{
		RequestedAt: asked,
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
	for _, part := range []model.Members{v.Entries, v.Engines, v.Services} {
		sort.Slice(part, func(i, j int) bool {
			return part[i].ID < part[j].ID
		})
	}
	return v
}

// Watcher keeps a view up to date. Its exported fields are set before Run.
type Watcher struct {
	Source Source
	// Interval is how often the list is read; DefaultInterval if zero.
	Interval time.Duration
	Log      log.Logger

	view atomic.Pointer[View]
}

// View returns the list as last read; it is never nil.
func (w *Watcher) View() *View {
	if v := w.view.Load(); v != nil {
		return v
	}
	return &View{}
}

// Run reads the list until ctx ends.
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
			w.Log.Warn().Err(err).Msg("member: list of instances cannot be read; keeping the last one")
		}
		failing = err != nil
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// Refresh reads the list once. Faulty lines are left out of the view.
func (w *Watcher) Refresh(ctx context.Context) error {
	asked := time.Now()
	list, err := w.Source.Members(ctx)
	if err != nil {
		return err
	}
	valid := make(model.Members, 0, len(list))
	for _, m := range list {
		if err := m.Validate(); err != nil {
			w.Log.Warn().Err(err).Msgf("member: line %q of the list is faulty; leaving it out", m.ID)
			continue
		}
		valid = append(valid, m)
	}
	w.view.Store(newView(asked, valid))
	return nil
}
