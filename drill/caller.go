package drill

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"currantstile/clock"
	"currantstile/judge"
	"currantstile/platform/fake"
	"currantstile/socket"
)

// dialTimeout is how long a caller waits for a connection.
const dialTimeout = time.Second

// caller sends requests one after another on a connection that it keeps.
type caller struct {
	p    *player
	host socket.Network

	c  net.Conn
	br *bufio.Reader
	// instance is the one to which the connection leads, and used whether it was used before.
	instance int
	used     bool
}

// run sends the requests at their times, or as soon as the one before is over.
func (c *caller) run(ctx context.Context, requests []Request) {
	defer c.close()
	for _, r := range requests {
		if !clock.Sleep(ctx, time.Until(c.p.start.Add(r.At))) {
			return
		}
		c.send(ctx, r)
	}
}

func (c *caller) close() {
	if c.c != nil {
		_ = c.c.Close()
		c.c = nil
	}
}

// connect makes sure that there is a connection to an instance.
func (c *caller) connect(ctx context.Context, instance int) error {
	if c.c != nil {
		if c.instance == instance && c.isClean() {
			return nil
		}
		c.close()
	}
	nc, err := c.host.Dial(ctx, c.p.instances[instance].callers, socket.Options{
		Timeout: dialTimeout,
	})
	if err != nil {
		return err
	}
	c.c, c.br, c.instance, c.used = nc, bufio.NewReader(nc), instance, false
	return nil
}

// isClean reports whether the connection is open and nothing came on it while no request waited.
func (c *caller) isClean() bool {
	if c.br.Buffered() == 0 && socket.IsIdle(c.c) {
		return true
	}
	if err := c.c.SetReadDeadline(time.Now().Add(time.Millisecond)); err != nil {
		return false
	}
	if _, err := c.br.Peek(1); err == nil {
		b, _ := c.br.Peek(c.br.Buffered())
		c.p.record(judge.Stray{
			Time:     c.p.now(),
			Instance: c.p.instances[c.instance].name,
			Text:     string(b),
		})
	}
	return false
}

// send sends a request and records what it gets.
func (c *caller) send(ctx context.Context, r Request) {
	if err := c.connect(ctx, r.Instance); err != nil {
		return
	}
	sc, sent := c.p.requestScript(r)
	var first judge.Sent
	for i := range sent {
		sent[i].Time, sent[i].Instance, sent[i].Kept = c.p.now(), c.p.instances[r.Instance].name, c.used
		if sent[i].ID != "" {
			c.p.record(sent[i])
		}
		first = sent[0]
	}
	c.used = true
	leaves := time.Now().Add(r.Timeout)
	if r.Leaves > 0 && r.Leaves < r.Timeout {
		leaves = time.Now().Add(r.Leaves)
	}
	if err := c.c.SetDeadline(leaves); err != nil {
		c.close()
		return
	}
	resp, ok := c.exchange(ctx, r, sc, first.Method, leaves)
	expired := !time.Now().Before(leaves)
	if !ok || !resp.Whole || resp.Last || sc.end != "" || sc.changed || r.Slow > 0 || expired || r.Conn == 0 {
		c.close()
	}
	if first.ID != "" {
		c.record(first.ID, resp, expired)
	}
}

// exchange writes a request and reads the answer, which may come before all is written.
func (c *caller) exchange(ctx context.Context, r Request, sc *script, method string, until time.Time) (fake.Response, bool) {
	ctx, cancel := context.WithDeadline(ctx, until)
	written := make(chan struct{})
	go func(nc net.Conn) {
		defer close(written)
		writeScript(ctx, nc, sc)
	}(c.c)
	br := c.br
	if r.Slow > 0 {
		br = bufio.NewReader(&slowReader{
			r:    c.br,
			wait: r.Slow,
		})
	}
	resp, ok := fake.ReadResponse(br, method)
	cancel()
	if !ok || !time.Now().Before(until) {
		// Ends a write that the instance does not read.
		c.close()
	}
	<-written
	return resp, ok
}

// record records what the caller got, or that it has left.
func (c *caller) record(id string, resp fake.Response, left bool) {
	if left {
		c.p.record(judge.Left{
			Time: c.p.now(),
			ID:   id,
		})
		return
	}
	c.p.record(judge.Answered{
		Time:        c.p.now(),
		ID:          id,
		Status:      resp.Status,
		ResponseID:  resp.ID,
		Signed:      resp.Signed,
		Encoded:     resp.Encoded,
		RetryAfter:  resp.RetryAfter,
		Body:        resp.Body,
		Whole:       resp.Whole,
		NotExecuted: resp.NotExecuted,
	})
}

// writeScript writes a request as its mutations say.
func writeScript(ctx context.Context, c net.Conn, sc *script) {
	for _, s := range sc.steps {
		if s.wait > 0 && !clock.Sleep(ctx, s.wait) {
			return
		}
		// An instance may close before it has read all.
		if _, err := io.WriteString(c, s.data); err != nil {
			return
		}
	}
	switch sc.end {
	case endReset:
		socket.Reset(c)
	case endClose:
		_ = c.Close()
	case endHalf:
		if h, ok := c.(interface{ CloseWrite() error }); ok {
			_ = h.CloseWrite()
		}
	}
}

// slowReader pauses before each read.
type slowReader struct {
	r    io.Reader
	wait time.Duration
}

// maxSlowRead is how much a slow caller reads at once.
const maxSlowRead = 64

// Read implements io.Reader.
func (s *slowReader) Read(b []byte) (int, error) {
	time.Sleep(s.wait)
	return s.r.Read(b[:min(len(b), maxSlowRead)])
}

// requestScript returns the bytes of a request, and the requests that a careful reader finds in
// them.
func (p *player) requestScript(r Request) (*script, []judge.Sent) {
	route, _ := routeNamed(r.Route)
	req := fake.CallerRequest{
		ID:      r.ID,
		Method:  route.method,
		Path:    route.prefix + r.Path,
		Key:     r.Key,
		Timeout: r.Timeout,
		Body:    strings.Repeat("b", r.Body),
		Chunked: r.Chunked,
		Part:    r.Part,
	}
	if route.service == modelService {
		req.Adapter = adapterName(r.Adapter)
	}
	text, err := req.Bytes()
	if err != nil {
		return &script{}, nil
	}
	sc := &script{
		steps: []step{
			{
				data: text,
			},
		},
	}
	r.Mutations.applyBytes(sc)
	return sc, p.sentBy(r, sc)
}

// sentBy returns the requests that a careful reader finds in the bytes of a script.
func (p *player) sentBy(r Request, sc *script) []judge.Sent {
	br := bufio.NewReader(strings.NewReader(strings.TrimLeft(sc.text(), "\r\n")))
	var list []judge.Sent
	for {
		a, err := fake.ReadArrival(br)
		if err != nil {
			return list
		}
		route, ok := routeOf(a.URI)
		s := judge.Sent{
			ID:           a.ID,
			Kind:         route.kind,
			Service:      route.service,
			Route:        route.name,
			Organisation: p.organisations[strings.TrimPrefix(a.Credentials, "Bearer ")],
			Key:          strings.TrimPrefix(a.Credentials, "Bearer "),
			Method:       a.Method,
			URI:          a.URI,
			Body:         a.Body,
			Model:        a.Model,
			Usage:        a.Usage,
			Parts:        a.Parts,
			Deadline:     r.Timeout,
			Timeout:      route.timeout,
			Attempts:     max(route.attempts, 1),
			Cost:         costOf(a),
			Proper:       ok && len(r.Mutations) == 0 && r.Key == alwaysKey,
			Crashes:      p.crashes[r.ID],
			Events:       streamEvents,
		}
		if route.public {
			s.Organisation, s.Key = "", ""
		}
		list = append(list, s)
	}
}

// costOf returns what a request is charged.
func costOf(a fake.Arrival) int {
	if a.Usage != "" {
		return usageCost
	}
	return plainCost
}

// route is a route of the configuration, as fake.Config has it.
type route struct {
	name     string
	prefix   string
	method   string
	kind     judge.Kind
	service  string
	timeout  time.Duration
	attempts int
	public   bool
}

const (
	modelService = "llm"
	plainService = "app"
	// alwaysKey is the key that is never withdrawn.
	alwaysKey = "k1"
	plainCost = 10
	usageCost = 120
)

var routes = []route{
	{
		name:     "long",
		prefix:   "/chat/long/",
		method:   http.MethodPost,
		kind:     judge.Resumable,
		service:  modelService,
		timeout:  3 * time.Second,
		attempts: 2,
	},
	{
		name:     "chat",
		prefix:   "/chat/",
		method:   http.MethodPost,
		kind:     judge.Stream,
		service:  modelService,
		timeout:  3 * time.Second,
		attempts: 1,
	},
	{
		name:     "book",
		prefix:   "/book/",
		method:   http.MethodPost,
		kind:     judge.Unsafe,
		service:  plainService,
		timeout:  1500 * time.Millisecond,
		attempts: 1,
	},
	{
		name:     "look",
		prefix:   "/look/",
		method:   http.MethodGet,
		kind:     judge.Safe,
		service:  plainService,
		timeout:  1500 * time.Millisecond,
		attempts: 2,
	},
	{
		name:     "open",
		prefix:   "/open/",
		method:   http.MethodGet,
		kind:     judge.Safe,
		service:  plainService,
		timeout:  1500 * time.Millisecond,
		attempts: 2,
		public:   true,
	},
}

// adapterName returns the name of an adapter of the model.
func adapterName(n int) string {
	return "a" + strconv.Itoa(n)
}

func routeNamed(name string) (route, bool) {
	for _, r := range routes {
		if r.name == name {
			return r, true
		}
	}
	return route{}, false
}

// routeOf returns the route to which a request target leads.
func routeOf(uri string) (route, bool) {
	path, _, _ := strings.Cut(uri, "?")
	for _, r := range routes {
		if strings.HasPrefix(path, r.prefix) {
			return r, true
		}
	}
	return route{}, false
}
