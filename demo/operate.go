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

// Operate sends a change to the operator interface of an instance. It returns an
// error if the instance does not accept the change.
func (f *Fleet) Operate(ctx context.Context, instance int, method, path string) error {
	client := rest.NewClient(dialTimeout, 1)
	resp, err := client.Exchange(ctx, rest.Request{
		Method: method,
		Addr:   f.Instances[instance].AdminServer().BoundAddr(),
		Path:   path,
		Header: http.Header{
			admin.HeaderOperator: {"trial"},
		},
	})
	if err == nil && resp.Status != http.StatusOK {
		err = errors.Errorf("operator request not accepted: status %d: %s", resp.Status, resp.Body)
	}
	return errs.WithOp(err, "Fleet.Operate")
}

// Restart replaces an instance by a new one with the same ID at new addresses. The
// load balancer stops sending to the old instance, which shuts down gracefully; the
// new one is listed, and gets requests once its health check passes.
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

// awaitAdmitting waits until an instance passes the load balancer's health check.
func (f *Fleet) awaitAdmitting(ctx context.Context, in *daemon.Instance) error {
	client := rest.NewClient(dialTimeout, 1)
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		resp, err := client.Exchange(ctx, rest.Request{
			Method: http.MethodGet,
			Addr:   in.PublicServer().BoundAddr(),
			Path:   "/healthz",
		})
		if err == nil && resp.Status == http.StatusOK {
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

func (f *Fleet) setStopped(i int, stopped bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped[i] = stopped
}

// memberListWith returns MemberList including the i-th instance, which does not pass
// its health check yet. Meanwhile the instance briefly counts as running.
func (f *Fleet) memberListWith(i int) model.Members {
	f.setStopped(i, false)
	defer f.setStopped(i, true)
	return f.MemberList()
}

// LastServedAt returns when an engine of a data centre last received a request for
// which it generated tokens, or the zero time if there was none.
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
