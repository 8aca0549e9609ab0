package engine

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/model"
	"currantstile/rest"
)

// Guards against half an answer of a service that ended, taken for a whole one because it had
// no length.
func TestAnswerEndingWithItsServiceIsUnknown(t *testing.T) {
	for _, ends := range []bool{false, true} {
		t.Run(fmt.Sprintf("ends=%t", ends), func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer ln.Close()
			go func() {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				// Bytes that are left unread would reset the connection.
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err == nil {
					_, err = io.Copy(io.Discard, r.Body)
				}
				if err != nil {
					return
				}
				_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf an answer")
				if ends {
					_ = ln.Close()
				}
				_ = c.Close()
			}()
			c := &Client{
				HTTP: rest.NewClient(time.Second, 1),
			}
			resp, err := c.Serve(t.Context(), netip.MustParseAddrPort(ln.Addr().String()), ServiceCall{
				RequestID: "r1",
				Method:    http.MethodPost,
				Path:      "/book",
				Header:    http.Header{},
			})
			if !ends {
				require.NoError(t, err)
				require.Equal(t, "half an answer", string(resp.Body))
				return
			}
			require.Error(t, err)
			require.IsType(t, model.Unknown{}, OutcomeOf(err))
		})
	}
}
