package proxy

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns knows the connections that wait for a request. Its zero value is
// ready for use.
type idleConns struct {
	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
}

// setState takes in a connection's new state.
func (s *idleConns) setState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idleSince == nil {
		s.idleSince = make(map[net.Conn]time.Time)
	}
	if state == http.StateIdle {
		s.idleSince[c] = time.Now()
		return
	}
	delete(s.idleSince, c)
}

// closeIdleSince closes the connections that have been idle since a time or longer.
func (s *idleConns) closeIdleSince(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, since := range s.idleSince {
		if since.Before(t) {
			// The caller opens another one; there is nothing to report.
			_ = c.Close()
			delete(s.idleSince, c)
		}
	}
}
