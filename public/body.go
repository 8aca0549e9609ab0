package public

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/pkg/errors"

	"currantstile/httpd"
	"currantstile/memory"
	"currantstile/stream"
)

// noMemoryRetryAfter is the retry delay for a request whose body finds no room.
const noMemoryRetryAfter = time.Second

var (
	errBodyTooLarge = newNotRunError(http.StatusRequestEntityTooLarge, errorTypeInvalidRequest, "body-too-large", "the body is larger than this instance accepts")
	errBodyTooSlow  = newNotRunError(http.StatusRequestTimeout, errorTypeInvalidRequest, "body-too-slow", "the body arrives too slowly")
	errBodyNotRead  = newNotRunError(http.StatusBadRequest, errorTypeInvalidRequest, "body-not-read", "the body ends early or is malformed")
	errNoMemory     = newNotRunError(http.StatusServiceUnavailable, errorTypeServer, "no-memory", "this instance has no memory free for the body; send the request again")
)

// readBody reads the body of an authenticated request. release is to be called once the request has ended.
func (s *Server) readBody(ctx context.Context, c *app.RequestContext) (body []byte, release func(), r *errorResponse) {
	body, release, err := s.http.ReadBody(ctx, c)
	if err == nil {
		return body, release, nil
	}
	refusal := errBodyNotRead
	switch {
	case errors.Is(err, memory.ErrNoRoom):
		refusal = errNoMemory
		refusal.retryAfter = noMemoryRetryAfter
	case errors.Is(err, stream.ErrTooLarge):
		refusal = errBodyTooLarge
	case errors.Is(err, httpd.ErrBodyTooSlow):
		refusal = errBodyTooSlow
	}
	return nil, release, &refusal
}
