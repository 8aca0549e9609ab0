package sims

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/pkg/errors"

	"currantstile/engine"
	"currantstile/model"
)

const maxGeneratedTokens = 1 << 20

type generateMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type generateBody struct {
	Model     string            `json:"model"`
	Prompt    string            `json:"prompt"`
	Messages  []generateMessage `json:"messages"`
	MaxTokens int64             `json:"max_tokens"`
	Stream    bool              `json:"stream"`
}

// promptText returns the prompt or the joined contents of the messages. The number of
// prompt tokens and the generated text depend on it.
func (b generateBody) promptText() string {
	if len(b.Messages) == 0 {
		return b.Prompt
	}
	parts := make([]string, 0, len(b.Messages))
	for _, m := range b.Messages {
		parts = append(parts, m.Content)
	}
	return strings.Join(parts, "\n")
}

// generation is one completion request that an engine handles.
type generation struct {
	id         string
	adapter    model.Adapter
	body       generateBody
	prompt     string
	seq        *sequence
	faults     Faults
	tokensSent int64
}

func (s *EngineServer) handleGenerate(ctx context.Context, c *app.RequestContext) {
	f, _, _ := s.drawFaults()
	g := &generation{
		id:     string(c.Request.Header.Peek(engine.HeaderRequestID)),
		faults: f,
	}
	if err := g.parse(c.Request.Body()); err != nil {
		writeError(c, http.StatusBadRequest, "bad-request", err.Error())
		return
	}
	received := newReceived(time.Now(), c)
	received.Adapter = g.adapter.Name
	received.Version = g.adapter.Version
	received.PromptTokens = PromptTokens(g.prompt)
	if err := s.admit(g); err != nil {
		s.record(received)
		s.writeAdmissionError(c, err)
		return
	}
	if f.WrongResponseID {
		g.id = "crossed-" + g.id
	}
	if g.body.Stream {
		s.writeStream(ctx, c, g)
	} else {
		s.writeDocument(ctx, c, g)
	}
	s.modelMu.Lock()
	s.model.abort(g.seq)
	s.modelMu.Unlock()
	received.GeneratedTokens = g.tokensSent
	s.record(received)
}

func (g *generation) parse(body []byte) error {
	if err := json.Unmarshal(body, &g.body); err != nil {
		return err
	}
	a, err := model.ParseAdapter(g.body.Model)
	if err != nil {
		return err
	}
	if g.body.MaxTokens < 1 || g.body.MaxTokens > maxGeneratedTokens {
		return errors.New("max_tokens must be between 1 and 1048576")
	}
	g.adapter = a
	g.prompt = g.body.promptText()
	return nil
}

func (s *EngineServer) admit(g *generation) error {
	s.modelMu.Lock()
	defer s.modelMu.Unlock()
	seq, err := s.model.admit(time.Now(), g.adapter, g.body.MaxTokens)
	if err != nil {
		return err
	}
	g.seq = seq
	s.hasWork.Broadcast()
	return nil
}

// writeAdmissionError writes a refusal, or closes the connection without a response if
// the request made the engine crash.
func (s *EngineServer) writeAdmissionError(c *app.RequestContext, err error) {
	if errors.Is(err, errOverloadCrash) {
		dropConnection(c)
		return
	}
	writeRefusal(c, err)
}

// writeStream sends the tokens as an event stream while they are generated.
func (s *EngineServer) writeStream(ctx context.Context, c *app.RequestContext, g *generation) {
	c.Response.Header.SetContentType("text/event-stream")
	c.Response.Header.Set(engine.HeaderRequestID, g.id)
	c.Response.HijackWriter(resp.NewChunkedBodyWriter(&c.Response, c.GetWriter()))
	for {
		select {
		case _, ok := <-g.seq.tokens:
			if !ok {
				g.writeFinalEvents(c)
				return
			}
		case <-g.seq.aborted:
			dropConnection(c)
			return
		case <-ctx.Done():
			return
		}
		event := fmt.Sprintf("data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n",
			g.id, g.adapter, TokenText(g.adapter, g.prompt, g.tokensSent))
		if _, err := c.Write([]byte(event)); err != nil {
			return
		}
		g.tokensSent++
		if len(g.seq.tokens) > 0 {
			continue
		}
		if err := c.Flush(); err != nil {
			return
		}
		if g.faults.CutAfter > 0 && g.tokensSent >= g.faults.CutAfter {
			dropConnection(c)
			return
		}
	}
}

// writeFinalEvents sends the usage and the end marker. Write errors are ignored, as the
// client then sees a truncated stream.
func (g *generation) writeFinalEvents(c *app.RequestContext) {
	usage := fmt.Sprintf("data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"length\"}],\"usage\":%s}\n\ndata: [DONE]\n\n",
		g.id, g.adapter, g.usage())
	_, _ = c.Write([]byte(usage))
	_ = c.Flush()
}

func (g *generation) usage() string {
	p := PromptTokens(g.prompt)
	return fmt.Sprintf("{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"total_tokens\":%d}", p, g.tokensSent, p+g.tokensSent)
}

// writeDocument sends all tokens as one JSON document.
func (s *EngineServer) writeDocument(ctx context.Context, c *app.RequestContext, g *generation) {
	var text strings.Builder
	for {
		select {
		case _, ok := <-g.seq.tokens:
			if !ok {
				c.Response.Header.Set(engine.HeaderRequestID, g.id)
				c.Data(http.StatusOK, "application/json", []byte(fmt.Sprintf(
					"{\"id\":%q,\"object\":\"chat.completion\",\"model\":%q,\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":%q},\"text\":%q,\"finish_reason\":\"length\"}],\"usage\":%s}",
					g.id, g.adapter, text.String(), text.String(), g.usage())))
				return
			}
			text.WriteString(TokenText(g.adapter, g.prompt, g.tokensSent))
			g.tokensSent++
			if g.faults.CutAfter > 0 && g.tokensSent >= g.faults.CutAfter {
				dropConnection(c)
				return
			}
		case <-g.seq.aborted:
			dropConnection(c)
			return
		case <-ctx.Done():
			return
		}
	}
}
