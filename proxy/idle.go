package proxy

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns tracks idle connections of callers. Its zero value is ready for use.
type idleConns struct {
	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
}

// setState records the new state of a connection. It is the ConnState hook of the
// HTTP server.
func (i *idleConns) setState(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.idleSince == nil {
		i.idleSince = make(map[net.Conn]time.Time)
	}
	if state == http.StateIdle {
		i.idleSince[c] = time.Now()
		return
	}
	delete(i.idleSince, c)
}

// closeIdleSince closes the connections that became idle before t and returns their addresses.
func (i *idleConns) closeIdleSince(t time.Time) []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	var closed []string
	for c, since := range i.idleSince {
		if since.Before(t) {
			closed = append(closed, c.RemoteAddr().String())
			// The error is ignored: the caller opens a new connection.
			_ = c.Close()
			delete(i.idleSince, c)
		}
	}
	return closed
}
