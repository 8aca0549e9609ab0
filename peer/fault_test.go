package peer_test

import (
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/peer"
	"currantstile/wire"
)

// A panic while a call is handled ends that call with an error, not the process.
func TestPanicEndsOnlyItsCall(t *testing.T) {
	s := startServer(t, "", 0)
	p := &peer.Pool{}
	defer p.Close()
	err := p.Call(t.Context(), s.BoundAddr(), wire.MethodBorrow, wire.BorrowArgs{}, &wire.BorrowReply{})
	require.ErrorContains(t, err, "panic")
	var reply wire.StatusReply
	require.NoError(t, p.Call(t.Context(), s.BoundAddr(), wire.MethodStatus, wire.StatusArgs{}, &reply))
	require.EqualValues(t, "entry-0", reply.ID)
}

// Bytes that are no request, or a request without end, end their connection.
func TestMalformedRequestsEndTheirConnection(t *testing.T) {
	// gob sends a length of several bytes as the complement of their number.
	endless := binary.BigEndian.AppendUint32([]byte{0xfc}, 1<<30-1)
	tests := []struct {
		name  string
		start []byte
	}{
		{name: "not a request", start: []byte("GET / HTTP/1.1\r\n\r\n")},
		{name: "request without end", start: endless},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startServer(t, "", 0)
			c, err := net.Dial("tcp", s.BoundAddr().String())
			require.NoError(t, err)
			defer c.Close()
			_, err = c.Write(tt.start)
			chunk := make([]byte, 1<<20)
			sent := 0
			for ; err == nil && sent < 512; sent++ {
				require.NoError(t, c.SetWriteDeadline(time.Now().Add(10*time.Second)))
				_, err = c.Write(chunk)
			}
			require.Less(t, sent, 512, "of 1 MiB each")
			_, err = callStatus(s.BoundAddr(), "", time.Second)
			require.NoError(t, err)
		})
	}
}
