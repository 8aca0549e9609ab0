package proxy

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"currantstile/memory"
)

// errResponseTooLarge is returned by writes beyond maxBufferedBody.
var errResponseTooLarge = errors.New("response is too large for a caller of HTTP/1.0")

// bufferedWriter holds the response to a caller of HTTP/1.0, which knows no chunks: an answer
// without a length would end with its connection, whether or not it is complete. A response
// that is not finished by close is never sent.
type bufferedWriter struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
	// held takes the bytes of body.
	held *memory.Holder
	// failed is set once a part of the response could not be held: the exchange is broken off then.
	failed   bool
	exchange *Exchange
}

// WriteHeader implements http.ResponseWriter.
func (b *bufferedWriter) WriteHeader(status int) {
	b.status = status
}

// Write implements http.ResponseWriter.
func (b *bufferedWriter) Write(p []byte) (int, error) {
	if b.body.Len()+len(p) > maxBufferedBody {
		b.failed = true
		return 0, errResponseTooLarge
	}
	if need := b.body.Len() + len(p); need > b.body.Cap() {
		size := max(need, 2*b.body.Cap())
		if !b.held.Set(int64(size)) {
			b.failed = true
			return 0, memory.ErrNoRoom
		}
		b.body.Grow(size - b.body.Len())
	}
	return b.body.Write(p)
}

// FlushError implements the method that http.ResponseController calls.
func (b *bufferedWriter) FlushError() error {
	return nil
}

// Unwrap gives http.ResponseController access to the deadlines of the connection.
func (b *bufferedWriter) Unwrap() http.ResponseWriter {
	return b.ResponseWriter
}

// close sends the response with its length, or aborts one that is not whole.
func (b *bufferedWriter) close() {
	if b.status == 0 {
		return
	}
	if b.failed {
		b.exchange.Reason = "broken-off"
		b.exchange.abort()
	}
	b.Header().Set("Content-Length", strconv.Itoa(b.body.Len()))
	b.ResponseWriter.WriteHeader(b.status)
	// A write error means that the caller has disconnected; nothing is left to do.
	_, _ = b.ResponseWriter.Write(b.body.Bytes())
}
