package proxy

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/call"
	"currantstile/config"
)

// refusingCodec only sets the headers of refusals.
type refusingCodec struct {
	Codec
}

func (refusingCodec) SetRefusalHeader(http.Header, *call.Request, time.Duration) {}

// Guards against an answer that is not sent because what comes after it panics.
func TestPanicAfterTheAnswerDoesNotLoseIt(t *testing.T) {
	g := &Gate{
		Codec:  refusingCodec{},
		Config: func() *config.Config { return nil },
		ObserveRequest: func(string, string, *Exchange) {
			panic("planted")
		},
	}
	s := httptest.NewServer(g)
	defer s.Close()
	resp, err := http.Get(s.URL)
	require.NoError(t, err, "no answer")
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
}
