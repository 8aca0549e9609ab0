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

// observedOutcome is the outcome of a request from the caller's point of view.
type observedOutcome string

const (
	// outcomeComplete is a stream with all tokens, the usage and the end marker.
	outcomeComplete observedOutcome = "whole"
	// outcomeRefused is a refusal that reports that the request was not executed.
	outcomeRefused observedOutcome = "refused"
	// outcomeRateLimited is a refusal with status 429: above the organisation's rate.
	outcomeRateLimited observedOutcome = "limited"
	// outcomeTruncated is a stream that lacks tokens, the usage or the end marker, or that
	// has an unreadable event.
	outcomeTruncated observedOutcome = "cut"
	// outcomeMismatch is a token that does not belong to the adapter and the prompt.
	outcomeMismatch observedOutcome = "wrong"
	// outcomeFailed is a failed exchange or any other error response.
	outcomeFailed observedOutcome = "failed"
)

// record is the result of one request from the caller's point of view.
type record struct {
	org      model.OrgID
	observed observedOutcome
	status   int
	// reportedOutcome is the outcome in the body of a refusal, empty if there is none.
	reportedOutcome string
	sentAt          time.Time
	// firstTokenAt is when the first token arrived, doneAt when the response ended.
	firstTokenAt time.Time
	doneAt       time.Time
	// tokenGaps holds the times between consecutive tokens.
	tokenGaps   []time.Duration
	totalTokens int64
	direct      bool
	paired      bool
	// detail is the error, the message of the refusal or the unreadable event, if any.
	detail string
}

// request is a completion request to send; direct ones go to an engine, without a key.
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

// send sends the request and checks the response.
func (r *request) send(ctx context.Context, client *rest.Client) record {
	rec := record{
		org:    r.org,
		sentAt: time.Now(),
		direct: r.direct,
		paired: r.paired,
	}
	// Encoding the body cannot fail.
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
	// A body that is not a refusal leaves the reported outcome empty, so the request
	// counts as failed unless its status is 429.
	_ = json.NewDecoder(resp.Body).Decode(&b)
	rec.reportedOutcome = b.Error.Outcome
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

// readEvents reads an event stream and checks, token by token, that it is the complete
// answer to request r.
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
			// The connection is reused only if the body is read to its end.
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

// String returns a one-line description for Result.Failures.
func (rec record) String() string {
	return fmt.Sprintf("%s: %s at %s after %s, status %d, outcome %q: %s", rec.org, rec.observed, rec.sentAt.Format(time.TimeOnly), rec.doneAt.Sub(rec.sentAt), rec.status, rec.reportedOutcome, rec.detail)
}
