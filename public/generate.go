package public

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/pkg/errors"

	"currantstile/clock"
	"currantstile/engine"
	"currantstile/metric"
	"currantstile/model"
	"currantstile/quota"
	"currantstile/send"
)

const (
	// bytesPerToken estimates a prompt's tokens before the engine counts them.
	bytesPerToken  = 4
	maxTokensLimit = 1 << 20
	// tokenWait is how long a request within its organisation's burst waits
	// for tokens before it is refused.
	tokenWait = 400 * time.Millisecond
	// borrowPollInterval is waited while another request of the same organisation asks
	// other instances.
	borrowPollInterval = 5 * time.Millisecond
)

// generateFields are the members of a request that are looked at; all others
// are passed on as they are.
type generateFields struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            json.RawMessage `json:"messages"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
}

// generateRequest is a request to a model engine, checked and pinned.
type generateRequest struct {
	contract *model.ContractIndex
	adapter  model.Adapter
	body     []byte
	stream   bool
	// reservedTokens is the reservation: the prompt and the bound on what is generated.
	reservedTokens int64
}

func newInvalidRequest(code, message string) *errorResponse {
	r := newNotRunError(http.StatusBadRequest, errorTypeInvalidRequest, code, message)
	return &r
}

// parseGenerateRequest checks a request and pins its adapter version.
func parseGenerateRequest(contract *model.ContractIndex, body []byte) (*generateRequest, *errorResponse) {
	var f generateFields
	if err := json.Unmarshal(body, &f); err != nil {
		return nil, newInvalidRequest("bad-json", "the body is not a JSON object of a completion: "+err.Error())
	}
	if len(f.Prompt) == 0 && len(f.Messages) == 0 {
		return nil, newInvalidRequest("no-prompt", "the body needs prompt or messages")
	}
	asked, err := model.ParseAdapter(f.Model)
	if err != nil {
		return nil, newInvalidRequest("bad-model", "model must be ADAPTER or ADAPTER@VERSION: "+err.Error())
	}
	adapter, ok := contract.Resolve(asked)
	if !ok {
		return nil, &errNoAdapter
	}
	maxTokens := contract.Contract.MaxTokens
	for _, p := range []*int64{f.MaxTokens, f.MaxCompletionTokens} {
		if p != nil {
			maxTokens = *p
		}
	}
	if maxTokens < 1 || maxTokens > maxTokensLimit {
		return nil, newInvalidRequest("bad-max-tokens", "max_tokens must be between 1 and "+strconv.Itoa(maxTokensLimit))
	}
	pinned, err := pinModel(body, adapter, maxTokens)
	if err != nil {
		return nil, newInvalidRequest("bad-json", err.Error())
	}
	return &generateRequest{
		contract:       contract,
		adapter:        adapter,
		body:           pinned,
		stream:         f.Stream,
		reservedTokens: int64(len(f.Prompt)+len(f.Messages))/bytesPerToken + 1 + maxTokens,
	}, nil
}

// pinModel replaces the model by the pinned version and states the bound on
// generated tokens; all other members stay as they are.
func pinModel(body []byte, a model.Adapter, maxTokens int64) ([]byte, error) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(body, &members); err != nil {
		return nil, err
	}
	name, err := json.Marshal(a.String())
	if err != nil {
		return nil, err
	}
	delete(members, "max_completion_tokens")
	members["model"] = name
	members["max_tokens"] = strconv.AppendInt(nil, maxTokens, 10)
	return json.Marshal(members)
}

// handleGenerate serves a completion.
func (s *Server) handleGenerate(ctx context.Context, c *app.RequestContext, x *exchange) {
	contract, r := s.authenticate(c)
	if r != nil {
		x.writeError(c, *r)
		return
	}
	x.org = contract.Contract.Organisation
	g, r := parseGenerateRequest(contract, c.Request.Body())
	if r == nil && containsKey(g.body) {
		r = &errKeyInRequest
	}
	if r != nil {
		x.writeError(c, *r)
		return
	}
	reservation, r := s.reserve(ctx, contract, g.reservedTokens)
	if r != nil {
		s.reject(c, x, *r)
		return
	}
	used := s.generate(ctx, c, x, g)
	s.Quota.Settle(time.Now(), reservation, used)
}

// reserve takes a request's tokens, waiting a little where they are about to
// come.
func (s *Server) reserve(ctx context.Context, contract *model.ContractIndex, tokens int64) (quota.Reservation, *errorResponse) {
	limits := quota.Limits{
		Rate:  contract.Contract.Rate,
		Burst: contract.Contract.Burst,
	}
	deadline := time.Now().Add(tokenWait)
	for {
		now := time.Now()
		switch d := s.Quota.Reserve(now, contract.Contract.Organisation, limits, tokens).(type) {
		case quota.Admitted:
			s.Stats.Add(string(contract.Contract.Organisation), metric.CountAdmitted, tokens)
			return d.Reservation, nil
		case quota.Insufficient:
			if !now.Before(deadline) || !s.waitForTokens(ctx, contract.Contract.Organisation, limits, d, deadline.Sub(now)) {
				return quota.Reservation{}, newRateLimitError(d.Wait, tokens, limits)
			}
		default:
			return quota.Reservation{}, &errAboveBurst
		}
	}
}

// waitForTokens waits until an organisation that is short may have more: for other
// instances, or for its own share to fill. It reports false where nothing is to
// be expected in time.
func (s *Server) waitForTokens(ctx context.Context, org model.OrgID, limits quota.Limits, d quota.Insufficient, left time.Duration) bool {
	switch {
	case !d.Plan.Empty() && s.Borrow != nil:
		s.Borrow(ctx, org, limits, d.Plan)
		return ctx.Err() == nil
	case d.Wait >= 0 && d.Wait <= left:
		return clock.Sleep(ctx, d.Wait)
	case d.BorrowPending:
		return clock.Sleep(ctx, borrowPollInterval)
	case d.BorrowBackoff > 0 && d.BorrowBackoff <= left && s.Borrow != nil:
		return clock.Sleep(ctx, d.BorrowBackoff)
	default:
		return false
	}
}

func newRateLimitError(after time.Duration, tokens int64, limits quota.Limits) *errorResponse {
	r := newNotRunError(http.StatusTooManyRequests, errorTypeRateLimit, "above-rate", "the organisation's rate is used up; try again later")
	if after < 0 {
		after = time.Duration(tokens) * time.Second / time.Duration(limits.Rate)
	}
	r.retryAfter = max(after, time.Millisecond)
	return &r
}

// reject counts and writes a refusal.
func (s *Server) reject(c *app.RequestContext, x *exchange, r errorResponse) {
	if r.status == http.StatusTooManyRequests {
		s.Stats.Count(string(x.org), metric.CountRefused)
	}
	s.Stats.Count(string(x.org), outcomeCounter(r.outcome))
	x.writeError(c, r)
}

func outcomeCounter(o model.Outcome) metric.Counter {
	switch o.(type) {
	case model.NotRun:
		return metric.CountNotRun
	case model.Complete:
		return metric.CountComplete
	case model.Failed:
		return metric.CountFailed
	default:
		return metric.CountUnknown
	}
}

// errorResponseFor says to the caller what is known of a failed attempt.
func errorResponseFor(err error) errorResponse {
	switch {
	case errors.Is(err, send.ErrNoTarget):
		return errNoTarget
	case errors.Is(err, send.ErrDeadline):
		return errDeadline
	}
	o := engine.OutcomeOf(err)
	r := errorResponse{
		status:    http.StatusBadGateway,
		errorType: errorTypeServer,
		code:      "target-failed",
		message:   "the target did not give a whole answer",
		outcome:   o,
	}
	if _, ok := o.(model.NotRun); ok {
		r.status = http.StatusServiceUnavailable
		r.code = "not-reached"
		r.message = "no target took the request"
	}
	return r
}

// generate runs a request and returns how many tokens it used.
func (s *Server) generate(ctx context.Context, c *app.RequestContext, x *exchange, g *generateRequest) int64 {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(g.contract.Contract.Deadline))
	defer cancel()
	running, err := s.Sender.Generate(ctx, send.Request{
		Organisation: x.org,
		Adapter:      g.adapter,
		Call: engine.Call{
			RequestID: x.id,
			Path:      strings.Clone(string(c.Path())),
			Body:      g.body,
			Priority:  g.contract.Contract.Priority,
		},
	})
	if err != nil {
		r := errorResponseFor(err)
		s.reject(c, x, r)
		if _, ok := r.outcome.(model.NotRun); ok {
			return 0
		}
		return g.reservedTokens
	}
	defer func() {
		running.Close(time.Now())
	}()
	if running.LoadDelay > 0 {
		s.Stats.Record(string(x.org), metric.ClassLoadStall, running.LoadDelay)
	}
	if running.Stream.IsEventStream() {
		return s.relayEvents(c, x, g, running.Stream)
	}
	return s.relayDocument(c, x, g, running.Stream)
}
