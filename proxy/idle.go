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
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

// note takes in a connection's new state.
func (s *idleConns) note(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since == nil {
		s.since = make(map[net.Conn]time.Time)
	}
	if state == http.StateIdle {
		s.since[c] = time.Now()
		return
	}
	delete(s.since, c)
}

// closeSince closes the connections that have been idle since a time or longer.
func (s *idleConns) closeSince(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, since := range s.since {
		if since.Before(t) {
			// The caller opens another one; there is nothing to report.
			_ = c.Close()
			delete(s.since, c)
		}
	}
}
