// Package admin serves the operators' HTTP interface: contracts, keys, taking
// data centres, instances and targets out of service and putting them back,
// status, report, and metrics. It listens on its own address, separate from the
// callers' interface.
//
// # Usage
//
//	s := &admin.Server{Addr: addr, Acceptor: acceptor, View: follower.View, ...}
//	if err := s.Start(); err != nil {
//		return err
//	}
//	defer s.Stop(ctx)
package admin

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"net/netip"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/route"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"currantstile/accept"
	"currantstile/commit"
	"currantstile/httpd"
	"currantstile/loader"
	"currantstile/member"
	"currantstile/memory"
	"currantstile/metric"
	"currantstile/model"
	"currantstile/peer"
	"currantstile/store"
	"currantstile/wire"
)

// Request headers of changes. HeaderChangeID makes a change idempotent: a client that
// lost the response sends it again under the same ID, and it is applied once.
// HeaderOperator names the operator, for the history.
const (
	HeaderChangeID  = "X-Change-Id"
	HeaderOperator  = "X-Operator"
	defaultOperator = "unnamed"
)

// Server serves the operators' interface of one instance. Its exported fields must be
// set before Start.
type Server struct {
	Addr     netip.AddrPort
	Acceptor *commit.Acceptor
	View     func() *commit.View
	Members  func() *member.View
	Peers    *peer.Pool
	// Self returns the status of this instance. It is not used at present.
	Self func() wire.StatusReply
	// Adapters returns the adapters on the targets that this instance manages.
	Adapters func() []loader.TargetSummary
	Stats    *metric.Set
	// Token is the bearer token of operators; if empty, anyone who can reach Addr has
	// access.
	Token string
	// Budget bounds the memory of connections and bodies; nil is no bound on connections either.
	Budget *memory.Budget
	// Listeners are those whose refusals are in the metrics.
	Listeners func() []*accept.Listener
	Log       log.Logger

	http httpd.Server
}

// Start starts to listen on Addr and serves requests in the background.
func (s *Server) Start() error {
	s.http = httpd.Server{
		Addr:   s.Addr,
		Routes: s.routes,
		Log:    s.Log,
	}
	if s.Budget != nil {
		s.http.Bounds = &httpd.Bounds{
			Name:   "operators",
			Share:  accept.SmallShare,
			Budget: s.Budget,
		}
	}
	return s.http.Start()
}

// Run enforces the time limits of connections until ctx ends.
func (s *Server) Run(ctx context.Context) {
	s.http.Run(ctx)
}

// Bounded returns the listener that bounds the connections; nil if there is none.
func (s *Server) Bounded() *accept.Listener {
	return s.http.Bounded()
}

// BoundAddr returns the address that the server listens on.
func (s *Server) BoundAddr() netip.AddrPort {
	return s.http.BoundAddr()
}

// Stop shuts the server down gracefully, as httpd.Server.Stop does.
func (s *Server) Stop(ctx context.Context) error {
	return s.http.Stop(ctx)
}

// Kill closes the listener and all connections immediately.
func (s *Server) Kill() {
	s.http.Kill()
}

// authorize is middleware that rejects requests without the operators' token, if one is
// set.
func (s *Server) authorize(ctx context.Context, c *app.RequestContext) {
	header := string(c.Request.Header.Peek("Authorization"))
	if s.Token != "" && subtle.ConstantTimeCompare([]byte(header), []byte("Bearer "+s.Token)) != 1 {
		writeProblem(c, http.StatusUnauthorized, Problem{
			Code:    "unauthorized",
			Message: "the operators' token is missing or wrong",
		})
		c.Abort()
		return
	}
	c.Next(ctx)
}

func (s *Server) routes(e *route.Engine) {
	e.Use(s.authorize)
	e.GET("/v1/contracts", s.handleContracts)
	e.GET("/v1/contracts/:org", s.handleContract)
	e.PUT("/v1/contracts/:org", s.handlePutContract)
	e.DELETE("/v1/contracts/:org", s.handleRemoveContract)
	e.GET("/v1/contracts/:org/keys", s.handleKeys)
	e.POST("/v1/contracts/:org/keys", s.handleIssueKey)
	e.DELETE("/v1/contracts/:org/keys/:id", s.handleWithdrawKey)
	e.GET("/v1/history", s.handleHistory)
	e.GET("/v1/out/:kind", s.handleListResources)
	e.PUT("/v1/out/:kind/:name", s.handleTakeOut)
	e.DELETE("/v1/out/:kind/:name", s.handlePutBack)
	e.GET("/v1/adapters", s.handleAdapters)
	e.GET("/v1/status", s.handleStatus)
	e.GET("/v1/report", s.handleReport)
	e.GET("/debug/vars", s.handleVars)
	e.GET("/debug/connections", s.handleConnections)
}

// Problem is the body of an error response.
type Problem struct {
	Code    string            `json:"code"`
	Message string            `json:"message"`
	Fields  model.FieldErrors `json:"fields,omitempty"`
	// Revision is the revision that a change conflicts with.
	Revision commit.Revision `json:"revision,omitempty"`
}

func writeProblem(c *app.RequestContext, status int, p Problem) {
	c.JSON(status, p)
}

// writeError writes the response for an error of a change: its status, problem code
// and details.
func writeError(c *app.RequestContext, err error) {
	var fields model.FieldErrors
	var conflict *commit.ConflictError
	p := Problem{
		Message: err.Error(),
	}
	status := http.StatusInternalServerError
	switch {
	case errors.As(err, &fields):
		status, p.Code, p.Fields = http.StatusUnprocessableEntity, "invalid", fields
	case errors.As(err, &conflict):
		status, p.Code, p.Revision = http.StatusConflict, "conflict", conflict.Revision
	case errors.Is(err, commit.ErrNoContract), errors.Is(err, commit.ErrNoKey):
		status, p.Code = http.StatusNotFound, "not-found"
	case store.IsRefused(err):
		status, p.Code = http.StatusServiceUnavailable, "store-unavailable"
		p.Message = "nothing was changed: " + p.Message
	case store.IsAmbiguous(err):
		status, p.Code = http.StatusGatewayTimeout, "unknown"
		p.Message = "the change may have been accepted; send it again with the same change id: " + p.Message
	case errors.Is(err, store.ErrTooLarge):
		status, p.Code = http.StatusRequestEntityTooLarge, "too-large"
	default:
		p.Code = "failed"
	}
	writeProblem(c, status, p)
}

// newChange returns a change with the edits, and with the change ID and operator from
// the request's headers. Without a change ID, it generates one.
func newChange(c *app.RequestContext, edits ...commit.Edit) commit.Change {
	id := string(c.Request.Header.Peek(HeaderChangeID))
	if id == "" {
		id = newChangeID()
	}
	by := string(c.Request.Header.Peek(HeaderOperator))
	if by == "" {
		by = defaultOperator
	}
	return commit.Change{
		ID:    id,
		By:    by,
		Edits: edits,
	}
}

func newChangeID() string {
	var b [12]byte
	// crypto/rand.Read never returns an error; it crashes the process instead.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
