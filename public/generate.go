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
	"currantstile/httpd"
	"currantstile/metric"
	"currantstile/model"
	"currantstile/quota"
	"currantstile/send"
)

const (
	// bytesPerToken is used to estimate the tokens of a prompt before the engine has
	// counted them.
	bytesPerToken = 4
	// maxTokensLimit is the largest limit on generated tokens that a request may set.
	maxTokensLimit = 1 << 20
	// tokenWait is how long a request within its organisation's burst waits for
	// tokens before it is rejected.
	tokenWait = 400 * time.Millisecond
	// borrowPollInterval is the delay between checks while another request of the same
	// organisation is borrowing from other instances.
	borrowPollInterval = 5 * time.Millisecond
)

// generateFields are the fields of a request body that the server reads; all others
// are forwarded unchanged.
type generateFields struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            json.RawMessage `json:"messages"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
}

// generateRequest is a validated request to a model engine with a fixed adapter
// version.
type generateRequest struct {
	contract *model.ContractIndex
	adapter  model.Adapter
	body     []byte
	stream   bool
	// reservedTokens is the number of tokens to reserve: the estimate of the prompt
	// plus the limit on generated tokens.
	reservedTokens int64
}

// newInvalidRequest returns an error response with status 400.
func newInvalidRequest(code, message string) *errorResponse {
	r := newNotRunError(http.StatusBadRequest, errorTypeInvalidRequest, code, message)
	return &r
}

// parseGenerateRequest validates a request body and resolves its adapter version.
func parseGenerateRequest(contract *model.ContractIndex, body []byte) (*generateRequest, *errorResponse) {
	var f generateFields
	if err := json.Unmarshal(body, &f); err != nil {
		return nil, newInvalidRequest("bad-json", "the body is not a JSON object of a completion: "+err.Error())
	}
	if len(f.Prompt) == 0 && len(f.Messages) == 0 {
		return nil, newInvalidRequest("no-prompt", "the body needs prompt or messages")
	}
	requested, err := model.ParseAdapter(f.Model)
	if err != nil {
		return nil, newInvalidRequest("bad-model", "model must be ADAPTER or ADAPTER@VERSION: "+err.Error())
	}
	adapter, ok := contract.Resolve(requested)
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

// pinModel sets the model to the resolved adapter version and max_tokens to the limit
// on generated tokens. It removes max_completion_tokens and keeps all other fields.
func pinModel(body []byte, a model.Adapter, maxTokens int64) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	name, err := json.Marshal(a.String())
	if err != nil {
		return nil, err
	}
	delete(fields, "max_completion_tokens")
	fields["model"] = name
	fields["max_tokens"] = strconv.AppendInt(nil, maxTokens, 10)
	return json.Marshal(fields)
}

// handleGenerate handles a completion request.
func (s *Server) handleGenerate(ctx context.Context, c *app.RequestContext, x *exchange) {
	contract, r := s.authenticate(c)
	if r != nil {
		x.writeError(c, *r)
		return
	}
	x.org = contract.Contract.Organisation
	httpd.Authenticate(ctx)
	body, release, r := s.readBody(ctx, c)
	defer release()
	if r != nil {
		x.writeError(c, *r)
		return
	}
	g, r := parseGenerateRequest(contract, body)
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

// reserve reserves the tokens of a request. If they are missing but expected soon, it
// waits for them up to tokenWait.
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

// waitForTokens waits until an organisation that lacks tokens may have more, either
// borrowed from other instances or because its own share refills. It returns false if
// none are expected within the remaining time or ctx is done.
func (s *Server) waitForTokens(ctx context.Context, org model.OrgID, limits quota.Limits, d quota.Insufficient, remaining time.Duration) bool {
	switch {
	case !d.Plan.Empty() && s.Borrow != nil:
		s.Borrow(ctx, org, limits, d.Plan)
		return ctx.Err() == nil
	case d.Wait >= 0 && d.Wait <= remaining:
		return clock.Sleep(ctx, d.Wait)
	case d.BorrowPending:
		return clock.Sleep(ctx, borrowPollInterval)
	case d.BorrowBackoff > 0 && d.BorrowBackoff <= remaining && s.Borrow != nil:
		return clock.Sleep(ctx, d.BorrowBackoff)
	default:
		return false
	}
}

// newRateLimitError returns the response to a request above its organisation's rate. A
// negative retryAfter means that the delay is unknown; it is then estimated as the time
// in which the rate yields the tokens.
func newRateLimitError(retryAfter time.Duration, tokens int64, limits quota.Limits) *errorResponse {
	r := newNotRunError(http.StatusTooManyRequests, errorTypeRateLimit, "above-rate", "the organisation's rate is used up; try again later")
	if retryAfter < 0 {
		retryAfter = time.Duration(tokens) * time.Second / time.Duration(limits.Rate)
	}
	r.retryAfter = max(retryAfter, time.Millisecond)
	return &r
}

// reject writes an error response and counts its outcome for the organisation.
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

// errorResponseFor returns the error response for an error of the sender, with the
// outcome of the request as far as it is known.
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

// generate sends a request to an engine, relays the response, and returns the number
// of tokens to charge.
func (s *Server) generate(ctx context.Context, c *app.RequestContext, x *exchange, g *generateRequest) int64 {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(g.contract.Contract.Deadline))
	defer cancel()
	active, err := s.Sender.Generate(ctx, send.Request{
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
		active.Close(time.Now())
	}()
	if active.LoadDelay > 0 {
		s.Stats.Record(string(x.org), metric.ClassLoadStall, active.LoadDelay)
	}
	if active.Stream.IsEventStream() {
		return s.relayEvents(c, x, g, active.Stream)
	}
	return s.relayDocument(c, x, g, active.Stream)
}
