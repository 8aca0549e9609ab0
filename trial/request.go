package trial

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"currantstile/model"
	"currantstile/rest"
	"currantstile/sims"
)

// observedOutcome is how a request ended, as its caller saw it.
type observedOutcome string

const (
	outcomeComplete observedOutcome = "whole"
	outcomeRefused  observedOutcome = "refused"
	// outcomeRateLimited is a refusal for the organisation's rate.
	outcomeRateLimited observedOutcome = "limited"
	outcomeTruncated   observedOutcome = "cut"
	outcomeMismatch    observedOutcome = "wrong"
	outcomeFailed      observedOutcome = "failed"
)

// record is one request as its caller saw it.
type record struct {
	org      model.OrgID
	observed observedOutcome
	status   int
	reported string
	sentAt   time.Time
	// firstTokenAt is when the first token came, done when the answer had ended.
	firstTokenAt time.Time
	doneAt       time.Time
	// tokenGaps are the times between tokens.
	tokenGaps   []time.Duration
	totalTokens int64
	direct      bool
	paired      bool
	// detail says more of a request that was not answered whole.
	detail string
}

// request is one request to be sent.
type request struct {
	org     model.OrgID
	key     string
	adapter model.Adapter
	prompt  string
	addr    netip.AddrPort
	direct  bool
	paired  bool
}

type requestBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int64  `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// send sends the request and checks its answer.
func (r *request) send(ctx context.Context, client *rest.Client) record {
	rec := record{
		org:    r.org,
		sentAt: time.Now(),
		direct: r.direct,
		paired: r.paired,
	}
	// The body always encodes.
	body, _ := json.Marshal(requestBody{
		Model:     r.adapter.String(),
		Prompt:    r.prompt,
		MaxTokens: generatedTokens,
		Stream:    true,
	})
	header := http.Header{
		"Content-Type": {"application/json"},
	}
	if r.direct {
		header.Set("X-Request-Id", "direct")
	} else {
		header.Set("Authorization", "Bearer "+r.key)
	}
	resp, err := client.Send(ctx, rest.Request{
		Method: http.MethodPost,
		Addr:   r.addr,
		Path:   "/v1/completions",
		Header: header,
		Body:   body,
	})
	if err != nil {
		rec.observed = outcomeFailed
		rec.detail = err.Error()
		rec.doneAt = time.Now()
		return rec
	}
	defer resp.Body.Close()
	rec.status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		rec.readRefusal(resp)
	} else {
		rec.readEvents(resp.Body, r)
	}
	rec.doneAt = time.Now()
	return rec
}

type refusalBody struct {
	Error struct {
		Message string `json:"message"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

func (rec *record) readRefusal(resp *http.Response) {
	var b refusalBody
	// A body that is no refusal leaves the outcome empty, which counts.
	_ = json.NewDecoder(resp.Body).Decode(&b)
	rec.reported = b.Error.Outcome
	rec.detail = b.Error.Message
	switch {
	case resp.StatusCode == http.StatusTooManyRequests:
		rec.observed = outcomeRateLimited
	case b.Error.Outcome == (model.NotRun{}).Label():
		rec.observed = outcomeRefused
	default:
		rec.observed = outcomeFailed
	}
}

type eventBody struct {
	Model   string `json:"model"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		Total int64 `json:"total_tokens"`
	} `json:"usage"`
}

// readEvents reads a stream and checks that it is the whole answer to this very
// request, token by token.
func (rec *record) readEvents(body io.Reader, r *request) {
	rec.observed = outcomeTruncated
	last := rec.sentAt
	n := int64(0)
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			if n == generatedTokens && rec.totalTokens > 0 {
				rec.observed = outcomeComplete
			}
			// Reading on to the end of the body lets the connection be used again.
			_, _ = io.Copy(io.Discard, body)
			return
		}
		var e eventBody
		if err := json.Unmarshal([]byte(data), &e); err != nil || len(e.Choices) == 0 {
			rec.detail = data
			return
		}
		if e.Usage != nil {
			rec.totalTokens = e.Usage.Total
			continue
		}
		now := time.Now()
		if n == 0 {
			rec.firstTokenAt = now
		} else {
			rec.tokenGaps = append(rec.tokenGaps, now.Sub(last))
		}
		last = now
		if e.Model != r.adapter.String() || e.Choices[0].Delta.Content != sims.TokenText(r.adapter, r.prompt, n) {
			rec.observed = outcomeMismatch
			return
		}
		n++
	}
}

// String is used where a record stands in an error.
func (rec record) String() string {
	return fmt.Sprintf("%s: %s at %s after %s, status %d, outcome %q: %s", rec.org, rec.observed, rec.sentAt.Format(time.TimeOnly), rec.doneAt.Sub(rec.sentAt), rec.status, rec.reported, rec.detail)
}
