package store

import (
	"context"
	"time"
)

// Instrumented wraps a KV and reports the result of each call, for metrics.
type Instrumented struct {
	KV KV
	// Observe is called with the name and the error of each call. It must be
	// safe for concurrent use.
	Observe func(call string, err error)
}

var _ KV = (*Instrumented)(nil)

// observe reports the error of a call and returns the call's results.
func observe[T any](o *Instrumented, call string, result T, err error) (T, error) {
	o.Observe(call, err)
	return result, err
}

// Get implements KV.
func (o *Instrumented) Get(ctx context.Context, key string) (Entry, error) {
	e, err := o.KV.Get(ctx, key)
	return observe(o, "get", e, err)
}

// List implements KV.
func (o *Instrumented) List(ctx context.Context, prefix string) (Batch, error) {
	b, err := o.KV.List(ctx, prefix)
	return observe(o, "list", b, err)
}

// Watch implements KV.
func (o *Instrumented) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Batch, error) {
	b, err := o.KV.Watch(ctx, prefix, after, wait)
	return observe(o, "watch", b, err)
}

// Put implements KV.
func (o *Instrumented) Put(ctx context.Context, w Write) (Revision, error) {
	r, err := o.KV.Put(ctx, w)
	return observe(o, "put", r, err)
}

// Delete implements KV.
func (o *Instrumented) Delete(ctx context.Context, key string, expect Revision) error {
	err := o.KV.Delete(ctx, key, expect)
	o.Observe("delete", err)
	return err
}

// Grant implements KV.
func (o *Instrumented) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	id, err := o.KV.Grant(ctx, ttl)
	return observe(o, "grant", id, err)
}

// Renew implements KV.
func (o *Instrumented) Renew(ctx context.Context, id LeaseID) error {
	err := o.KV.Renew(ctx, id)
	o.Observe("renew", err)
	return err
}

// Revoke implements KV.
func (o *Instrumented) Revoke(ctx context.Context, id LeaseID) error {
	err := o.KV.Revoke(ctx, id)
	o.Observe("revoke", err)
	return err
}
