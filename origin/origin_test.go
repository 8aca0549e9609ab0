package origin_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"currantstile/origin"
	"currantstile/stream"
)

// startServer calls serve for every accepted connection; n counts them from 1.
func startServer(t *testing.T, serve func(n int, c net.Conn, br *bufio.Reader)) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = ln.Close()
	})
	go func() {
		for n := 1; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(n, c, bufio.NewReader(c))
		}
	}()
	return netip.MustParseAddrPort(ln.Addr().String())
}

func readRequest(br *bufio.Reader) (*http.Request, error) {
	r, err := http.ReadRequest(br)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r, err
}

// respondAll writes the same raw response to every request of a connection.
func respondAll(response string) func(int, net.Conn, *bufio.Reader) {
	return func(_ int, c net.Conn, br *bufio.Reader) {
		for {
			if _, err := readRequest(br); err != nil {
				return
			}
			_, _ = io.WriteString(c, response)
		}
	}
}

func sendAndRead(p *origin.Pool, addr netip.AddrPort) (string, error) {
	resp, err := p.Send(context.Background(), origin.Request{
		Addr:   addr,
		Method: http.MethodPost,
		URI:    "/x",
		Host:   "h",
		Body:   []byte("body"),
	})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

// A connection must not be reused after unsolicited bytes, a Connection: close
// header or a Keep-Alive timeout within the margin: the next response could belong
// to another request, or the target could close the connection.
func TestConnectionReuse(t *testing.T) {
	tests := []struct {
		name     string
		response string
		opened   int64
	}{
		{
			name:     "clean",
			response: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
			opened:   1,
		},
		{
			name:     "bytes after the response",
			response: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate",
			opened:   3,
		},
		{
			name:     "connection close header",
			response: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
			opened:   3,
		},
		{
			name:     "keep-alive timeout within the margin",
			response: "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok",
			opened:   3,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := &origin.Pool{}
			addr := startServer(t, respondAll(tt.response))
			for range 3 {
				body, err := sendAndRead(p, addr)
				require.NoError(t, err)
				require.Equal(t, "ok", body)
				time.Sleep(5 * time.Millisecond)
			}
			require.Equal(t, tt.opened, p.OpenedConns())
		})
	}
}

// Guards against the chunks of an answer that come for its body: HTTP/1.0 has no chunks, so that the
// framing of an answer with both is faulty.
func TestChunksOfHTTP10AreNoAnswer(t *testing.T) {
	for _, piece := range []int{1, 5, 1000} {
		p := &origin.Pool{}
		text := "HTTP/1.0 200 OK\r\nX-A: b\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
		addr := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
			defer c.Close()
			_, _ = readRequest(br)
			for rest := text; rest != ""; {
				n := min(piece, len(rest))
				_, _ = io.WriteString(c, rest[:n])
				rest = rest[n:]
			}
		})
		_, err := sendAndRead(p, addr)
		require.ErrorIs(t, err, stream.ErrFaultyFraming)
	}
}

// A second response that arrives while the connection is idle must not be taken as
// the response to the next request.
func TestLateResponseIsDiscarded(t *testing.T) {
	p := &origin.Pool{}
	addr := startServer(t, func(n int, c net.Conn, br *bufio.Reader) {
		if _, err := readRequest(br); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		if n == 1 {
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
		}
	})
	_, err := sendAndRead(p, addr)
	require.NoError(t, err)
	time.Sleep(60 * time.Millisecond)
	body, err := sendAndRead(p, addr)
	require.NoError(t, err)
	require.Equal(t, "ok", body)
	require.Equal(t, int64(2), p.OpenedConns())
}

// MaybeSent decides whether a request may be retried elsewhere: it must be false
// for a refused connection, and true if the target closes the connection or
// responds with invalid HTTP after the request was written.
func TestSendErrorMaybeSent(t *testing.T) {
	p := &origin.Pool{}
	refused, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closedAddr := netip.MustParseAddrPort(refused.Addr().String())
	require.NoError(t, refused.Close())
	var e *origin.SendError
	_, err = sendAndRead(p, closedAddr)
	require.ErrorAs(t, err, &e)
	require.False(t, e.MaybeSent)
	closing := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		_, _ = readRequest(br)
		_ = c.Close()
	})
	_, err = sendAndRead(p, closing)
	require.ErrorAs(t, err, &e)
	require.True(t, e.MaybeSent)
	invalid := startServer(t, respondAll("\x00\x01not a response\r\n\r\n"))
	_, err = sendAndRead(p, invalid)
	require.ErrorAs(t, err, &e)
	require.True(t, e.MaybeSent)
}

// Cancelling a request must reset its connection, so that the target sees that the
// request ended. An orderly close would look like the end of the input.
func TestCancelResetsConnection(t *testing.T) {
	p := &origin.Pool{}
	ended := make(chan error, 1)
	addr := startServer(t, func(_ int, _ net.Conn, br *bufio.Reader) {
		_, _ = readRequest(br)
		_, err := br.ReadByte()
		ended <- err
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := p.Send(ctx, origin.Request{
		Addr:   addr,
		Method: http.MethodGet,
		URI:    "/x",
		Host:   "h",
	})
	require.ErrorIs(t, err, context.DeadlineExceeded)
	err = <-ended
	require.Error(t, err)
	require.False(t, errors.Is(err, io.EOF), "the connection must be reset, not closed in order")
}

// A target may respond before it has read a large body. The response must be
// returned, and the connection must not be reused while the body is being written.
func TestEarlyResponseToLargeBody(t *testing.T) {
	p := &origin.Pool{}
	addr := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		_, _ = br.ReadString('\n')
		_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno")
		time.Sleep(200 * time.Millisecond)
		_ = c.Close()
	})
	resp, err := p.Send(context.Background(), origin.Request{
		Addr:   addr,
		Method: http.MethodPost,
		URI:    "/x",
		Host:   "h",
		Body:   make([]byte, 8<<20),
	})
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "no", string(b))
	resp.Close()
	_, err = sendAndRead(p, addr)
	require.NoError(t, err)
	require.Equal(t, int64(2), p.OpenedConns())
}

// Guards against a head without end: the bytes that are read are bounded, and the request
// may have run.
func TestEndlessHeadIsBounded(t *testing.T) {
	tests := []struct {
		name, start, line string
	}{
		{name: "headers", start: "HTTP/1.1 200 OK\r\n", line: "X-A: " + strings.Repeat("a", 1000) + "\r\n"},
		{name: "one header", start: "HTTP/1.1 200 OK\r\nX-A: ", line: strings.Repeat("a", 1000)},
		{name: "status line", start: "", line: strings.Repeat("H", 1000)},
		{name: "interim responses", start: "", line: "HTTP/1.1 100 Continue\r\nX-A: " + strings.Repeat("a", 20000) + "\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var written atomic.Int64
			addr := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
				defer c.Close()
				_, err := readRequest(br)
				for out := tt.start; err == nil && written.Load() < 256<<20; out = tt.line {
					var n int
					n, err = io.WriteString(c, out)
					written.Add(int64(n))
				}
			})
			p := &origin.Pool{}
			_, err := sendAndRead(p, addr)
			var sendErr *origin.SendError
			require.ErrorAs(t, err, &sendErr)
			require.True(t, sendErr.MaybeSent)
			require.Less(t, written.Load(), int64(32<<20))
		})
	}
}

// Guards against taking a target that cannot be reached, or that still accepts
// connections, for one whose process has ended.
func TestRefuses(t *testing.T) {
	var p origin.Pool
	ctx := context.Background()
	addr := startServer(t, func(int, net.Conn, *bufio.Reader) {})
	require.False(t, p.Refuses(ctx, addr))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed := netip.MustParseAddrPort(ln.Addr().String())
	require.NoError(t, ln.Close())
	require.True(t, p.Refuses(ctx, closed))
	done, cancel := context.WithCancel(ctx)
	cancel()
	require.False(t, p.Refuses(done, closed))
}
