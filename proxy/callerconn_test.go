package proxy

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a connection that is closed as idle although the begin of the next request was
// received before the last one was answered.
func TestConnectionWithAByteOfTheNextRequestIsNotIdle(t *testing.T) {
	server, caller := net.Pipe()
	defer caller.Close()
	c := &callerConn{
		Conn: server,
	}
	now := time.Now()
	require.True(t, c.begin(now))
	go func() {
		_, _ = caller.Write([]byte("G"))
	}()
	// The background read of net/http.
	_, err := c.Read(make([]byte, 1))
	require.NoError(t, err)
	var conns callerConns
	conns.setState(c, http.StateIdle)
	require.False(t, c.closeIdle(time.Now(), waitLimits{
		receiving: time.Minute,
	}))
}
