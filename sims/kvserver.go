package sims

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/route"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"currantstile/store"
)

const (
	maxWatchWait           = time.Minute
	leaseCheckInterval     = 50 * time.Millisecond
	defaultWritesPerSecond = 400
	defaultReadsPerSecond  = 2000
)

// StoreCalls counts the calls to a StoreServer.
type StoreCalls struct {
	// Reads and Writes count the calls within the rate limit; watches are reads.
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	// PendingWatches is the number of watches that are waiting now.
	PendingWatches int64 `json:"waiting"`
	// RateLimited counts the calls that were refused by the rate limit.
	RateLimited uint64 `json:"limited"`
}

// StoreServer simulates the platform's key-value service. Its exported fields must
// be set before Start.
type StoreServer struct {
	Addr netip.AddrPort
	Seed uint64
	// WritesPerSecond and ReadsPerSecond limit the rate of calls, with a burst of one
	// second; zero means 400 and 2,000.
	WritesPerSecond int
	ReadsPerSecond  int

	base
	kvMu         sync.Mutex
	kv           *kvModel
	changed      chan struct{}
	calls        StoreCalls
	writeLimiter *rate.Limiter
	readLimiter  *rate.Limiter
	stop         chan struct{}
}

// Start starts the server and returns without waiting for requests.
func (s *StoreServer) Start() error {
	s.kv = newKVModel()
	s.changed = make(chan struct{})
	s.stop = make(chan struct{})
	s.writeLimiter = newLimiter(s.WritesPerSecond, defaultWritesPerSecond)
	s.readLimiter = newLimiter(s.ReadsPerSecond, defaultReadsPerSecond)
	if err := s.start(s.Addr, s.Seed, s.routes); err != nil {
		return err
	}
	go s.expireLeases()
	return nil
}

func newLimiter(perSecond, fallback int) *rate.Limiter {
	if perSecond == 0 {
		perSecond = fallback
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// Stop stops the server and ends the pending watches.
func (s *StoreServer) Stop(ctx context.Context) error {
	close(s.stop)
	return s.server.Stop(ctx)
}

// BoundAddr returns the address that the server listens on.
func (s *StoreServer) BoundAddr() netip.AddrPort {
	return s.server.BoundAddr()
}

// Calls returns the call counts since the start.
func (s *StoreServer) Calls() StoreCalls {
	s.kvMu.Lock()
	defer s.kvMu.Unlock()
	return s.calls
}

func (s *StoreServer) routes(e *route.Engine) {
	e.GET("/v1/kv/*key", s.withFaults(s.rateLimited(s.readLimiter, s.handleGet)))
	e.PUT("/v1/kv/*key", s.withFaults(s.rateLimited(s.writeLimiter, s.handlePut)))
	e.DELETE("/v1/kv/*key", s.withFaults(s.rateLimited(s.writeLimiter, s.handleDelete)))
	e.GET("/v1/list", s.withFaults(s.rateLimited(s.readLimiter, s.handleList)))
	e.GET("/v1/watch", s.withFaults(s.rateLimited(s.readLimiter, s.handleWatch)))
	e.POST("/v1/leases", s.withFaults(s.rateLimited(s.writeLimiter, s.handleGrant)))
	e.POST("/v1/leases/:id/renew", s.withFaults(s.rateLimited(s.writeLimiter, s.handleRenew)))
	e.DELETE("/v1/leases/:id", s.withFaults(s.rateLimited(s.writeLimiter, s.handleRevoke)))
	e.GET("/calls", s.handleCalls)
	e.POST("/faults", s.handleFaults)
}

// rateLimited wraps a handler: it counts each call and refuses those above the limit
// of l with status 429.
func (s *StoreServer) rateLimited(l *rate.Limiter, handle app.HandlerFunc) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		ok := l.AllowN(time.Now(), 1)
		s.kvMu.Lock()
		switch {
		case !ok:
			s.calls.RateLimited++
		case l == s.writeLimiter:
			s.calls.Writes++
		default:
			s.calls.Reads++
		}
		s.kvMu.Unlock()
		if !ok {
			writeError(c, http.StatusTooManyRequests, "limited", "above the service's rate")
			return
		}
		handle(ctx, c)
	}
}

func (s *StoreServer) handleCalls(_ context.Context, c *app.RequestContext) {
	c.JSON(http.StatusOK, s.Calls())
}

func (s *StoreServer) handleFaults(_ context.Context, c *app.RequestContext) {
	f, ok := decodeFaults(c)
	if !ok {
		return
	}
	s.SetFaults(f)
	c.JSON(http.StatusOK, f)
}

// SetFaults replaces the injected faults. A rollback is carried out immediately and only
// once.
func (s *StoreServer) SetFaults(f Faults) {
	if f.Rollback > 0 {
		s.kvMu.Lock()
		s.kv.rollback(f.Rollback)
		s.notifyWatches()
		s.kvMu.Unlock()
		f.Rollback = 0
	}
	s.setFaults(f)
}

func keyParam(c *app.RequestContext) string {
	return strings.TrimPrefix(c.Param("key"), "/")
}

func revisionParam(c *app.RequestContext, name string) (store.Revision, bool) {
	v, err := strconv.ParseUint(c.Query(name), 10, 64)
	if err != nil {
		writeError(c, http.StatusBadRequest, "bad-revision", name+" is not a revision")
		return 0, false
	}
	return store.Revision(v), true
}

func (s *StoreServer) handleGet(_ context.Context, c *app.RequestContext) {
	s.kvMu.Lock()
	e, err := s.kv.get(keyParam(c))
	s.kvMu.Unlock()
	if err != nil {
		writeStoreError(c, err)
		return
	}
	c.JSON(http.StatusOK, e)
}

func (s *StoreServer) handleList(_ context.Context, c *app.RequestContext) {
	s.kvMu.Lock()
	b := s.kv.list(c.Query("prefix"))
	s.kvMu.Unlock()
	c.JSON(http.StatusOK, b)
}

type revisionBody struct {
	Revision store.Revision `json:"revision"`
}

func (s *StoreServer) handlePut(_ context.Context, c *app.RequestContext) {
	expect, ok := revisionParam(c, "expect")
	if !ok {
		return
	}
	w := store.Write{
		Key:    keyParam(c),
		Value:  append([]byte{}, c.Request.Body()...),
		Expect: expect,
		Lease:  store.LeaseID(c.Query("lease")),
	}
	s.kvMu.Lock()
	rev, err := s.kv.put(w)
	s.notifyWatches()
	s.kvMu.Unlock()
	if err != nil {
		writeStoreError(c, err)
		return
	}
	c.JSON(http.StatusOK, revisionBody{
		Revision: rev,
	})
}

func (s *StoreServer) handleDelete(_ context.Context, c *app.RequestContext) {
	expect, ok := revisionParam(c, "expect")
	if !ok {
		return
	}
	s.kvMu.Lock()
	err := s.kv.deleteIfRevision(keyParam(c), expect)
	s.notifyWatches()
	s.kvMu.Unlock()
	if err != nil {
		writeStoreError(c, err)
	}
}

// notifyWatches makes all pending watches read the store again. The caller must hold
// kvMu.
func (s *StoreServer) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *StoreServer) handleWatch(ctx context.Context, c *app.RequestContext) {
	after, ok := revisionParam(c, "after")
	if !ok {
		return
	}
	wait, err := time.ParseDuration(c.Query("wait"))
	if err != nil || wait < 0 || wait > maxWatchWait {
		writeError(c, http.StatusBadRequest, "bad-wait", "wait is not a duration up to a minute")
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.addPendingWatches(1)
	defer s.addPendingWatches(-1)
	for {
		s.kvMu.Lock()
		b, err := s.kv.changesSince(c.Query("prefix"), after)
		changed := s.changed
		s.kvMu.Unlock()
		if err != nil {
			writeStoreError(c, err)
			return
		}
		if len(b.Entries) > 0 {
			c.JSON(http.StatusOK, b)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			c.JSON(http.StatusOK, b)
			return
		case <-ctx.Done():
			return
		case <-s.stop:
			writeStoreError(c, store.ErrUnavailable)
			return
		}
	}
}

func (s *StoreServer) addPendingWatches(n int64) {
	s.kvMu.Lock()
	defer s.kvMu.Unlock()
	s.calls.PendingWatches += n
	if n > 0 {
		s.calls.Watches++
	}
}

type leaseBody struct {
	TTL   string        `json:"ttl,omitempty"`
	Lease store.LeaseID `json:"lease,omitempty"`
}

func (s *StoreServer) handleGrant(_ context.Context, c *app.RequestContext) {
	var in leaseBody
	if err := c.BindJSON(&in); err != nil {
		writeError(c, http.StatusBadRequest, "bad-lease", err.Error())
		return
	}
	ttl, err := time.ParseDuration(in.TTL)
	if err != nil || ttl <= 0 {
		writeError(c, http.StatusBadRequest, "bad-lease", "ttl is not a positive duration")
		return
	}
	s.kvMu.Lock()
	id := s.kv.grant(time.Now(), ttl)
	s.kvMu.Unlock()
	c.JSON(http.StatusOK, leaseBody{
		Lease: id,
	})
}

func (s *StoreServer) handleRenew(_ context.Context, c *app.RequestContext) {
	s.kvMu.Lock()
	err := s.kv.renew(time.Now(), store.LeaseID(c.Param("id")))
	s.kvMu.Unlock()
	if err != nil {
		writeStoreError(c, err)
	}
}

func (s *StoreServer) handleRevoke(_ context.Context, c *app.RequestContext) {
	s.kvMu.Lock()
	err := s.kv.revoke(store.LeaseID(c.Param("id")))
	s.notifyWatches()
	s.kvMu.Unlock()
	if err != nil {
		writeStoreError(c, err)
	}
}

// expireLeases revokes expired leases periodically until Stop.
func (s *StoreServer) expireLeases() {
	t := time.NewTicker(leaseCheckInterval)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			s.kvMu.Lock()
			if s.kv.expireLeases(now) {
				s.notifyWatches()
			}
			s.kvMu.Unlock()
		case <-s.stop:
			return
		}
	}
}

func writeStoreError(c *app.RequestContext, err error) {
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict):
		c.JSON(http.StatusConflict, revisionBody{
			Revision: conflict.Current,
		})
	case errors.Is(err, store.ErrNotFound):
		writeError(c, http.StatusNotFound, "not-found", err.Error())
	case errors.Is(err, store.ErrCompacted):
		writeError(c, http.StatusGone, "compacted", err.Error())
	case errors.Is(err, store.ErrTooLarge):
		writeError(c, http.StatusRequestEntityTooLarge, "too-large", err.Error())
	default:
		writeError(c, http.StatusServiceUnavailable, "unavailable", err.Error())
	}
}
