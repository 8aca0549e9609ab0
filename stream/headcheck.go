package stream

import (
	"bytes"
	"strings"

	"github.com/pkg/errors"
)

// Errors of HeadCheck.
var (
	// ErrFieldName means that the name of a field holds a blank.
	ErrFieldName = errors.New("head of the response has a blank in the name of a field")
	// ErrLineBreak means that some lines end with CR LF and others with a bare LF.
	ErrLineBreak = errors.New("head of the response has line breaks of both kinds")
	// ErrFaultyFraming means that a response in HTTP/1.0, which has no chunks, has a transfer encoding.
	ErrFaultyFraming = errors.New("response in HTTP/1.0 has a transfer encoding")
)

const (
	// oldProtocol is the beginning of a response in HTTP/1.0.
	oldProtocol = "HTTP/1.0"
	// statusClassAt is the place of the first digit of the status in a status line.
	statusClassAt = len("HTTP/1.1 ")
	// transferEncoding begins the field that states chunks, in lower case.
	transferEncoding = "transfer-encoding:"
	// maxLineStart is how many bytes of a line are kept: as many as are compared.
	maxLineStart = len(transferEncoding)
)

// HeadCheck follows the bytes of a response up to the end of its head, with the interim responses before it, and
// finds what net/http accepts although it is ambiguous:
//   - a blank in the name of a field; one such as "Content-Length " does not frame the body, and is passed on
//   - a line that begins with a blank, which is joined to the field before, whatever name follows
//   - a bare LF beside line breaks with CR LF; in front of a name it ends the head
//   - a transfer encoding in HTTP/1.0, which is ignored, so that the chunks are the body
//
// All other bytes that a name must not hold are rejected by net/http.
//
// The zero value is ready for the first byte of a response.
type HeadCheck struct {
	err error
	// ended is set behind the head of the final response.
	ended bool
	// inFields is set behind the status line, isInterim for the head of an interim response, and isOld for one in
	// HTTP/1.0.
	inFields, isInterim, isOld bool
	// endsInCR is set if the current line ends in CR so far, and breaksInCR if the status line did.
	endsInCR, breaksInCR bool
	// start is the beginning of the current line of size bytes.
	start []byte
	size  int
	// named is set once the name on the current line has ended.
	named bool
}

// Reset prepares the check for the next response.
func (h *HeadCheck) Reset() {
	*h = HeadCheck{
		start: h.start[:0],
	}
}

// Err returns what is wrong with the bytes that were added, or nil.
func (h *HeadCheck) Err() error {
	return h.err
}

// Add adds the bytes that were received next. Those behind the head are ignored.
func (h *HeadCheck) Add(b []byte) {
	for len(b) > 0 && !h.ended && h.err == nil {
		part, rest, lineEnded := bytes.Cut(b, []byte{'\n'})
		h.addToLine(part)
		if lineEnded {
			h.endLine()
		}
		b = rest
	}
}

// addToLine adds a part of the current line.
func (h *HeadCheck) addToLine(part []byte) {
	if h.inFields && !h.named {
		var name []byte
		name, _, h.named = bytes.Cut(part, []byte{':'})
		if bytes.ContainsAny(name, " \t") {
			h.err = ErrFieldName
		}
	}
	if len(part) > 0 {
		h.endsInCR = part[len(part)-1] == '\r'
	}
	h.size += len(part)
	h.start = append(h.start, part[:min(len(part), maxLineStart-len(h.start))]...)
}

// endLine ends the current line.
func (h *HeadCheck) endLine() {
	switch isEmpty := h.size == 0 || string(h.start) == "\r"; {
	case !h.inFields:
		h.inFields, h.breaksInCR = true, h.endsInCR
		h.isInterim = len(h.start) > statusClassAt && h.start[statusClassAt] == '1'
		h.isOld = bytes.HasPrefix(h.start, []byte(oldProtocol))
	case h.endsInCR != h.breaksInCR:
		h.err = ErrLineBreak
	case h.isOld && strings.EqualFold(string(h.start), transferEncoding):
		h.err = ErrFaultyFraming
	case isEmpty && h.isInterim:
		h.inFields = false
	case isEmpty:
		h.ended = true
	}
	h.start, h.size, h.named, h.endsInCR = h.start[:0], 0, false, false
}
