package public

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"currantstile/engine"
	"currantstile/metric"
	"currantstile/model"
	"currantstile/rest"
	"currantstile/send"
)

// forwardedHeaders go from callers to services; no other header does.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "Content-Language", engine.HeaderIdempotencyKey}

// returnedHeaders go from services to callers.
var returnedHeaders = []string{"Content-Type", "Content-Language", "Location", "Retry-After"}

// handleService serves a request on a plain service.
func (s *Server) handleService(ctx context.Context, c *app.RequestContext, x *exchange) {
	contract, route, r := s.resolveRoute(c)
	if r == nil {
		x.org = contract.Contract.Organisation
	}
	var call engine.ServiceCall
	if r == nil {
		call, r = newServiceCall(c, x)
	}
	if r != nil {
		x.writeError(c, *r)
		return
	}
	reservation, r := s.reserve(ctx, contract, route.Cost)
	if r != nil {
		s.reject(c, x, *r)
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

// resolveRoute finds the route and the contract that pays for it. An open route
// needs no key; a key that comes all the same must be valid.
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

// newServiceCall makes the request that goes to the service, without anything that
// could hold a key.
func newServiceCall(c *app.RequestContext, x *exchange) (engine.ServiceCall, *errorResponse) {
	path := "/" + strings.TrimPrefix(c.Param("rest"), "/")
	if query := c.Request.URI().QueryString(); len(query) > 0 {
		path += "?" + string(query)
	}
	call := engine.ServiceCall{
		RequestID: x.id,
		Method:    string(c.Method()),
		Path:      path,
		Header:    make(http.Header),
		Body:      bytes.Clone(c.Request.Body()),
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

// callService runs a request on a service and returns how many tokens it used.
func (s *Server) callService(ctx context.Context, c *app.RequestContext, x *exchange, contract *model.ContractIndex, r send.ServiceRequest, cost int64) int64 {
	// A request that may not be repeated is not cut off when its caller leaves:
	// its outcome would be lost.
	if !r.Repeatable {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(contract.Contract.Deadline))
	defer cancel()
	answer, err := s.Sender.Serve(ctx, r)
	return s.finishService(c, x, answer, err, cost)
}

// finishService writes the answer of a service or what is known of it, and returns how
// many tokens it used.
func (s *Server) finishService(c *app.RequestContext, x *exchange, answer rest.Response, err error, cost int64) int64 {
	s.Stats.Record(string(x.org), metric.ClassService, time.Since(x.start))
	if err != nil {
		refused := errorResponseFor(err)
		s.reject(c, x, refused)
		if _, ok := refused.outcome.(model.NotRun); ok {
			return 0
		}
		return cost
	}
	s.Stats.Count(string(x.org), metric.CountComplete)
	writeResponse(c, answer)
	return cost
}

func writeResponse(c *app.RequestContext, answer rest.Response) {
	for _, name := range returnedHeaders {
		if v := answer.Header.Get(name); v != "" {
			c.Response.Header.Set(name, v)
		}
	}
	c.Response.Header.Set("X-Outcome", model.Complete{}.Label())
	c.Status(answer.Status)
	c.Response.SetBody(answer.Body)
}
