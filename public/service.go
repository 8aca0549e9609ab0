package public

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"currantstile/engine"
	"currantstile/httpd"
	"currantstile/metric"
	"currantstile/model"
	"currantstile/rest"
	"currantstile/send"
)

// forwardedHeaders lists the only request headers that are forwarded to services.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "Content-Language", engine.HeaderIdempotencyKey}

// returnedHeaders lists the response headers of services that are returned to callers.
var returnedHeaders = []string{"Content-Type", "Content-Language", "Location", "Retry-After"}

// handleService handles a request to a plain service.
func (s *Server) handleService(ctx context.Context, c *app.RequestContext, x *exchange) {
	contract, route, r := s.resolveRoute(c)
	if r != nil {
		x.writeError(c, *r)
		return
	}
	x.org = contract.Contract.Organisation
	if len(c.Request.Header.Peek("Authorization")) > 0 {
		httpd.Authenticate(ctx)
	}
	reservation, r := s.reserve(ctx, contract, route.Cost)
	if r != nil {
		s.reject(c, x, *r)
		return
	}
	body, release, r := s.readBody(ctx, c)
	defer release()
	var call engine.ServiceCall
	if r == nil {
		call, r = newServiceCall(c, x, body)
	}
	if r != nil {
		s.Quota.Settle(time.Now(), reservation, 0)
		x.writeError(c, *r)
		return
	}
	request := send.ServiceRequest{
		Service:    route.Service,
		Repeatable: route.Repeatable,
		Call:       call,
	}
	used := int64(0)
	if key := call.Header.Get(engine.HeaderIdempotencyKey); key != "" && !route.Repeatable {
		used = s.serveIdempotent(ctx, c, x, contract, request, key, route.Cost)
	} else {
		used = s.callService(ctx, c, x, contract, request, route.Cost)
	}
	s.Quota.Settle(time.Now(), reservation, used)
}

// resolveRoute returns the requested route and the contract that is charged for it. An
// open route needs no key, but a key that is sent must be valid.
func (s *Server) resolveRoute(c *app.RequestContext) (*model.ContractIndex, model.Route, *errorResponse) {
	name := c.Param("route")
	if len(c.Request.Header.Peek("Authorization")) > 0 {
		contract, r := s.authenticate(c)
		if r != nil {
			return nil, model.Route{}, r
		}
		if route, ok := contract.Route(name); ok {
			return contract, route, nil
		}
	}
	contract, ok := s.View().OpenRoute(name)
	if ok {
		route, _ := contract.Route(name)
		return contract, route, nil
	}
	if len(c.Request.Header.Peek("Authorization")) == 0 {
		return nil, model.Route{}, &errNoKey
	}
	return nil, model.Route{}, &errNoService
}

// newServiceCall builds the request to the service from the allowed headers. It returns
// errKeyInRequest if any part of that request contains a key.
func newServiceCall(c *app.RequestContext, x *exchange, body []byte) (engine.ServiceCall, *errorResponse) {
	path := "/" + strings.TrimPrefix(c.Param("rest"), "/")
	if query := c.Request.URI().QueryString(); len(query) > 0 {
		path += "?" + string(query)
	}
	call := engine.ServiceCall{
		RequestID: x.id,
		Method:    string(c.Method()),
		Path:      path,
		Header:    make(http.Header),
		Body:      bytes.Clone(body),
	}
	clean := !containsKey([]byte(path)) && !containsKey(call.Body)
	for _, name := range forwardedHeaders {
		if v := c.Request.Header.Peek(name); len(v) > 0 {
			call.Header.Set(name, string(v))
			clean = clean && !containsKey(v)
		}
	}
	if !clean {
		return call, &errKeyInRequest
	}
	return call, nil
}

// callService sends a request to a service and returns the number of tokens to charge.
func (s *Server) callService(ctx context.Context, c *app.RequestContext, x *exchange, contract *model.ContractIndex, r send.ServiceRequest, cost int64) int64 {
	// A non-repeatable request is not cancelled when its caller disconnects,
	// because its outcome would be lost.
	if !r.Repeatable {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(contract.Contract.Deadline))
	defer cancel()
	resp, err := s.Sender.Serve(ctx, r)
	return s.finishService(c, x, resp, err, cost)
}

// finishService writes the response of a service, or an error response with the outcome
// as far as it is known, and returns the number of tokens to charge.
func (s *Server) finishService(c *app.RequestContext, x *exchange, resp rest.Response, err error, cost int64) int64 {
	s.Stats.Record(string(x.org), metric.ClassService, time.Since(x.start))
	if err != nil {
		r := errorResponseFor(err)
		s.reject(c, x, r)
		if _, ok := r.outcome.(model.NotRun); ok {
			return 0
		}
		return cost
	}
	s.Stats.Count(string(x.org), metric.CountComplete)
	writeResponse(c, resp)
	return cost
}

func writeResponse(c *app.RequestContext, resp rest.Response) {
	for _, name := range returnedHeaders {
		if v := resp.Header.Get(name); v != "" {
			c.Response.Header.Set(name, v)
		}
	}
	c.Response.Header.Set("X-Outcome", model.Complete{}.Label())
	c.Status(resp.Status)
	c.Response.SetBody(resp.Body)
}
