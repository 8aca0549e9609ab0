// Package remote provides HTTP clients for the platform's services: the key-value
// service and the member list.
//
// # Usage
//
//	kv := &remote.Store{Addr: addr, HTTP: rest.NewClient(time.Second, 8)}
//	members := &remote.Members{Addr: addr, HTTP: client}
package remote

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"currantstile/errs"
	"currantstile/rest"
	"currantstile/store"
)

// DefaultTimeout is the default timeout of all calls but Watch.
const DefaultTimeout = 2 * time.Second

// watchMargin is added to the requested wait of a watch to get its timeout.
const watchMargin = time.Second

// Store is an HTTP client of the key-value service. Its fields must be set before
// the first call.
type Store struct {
	Addr netip.AddrPort
	HTTP *rest.Client
	// Timeout limits each call but Watch; DefaultTimeout if zero.
	Timeout time.Duration
}

var _ store.KV = (*Store)(nil)

type revisionResponse struct {
	Revision store.Revision `json:"revision"`
}

type leaseRequest struct {
	TTL string `json:"ttl"`
}

type leaseResponse struct {
	Lease store.LeaseID `json:"lease"`
}

// Get implements store.KV.
func (c *Store) Get(ctx context.Context, key string) (store.Entry, error) {
	var e store.Entry
	err := c.read(ctx, "Store.Get", keyPath(key), 0, &e)
	return e, err
}

// List implements store.KV.
func (c *Store) List(ctx context.Context, prefix string) (store.Batch, error) {
	var b store.Batch
	err := c.read(ctx, "Store.List", "/v1/list?prefix="+url.QueryEscape(prefix), 0, &b)
	return b, err
}

// Watch implements store.KV.
func (c *Store) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Batch, error) {
	q := url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatUint(uint64(after), 10)},
		"wait":   {wait.String()},
	}
	var b store.Batch
	err := c.read(ctx, "Store.Watch", "/v1/watch?"+q.Encode(), wait+watchMargin, &b)
	return b, err
}

// Put implements store.KV.
func (c *Store) Put(ctx context.Context, w store.Write) (store.Revision, error) {
	if len(w.Value) > store.MaxValueBytes {
		return 0, errs.WithPeer(store.ErrTooLarge, "Store.Put", c.Addr)
	}
	q := url.Values{
		"expect": {strconv.FormatUint(uint64(w.Expect), 10)},
	}
	if w.Lease != "" {
		q.Set("lease", string(w.Lease))
	}
	var out revisionResponse
	err := c.write(ctx, "Store.Put", rest.Request{
		Method: http.MethodPut,
		Path:   keyPath(w.Key) + "?" + q.Encode(),
		Body:   w.Value,
	}, w.Key, &out)
	return out.Revision, err
}

// Delete implements store.KV.
func (c *Store) Delete(ctx context.Context, key string, expect store.Revision) error {
	return c.write(ctx, "Store.Delete", rest.Request{
		Method: http.MethodDelete,
		Path:   keyPath(key) + "?expect=" + strconv.FormatUint(uint64(expect), 10),
	}, key, nil)
}

// Grant implements store.KV.
func (c *Store) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	var out leaseResponse
	resp, err := c.HTTP.ExchangeJSON(ctx, rest.Request{
		Method: http.MethodPost,
		Addr:   c.Addr,
		Path:   "/v1/leases",
	}, leaseRequest{
		TTL: ttl.String(),
	}, &out)
	return out.Lease, errs.WithPeer(writeError(resp, err, ""), "Store.Grant", c.Addr)
}

// Renew implements store.KV.
func (c *Store) Renew(ctx context.Context, id store.LeaseID) error {
	err := c.write(ctx, "Store.Renew", rest.Request{
		Method: http.MethodPost,
		Path:   "/v1/leases/" + string(id) + "/renew",
	}, "", nil)
	if errors.Is(err, store.ErrNotFound) {
		return errs.WithPeer(store.ErrLeaseLost, "Store.Renew", c.Addr)
	}
	return err
}

// Revoke implements store.KV.
func (c *Store) Revoke(ctx context.Context, id store.LeaseID) error {
	return c.write(ctx, "Store.Revoke", rest.Request{
		Method: http.MethodDelete,
		Path:   "/v1/leases/" + string(id),
	}, "", nil)
}

func (c *Store) timeout() time.Duration {
	if c.Timeout == 0 {
		return DefaultTimeout
	}
	return c.Timeout
}

// keyPath returns the escaped URL path of a key. Slashes in the key are not escaped.
func keyPath(key string) string {
	u := url.URL{
		Path: "/v1/kv/" + key,
	}
	return u.EscapedPath()
}

// read makes a call without side effects. If the exchange fails, the error is
// store.ErrUnavailable; an unexpected status is store.ErrAmbiguous, as in write.
func (c *Store) read(ctx context.Context, op, path string, timeout time.Duration, out any) error {
	if timeout == 0 {
		timeout = c.timeout()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := c.HTTP.ExchangeJSON(ctx, rest.Request{
		Method: http.MethodGet,
		Addr:   c.Addr,
		Path:   path,
	}, nil, out)
	if err != nil {
		return errs.WithPeer(errors.Wrap(store.ErrUnavailable, err.Error()), op, c.Addr)
	}
	return errs.WithPeer(statusError(resp.Status, "", 0), op, c.Addr)
}

// write makes a call with side effects and decodes the response into out unless out is
// nil. A response that cannot be decoded is an ambiguous result.
func (c *Store) write(ctx context.Context, op string, r rest.Request, key string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	r.Addr = c.Addr
	resp, err := c.HTTP.Exchange(ctx, r)
	if err == nil && resp.Status == http.StatusOK && out != nil {
		err = decodeBody(resp.Body, out)
	}
	return errs.WithPeer(writeError(resp, err, key), op, c.Addr)
}
