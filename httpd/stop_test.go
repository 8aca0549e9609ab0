package httpd

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/route"
	"github.com/stretchr/testify/require"
)

// Guards against a connection that is closed as idle while the body of a request is being received.
func TestStopDoesNotCloseUnderARequestBeingReceived(t *testing.T) {
	s := &Server{
		Addr: netip.MustParseAddrPort("127.0.0.1:0"),
		Routes: func(e *route.Engine) {
			e.POST("/", func(_ context.Context, c *app.RequestContext) {
				c.String(http.StatusOK, "done")
			})
		},
	}
	require.NoError(t, s.Start())
	c, err := net.Dial("tcp", s.BoundAddr().String())
	require.NoError(t, err)
	defer c.Close()
	br := bufio.NewReader(c)
	_, err = fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx")
	require.NoError(t, err)
	resp, err := http.ReadResponse(br, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.NoError(t, resp.Body.Close())
	_, err = fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nx")
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	stopped := make(chan error, 1)
	go func() {
		stopped <- s.Stop(context.Background())
	}()
	time.Sleep(3 * idleCloseDelay)
	_, err = fmt.Fprint(c, "x")
	require.NoError(t, err)
	resp, err = http.ReadResponse(br, nil)
	require.NoError(t, err, "no answer")
	require.NoError(t, resp.Body.Close())
	<-stopped
}
