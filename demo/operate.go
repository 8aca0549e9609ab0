package demo

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"currantstile/admin"
	"currantstile/daemon"
	"currantstile/errs"
	"currantstile/model"
	"currantstile/rest"
)

// Operate makes a change at an instance's operators' interface and returns once
// it is accepted.
func (f *Fleet) Operate(ctx context.Context, instance int, method, path string) error {
	client := rest.NewClient(dialTimeout, 1)
	a, err := client.Exchange(ctx, rest.Request{
		Method: method,
		Addr:   f.Instances[instance].AdminServer().BoundAddr(),
		Path:   path,
		Header: http.Header{
			admin.HeaderOperator: {"trial"},
		},
	})
	if err == nil && a.Status != http.StatusOK {
		err = errors.Errorf("status %d: %s", a.Status, a.Body)
	}
	return errs.WithOp(err, "Fleet.Operate")
}

// Restart replaces an instance by a new one of the same name at new addresses:
// the balancer sends nothing more to it, it shuts down gracefully, and the new
// one is listed.
func (f *Fleet) Restart(ctx context.Context, i int) error {
	f.setStopped(i, true)
	old := f.instance(i)
	if err := old.Stop(ctx); err != nil {
		return err
	}
	f.links[i].stop()
	in, l, err := f.newInstance(ctx, i)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.links[i] = l
	f.Instances[i] = in
	f.mu.Unlock()
	f.Members.Replace(time.Now(), f.memberListWith(i))
	if err := f.awaitAdmitting(ctx, in); err != nil {
		return err
	}
	f.setStopped(i, false)
	return nil
}

// awaitAdmitting waits until the balancer's health check of an instance passes.
func (f *Fleet) awaitAdmitting(ctx context.Context, in *daemon.Instance) error {
	client := rest.NewClient(dialTimeout, 1)
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		a, err := client.Exchange(ctx, rest.Request{
			Method: http.MethodGet,
			Addr:   in.PublicServer().BoundAddr(),
			Path:   "/healthz",
		})
		if err == nil && a.Status == http.StatusOK {
			return nil
		}
		if ctx.Err() != nil {
			return errs.WithOp(ctx.Err(), "Fleet.awaitAdmitting")
		}
		time.Sleep(readyPollInterval)
	}
}

func (f *Fleet) instance(i int) *daemon.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Instances[i]
}

func (f *Fleet) setStopped(i int, gone bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped[i] = gone
}

// memberListWith is the true list with an instance that the balancer does not use yet.
func (f *Fleet) memberListWith(i int) model.Members {
	f.setStopped(i, false)
	defer f.setStopped(i, true)
	return f.MemberList()
}

// LastServedAt returns when a target of a data centre last got a request of a caller
// that was not refused.
func (f *Fleet) LastServedAt(zone model.ZoneID) time.Time {
	var last time.Time
	for i, e := range f.Engines {
		if f.zone(i) != zone {
			continue
		}
		for _, r := range e.Received() {
			if r.GeneratedTokens > 0 && r.At.After(last) {
				last = r.At
			}
		}
	}
	return last
}
