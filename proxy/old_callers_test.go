package proxy

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a part of an answer that passes for all of it: a caller of HTTP/1.0 whose answer does not fit
// gets none.
func TestAnswerTooLargeForOldCallersIsNotSent(t *testing.T) {
	sent, x := httptest.NewRecorder(), &Exchange{
		Status: http.StatusOK,
	}
	b := &bufferedWriter{
		ResponseWriter: sent,
		exchange:       x,
	}
	b.WriteHeader(http.StatusOK)
	part := bytes.Repeat([]byte("x"), maxBufferedBody/2+1)
	_, err := b.Write(part)
	require.NoError(t, err)
	_, err = b.Write(part)
	require.Error(t, err)
	require.PanicsWithError(t, http.ErrAbortHandler.Error(), b.close)
	require.Zero(t, sent.Body.Len())
	require.Zero(t, x.Status)
	require.Equal(t, "broken-off", x.Reason)
}
