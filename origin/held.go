package origin

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"currantstile/memory"
)

const (
	// firstReadBytes is the size of the first buffer for a body.
	firstReadBytes = 4 << 10
	// growth is by how much the buffer for a body grows when it is full.
	growth = 2
)

// ErrTooLarge is the error of ReadHeld for a body beyond its limit.
var ErrTooLarge = errors.New("body is too large")

// ReadHeld reads a body of at most limit bytes, and takes the bytes for it as they arrive. The declared
// length is negative if it is unknown; one that does not fit is refused before anything is read.
func ReadHeld(r io.Reader, declared, limit int64, held *memory.Holder) ([]byte, error) {
	if declared > limit {
		return nil, ErrTooLarge
	}
	most := limit
	if declared >= 0 {
		most = declared
		if !held.Fits(declared) {
			return nil, memory.ErrNoRoom
		}
	}
	var buf []byte
	for {
		if len(buf) == cap(buf) {
			// One byte more than the body shows its end, or that it goes on.
			size := min(max(growth*int64(cap(buf)), firstReadBytes), max(most, int64(len(buf)))+1)
			if !held.Grow(size - int64(cap(buf))) {
				return nil, memory.ErrNoRoom
			}
			grown := make([]byte, len(buf), size)
			copy(grown, buf)
			buf = grown
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case int64(len(buf)) > limit:
			return nil, ErrTooLarge
		case err == io.EOF:
			return buf, nil
		case err != nil:
			return buf, err
		}
	}
}

// encodeHead returns the HTTP/1.1 encoding of the head of a request.
func encodeHead(r Request) []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// write writes a request. A large body is not copied; a small one leaves in one piece with its head.
func (w *watcher) write(head, body []byte) error {
	var err error
	if len(head)+len(body) <= maxInlineWrite {
		_, err = w.conn.Write(append(head, body...))
	} else {
		parts := net.Buffers{head, body}
		_, err = parts.WriteTo(w.conn.Conn)
	}
	w.written.Store(true)
	return err
}
