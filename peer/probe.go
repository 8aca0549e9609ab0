package peer

import (
	"context"
	"net/netip"
	"net/rpc"
	"time"

	"github.com/pkg/errors"

	"currantstile/errs"
)

const (
	// silenceDelay is for how long a connection with waiting calls delivers nothing until it is
	// probed, and until the probe is taken for lost and a new connection is opened to compare.
	silenceDelay = 100 * time.Millisecond
	// compareGrace is how much later than on the new connection an answer may come on the probed
	// one: an answer that comes shows that the peer was slow.
	compareGrace = 50 * time.Millisecond
	// probeTimeout limits the wait for an answer on the new connection.
	probeTimeout = 2 * time.Second
	// minReplaceInterval is the shortest time between two new connections to one peer that are
	// opened to compare.
	minReplaceInterval = time.Second
)

// Names of the service that every Server offers to probes.
const (
	linkService = "Link"
	methodProbe = "Link.Probe"
)

// ErrReplaced is the cause of a failed call whose connection was silent and was replaced. The call may
// have been carried out.
var ErrReplaced = errors.New("connection was silent and was replaced")

// GivenUp describes a silent connection that was replaced.
type GivenUp struct {
	Addr netip.AddrPort
	// Silent is for how long nothing had been received, and Waiting how many calls waited.
	Silent  time.Duration
	Waiting int
}

// link answers the probes of connections.
type link struct{}

// Probe does nothing; its answer shows that the connection works.
func (link) Probe(_ struct{}, _ *struct{}) error {
	return nil
}

// await waits for the end of a call, and probes the connection whenever nothing is received meanwhile.
func (c *peerConn) await(ctx context.Context, call *rpc.Call, conn *watchedConn, addr netip.AddrPort, p *Pool) error {
	conn.waiting.Add(1)
	defer conn.waiting.Add(-1)
	began := time.Now()
	timer := time.NewTimer(silenceDelay)
	defer timer.Stop()
	for {
		select {
		case <-call.Done:
			if call.Error != nil && conn.replaced.Load() {
				return ErrReplaced
			}
			return call.Error
		case <-ctx.Done():
			return ctx.Err()
		case now := <-timer.C:
			if now.Sub(began) >= silenceDelay && conn.silence(now) >= silenceDelay && conn.probing.CompareAndSwap(false, true) {
				go errs.Contain(&p.Log, "Pool.probe", func() {
					c.probe(conn, addr, p)
				})
			}
			timer.Reset(silenceDelay)
		}
	}
}

// silence returns for how long nothing has been received.
func (w *watchedConn) silence(now time.Time) time.Duration {
	return now.Sub(w.opened) - time.Duration(w.lastRead.Load())
}

// probe asks for an answer on a connection that is silent. If none comes, it asks on a new connection: if
// one comes there, the old connection is dead, and the new one takes its place. Otherwise the peer is
// slow, paused or cut off, which no connection would change.
func (c *peerConn) probe(old *watchedConn, addr netip.AddrPort, p *Pool) {
	defer old.probing.Store(false)
	asked := time.Now()
	answered := old.client.Go(methodProbe, struct{}{}, &struct{}{}, make(chan *rpc.Call, 1)).Done
	select {
	case <-answered:
		return
	case <-time.After(silenceDelay):
	}
	if old.silence(time.Now()) < time.Since(asked) || !c.mayCompare(asked) {
		return
	}
	fresh, err := c.open(addr, p)
	if err != nil {
		return
	}
	select {
	case call := <-fresh.client.Go(methodProbe, struct{}{}, &struct{}{}, make(chan *rpc.Call, 1)).Done:
		var refused rpc.ServerError
		if call.Error != nil && !errors.As(call.Error, &refused) {
			_ = fresh.Close()
			return
		}
	case <-answered:
		_ = fresh.Close()
		return
	case <-time.After(probeTimeout):
		_ = fresh.Close()
		return
	}
	select {
	case <-answered:
	case <-time.After(compareGrace):
	}
	now := time.Now()
	silent := old.silence(now)
	if silent < now.Sub(asked) || !c.replace(old, fresh) {
		_ = fresh.Close()
		return
	}
	if p.GaveUp != nil {
		p.GaveUp(GivenUp{
			Addr:    addr,
			Silent:  silent,
			Waiting: int(old.waiting.Load()),
		})
	}
	// Its calls fail with ErrReplaced.
	old.replaced.Store(true)
	_ = old.client.Close()
}

// mayCompare reports whether a connection may be opened to compare, and counts it.
func (c *peerConn) mayCompare(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.comparedAt.IsZero() && now.Sub(c.comparedAt) < minReplaceInterval {
		return false
	}
	c.comparedAt = now
	return true
}

// replace puts a new connection in the place of another, and reports whether that was still in use.
func (c *peerConn) replace(old, fresh *watchedConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != old {
		return false
	}
	c.conn = fresh
	return true
}
