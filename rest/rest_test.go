package rest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// closingServer closes each connection after reading a request, without a response.
// If respondFirst is set, it responds to the first request on each connection.
type closingServer struct {
	ln           net.Listener
	respondFirst bool
	mu           sync.Mutex
	requests     int
}

func newClosingServer(t *testing.T, respondFirst bool) *closingServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &closingServer{
		ln:           ln,
		respondFirst: respondFirst,
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

// Guards against automatic retries of net/http: a request whose connection is closed
// without a response must arrive exactly once, for every method, with and without a
// body, on new and on reused connections. It fails if newHTTPRequest leaves Body nil
// for requests without a body.
func TestSendDoesNotRetry(t *testing.T) {
	methods := []string{http.MethodGet, http.MethodPut, http.MethodPost, http.MethodDelete}
	for _, reused := range []bool{false, true} {
		for _, method := range methods {
			for _, body := range [][]byte{nil, []byte("x")} {
				t.Run(fmt.Sprintf("%s body %d used %t", method, len(body), reused), func(t *testing.T) {
					s := newClosingServer(t, reused)
					c := NewClient(time.Second, 4)
					r := Request{
						Method: method,
						Addr:   s.addr(),
						Path:   "/",
						Header: http.Header{"Idempotency-Key": {"k"}},
						Body:   body,
					}
					want := 1
					if reused {
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

// A refused connection must be reported as not sent: otherwise a request that cannot
// have run gets an unknown outcome.
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

// A request that is cancelled while it waits for the response must be reported as
// possibly sent: otherwise one that has run could be reported as not run.
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

// Guards against a body that is cut at the bound and passes for a complete one.
func TestBodyOverBoundIsAnError(t *testing.T) {
	tests := []struct {
		name string
		size int
		ok   bool
	}{
		{name: "at the bound", size: MaxResponseBytes, ok: true},
		{name: "over it", size: MaxResponseBytes + 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write(make([]byte, tt.size))
			}))
			defer s.Close()
			resp, err := NewClient(time.Second, 1).Exchange(context.Background(), Request{
				Addr:   netip.MustParseAddrPort(s.Listener.Addr().String()),
				Method: http.MethodGet,
				Path:   "/",
			})
			if tt.ok {
				require.NoError(t, err)
				require.Len(t, resp.Body, tt.size)
				return
			}
			require.ErrorIs(t, err, ErrTooLarge)
		})
	}
}
