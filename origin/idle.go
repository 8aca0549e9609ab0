package origin

import (
	"net/netip"
	"slices"
	"time"

	"currantstile/errs"
)

// idleList holds the idle connections to one target. A target bounds the connections of all instances
// together, so an instance keeps no more of them than its share: that many at a time, or, if the share
// is below one, a single one for that part of the time.
type idleList struct {
	conns []*conn
	// credit is for how long the next connection of a share below one may be idle, as of creditAt.
	credit   time.Duration
	creditAt time.Time
	// connectedAt is when a connection was last opened.
	connectedAt time.Time
}

// accrue adds the credit of the time since the last call. There is none at the start, as all instances of a
// fleet may start together. The credit of a connection is taken when it is put back; one that is reused
// early gives back what is left.
func (l *idleList) accrue(now time.Time, share float64, most time.Duration) {
	if !l.creditAt.IsZero() {
		l.credit = min(l.credit+time.Duration(share*float64(now.Sub(l.creditAt))), most)
	}
	l.creditAt = now
}

// put adds a connection. It returns those that are to be closed.
func (l *idleList) put(now time.Time, c *conn) []*conn {
	c.idleSince = now
	most := maxIdlePerTarget
	if c.idleShare > 0 {
		most = min(int(c.idleShare), maxIdlePerTarget)
	}
	if most == 0 {
		l.accrue(now, c.idleShare, c.keepAlive)
		if c.keepAlive = min(c.keepAlive, l.credit); c.keepAlive < minIdleTime || len(l.conns) > 0 {
			return []*conn{c}
		}
		l.credit -= c.keepAlive
		most = 1
	}
	l.conns = append(l.conns, c)
	excess := max(len(l.conns)-most, 0)
	closed := slices.Clone(l.conns[:excess])
	l.conns = slices.Delete(l.conns, 0, excess)
	return closed
}

// pop removes and returns the most recently used connection on which the request with the given ID was
// not refused, or nil if there is none.
func (l *idleList) pop(now time.Time, id string) *conn {
	for i := len(l.conns) - 1; i >= 0; i-- {
		c := l.conns[i]
		if id != "" && slices.Contains(c.refused, id) {
			continue
		}
		l.conns = slices.Delete(l.conns, i, i+1)
		if unused := c.keepAlive - now.Sub(c.idleSince); c.idleShare > 0 && c.idleShare < 1 && unused > 0 {
			l.credit += unused
		}
		return c
	}
	return nil
}

// expire removes and returns the connections whose keep-alive time has passed.
func (l *idleList) expire(now time.Time) []*conn {
	return l.remove(func(c *conn) bool { return now.Sub(c.idleSince) >= c.keepAlive })
}

// remove removes and returns connections.
func (l *idleList) remove(which func(*conn) bool) []*conn {
	var removed []*conn
	l.conns = slices.DeleteFunc(l.conns, func(c *conn) bool {
		if !which(c) {
			return false
		}
		removed = append(removed, c)
		return true
	})
	return removed
}

// popIdle removes and returns an idle connection to a target, or nil if there is none.
func (p *Pool) popIdle(now time.Time, addr netip.AddrPort, id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.idle[addr]
	if !ok {
		return nil
	}
	return l.pop(now, id)
}

// release adds an idle connection. One that is kept for a part of the time only is closed by a timer: it is
// gone before CloseExpired comes.
func (p *Pool) release(addr netip.AddrPort, c *conn) {
	share := c.idleShare
	// Another request may have the connection afterwards.
	keepAlive := p.putIdle(time.Now(), addr, c)
	if share > 0 && share < 1 {
		time.AfterFunc(keepAlive, func() {
			errs.Contain(&p.Log, "Pool.closeExpired", func() {
				p.closeExpired(time.Now(), addr)
			})
		})
	}
}

// putIdle adds an idle connection, and closes those of the target that are beyond its share. It returns for
// how long the connection is kept.
func (p *Pool) putIdle(now time.Time, addr netip.AddrPort, c *conn) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	closeAll(p.listOf(addr).put(now, c))
	return c.keepAlive
}

// listOf returns the idle connections to a target. The caller holds mu.
func (p *Pool) listOf(addr netip.AddrPort) *idleList {
	if p.idle == nil {
		p.idle = make(map[netip.AddrPort]*idleList)
	}
	l, ok := p.idle[addr]
	if !ok {
		l = &idleList{}
		p.idle[addr] = l
	}
	return l
}

// closeExpired closes the connections to one target whose keep-alive time has passed.
func (p *Pool) closeExpired(now time.Time, addr netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, ok := p.idle[addr]; ok {
		closeAll(l.expire(now))
	}
}

// CloseExpired closes connections whose keep-alive time has passed.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, l := range p.idle {
		closeAll(l.expire(now))
		if len(l.conns) == 0 && now.Sub(l.creditAt) > defaultKeepAlive && now.Sub(l.connectedAt) > defaultKeepAlive {
			delete(p.idle, addr)
		}
	}
}

// IdleConns returns the number of idle connections.
func (p *Pool) IdleConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, l := range p.idle {
		n += len(l.conns)
	}
	return n
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		// Nothing waits on an idle connection.
		_ = c.Close()
	}
}
