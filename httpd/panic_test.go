package httpd

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/cloudwego/hertz/pkg/route"
	"github.com/stretchr/testify/require"
)

// Guards against a request without an answer because its handler panicked.
func TestPanickingHandlerAnswers(t *testing.T) {
	s := &Server{
		Addr: netip.MustParseAddrPort("127.0.0.1:0"),
		Routes: func(e *route.Engine) {
			e.GET("/", func(context.Context, *app.RequestContext) {
				panic("planted")
			})
		},
	}
	require.NoError(t, s.Start())
	defer func() {
		_ = s.Stop(context.Background())
	}()
	c := &http.Client{
		Timeout: 3 * time.Second,
	}
	resp, err := c.Get("http://" + s.BoundAddr().String())
	require.NoError(t, err, "no answer")
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusInternalServerError, resp.StatusCode)
}

// Guards against a stream that its handler's panic cuts off and that passes for complete.
func TestStreamOfAPanickingHandlerIsCutOff(t *testing.T) {
	s := &Server{
		Addr: netip.MustParseAddrPort("127.0.0.1:0"),
		Routes: func(e *route.Engine) {
			e.GET("/", func(_ context.Context, c *app.RequestContext) {
				c.Response.HijackWriter(resp.NewChunkedBodyWriter(&c.Response, c.GetWriter()))
				_, _ = c.Write([]byte("event"))
				_ = c.Flush()
				panic("planted")
			})
		},
	}
	require.NoError(t, s.Start())
	defer func() {
		_ = s.Stop(context.Background())
	}()
	c := &http.Client{
		Timeout: 3 * time.Second,
	}
	resp, err := c.Get("http://" + s.BoundAddr().String())
	require.NoError(t, err)
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	require.Error(t, err)
}
