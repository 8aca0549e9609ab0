// Package engine is the client of the targets: model engines, and the plain
// services beside them. It sends each request once, checks that an answer
// belongs to its request and is whole, and says what is known when it is not.
//
// # Usage
//
//	c := &engine.Client{HTTP: rest.NewClient(time.Second, 64)}
//	s, err := c.Generate(ctx, addr, engine.Call{RequestID: id, Path: "/v1/completions", Body: body})
//	if err != nil {
//		return engine.OutcomeOf(err)
//	}
//	defer s.Close()
//	for {
//		event, err := s.Next()
//		...
//	}
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"currantstile/errs"
	"currantstile/model"
	"currantstile/rest"
)

// Header names between currantstile and targets.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderPriority       = "X-Priority"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Codes by which a target says that it ran nothing of a request.
const (
	CodeNotLoaded         = "adapter-not-loaded"
	CodeOverloaded        = "overloaded"
	CodeUnavailable       = "unavailable"
	CodeStaleFencingToken = "stale-fence"
	CodeNoSlot            = "no-slot"
	CodeInUse             = "in-use"
	CodeLoadFailed        = "load-failed"
)

// Phase says whether a target is in its cold start.
type Phase string

// The phases of a target.
const (
	PhaseCold Phase = "cold"
	PhaseWarm Phase = "warm"
)

// AdapterState is one adapter slot of an engine.
type AdapterState struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	Ready   bool   `json:"ready"`
	Running int    `json:"running"`
}

// State is what an engine reports of itself, with a lag.
type State struct {
	// Incarnation changes whenever the engine restarts.
	Incarnation string `json:"incarnation"`
	Phase       Phase  `json:"phase"`
	// MaxConcurrent is how many requests the engine takes at once in this phase.
	MaxConcurrent int `json:"bears"`
	Running       int `json:"running"`
	// Slots is how many adapters the engine holds at most.
	Slots    int            `json:"slots"`
	Adapters []AdapterState `json:"adapters"`
	// FencingToken is the highest fencing number of an order so far.
	FencingToken uint64 `json:"fence"`
	// EvictedRunning counts requests cut off by the unloading of their adapter.
	EvictedRunning uint64 `json:"evicted-running"`
	// Steps and StepTokens give the mean batch, StepGroups the mean number of
	// requests of one adapter in a step.
	Steps      uint64 `json:"steps"`
	StepTokens uint64 `json:"step-tokens"`
	StepGroups uint64 `json:"step-groups"`
	Loads      uint64 `json:"loads"`
}

// Op is what an order asks of an engine.
type Op string

// The orders that an engine takes.
const (
	OpLoad   Op = "load"
	OpUnload Op = "unload"
)

// Order tells an engine to load or unload an adapter version.
type Order struct {
	// FencingToken is the fencing number of the manager's lease.
	FencingToken uint64 `json:"fence"`
	Op           Op     `json:"op"`
	Name         string `json:"name"`
	Version      string `json:"version"`
}

// RefusalError is a target's own word that it ran nothing of a request or an
// order.
type RefusalError struct {
	Status  int
	Code    string
	Message string
}

// Error implements error.
func (e *RefusalError) Error() string {
	return "target refused: " + e.Code + ": " + e.Message
}

// RefusalCode returns the code of a target's refusal, or "" for any other error.
func RefusalCode(err error) string {
	var e *RefusalError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

// Ways in which an answer can be wrong.
var (
	ErrTruncated        = errors.New("answer ended before its end marker")
	ErrResponseMismatch = errors.New("answer belongs to another request")
	ErrStatus           = errors.New("target failed the request")
)

// OutcomeOf says what is known of a request whose attempt ended in err.
func OutcomeOf(err error) model.Outcome {
	switch {
	case RefusalCode(err) != "":
		return model.NotRun{}
	case errors.Is(err, ErrTruncated), errors.Is(err, ErrStatus):
		return model.Failed{
			Err: err,
		}
	case !errors.Is(err, ErrResponseMismatch) && !rest.MaybeSent(err):
		return model.NotRun{}
	default:
		return model.Unknown{
			Err: err,
		}
	}
}

// Client calls targets. Its fields are set before the first call.
type Client struct {
	HTTP *rest.Client
}

// Call is one request to a model engine, in the engine's own interface.
type Call struct {
	RequestID string
	// Path is "/v1/completions" or "/v1/chat/completions".
	Path string
	// Body is the JSON document, its model already pinned to name@version.
	Body     []byte
	Priority int
}

// State asks an engine or a service for its report.
func (c *Client) State(ctx context.Context, addr netip.AddrPort) (State, error) {
	var s State
	a, err := c.HTTP.ExchangeJSON(ctx, rest.Request{
		Method: http.MethodGet,
		Addr:   addr,
		Path:   "/state",
	}, nil, &s)
	if err == nil {
		err = responseError(a.Status, a.Body)
	}
	return s, errs.At(err, "Client.State", addr)
}

// Order sends an order and waits until the engine has carried it out.
func (c *Client) Order(ctx context.Context, addr netip.AddrPort, o Order) error {
	a, err := c.HTTP.ExchangeJSON(ctx, rest.Request{
		Method: http.MethodPost,
		Addr:   addr,
		Path:   "/orders",
	}, o, nil)
	if err == nil {
		err = responseError(a.Status, a.Body)
	}
	return errs.At(err, "Client.Order", addr)
}

// Generate sends a request to an engine and returns the stream of its answer.
func (c *Client) Generate(ctx context.Context, addr netip.AddrPort, call Call) (*Stream, error) {
	resp, err := c.HTTP.Send(ctx, rest.Request{
		Method: http.MethodPost,
		Addr:   addr,
		Path:   call.Path,
		Header: http.Header{
			"Content-Type":  {"application/json"},
			HeaderRequestID: {call.RequestID},
			HeaderPriority:  {strconv.Itoa(call.Priority)},
		},
		Body: call.Body,
	})
	if err != nil {
		return nil, errs.At(err, "Client.Generate", addr)
	}
	if err := checkResponse(resp, call.RequestID); err != nil {
		resp.Body.Close()
		return nil, errs.At(err, "Client.Generate", addr)
	}
	return newStream(resp, call.RequestID, addr), nil
}

// checkResponse looks at an answer's header before any of its body is used.
func checkResponse(resp *http.Response, requestID string) error {
	if resp.StatusCode != http.StatusOK {
		body := new(bytes.Buffer)
		// A refusal whose body is cut is judged by what was read of it.
		_, _ = body.ReadFrom(http.MaxBytesReader(nil, resp.Body, maxEventBytes))
		return responseError(resp.StatusCode, body.Bytes())
	}
	if id := resp.Header.Get(HeaderRequestID); id != "" && id != requestID {
		return ErrResponseMismatch
	}
	return nil
}

type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// responseError types a target's answer that is not 200. Only a code that the
// target's interface defines as a refusal proves that nothing ran.
func responseError(status int, body []byte) error {
	if status == http.StatusOK {
		return nil
	}
	var b errorBody
	// A body that is no JSON carries no code, and so proves nothing.
	_ = json.Unmarshal(body, &b)
	switch b.Error.Code {
	case CodeNotLoaded, CodeOverloaded, CodeUnavailable, CodeStaleFencingToken, CodeNoSlot, CodeInUse, CodeLoadFailed:
		return &RefusalError{
			Status:  status,
			Code:    b.Error.Code,
			Message: b.Error.Message,
		}
	default:
		return errors.Wrapf(ErrStatus, "status %d", status)
	}
}

// ServiceCall is one request to a plain service.
type ServiceCall struct {
	RequestID string
	Method    string
	// Path holds the query as well.
	Path   string
	Header http.Header
	Body   []byte
}

// serviceTimeout bounds a call whose context has no deadline.
const serviceTimeout = 5 * time.Minute

// Serve sends a request to a plain service and reads the whole answer. The
// answer's length is checked by the HTTP client; one that is cut is an error.
func (c *Client) Serve(ctx context.Context, addr netip.AddrPort, call ServiceCall) (rest.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, serviceTimeout)
	defer cancel()
	header := call.Header.Clone()
	header.Set(HeaderRequestID, call.RequestID)
	a, err := c.HTTP.Exchange(ctx, rest.Request{
		Method:    call.Method,
		Addr:      addr,
		Path:      call.Path,
		Header:    header,
		Body:      call.Body,
		FreshConn: true,
	})
	if err != nil {
		return a, errs.At(err, "Client.Serve", addr)
	}
	if id := a.Header.Get(HeaderRequestID); id != "" && id != call.RequestID {
		return a, errs.At(ErrResponseMismatch, "Client.Serve", addr)
	}
	var refusal *RefusalError
	if err := responseError(a.Status, a.Body); errors.As(err, &refusal) {
		return a, errs.At(err, "Client.Serve", addr)
	}
	return a, nil
}
