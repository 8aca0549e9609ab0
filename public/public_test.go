package public_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"currantstile/demo"
	"currantstile/itest"
	"currantstile/model"
	"currantstile/rest"
	"currantstile/sims"
)

const bodyTemplate = `{"model":%q,"prompt":"two shells are cracked","max_tokens":%d,"stream":%t}`

func body(a model.Adapter, tokens int, stream bool) string {
	return fmt.Sprintf(bodyTemplate, a, tokens, stream)
}

type errorResponse struct {
	Error struct {
		Code      string `json:"code"`
		Outcome   string `json:"outcome"`
		RequestID string `json:"request_id"`
	} `json:"error"`
}

// Every invalid request must get the error code of its fault with the outcome not-run,
// and must not reach any target.
func TestInvalidRequests(t *testing.T) {
	f := itest.StartFleet(t, itest.SmallProfile())
	alpha, beta := f.Profile.Orgs[0], f.Profile.Orgs[1]
	key := f.Keys[alpha.ID]
	good := demo.Adapter(alpha, 0)
	foreign := demo.Adapter(beta, 0)
	tests := []struct {
		name   string
		key    string
		r      rest.Request
		status int
		code   string
	}{
		{
			name:   "no key",
			r:      itest.Completion(body(good, 4, false)),
			status: 401,
			code:   "no-key",
		},
		{
			name:   "malformed key",
			key:    "secret",
			r:      itest.Completion(body(good, 4, false)),
			status: 401,
			code:   "wrong-key",
		},
		{
			name:   "wrong key",
			key:    itest.WrongKey(key),
			r:      itest.Completion(body(good, 4, false)),
			status: 401,
			code:   "wrong-key",
		},
		{
			name:   "key of an unknown organisation",
			key:    "ctk.nobody.aaaaaaaa.aaaaaaaa",
			r:      itest.Completion(body(good, 4, false)),
			status: 401,
			code:   "wrong-key",
		},
		{
			name:   "unknown adapter",
			key:    key,
			r:      itest.Completion(body(model.Adapter{Name: "x", Version: "v1"}, 4, false)),
			status: 404,
			code:   "no-adapter",
		},
		{
			name:   "unknown version",
			key:    key,
			r:      itest.Completion(body(model.Adapter{Name: good.Name, Version: "v9"}, 4, false)),
			status: 404,
			code:   "no-adapter",
		},
		{
			name:   "another organisation's adapter",
			key:    key,
			r:      itest.Completion(body(foreign, 4, false)),
			status: 404,
			code:   "no-adapter",
		},
		{
			name:   "truncated JSON",
			key:    key,
			r:      itest.Completion(`{"model":`),
			status: 400,
			code:   "bad-json",
		},
		{
			name:   "JSON array",
			key:    key,
			r:      itest.Completion(`[1]`),
			status: 400,
			code:   "bad-json",
		},
		{
			name:   "no body",
			key:    key,
			r:      itest.Completion(``),
			status: 400,
			code:   "bad-json",
		},
		{
			name:   "no prompt",
			key:    key,
			r:      itest.Completion(`{"model":"x"}`),
			status: 400,
			code:   "no-prompt",
		},
		{
			name:   "no model",
			key:    key,
			r:      itest.Completion(`{"prompt":"x"}`),
			status: 400,
			code:   "bad-model",
		},
		{
			name:   "negative max-tokens",
			key:    key,
			r:      itest.Completion(body(good, -1, false)),
			status: 400,
			code:   "bad-max-tokens",
		},
		{
			name:   "zero max-tokens",
			key:    key,
			r:      itest.Completion(body(good, 0, false)),
			status: 400,
			code:   "bad-max-tokens",
		},
		{
			name:   "huge max-tokens",
			key:    key,
			r:      itest.Completion(body(good, 1<<40, false)),
			status: 400,
			code:   "bad-max-tokens",
		},
		{
			name:   "above the burst",
			key:    key,
			r:      itest.Completion(body(good, 100001, false)),
			status: 422,
			code:   "above-burst",
		},
		{
			name:   "key in the body",
			key:    key,
			r:      itest.Completion(fmt.Sprintf(`{"model":%q,"prompt":%q}`, good, key)),
			status: 400,
			code:   "key-in-request",
		},
		{
			name:   "no such path",
			key:    key,
			r:      rest.Request{Method: http.MethodGet, Path: "/v2"},
			status: 404,
			code:   "no-route",
		},
		{
			name:   "no such service",
			key:    key,
			r:      rest.Request{Method: http.MethodPost, Path: "/svc/x/"},
			status: 404,
			code:   "no-service",
		},
		{
			name:   "service without a key",
			r:      rest.Request{Method: http.MethodPost, Path: "/svc/bookings/"},
			status: 401,
			code:   "no-key",
		},
		{
			name:   "key in a service's query",
			key:    key,
			r:      rest.Request{Method: http.MethodPost, Path: "/svc/bookings/?k=" + key},
			status: 400,
			code:   "key-in-request",
		},
		{
			name:   "escaped key in a service's query",
			key:    key,
			r:      rest.Request{Method: http.MethodPost, Path: "/svc/bookings/?k=" + strings.ReplaceAll(key, ".", "%2E")},
			status: 400,
			code:   "key-in-request",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := itest.Send(t, f, 0, tt.key, tt.r)
			require.Equal(t, tt.status, a.Status, "%s", a.Body)
			var e errorResponse
			require.NoError(t, json.Unmarshal(a.Body, &e))
			require.Equal(t, tt.code, e.Error.Code)
			require.Equal(t, "not-run", e.Error.Outcome)
			require.Equal(t, a.Header.Get("X-Request-Id"), e.Error.RequestID)
		})
	}
	for _, e := range f.Engines {
		require.Empty(t, e.Received())
	}
	for _, s := range f.Services {
		require.Empty(t, s.Received())
	}
}

// A request whose announced length is above the limit must be rejected with status 413
// before its body is sent, and must not reach an engine.
func TestOversizedBody(t *testing.T) {
	f := itest.StartFleet(t, itest.SmallProfile())
	c, err := net.Dial("tcp", f.Instances[0].PublicServer().BoundAddr().String())
	require.NoError(t, err)
	defer c.Close()
	fmt.Fprintf(c, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 104857600\r\n\r\n", f.Keys["alpha"])
	require.NoError(t, c.SetReadDeadline(time.Now().Add(itest.Timeout)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
	require.Empty(t, f.Engines[0].Received())
}

// Every response must be complete and belong to its request and adapter version,
// streamed or not, from any instance.
func TestCompleteResponses(t *testing.T) {
	f := itest.StartFleet(t, itest.SmallProfile())
	const tokens = 12
	for n, o := range f.Profile.Orgs {
		for instance := range f.Instances {
			a := demo.Adapter(o, n)
			want := ""
			for i := range tokens {
				want += sims.TokenText(a, "two shells are cracked", int64(i))
			}
			plain := itest.Send(t, f, instance, f.Keys[o.ID], itest.Completion(body(a, tokens, false)))
			require.Equal(t, http.StatusOK, plain.Status, "%s", plain.Body)
			require.Contains(t, string(plain.Body), want)
			stream := itest.Send(t, f, instance, f.Keys[o.ID], itest.Completion(body(a, tokens, true)))
			require.Equal(t, want, streamText(t, string(stream.Body)))
			require.True(t, strings.HasSuffix(string(stream.Body), "data: [DONE]\n\n"))
		}
	}
	require.Zero(t, f.CountLeakedKeys())
}

func streamText(t *testing.T, events string) string {
	text := ""
	for _, line := range strings.Split(events, "\n") {
		data, ok := strings.CutPrefix(line, "data: {")
		if !ok {
			continue
		}
		var e struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		require.NoError(t, json.Unmarshal([]byte("{"+data), &e))
		text += e.Choices[0].Delta.Content
	}
	return text
}

// Guards against leaking credentials to services: a service must receive only the
// allowed headers, without keys, cookies and unknown headers.
func TestForwardedHeaders(t *testing.T) {
	f := itest.StartFleet(t, itest.SmallProfile())
	a := itest.Send(t, f, 0, f.Keys["alpha"], rest.Request{
		Method: http.MethodPost,
		Path:   "/svc/bookings/day/2?x=1",
		Header: http.Header{
			"Cookie":          {"session=" + f.Keys["alpha"]},
			"X-Api-Key":       {f.Keys["alpha"]},
			"Idempotency-Key": {"b-1"},
			"Content-Type":    {"application/json"},
		},
		Body: []byte(f.Profile.BookingBody),
	})
	require.Equal(t, http.StatusOK, a.Status, "%s", a.Body)
	require.Equal(t, "complete", a.Header.Get("X-Outcome"))
	require.Zero(t, f.CountLeakedKeys())
	got := f.Services[0].Received()
	require.Len(t, got, 1)
	require.Equal(t, "/day/2?x=1", got[0].Path)
	require.Equal(t, f.Profile.BookingBody, got[0].Body)
	require.Equal(t, []string{"b-1"}, got[0].Header["Idempotency-Key"])
	require.NotContains(t, got[0].Header, "Cookie")
	require.NotContains(t, got[0].Header, "X-Api-Key")
}

// An open route must work without a key, but reject an invalid one.
func TestOpenRoute(t *testing.T) {
	f := itest.StartFleet(t, itest.SmallProfile())
	r := rest.Request{
		Method: http.MethodGet,
		Path:   "/svc/opening-hours/",
	}
	require.Equal(t, http.StatusOK, itest.Send(t, f, 1, "", r).Status)
	require.Equal(t, http.StatusUnauthorized, itest.Send(t, f, 1, "ctk.alpha.aaaaaaaa.aaaaaaaa", r).Status)
}

// Guards against requests that go on generating after their caller has closed the
// connection in mid-stream: the engine must stop running them.
func TestCallerDisconnects(t *testing.T) {
	p := itest.SmallProfile()
	p.Engine.StepTime = 20 * time.Millisecond
	f := itest.StartFleet(t, p)
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := itest.Client.Send(ctx, rest.Request{
		Method: http.MethodPost,
		Addr:   f.Instances[0].PublicServer().BoundAddr(),
		Path:   "/v1/completions",
		Header: http.Header{"Authorization": {"Bearer " + f.Keys["alpha"]}},
		Body:   []byte(body(demo.Adapter(p.Orgs[0], 0), 5000, true)),
	})
	require.NoError(t, err)
	_, err = bufio.NewReader(resp.Body).ReadString('\n')
	require.NoError(t, err)
	cancel()
	resp.Body.Close()
	require.Eventually(t, func() bool {
		return f.Engines[0].State().Running+f.Engines[1].State().Running == 0
	}, itest.Timeout, 10*time.Millisecond)
}

// Guards against callers that do not read their stream and so occupy an engine: once
// their buffers are full and a write times out, the engine must stop the request.
func TestSlowCaller(t *testing.T) {
	p := itest.SmallProfile()
	p.Engine.StepTime = 20 * time.Microsecond
	p.Engine.StepPerRequest = time.Nanosecond
	f := &demo.Fleet{
		Profile:      p,
		Seed:         1,
		WriteTimeout: 200 * time.Millisecond,
		Log: log.Logger{
			Level: log.PanicLevel,
		},
	}
	require.NoError(t, f.Start(context.Background()))
	t.Cleanup(func() {
		require.NoError(t, f.Stop(context.Background()))
	})
	c, err := net.Dial("tcp", f.Instances[0].PublicServer().BoundAddr().String())
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.(*net.TCPConn).SetReadBuffer(4096))
	a := demo.Adapter(p.Orgs[0], 0)
	document := body(a, 40000, true)
	// New token buckets start empty.
	time.Sleep(2 * time.Second)
	fmt.Fprintf(c, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", f.Keys["alpha"], len(document), document)
	running := func() int {
		return f.Engines[0].Running(a) + f.Engines[1].Running(a)
	}
	require.Eventually(t, func() bool {
		return running() == 1
	}, itest.Timeout, time.Millisecond)
	require.Eventually(t, func() bool {
		return running() == 0
	}, 3*itest.Timeout, 10*time.Millisecond)
	generated := int64(0)
	for _, e := range f.Engines {
		for _, r := range e.Received() {
			generated += r.GeneratedTokens
		}
	}
	require.Less(t, generated, int64(40000), "the response must not be generated to its end")
}

// A response that the engine truncates, or that belongs to another request, must never
// be relayed as complete, streamed or not.
func TestBrokenResponses(t *testing.T) {
	tests := []struct {
		name   string
		faults sims.Faults
	}{
		{
			name:   "cut",
			faults: sims.Faults{CutAfter: 3},
		},
		{
			name:   "crossed",
			faults: sims.Faults{WrongResponseID: true},
		},
	}
	for _, tt := range tests {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s stream %t", tt.name, stream), func(t *testing.T) {
				f := itest.StartFleet(t, itest.SmallProfile())
				for _, e := range f.Engines {
					e.SetFaults(tt.faults)
				}
				a := itest.Send(t, f, 0, f.Keys["alpha"], itest.Completion(body(demo.Adapter(f.Profile.Orgs[0], 0), 8, stream)))
				require.NotContains(t, string(a.Body), "[DONE]")
				require.NotContains(t, string(a.Body), "crossed-")
				require.NotContains(t, string(a.Body), "not-run")
				if a.Status == http.StatusOK {
					require.Contains(t, string(a.Body), "event: error\n")
				} else {
					require.Equal(t, http.StatusBadGateway, a.Status)
				}
			})
		}
	}
}

// While an instance drains, a stream in progress must be completed and new requests must
// be rejected as not run.
func TestDrain(t *testing.T) {
	p := itest.SmallProfile()
	p.Engine.StepTime = 10 * time.Millisecond
	f := itest.StartFleet(t, p)
	done := make(chan rest.Response, 1)
	a := demo.Adapter(p.Orgs[0], 0)
	go func() {
		done <- itest.Send(t, f, 0, f.Keys["alpha"], itest.Completion(body(a, 50, true)))
	}()
	require.Eventually(t, func() bool {
		return f.Engines[0].Running(a)+f.Engines[1].Running(a) == 1
	}, itest.Timeout, time.Millisecond)
	f.Instances[0].PublicServer().Drain()
	refused := itest.Send(t, f, 0, f.Keys["alpha"], itest.Completion(body(a, 4, true)))
	require.Equal(t, http.StatusServiceUnavailable, refused.Status)
	require.Contains(t, string(refused.Body), "not-run")
	require.True(t, strings.HasSuffix(string((<-done).Body), "data: [DONE]\n\n"))
}
