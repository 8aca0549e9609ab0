package proxy

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"currantstile/memory"
)

// Guards against an answer that was too large to buffer and reaches a caller of HTTP/1.0 cut off, with a
// length that makes it look complete.
func TestAnswerBeyondTheBufferIsNotSentCut(t *testing.T) {
	tests := []struct {
		name   string
		pieces int
		sent   bool
	}{
		{
			name:   "fits",
			pieces: 2,
			sent:   true,
		},
		{
			name:   "too large",
			pieces: 3,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rec := httptest.NewRecorder()
			held := memory.NewPool(4 * maxBufferedBody).Holder()
			b := &bufferedWriter{
				ResponseWriter: rec,
				held:           &held,
				exchange:       &Exchange{},
			}
			piece := bytes.Repeat([]byte("x"), maxBufferedBody/2)
			send := func() {
				b.WriteHeader(http.StatusOK)
				for range tt.pieces {
					if _, err := b.Write(piece); err != nil {
						break
					}
				}
				b.close()
			}
			if tt.sent {
				send()
				require.Equal(t, tt.pieces*len(piece), rec.Body.Len())
				return
			}
			require.PanicsWithValue(t, http.ErrAbortHandler, send)
			require.Zero(t, rec.Body.Len())
		})
	}
}
