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

// exchange holds the state of one caller's request while it is served.
type exchange struct {
	id    string
	start time.Time
	org   model.OrgID
}

// requestIDGenerator generates request ids that are unique across instances and
// restarts.
type requestIDGenerator struct {
	prefix string
	count  atomic.Uint64
}

func (g *requestIDGenerator) init(self string) {
	var nonce [4]byte
	// crypto/rand.Read never returns an error: it crashes the process instead.
	_, _ = rand.Read(nonce[:])
	g.prefix = self + "-" + hex.EncodeToString(nonce[:]) + "-"
}

func (g *requestIDGenerator) next() string {
	return g.prefix + strconv.FormatUint(g.count.Add(1), 36)
}

// errorResponse describes a response to a request that was rejected or failed.
type errorResponse struct {
	status    int
	errorType string
	code      string
	message   string
	outcome   model.Outcome
	// retryAfter is the delay sent as Retry-After; zero omits the header.
	retryAfter time.Duration
}

// Error types of the OpenAI API.
const (
	errorTypeInvalidRequest = "invalid_request_error"
	errorTypeAuthentication = "authentication_error"
	errorTypeNotFound       = "not_found_error"
	errorTypeRateLimit      = "rate_limit_error"
	errorTypeServer         = "server_error"
)

// newNotRunError returns an error response with the outcome not-run.
func newNotRunError(status int, errorType, code, message string) errorResponse {
	return errorResponse{
		status:    status,
		errorType: errorType,
		code:      code,
		message:   message,
		outcome:   model.NotRun{},
	}
}

var (
	errDraining        = newNotRunError(http.StatusServiceUnavailable, errorTypeServer, "draining", "this instance is shutting down; send the request again")
	errNoConfiguration = newNotRunError(http.StatusServiceUnavailable, errorTypeServer, "no-configuration", "this instance has no configuration yet")
	errStale           = newNotRunError(http.StatusServiceUnavailable, errorTypeServer, "stale", "this instance is cut off and cannot know which keys are valid")
	errNoShare         = newNotRunError(http.StatusServiceUnavailable, errorTypeServer, "no-share", "this instance has no share of the contracts and nobody to borrow from yet")
	errNoRoute         = newNotRunError(http.StatusNotFound, errorTypeNotFound, "no-route", "there is no such path")
	errNoKey           = newNotRunError(http.StatusUnauthorized, errorTypeAuthentication, "no-key", "send the key as Authorization: Bearer KEY")
	errInvalidKey      = newNotRunError(http.StatusUnauthorized, errorTypeAuthentication, "wrong-key", "the key is not valid")
	errNoAdapter       = newNotRunError(http.StatusNotFound, errorTypeNotFound, "no-adapter", "the organisation's contract holds no such adapter and version")
	errNoService       = newNotRunError(http.StatusNotFound, errorTypeNotFound, "no-service", "the organisation's contract holds no such route")
	errKeyInRequest    = newNotRunError(http.StatusBadRequest, errorTypeInvalidRequest, "key-in-request", "a key may stand in the Authorization header only")
	errAboveBurst      = newNotRunError(http.StatusUnprocessableEntity, errorTypeInvalidRequest, "above-burst", "the request needs more tokens than the organisation's burst; no waiting will admit it")
	errNoTarget        = newNotRunError(http.StatusServiceUnavailable, errorTypeServer, "no-target", "no target is in service for this request")
	errDeadline        = newNotRunError(http.StatusServiceUnavailable, errorTypeServer, "no-room", "no target had room before the request's deadline")
)

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message   string `json:"message"`
	Type      string `json:"type"`
	Code      string `json:"code"`
	Outcome   string `json:"outcome"`
	RequestID string `json:"request_id"`
}

func (x *exchange) newErrorBody(r errorResponse) errorBody {
	return errorBody{
		Error: errorDetail{
			Message:   r.message,
			Type:      r.errorType,
			Code:      r.code,
			Outcome:   r.outcome.Label(),
			RequestID: x.id,
		},
	}
}

// writeError writes r to the caller, with Retry-After rounded up to whole seconds.
func (x *exchange) writeError(c *app.RequestContext, r errorResponse) {
	if r.retryAfter > 0 {
		seconds := int64((r.retryAfter + time.Second - 1) / time.Second)
		c.Response.Header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	c.JSON(r.status, x.newErrorBody(r))
}
