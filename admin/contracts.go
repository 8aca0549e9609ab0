package admin

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/pkg/errors"

	"currantstile/commit"
	"currantstile/httpd"
	"currantstile/memory"
	"currantstile/model"
	"currantstile/stream"
)

// ContractSummary is the list item of one contract.
type ContractSummary struct {
	Organisation model.OrgID     `json:"organisation"`
	Revision     commit.Revision `json:"revision"`
	Rate         int64           `json:"rate"`
	Burst        int64           `json:"burst"`
	Adapters     int             `json:"adapters"`
	Routes       int             `json:"routes"`
	Keys         int             `json:"keys"`
}

// ContractSummaries lists the contracts in force.
type ContractSummaries []ContractSummary

// ContractResponse is one contract with the revision that last changed it.
type ContractResponse struct {
	Revision commit.Revision `json:"revision"`
	Contract model.Contract  `json:"contract"`
}

// ChangeResponse is the response to an accepted change, with the revision that it created.
type ChangeResponse struct {
	Revision commit.Revision `json:"revision"`
	ChangeID string          `json:"change-id"`
	// Key is the text of a newly issued key. It is not stored, so no later response
	// contains it.
	Key   string      `json:"key,omitempty"`
	KeyID model.KeyID `json:"key-id,omitempty"`
}

func (s *Server) handleContracts(_ context.Context, c *app.RequestContext) {
	v := s.View()
	summaries := ContractSummaries{}
	for _, m := range v.Manifest.Contracts {
		x, ok := v.Contract(m.Organisation)
		if !ok {
			continue
		}
		summaries = append(summaries, ContractSummary{
			Organisation: m.Organisation,
			Revision:     m.Revision,
			Rate:         x.Contract.Rate,
			Burst:        x.Contract.Burst,
			Adapters:     len(x.Contract.Adapters),
			Routes:       len(x.Contract.Routes),
			Keys:         len(x.Contract.Keys),
		})
	}
	c.JSON(http.StatusOK, summaries)
}

func (s *Server) handleContract(_ context.Context, c *app.RequestContext) {
	org := model.OrgID(c.Param("org"))
	v := s.View()
	x, ok := v.Contract(org)
	if !ok {
		writeError(c, commit.ErrNoContract)
		return
	}
	response := ContractResponse{
		Contract: x.Contract,
	}
	for _, m := range v.Manifest.Contracts {
		if m.Organisation == org {
			response.Revision = m.Revision
		}
	}
	c.JSON(http.StatusOK, response)
}

func (s *Server) handlePutContract(ctx context.Context, c *app.RequestContext) {
	body, release, err := s.http.ReadBody(ctx, c)
	defer release()
	if err != nil {
		writeBodyProblem(c, err)
		return
	}
	contract, err := model.ParseContract(body)
	if err == nil && string(contract.Organisation) != c.Param("org") {
		var fields model.FieldErrors
		fields.Add("organisation", "is %q, but the path names %q", contract.Organisation, c.Param("org"))
		err = fields.Err()
	}
	if err != nil {
		writeInvalid(c, err)
		return
	}
	base, ok := baseParam(c)
	if !ok {
		return
	}
	s.accept(ctx, c, commit.PutContract{
		Contract: contract,
		Base:     base,
		KeepKeys: true,
	})
}

// writeBodyProblem writes the response for a change whose body was not read; nothing was changed.
func writeBodyProblem(c *app.RequestContext, err error) {
	p := Problem{
		Code:    "body-not-read",
		Message: "nothing was changed: " + err.Error(),
	}
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, memory.ErrNoRoom):
		status, p.Code = http.StatusServiceUnavailable, "no-memory"
	case errors.Is(err, stream.ErrTooLarge):
		status, p.Code = http.StatusRequestEntityTooLarge, "too-large"
	case errors.Is(err, httpd.ErrBodyTooSlow):
		status, p.Code = http.StatusRequestTimeout, "body-too-slow"
	}
	writeProblem(c, status, p)
}

// writeInvalid writes the response for a document that cannot be parsed or is invalid.
func writeInvalid(c *app.RequestContext, err error) {
	if _, ok := err.(model.FieldErrors); ok {
		writeError(c, err)
		return
	}
	writeProblem(c, http.StatusBadRequest, Problem{
		Code:    "invalid",
		Message: err.Error(),
	})
}

// baseParam returns the query parameter base, the revision that a change is based on, or
// zero if it is missing. If it is invalid, baseParam writes a problem and returns false.
func baseParam(c *app.RequestContext) (commit.Revision, bool) {
	text := c.Query("base")
	if text == "" {
		return 0, true
	}
	base, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		writeProblem(c, http.StatusBadRequest, Problem{
			Code:    "invalid",
			Message: "base is not a revision",
		})
		return 0, false
	}
	return commit.Revision(base), true
}

// accept commits the edits as the next revision and writes the response.
func (s *Server) accept(ctx context.Context, c *app.RequestContext, edits ...commit.Edit) {
	accepted, err := s.Acceptor.Accept(ctx, time.Now(), newChange(c, edits...))
	if err != nil {
		s.Log.Warn().Err(err).Msg("oper: change rejected")
		writeError(c, err)
		return
	}
	s.Log.Info().Msgf("oper: revision %d accepted", accepted.Revision)
	c.JSON(http.StatusOK, ChangeResponse{
		Revision: accepted.Revision,
		ChangeID: accepted.ChangeID,
	})
}

func (s *Server) handleRemoveContract(ctx context.Context, c *app.RequestContext) {
	s.accept(ctx, c, commit.RemoveContract{
		Organisation: model.OrgID(c.Param("org")),
	})
}

func (s *Server) handleKeys(_ context.Context, c *app.RequestContext) {
	x, ok := s.View().Contract(model.OrgID(c.Param("org")))
	if !ok {
		writeError(c, commit.ErrNoContract)
		return
	}
	keys := x.Contract.Keys
	if keys == nil {
		keys = model.Keys{}
	}
	c.JSON(http.StatusOK, keys)
}

func (s *Server) handleIssueKey(ctx context.Context, c *app.RequestContext) {
	org := model.OrgID(c.Param("org"))
	text, key := model.IssueKey(time.Now(), org)
	edit := commit.AddKey{
		Organisation: org,
		Key:          key,
	}
	accepted, err := s.Acceptor.Accept(ctx, time.Now(), newChange(c, edit))
	if err != nil {
		writeError(c, err)
		return
	}
	if accepted.Summary != edit.Summary() {
		// An earlier call with the same change ID issued another key.
		writeProblem(c, http.StatusConflict, Problem{
			Code:     "issued-before",
			Message:  "this change was accepted before (" + accepted.Summary + "), and the text of a key is not stored: withdraw that key and issue one with another change id",
			Revision: accepted.Revision,
		})
		return
	}
	c.JSON(http.StatusOK, ChangeResponse{
		Revision: accepted.Revision,
		ChangeID: accepted.ChangeID,
		Key:      text,
		KeyID:    key.ID,
	})
}

func (s *Server) handleWithdrawKey(ctx context.Context, c *app.RequestContext) {
	s.accept(ctx, c, commit.WithdrawKey{
		Organisation: model.OrgID(c.Param("org")),
		ID:           model.KeyID(c.Param("id")),
	})
}

// HistoryEntry is the history item of one accepted revision.
type HistoryEntry struct {
	Revision commit.Revision `json:"revision"`
	By       string          `json:"by"`
	At       time.Time       `json:"at"`
	Summary  string          `json:"summary"`
	ChangeID string          `json:"change-id"`
}

// HistoryEntries lists accepted revisions, newest first.
type HistoryEntries []HistoryEntry

// historyLimit is the maximum number of revisions in the history.
const historyLimit = 20

func (s *Server) handleHistory(ctx context.Context, c *app.RequestContext) {
	list, err := s.Acceptor.History(ctx, historyLimit)
	if err != nil {
		writeError(c, err)
		return
	}
	entries := HistoryEntries{}
	for _, m := range list {
		entries = append(entries, HistoryEntry{
			Revision: m.Revision,
			By:       m.By,
			At:       m.At,
			Summary:  m.Summary,
			ChangeID: m.ChangeID,
		})
	}
	c.JSON(http.StatusOK, entries)
}
