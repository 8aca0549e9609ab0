package proxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/call"
	"currantstile/origin"
	"currantstile/stream"
)

// endlessBody never ends, and counts what was read.
type endlessBody struct {
	n int
}

func (e *endlessBody) Read(b []byte) (int, error) {
	e.n += len(b)
	return len(b), nil
}

// Guards against reading megabytes of a body without end that would not be relayed, however it ended.
func TestBytesThatAreNoAnswerEndEarly(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		header http.Header
		signed bool
		most   int
	}{
		{name: "not signed", status: http.StatusOK, most: maxNoAnswer + 1},
		{name: "encoded", status: http.StatusOK, header: http.Header{"Content-Encoding": {"gzip"}}, signed: true, most: maxNoAnswer + 1},
		{name: "promises that it was not executed", status: http.StatusTooManyRequests, signed: true, most: maxNoAnswer + 1},
		{name: "may be an answer", status: http.StatusOK, signed: true, most: maxBufferedBody + 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			router := &Router{}
			router.init()
			x := &Exchange{
				Request: &call.Request{
					ID: "r1",
				},
				gate: &Gate{
					Conns:  &origin.Pool{},
					Router: router,
				},
				w: httptest.NewRecorder(),
			}
			body := &endlessBody{}
			resp := &origin.Response{
				Response: &http.Response{
					StatusCode:    c.status,
					Header:        c.header,
					ContentLength: -1,
					Body:          io.NopCloser(body),
				},
			}
			x.Framing = stream.FramingOf(resp.Response)
			result, last := x.relayBuffered(context.Background(), &Placement{
				router: router,
			}, time.Now(), resp, call.ResponseInfo{
				Signed: c.signed,
			})
			require.Equal(t, resultUnknown, result)
			require.Nil(t, last)
			require.LessOrEqual(t, body.n, c.most)
		})
	}
}
