package proxy

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"currantstile/call"
	"currantstile/config"
	"currantstile/memory"
	"currantstile/origin"
	"currantstile/sched"
)

// heldExchange is an exchange of an unsafe route with a body of 1 MiB.
func heldExchange(t *testing.T, pool int64) (*Exchange, *memory.Budget) {
	b := &memory.Budget{
		Bodies:  memory.NewPool(pool),
		Answers: memory.NewPool(pool),
	}
	x := &Exchange{
		Route: &config.Route{
			Kind: config.KindUnsafe,
		},
		gate: &Gate{
			Router: &Router{
				Budget: &sched.RetryBudget{
					Slack: 100,
				},
			},
		},
	}
	x.useBudget(b)
	require.True(t, x.held.body.held.Grow(1<<20))
	x.held.body.bytes = make([]byte, 1<<20)
	return x, b
}

// Guards against a body that is sent again after it was dropped, and against dropping one that may be needed:
// before it is written, after the answer has begun, or while there is room.
func TestWrittenBodyIsDropped(t *testing.T) {
	for _, c := range []struct {
		name     string
		pool     int64
		answered bool
		kind     config.Kind
		dropped  bool
	}{
		{name: "crowded", pool: 2 << 20, dropped: true},
		{name: "room for others", pool: 8 << 20},
		{name: "answer has begun", pool: 2 << 20, answered: true},
		{name: "may be sent again", pool: 2 << 20, kind: config.KindSafe},
	} {
		t.Run(c.name, func(t *testing.T) {
			x, b := heldExchange(t, c.pool)
			if c.kind != x.Route.Kind && c.kind != "" {
				x.Route.Kind = c.kind
			}
			x.Route.MaxTargets = 2
			crowd := b.Bodies.Holder()
			crowd.Grow(c.pool / 16)
			require.Len(t, x.held.body.beginSend(), 1<<20)
			if c.answered {
				x.held.body.endSend()
			}
			if written := x.onWritten(); written != nil {
				written()
			}
			x.held.body.endSend()
			require.Equal(t, c.dropped, x.held.body.isDropped())
			require.Equal(t, c.dropped, x.held.body.held.Bytes() == 0)
			if c.dropped {
				require.False(t, x.mayRetry(context.Background(), &Placement{}, resultNotExecuted, 0))
			} else {
				require.Len(t, x.held.body.beginSend(), 1<<20)
			}
			x.releaseHeld()
			crowd.Release()
			require.Zero(t, b.Bodies.Held())
		})
	}
}

// Guards against the copies of answers to callers of HTTP/1.0 taking more than the answers may.
func TestCopiesForOldCallersAreCounted(t *testing.T) {
	pool := memory.NewPool(1 << 20)
	held := pool.Holder()
	b := &bufferedWriter{
		ResponseWriter: httptest.NewRecorder(),
		held:           &held,
	}
	b.WriteHeader(http.StatusOK)
	part := bytes.Repeat([]byte("x"), 64<<10)
	var err error
	for err == nil {
		_, err = b.Write(part)
	}
	require.ErrorIs(t, err, memory.ErrNoRoom)
	require.Positive(t, pool.Held())
	require.LessOrEqual(t, pool.Held(), pool.Limit())
}

// Guards against taking the length that the answer to a HEAD request states, or one with status 304, for that of
// its body, which is empty.
func TestStatedLengthWithoutBodyIsNoBody(t *testing.T) {
	for _, c := range []struct {
		name   string
		method string
		status int
	}{
		{name: "HEAD", method: http.MethodHead, status: http.StatusOK},
		{name: "not modified", method: http.MethodGet, status: http.StatusNotModified},
	} {
		t.Run(c.name, func(t *testing.T) {
			x, _ := heldExchange(t, 2<<20)
			x.Request = &call.Request{
				Method: c.method,
			}
			body, ok, err := x.readAnswer(&origin.Response{
				Response: &http.Response{
					StatusCode:    c.status,
					ContentLength: 2 * maxBufferedBody,
					Body:          http.NoBody,
				},
			}, call.ResponseInfo{
				Signed: true,
			})
			require.True(t, ok)
			require.NoError(t, err)
			require.Empty(t, body)
		})
	}
}
