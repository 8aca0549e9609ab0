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

// panickingCodec panics while it writes a refusal.
type panickingCodec struct {
	Codec
}

func (panickingCodec) SetRefusalHeader(http.Header, *call.Request, time.Duration) {
	panic("planted")
}

// Guards against a request that fails by a panic and passes for a success, as net/http answers 200 for a
// handler that returns without an answer.
func TestPanicWithoutAnAnswerIsNoSuccess(t *testing.T) {
	g := &Gate{
		Codec:  panickingCodec{},
		Config: func() *config.Config { return nil },
	}
	s := httptest.NewServer(g)
	defer s.Close()
	resp, err := http.Get(s.URL)
	if err != nil {
		return
	}
	require.NoError(t, resp.Body.Close())
	require.GreaterOrEqual(t, resp.StatusCode, http.StatusInternalServerError)
}
