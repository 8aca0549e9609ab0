package public

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"currantstile/model"
)

const headerRequestID = "X-Request-Id"

// exchange is one request of a caller while it is served.
type exchange struct {
	id    string
	begun time.Time
	org   model.OrgID
}

// idSource makes request ids that no other run of any instance makes.
type idSource struct {
	prefix string
	count  atomic.Uint64
}

func (s *idSource) init(self string) {
	var nonce [4]byte
	// crypto/rand.Read never returns an error: it ends the process instead.
	_, _ = rand.Read(nonce[:])
	s.prefix = self + "-" + hex.EncodeToString(nonce[:]) + "-"
}

func (s *idSource) next() string {
	return s.prefix + strconv.FormatUint(s.count.Add(1), 36)
}

// refusal is an answer that is not the one asked for.
type refusal struct {
	status  int
	kind    string
	code    string
	message string
	outcome model.Outcome
	// retryAfter is when the caller may come again; zero says nothing.
	retryAfter time.Duration
}

// Kinds of errors, as OpenAI-style clients know them.
const (
	kindInvalid   = "invalid_request_error"
	kindAuth      = "authentication_error"
	kindNotFound  = "not_found_error"
	kindRateLimit = "rate_limit_error"
	kindServer    = "server_error"
)

func notRun(status int, kind, code, message string) refusal {
	return refusal{
		status:  status,
		kind:    kind,
		code:    code,
		message: message,
		outcome: model.NotRun{},
	}
}

var (
	errDraining        = notRun(http.StatusServiceUnavailable, kindServer, "draining", "this instance is shutting down; send the request again")
	errNoConfiguration = notRun(http.StatusServiceUnavailable, kindServer, "no-configuration", "this instance has no configuration yet")
	errStale           = notRun(http.StatusServiceUnavailable, kindServer, "stale", "this instance is cut off and cannot know which keys are valid")
	errNoShare         = notRun(http.StatusServiceUnavailable, kindServer, "no-share", "this instance has no share of the contracts and nobody to borrow from yet")
	errNoRoute         = notRun(http.StatusNotFound, kindNotFound, "no-route", "there is no such path")
	errNoKey           = notRun(http.StatusUnauthorized, kindAuth, "no-key", "send the key as Authorization: Bearer KEY")
	errWrongKey        = notRun(http.StatusUnauthorized, kindAuth, "wrong-key", "the key is not valid")
	errNoAdapter       = notRun(http.StatusNotFound, kindNotFound, "no-adapter", "the organisation's contract holds no such adapter and version")
	errNoService       = notRun(http.StatusNotFound, kindNotFound, "no-service", "the organisation's contract holds no such route")
	errKeyInRequest    = notRun(http.StatusBadRequest, kindInvalid, "key-in-request", "a key may stand in the Authorization header only")
	errTooLarge        = notRun(http.StatusUnprocessableEntity, kindInvalid, "above-burst", "the request needs more tokens than the organisation's burst; no waiting will admit it")
	errNoTarget        = notRun(http.StatusServiceUnavailable, kindServer, "no-target", "no target is in service for this request")
	errDeadline        = notRun(http.StatusServiceUnavailable, kindServer, "no-room", "no target had room before the request's deadline")
)

// answerError is the body of a refusal.
type answerError struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message   string `json:"message"`
	Type      string `json:"type"`
	Code      string `json:"code"`
	Outcome   string `json:"outcome"`
	RequestID string `json:"request_id"`
}

func (x *exchange) detail(r refusal) answerError {
	return answerError{
		Error: errorDetail{
			Message:   r.message,
			Type:      r.kind,
			Code:      r.code,
			Outcome:   r.outcome.Label(),
			RequestID: x.id,
		},
	}
}

// refuse writes a refusal.
func (x *exchange) refuse(c *app.RequestContext, r refusal) {
	if r.retryAfter > 0 {
		seconds := int64((r.retryAfter + time.Second - 1) / time.Second)
		c.Response.Header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	c.JSON(r.status, x.detail(r))
}
