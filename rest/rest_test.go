package rest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// closingServer answers the first request on each connection if answerFirst is
// set, and closes the connection after reading any other without an answer.
type closingServer struct {
	ln           net.Listener
	respondFirst bool
	mu           sync.Mutex
	requests     int
}

func newClosingServer(t *testing.T, answerFirst bool) *closingServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &closingServer{
		ln:           ln,
		respondFirst: answerFirst,
	}
	t.Cleanup(func() {
		require.NoError(t, ln.Close())
	})
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *closingServer) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		s.mu.Lock()
		s.requests++
		s.mu.Unlock()
		if n > 0 || !s.respondFirst {
			return
		}
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func (s *closingServer) addr() netip.AddrPort {
	return s.ln.Addr().(*net.TCPAddr).AddrPort()
}

// A request whose connection closes without an answer is seen once by the other
// side, whatever its method, body and headers, on new and on used connections.
// It fails if newHTTPRequest leaves Body nil for requests without one.
func TestSendDoesNotRetry(t *testing.T) {
	methods := []string{http.MethodGet, http.MethodPut, http.MethodPost, http.MethodDelete}
	for _, used := range []bool{false, true} {
		for _, method := range methods {
			for _, body := range [][]byte{nil, []byte("x")} {
				t.Run(fmt.Sprintf("%s body %d used %t", method, len(body), used), func(t *testing.T) {
					s := newClosingServer(t, used)
					c := NewClient(time.Second, 4)
					r := Request{
						Method: method,
						Addr:   s.addr(),
						Path:   "/",
						Header: http.Header{"Idempotency-Key": {"k"}},
						Body:   body,
					}
					want := 1
					if used {
						_, err := c.Exchange(context.Background(), r)
						require.NoError(t, err)
						want = 2
					}
					_, err := c.Exchange(context.Background(), r)
					require.Error(t, err)
					require.True(t, MaybeSent(err))
					s.mu.Lock()
					defer s.mu.Unlock()
					require.Equal(t, want, s.requests)
				})
			}
		}
	}
}

// A refused connection proves that nothing was sent.
func TestSendConnectionRefused(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := ln.Addr().(*net.TCPAddr).AddrPort()
	require.NoError(t, ln.Close())
	_, err = NewClient(time.Second, 1).Exchange(context.Background(), Request{
		Method: http.MethodPost,
		Addr:   addr,
		Path:   "/",
		Body:   []byte("x"),
	})
	require.Error(t, err)
	require.False(t, MaybeSent(err))
	require.ErrorContains(t, err, addr.String())
}

// A cancelled request that waits for its answer may have been sent.
func TestSendCancelled(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = NewClient(time.Second, 1).Exchange(ctx, Request{
		Method: http.MethodGet,
		Addr:   ln.Addr().(*net.TCPAddr).AddrPort(),
		Path:   "/",
	})
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.True(t, MaybeSent(err))
}
