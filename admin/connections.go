package admin

import (
	"context"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"

	"currantstile/memory"
)

// ConnectionStatus is what the connections of one listener take.
type ConnectionStatus struct {
	Open int `json:"open"`
	// Refused is the number of connections that were refused or closed, by kind.
	Refused map[string]int64 `json:"refused"`
}

// PoolStatus is what is held of one share of the memory, in bytes.
type PoolStatus struct {
	Held    int64 `json:"held"`
	Limit   int64 `json:"limit"`
	Refused int64 `json:"refused"`
}

// ConnectionsResponse is the response with the bounds of callers, by listener and by share of the memory.
type ConnectionsResponse struct {
	Listeners map[string]ConnectionStatus `json:"listeners"`
	Memory    map[string]PoolStatus       `json:"memory"`
}

// handleConnections returns what the connections of callers take.
func (s *Server) handleConnections(_ context.Context, c *app.RequestContext) {
	resp := ConnectionsResponse{
		Listeners: make(map[string]ConnectionStatus),
		Memory:    make(map[string]PoolStatus),
	}
	if s.Listeners != nil {
		for _, l := range s.Listeners() {
			status := ConnectionStatus{
				Open:    l.Len(),
				Refused: make(map[string]int64),
			}
			l.EachCount(func(kind string, count int64) {
				status.Refused[kind] = count
			})
			resp.Listeners[l.Name] = status
		}
	}
	if s.Budget != nil {
		for name, p := range map[string]*memory.Pool{
			"bodies":      s.Budget.Bodies,
			"connections": s.Budget.Conns,
			"messages":    s.Budget.Messages,
		} {
			resp.Memory[name] = PoolStatus{
				Held:    p.Held(),
				Limit:   p.Limit(),
				Refused: p.Refused(),
			}
		}
	}
	c.JSON(http.StatusOK, resp)
}
