package origin_test

import (
	"bufio"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/origin"
	"currantstile/stream"
)

// Guards against a response with an impossible status that is taken for an answer, or for an interim one that is waited on until the
// time limit.
func TestImpossibleStatusIsAnError(t *testing.T) {
	const patience = 5 * time.Second
	for _, status := range []string{"000", "020", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			addr := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
				defer c.Close()
				if _, err := readRequest(br); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 "+status+" None\r\nContent-Length: 2\r\n\r\nok")
				// Ends when the client closes the connection, or fails the test by ending it late.
				_ = c.SetReadDeadline(time.Now().Add(patience))
				_, _ = br.ReadByte()
			})
			requireHeadError(t, addr, origin.ErrStatus)
		})
	}
}

// Guards against interim responses without end, and against an answer that is not accepted after a few of them.
func TestInterimResponsesAreBounded(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\n\r\n"
	serve := func(n int) func(int, net.Conn, *bufio.Reader) {
		return func(_ int, c net.Conn, br *bufio.Reader) {
			defer c.Close()
			if _, err := readRequest(br); err != nil {
				return
			}
			for range n {
				if _, err := io.WriteString(c, interim); err != nil {
					return
				}
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
	body, err := sendAndRead(&origin.Pool{}, startServer(t, serve(3)))
	require.NoError(t, err)
	require.Equal(t, "ok", body)
	_, err = sendAndRead(&origin.Pool{}, startServer(t, serve(1000)))
	require.Error(t, err)
}

// Guards against a response with a blank in the name of a field that is taken for an answer.
func TestBlankInFieldNameIsAnError(t *testing.T) {
	for _, field := range []string{"Content-Length : 2", " Content-Length: 2", "X Extra: 1\r\nContent-Length: 2"} {
		t.Run(field, func(t *testing.T) {
			requireHeadError(t, startServer(t, respondLast("HTTP/1.1 200 OK\r\nX-Other: 1\r\n"+field+"\r\n\r\nok")), stream.ErrFieldName)
		})
	}
}

// respondLast writes a raw response to the first request of a connection and closes it.
func respondLast(response string) func(int, net.Conn, *bufio.Reader) {
	return func(_ int, c net.Conn, br *bufio.Reader) {
		defer c.Close()
		if _, err := readRequest(br); err == nil {
			_, _ = io.WriteString(c, response)
		}
	}
}

// requireHeadError sends a request, and requires that it fails with an error and may have run.
func requireHeadError(t *testing.T, addr netip.AddrPort, target error) {
	_, err := sendAndRead(&origin.Pool{}, addr)
	require.ErrorIs(t, err, target)
	var sendErr *origin.SendError
	require.ErrorAs(t, err, &sendErr)
	require.True(t, sendErr.MaybeSent)
}
