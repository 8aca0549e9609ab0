package public

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/pkg/errors"

	"currantstile/engine"
	"currantstile/metric"
)

// errCallerDisconnected is returned when a write to the caller fails.
var errCallerDisconnected = errors.New("cannot write to the caller: connection closed or timed out")

// relayEvents relays an engine's events as they arrive and returns the number of tokens
// to charge. A response that is truncated or belongs to another request ends with an
// error event and without the end marker, so that no caller takes it for complete.
func (s *Server) relayEvents(c *app.RequestContext, x *exchange, g *generateRequest, stream *engine.Stream) int64 {
	c.Response.Header.SetContentType("text/event-stream")
	c.Response.Header.Set("Cache-Control", "no-cache")
	c.Response.HijackWriter(resp.NewChunkedBodyWriter(&c.Response, c.GetWriter()))
	events, err := s.copyEvents(c, x, stream)
	switch {
	case err == nil:
		usage, _ := stream.Usage()
		s.Stats.Count(string(x.org), metric.CountComplete)
		return usage.PromptTokens + usage.GeneratedTokens
	case errors.Is(err, errCallerDisconnected):
		s.Stats.Count(string(x.org), metric.CountCallerDisconnected)
	default:
		r := errorResponseFor(err)
		s.Log.Warn().Err(err).Msgf("caller: response stream of request %s is incomplete or invalid; ending it with an error event", x.id)
		s.Stats.Count(string(x.org), outcomeCounter(r.outcome))
		x.writeErrorEvent(c, r)
	}
	// The number of tokens generated after the last event received is unknown. One token
	// is charged for each event, plus the estimate of the prompt.
	return min(g.reservedTokens, estimatePromptTokens(g)+events)
}

// estimatePromptTokens returns the estimate of the prompt that is part of the
// reservation.
func estimatePromptTokens(g *generateRequest) int64 {
	var f generateFields
	// parseGenerateRequest has validated the body.
	_ = json.Unmarshal(g.body, &f)
	return int64(len(f.Prompt)+len(f.Messages))/bytesPerToken + 1
}

// copyEvents relays events until the end marker or an error, and returns the number of
// events written. It flushes when no further data has been received from the engine.
func (s *Server) copyEvents(c *app.RequestContext, x *exchange, stream *engine.Stream) (int64, error) {
	org := string(x.org)
	betweenTokens := s.Stats.Histogram(org, metric.ClassBetweenTokens)
	last := x.start
	events := int64(0)
	for {
		event, err := stream.Next()
		if err == io.EOF {
			return events, flush(c)
		}
		if err != nil {
			return events, err
		}
		if _, err := c.Write(event); err != nil {
			return events, errCallerDisconnected
		}
		now := time.Now()
		if events == 0 {
			s.Stats.Record(org, metric.ClassFirstToken, now.Sub(last))
		} else {
			betweenTokens.Record(now.Sub(last))
		}
		last = now
		events++
		if stream.Buffered() {
			continue
		}
		if err := flush(c); err != nil {
			return events, err
		}
	}
}

func flush(c *app.RequestContext) error {
	if err := c.Flush(); err != nil {
		return errCallerDisconnected
	}
	return nil
}

// writeErrorEvent ends an incomplete stream with an error event.
func (x *exchange) writeErrorEvent(c *app.RequestContext, r errorResponse) {
	// An errorBody can always be encoded, and write errors are ignored because the
	// stream ends here in any case.
	detail, _ := json.Marshal(x.newErrorBody(r))
	_, _ = c.Write([]byte("event: error\ndata: " + string(detail) + "\n\n"))
	_ = c.Flush()
	c.SetConnectionClose()
}

// relayDocument relays a response that is a single JSON document once it is complete,
// and returns the number of tokens to charge.
func (s *Server) relayDocument(c *app.RequestContext, x *exchange, g *generateRequest, stream *engine.Stream) int64 {
	document, err := stream.Document()
	if err != nil {
		s.Log.Warn().Err(err).Msgf("caller: response of request %s is incomplete or invalid; sending an error response", x.id)
		s.reject(c, x, errorResponseFor(err))
		return g.reservedTokens
	}
	usage, _ := stream.Usage()
	s.Stats.Record(string(x.org), metric.ClassFirstToken, time.Since(x.start))
	s.Stats.Count(string(x.org), metric.CountComplete)
	c.Data(http.StatusOK, "application/json", document)
	return usage.PromptTokens + usage.GeneratedTokens
}
