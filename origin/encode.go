package origin

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
)

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
