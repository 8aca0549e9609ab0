package proxy

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
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
	// overflowed is set once the response did not fit.
	overflowed bool
}

// WriteHeader implements http.ResponseWriter.
func (b *bufferedWriter) WriteHeader(status int) {
	b.status = status
}

// Write implements http.ResponseWriter.
func (b *bufferedWriter) Write(p []byte) (int, error) {
	if b.body.Len()+len(p) > maxBufferedBody {
		b.overflowed = true
		return 0, errResponseTooLarge
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

// close sends the response with its length. It panics with http.ErrAbortHandler, which closes the
// connection, if a part of the response did not fit.
func (b *bufferedWriter) close() {
	if b.overflowed {
		panic(http.ErrAbortHandler)
	}
	if b.status == 0 {
		return
	}
	b.Header().Set("Content-Length", strconv.Itoa(b.body.Len()))
	b.ResponseWriter.WriteHeader(b.status)
	// A write error means that the caller has disconnected; nothing is left to do.
	_, _ = b.ResponseWriter.Write(b.body.Bytes())
}
