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

const maxGenerated = 1 << 20

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

// prompt is the text whose length and content decide the answer.
func (b generateBody) prompt() string {
	if len(b.Messages) == 0 {
		return b.Prompt
	}
	parts := make([]string, 0, len(b.Messages))
	for _, m := range b.Messages {
		parts = append(parts, m.Content)
	}
	return strings.Join(parts, "\n")
}

// generation is one request that an engine runs.
type generation struct {
	id      string
	adapter model.Adapter
	body    generateBody
	prompt  string
	seq     *sequence
	faults  Faults
	sent    int64
}

func (s *EngineServer) handleGenerate(ctx context.Context, c *app.RequestContext) {
	f, _, _ := s.decideFaults()
	g := &generation{
		id:     string(c.Request.Header.Peek(engine.HeaderRequestID)),
		faults: f,
	}
	if err := g.read(c.Request.Body()); err != nil {
		writeError(c, http.StatusBadRequest, "bad-request", err.Error())
		return
	}
	received := requestOf(time.Now(), c)
	received.Adapter = g.adapter.Name
	received.Version = g.adapter.Version
	received.PromptTokens = PromptTokens(g.prompt)
	if err := s.admit(g); err != nil {
		s.record(received)
		s.refuseGeneration(c, err)
		return
	}
	if f.CrossAnswers {
		g.id = "crossed-" + g.id
	}
	if g.body.Stream {
		s.streamAnswer(ctx, c, g)
	} else {
		s.documentAnswer(ctx, c, g)
	}
	s.modelMu.Lock()
	s.m.cut(g.seq)
	s.modelMu.Unlock()
	received.GeneratedTokens = g.sent
	s.record(received)
}

func (g *generation) read(body []byte) error {
	if err := json.Unmarshal(body, &g.body); err != nil {
		return err
	}
	a, err := model.ParseAdapter(g.body.Model)
	if err != nil {
		return err
	}
	if g.body.MaxTokens < 1 || g.body.MaxTokens > maxGenerated {
		return errors.New("max_tokens is out of range")
	}
	g.adapter = a
	g.prompt = g.body.prompt()
	return nil
}

func (s *EngineServer) admit(g *generation) error {
	s.modelMu.Lock()
	defer s.modelMu.Unlock()
	seq, err := s.m.admit(time.Now(), g.adapter, g.body.MaxTokens)
	if err != nil {
		return err
	}
	g.seq = seq
	s.busy.Broadcast()
	return nil
}

func (s *EngineServer) refuseGeneration(c *app.RequestContext, err error) {
	if errors.Is(err, errFellOver) {
		dropConnection(c)
		return
	}
	writeRefusal(c, err)
}

func (s *EngineServer) streamAnswer(ctx context.Context, c *app.RequestContext, g *generation) {
	c.Response.Header.SetContentType("text/event-stream")
	c.Response.Header.Set(engine.HeaderRequestID, g.id)
	c.Response.HijackWriter(resp.NewChunkedBodyWriter(&c.Response, c.GetWriter()))
	for {
		select {
		case _, ok := <-g.seq.tokens:
			if !ok {
				g.finish(c)
				return
			}
		case <-g.seq.failed:
			dropConnection(c)
			return
		case <-ctx.Done():
			return
		}
		event := fmt.Sprintf("data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n",
			g.id, g.adapter, TokenText(g.adapter, g.prompt, g.sent))
		if _, err := c.Write([]byte(event)); err != nil {
			return
		}
		g.sent++
		if len(g.seq.tokens) > 0 {
			continue
		}
		if err := c.Flush(); err != nil {
			return
		}
		if g.faults.CutAfter > 0 && g.sent >= g.faults.CutAfter {
			dropConnection(c)
			return
		}
	}
}

// finish sends the usage and the end marker. Errors show at the caller.
func (g *generation) finish(c *app.RequestContext) {
	usage := fmt.Sprintf("data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"length\"}],\"usage\":%s}\n\ndata: [DONE]\n\n",
		g.id, g.adapter, g.usage())
	_, _ = c.Write([]byte(usage))
	_ = c.Flush()
}

func (g *generation) usage() string {
	p := PromptTokens(g.prompt)
	return fmt.Sprintf("{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"total_tokens\":%d}", p, g.sent, p+g.sent)
}

func (s *EngineServer) documentAnswer(ctx context.Context, c *app.RequestContext, g *generation) {
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
			text.WriteString(TokenText(g.adapter, g.prompt, g.sent))
			g.sent++
			if g.faults.CutAfter > 0 && g.sent >= g.faults.CutAfter {
				dropConnection(c)
				return
			}
		case <-g.seq.failed:
			dropConnection(c)
			return
		case <-ctx.Done():
			return
		}
	}
}
