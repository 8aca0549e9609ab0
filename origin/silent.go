package origin

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"currantstile/errs"
	"currantstile/socket"
)

const (
	// silenceDelay is how long a connection delivers nothing before it is looked at: more than the shortest
	// time after which the system sends unacknowledged data again, so that one lost packet is no reason.
	silenceDelay = 300 * time.Millisecond
	// struckSilence is how long a stream that has begun delivers nothing before other silent connections
	// count as evidence against it, and struckGaps how many times its longest gap so far: a quiet target is
	// no silent connection.
	struckSilence = 400 * time.Millisecond
	struckGaps    = 4
	// struckWindow is the time within which two connections are found silent that others are suspected.
	struckWindow = time.Second
	// compareTimeout limits the opening of a connection to compare.
	compareTimeout = 150 * time.Millisecond
	// maxCompares is how many times one request's connection is compared. The system ends a connection
	// with unacknowledged data by tcpUserTimeout.
	maxCompares = 3
	// comparedKeepAlive is how long the connection that was opened to compare is kept.
	comparedKeepAlive = time.Second
)

// ErrSilent is the cause of a SendError if the connection delivered nothing while a new one to the same
// target did. It says nothing about the target.
var ErrSilent = errors.New("connection was silent while a new one to the target was accepted")

// watcher finds out whether the connection of a request is silent.
type watcher struct {
	pool *Pool
	conn *conn
	addr netip.AddrPort
	// writtenAt is when the request was written.
	writtenAt time.Time
	// written is set once all of the request is written.
	written atomic.Bool

	mu       sync.Mutex
	timer    *time.Timer
	compares int
	// done is set once the request is over, and silent once its connection was given up.
	done   bool
	silent bool
}

// watch begins to watch the connection of a request.
func (p *Pool) watch(c *conn, addr netip.AddrPort) *watcher {
	c.longestGap.Store(0)
	w := &watcher{
		pool:      p,
		conn:      c,
		addr:      addr,
		writtenAt: time.Now(),
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(silenceDelay, func() {
		errs.Contain(&p.Log, "watcher.check", w.check)
	})
	return w
}

// writeTo writes the request and sends the result to done. It calls written, which may be nil, once all is
// written.
func (w *watcher) writeTo(done chan<- error, written func(), head, body []byte) {
	errs.Contain(&w.pool.Log, "watcher.write", func() {
		// It stands after a panic.
		err := errs.New("watcher.write", "the request was not written")
		defer func() {
			done <- err
		}()
		err = w.write(head, body)
		if err == nil && written != nil {
			written()
		}
	})
}

// stop ends the watch. It reports whether the connection was given up.
func (w *watcher) stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done = true
	w.timer.Stop()
	return w.silent
}

// silentSince returns when something was last received, or the request was written.
func (w *watcher) silentSince() time.Time {
	if read := w.conn.lastRead.Load(); read != nil && read.After(w.writtenAt) {
		return *read
	}
	return w.writtenAt
}

// check gives the connection up if it is silent and a new one is accepted. A process that is paused or slow
// acknowledges by its system, and a machine that is away accepts none.
func (w *watcher) check() {
	since := w.silentSince()
	if time.Since(since) < silenceDelay || !w.isSuspect(time.Now(), since) {
		w.again()
		return
	}
	if !w.pool.connectedSince(w.addr, since) && !w.compare() {
		w.again()
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done || !w.silentSince().Equal(since) || !w.isSuspect(time.Now(), since) {
		return
	}
	w.silent = true
	_ = w.conn.Close()
	w.pool.recordSilent(time.Now(), since)
}

// isSuspect reports whether a connection that has delivered nothing since a time may be a silent one: what was
// written is not acknowledged, or its stream paused before others were found silent.
func (w *watcher) isSuspect(now, since time.Time) bool {
	if w.written.Load() && since.Equal(w.writtenAt) && socket.HasUnacknowledged(w.conn.Conn) {
		return true
	}
	gap := time.Duration(w.conn.longestGap.Load())
	return gap > 0 && now.Sub(since) >= max(struckSilence, struckGaps*gap) && since.Before(w.pool.lastStruck())
}

// again schedules the next check.
func (w *watcher) again() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.done {
		w.timer.Reset(silenceDelay)
	}
}

// compare opens a new connection, which is kept for the next request. It reports false if that fails.
func (w *watcher) compare() bool {
	w.mu.Lock()
	w.compares++
	tooMany := w.done || w.compares > maxCompares
	w.mu.Unlock()
	if tooMany {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), compareTimeout)
	defer cancel()
	nc, err := w.pool.dial(ctx, w.addr)
	if err != nil {
		return false
	}
	c := newConn(nc, w.conn.idleShare)
	c.keepAlive = comparedKeepAlive
	w.pool.release(w.addr, c)
	return true
}

// recordSilent records that a connection was silent since a time. It closes the idle connections that were
// last used before: what made it silent may have struck them as well.
func (p *Pool) recordSilent(now, before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silentConns++
	if now.Sub(p.silentAt) < struckWindow {
		p.struckAt = now
	}
	p.silentAt = now
	for _, l := range p.idle {
		closeAll(l.remove(func(c *conn) bool { return c.idleSince.Before(before) }))
	}
}

// lastStruck returns when connections were last found silent shortly after others.
func (p *Pool) lastStruck() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.struckAt
}

// connectedSince reports whether a connection to an address was opened after a time.
func (p *Pool) connectedSince(addr netip.AddrPort, t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.idle[addr]
	return ok && l.connectedAt.After(t)
}

// SilentConns returns the number of connections given up because they were silent.
func (p *Pool) SilentConns() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silentConns
}
