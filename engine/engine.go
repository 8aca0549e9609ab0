// Package engine is the client for targets: model engines and plain services. It sends each request
// once, checks that the response is complete and belongs to the request, and classifies what is
// known about the outcome of a failed request.
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
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"currantstile/errs"
	"currantstile/model"
	"currantstile/origin"
	"currantstile/rest"
	"currantstile/stream"
)

// Names of the headers in requests to targets and in their responses.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderPriority       = "X-Priority"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Codes by which a target reports that it ran no part of a request.
const (
	CodeNotLoaded         = "adapter-not-loaded"
	CodeOverloaded        = "overloaded"
	CodeUnavailable       = "unavailable"
	CodeStaleFencingToken = "stale-fence"
	CodeNoSlot            = "no-slot"
	CodeInUse             = "in-use"
	CodeLoadFailed        = "load-failed"
)

// Phase distinguishes the cold start of a target from normal operation.
type Phase string

// The phases of a target.
const (
	PhaseCold Phase = "cold"
	PhaseWarm Phase = "warm"
)

// AdapterState is the state of one adapter slot of an engine.
type AdapterState struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	Ready   bool   `json:"ready"`
	Running int    `json:"running"`
}

// State is an engine's report of its own state. It lags behind the actual state.
type State struct {
	// Incarnation changes whenever the engine restarts.
	Incarnation string `json:"incarnation"`
	Phase       Phase  `json:"phase"`
	// MaxConcurrent is the maximum number of concurrent requests in the current phase.
	MaxConcurrent int `json:"bears"`
	// Running is the number of requests that the engine is running.
	Running int `json:"running"`
	// Slots is the maximum number of loaded adapters.
	Slots    int            `json:"slots"`
	Adapters []AdapterState `json:"adapters"`
	// FencingToken is the highest fencing token that the engine has seen in an order.
	FencingToken uint64 `json:"fence"`
	// EvictedRunning counts the requests that were aborted because their adapter was unloaded.
	EvictedRunning uint64 `json:"evicted-running"`
	// Steps counts the engine's steps, StepTokens the tokens generated in them and StepGroups the
	// adapters batched in them, summed over all steps. StepTokens/Steps is the mean batch size,
	// StepTokens/StepGroups the mean number of requests for one adapter in a step.
	Steps      uint64 `json:"steps"`
	StepTokens uint64 `json:"step-tokens"`
	StepGroups uint64 `json:"step-groups"`
	// Loads counts the adapter loads that were started.
	Loads uint64 `json:"loads"`
}

// Op is the operation of an order.
type Op string

// The operations of orders.
const (
	OpLoad   Op = "load"
	OpUnload Op = "unload"
)

// Order is a command to an engine to load or unload an adapter version.
type Order struct {
	// FencingToken is the fencing token of the manager's lease.
	FencingToken uint64 `json:"fence"`
	Op           Op     `json:"op"`
	Name         string `json:"name"`
	Version      string `json:"version"`
}

// RefusalError reports that a target refused a request or an order and ran no part of it.
type RefusalError struct {
	Status  int
	Code    string
	Message string
}

// Error implements error.
func (e *RefusalError) Error() string {
	return "target refused: " + e.Code + ": " + e.Message
}

// RefusalCode returns the code of the RefusalError in err's chain, or "" if there is none.
func RefusalCode(err error) string {
	var e *RefusalError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

// Errors that a failed response is reported with. ErrTruncated is an incomplete or malformed
// response, ErrResponseMismatch a response with another request's ID, ErrStatus an error status
// without a refusal code.
var (
	ErrTruncated        = errors.New("response ended before its end marker")
	ErrResponseMismatch = errors.New("response belongs to another request")
	ErrStatus           = errors.New("target returned an error status")
)

// OutcomeOf returns what is known about the outcome of a request whose attempt failed with err.
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

// Client calls targets. Its exported fields must be set before the first call.
type Client struct {
	HTTP *rest.Client

	// conns tries whether a target still accepts connections.
	conns origin.Pool
}

// Call is one request to a model engine, in the format of the engine's API.
type Call struct {
	RequestID string
	// Path is "/v1/completions" or "/v1/chat/completions".
	Path string
	// Body is the JSON document; its model member already holds name@version.
	Body []byte
	// Priority is the priority of the organisation's contract.
	Priority int
}

// State fetches the state report of an engine or a service.
func (c *Client) State(ctx context.Context, addr netip.AddrPort) (State, error) {
	var s State
	resp, err := c.HTTP.ExchangeJSON(ctx, rest.Request{
		Method: http.MethodGet,
		Addr:   addr,
		Path:   "/state",
	}, nil, &s)
	if err == nil {
		err = responseError(resp.Status, resp.Body)
	}
	return s, errs.WithPeer(err, "Client.State", addr)
}

// Order sends an order and waits until the engine has executed it.
func (c *Client) Order(ctx context.Context, addr netip.AddrPort, o Order) error {
	resp, err := c.HTTP.ExchangeJSON(ctx, rest.Request{
		Method: http.MethodPost,
		Addr:   addr,
		Path:   "/orders",
	}, o, nil)
	if err == nil {
		err = responseError(resp.Status, resp.Body)
	}
	return errs.WithPeer(err, "Client.Order", addr)
}

// Generate sends a request to an engine and returns the response as a stream, which the caller must
// close.
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
		return nil, errs.WithPeer(err, "Client.Generate", addr)
	}
	if err := checkResponse(resp, call.RequestID); err != nil {
		resp.Body.Close()
		return nil, errs.WithPeer(err, "Client.Generate", addr)
	}
	return newStream(resp, call.RequestID, addr), nil
}

// checkResponse checks the status and the request ID of a response before its body is used. The
// body of an error response is read for its code.
func checkResponse(resp *http.Response, requestID string) error {
	// A refusal of another request proves nothing about this one.
	if id := resp.Header.Get(HeaderRequestID); id != "" && id != requestID {
		return ErrResponseMismatch
	}
	if resp.StatusCode != http.StatusOK {
		body := new(bytes.Buffer)
		// A truncated or oversized error body is classified by the part that was read.
		_, _ = body.ReadFrom(http.MaxBytesReader(nil, resp.Body, maxEventBytes))
		return responseError(resp.StatusCode, body.Bytes())
	}
	return nil
}

type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// responseError returns the error for a response whose status is not 200, and nil for 200. Only a
// code that the target's API defines as a refusal proves that no part of the request ran.
func responseError(status int, body []byte) error {
	if status == http.StatusOK {
		return nil
	}
	var b errorBody
	// A body that is not JSON has no code, so it does not prove that the request did not run.
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
	// Path includes the query.
	Path   string
	Header http.Header
	Body   []byte
}

// serviceTimeout is the maximum duration of a service call, also if its context has no deadline.
const serviceTimeout = 5 * time.Minute

// Serve sends a request to a plain service and reads the complete response. A truncated response is
// an error: one that is shorter than its framing states, and one that ends with its connection when
// the service has ended.
func (c *Client) Serve(ctx context.Context, addr netip.AddrPort, call ServiceCall) (rest.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, serviceTimeout)
	defer cancel()
	header := call.Header.Clone()
	header.Set(HeaderRequestID, call.RequestID)
	resp, err := c.HTTP.Exchange(ctx, rest.Request{
		Method:    call.Method,
		Addr:      addr,
		Path:      call.Path,
		Header:    header,
		Body:      call.Body,
		FreshConn: true,
	})
	if err != nil {
		return resp, errs.WithPeer(err, "Client.Serve", addr)
	}
	if broken, ok := c.judge(ctx, addr, resp).(stream.BrokenOff); ok {
		return resp, &rest.SendError{
			MaybeSent: true,
			Err:       errs.WithPeer(broken.Reason, "Client.Serve", addr),
		}
	}
	if id := resp.Header.Get(HeaderRequestID); id != "" && id != call.RequestID {
		return resp, errs.WithPeer(ErrResponseMismatch, "Client.Serve", addr)
	}
	var refusal *RefusalError
	if err := responseError(resp.Status, resp.Body); errors.As(err, &refusal) {
		return resp, errs.WithPeer(err, "Client.Serve", addr)
	}
	return resp, nil
}

// judge decides whether the body of a service's response is complete.
func (c *Client) judge(ctx context.Context, addr netip.AddrPort, resp rest.Response) stream.Verdict {
	e := stream.Ending{
		Framing: resp.Framing,
		Err:     io.EOF,
	}
	if e.DependsOnSender() {
		e.SenderEnded = c.conns.Refuses(ctx, addr)
	}
	return stream.Judge(e)
}
