package public

import (
	"context"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
)

// modelList is the response body of GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// handleModels lists the adapter versions in the caller's contract.
func (s *Server) handleModels(_ context.Context, c *app.RequestContext, x *exchange) {
	contract, r := s.authenticate(c)
	if r != nil {
		x.writeError(c, *r)
		return
	}
	list := modelList{
		Object: "list",
		Data:   []modelEntry{},
	}
	for _, a := range contract.Contract.Adapters {
		for _, version := range a.Versions {
			list.Data = append(list.Data, modelEntry{
				ID:      a.Name + "@" + version,
				Object:  "model",
				OwnedBy: string(contract.Contract.Organisation),
			})
		}
	}
	c.JSON(http.StatusOK, list)
}
