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

// errCallerDisconnected means that the caller closed its connection.
var errCallerDisconnected = errors.New("caller left")

// relayEvents passes an engine's events on as they come and returns how many
// tokens were used. An answer that is cut ends with an error event and without
// the end marker, so that no caller takes it for whole.
func (s *Server) relayEvents(c *app.RequestContext, x *exchange, g *generateRequest, stream *engine.Stream) int64 {
	c.Response.Header.SetContentType("text/event-stream")
	c.Response.Header.Set("Cache-Control", "no-cache")
	c.Response.HijackWriter(resp.NewChunkedBodyWriter(&c.Response, c.GetWriter()))
	events, err := s.copyEvents(c, x, stream)
	switch {
	case err == nil:
		done, _ := stream.Usage()
		s.Stats.Count(string(x.org), metric.CountComplete)
		return done.PromptTokens + done.GeneratedTokens
	case errors.Is(err, errCallerDisconnected):
		s.Stats.Count(string(x.org), metric.CountCallerDisconnected)
	default:
		r := errorResponseFor(err)
		s.Log.Warn().Err(err).Msgf("caller: answer to %s was cut", x.id)
		s.Stats.Count(string(x.org), outcomeCounter(r.outcome))
		x.writeErrorEvent(c, r)
	}
	// What the engine generated beyond the events that came is not known; each
	// event stands for a token, and the prompt counts as estimated.
	return min(g.reservedTokens, estimatePromptTokens(g)+events)
}

// estimatePromptTokens is the estimate of the prompt within a reservation.
func estimatePromptTokens(g *generateRequest) int64 {
	var f generateFields
	// The body was read before; it is valid.
	_ = json.Unmarshal(g.body, &f)
	return int64(len(f.Prompt)+len(f.Messages))/bytesPerToken + 1
}

func (s *Server) copyEvents(c *app.RequestContext, x *exchange, stream *engine.Stream) (int64, error) {
	org := string(x.org)
	between := s.Stats.Histogram(org, metric.ClassBetweenTokens)
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
			between.Record(now.Sub(last))
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

// writeErrorEvent ends a stream that was cut.
func (x *exchange) writeErrorEvent(c *app.RequestContext, r errorResponse) {
	// An answerError always encodes, and whether the caller still listens
	// changes nothing.
	detail, _ := json.Marshal(x.newErrorBody(r))
	_, _ = c.Write([]byte("event: error\ndata: " + string(detail) + "\n\n"))
	_ = c.Flush()
	c.SetConnectionClose()
}

// relayDocument passes an answer that is one document on once it is whole.
func (s *Server) relayDocument(c *app.RequestContext, x *exchange, g *generateRequest, stream *engine.Stream) int64 {
	document, err := stream.Document()
	if err != nil {
		s.Log.Warn().Err(err).Msgf("caller: answer to %s was cut", x.id)
		s.reject(c, x, errorResponseFor(err))
		return g.reservedTokens
	}
	done, _ := stream.Usage()
	s.Stats.Record(string(x.org), metric.ClassFirstToken, time.Since(x.start))
	s.Stats.Count(string(x.org), metric.CountComplete)
	c.Data(http.StatusOK, "application/json", document)
	return done.PromptTokens + done.GeneratedTokens
}
