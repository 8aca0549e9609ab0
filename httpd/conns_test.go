package httpd

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/stretchr/testify/require"
)

// pipeConn is a connection of hertz of which only Close is used.
type pipeConn struct {
	network.Conn
	net net.Conn
}

func (c pipeConn) Close() error {
	return c.net.Close()
}

// Guards against a request that is handled although its connection was closed as idle while it was
// being read.
func TestRequestOnClosedIdleConnectionIsNotHandled(t *testing.T) {
	tests := []struct {
		name   string
		close  bool
		handle bool
	}{
		{
			name:   "open",
			handle: true,
		},
		{
			name:  "closed as idle",
			close: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a, b := net.Pipe()
			defer b.Close()
			var s connSet
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			ctx = s.track(ctx, pipeConn{
				net: a,
			})
			if tt.close {
				s.closeIdleSince(time.Now())()
			}
			handled := false
			c := app.NewContext(0)
			c.SetHandlers(app.HandlersChain{trackBusy, func(context.Context, *app.RequestContext) {
				handled = true
				s.closeIdleSince(time.Now())()
			}})
			c.Next(ctx)
			require.Equal(t, tt.handle, handled)
			_ = b.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
			_, err := b.Read(make([]byte, 1))
			var timeout net.Error
			if tt.handle {
				require.ErrorAs(t, err, &timeout, "the connection was closed under its request")
			}
		})
	}
}
