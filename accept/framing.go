package accept

import (
	"bytes"
	"strconv"
	"strings"
)

// phase is the part of a request that the next byte belongs to.
type phase int

const (
	inHead phase = iota
	inBody
	inChunkSize
	inChunkData
	// inChunkEnd is the line break after the data of a chunk.
	inChunkEnd
	inTrailer
	// isLost means that the framing is malformed: the HTTP server ends the connection.
	isLost
)

// maxLineStart is how much of a line is kept: more than the fields that matter need.
const maxLineStart = 48

// framing follows the requests on a connection, without their contents, to count the lines and bytes of each
// header section before it is parsed. Bytes of pipelined requests are counted for the right one.
type framing struct {
	limits Limits
	phase  phase
	// left is the number of bytes left of a body or a chunk.
	left int64
	// lines and bytes are those of the current header section or trailer.
	lines, bytes int
	// line is the start of the current line, without carriage returns, of lineBytes bytes.
	line      []byte
	lineBytes int
	// length and chunked are the framing of the current request's body.
	length  int64
	chunked bool
	// peak is the memory of the largest header section since the last reset.
	peak int64
	// refusal and kind are set once a bound is exceeded.
	refusal, kind string
}

// advance follows the bytes that were received next.
func (f *framing) advance(b []byte) {
	for len(b) > 0 && f.phase != isLost {
		if f.phase == inBody || f.phase == inChunkData {
			n := min(int64(len(b)), f.left)
			b = b[n:]
			f.left -= n
			if f.left == 0 {
				f.endData()
			}
			continue
		}
		part, rest, ended := bytes.Cut(b, []byte{'\n'})
		f.addToLine(part)
		if ended {
			f.bytes++
			f.endLine()
			f.line, f.lineBytes = f.line[:0], 0
		}
		f.check()
		b = rest
	}
}

// endData ends a body or the data of a chunk.
func (f *framing) endData() {
	if f.phase == inChunkData {
		f.phase = inChunkEnd
		return
	}
	f.beginHead()
}

// beginHead begins the next request.
func (f *framing) beginHead() {
	f.phase, f.lines, f.bytes, f.length, f.chunked = inHead, 0, 0, 0, false
}

func (f *framing) addToLine(part []byte) {
	f.bytes += len(part)
	part = bytes.TrimSuffix(part, []byte{'\r'})
	f.lineBytes += len(part)
	f.line = append(f.line, part[:min(len(part), maxLineStart-len(f.line))]...)
}

// endLine takes the line that has ended.
func (f *framing) endLine() {
	switch f.phase {
	case inHead:
		f.endHeadLine()
	case inChunkSize:
		f.endChunkSize()
	case inChunkEnd:
		f.phase = inChunkSize
	case inTrailer:
		f.lines++
		if f.lineBytes == 0 {
			f.beginHead()
		}
	}
}

func (f *framing) endHeadLine() {
	if f.lineBytes > 0 {
		f.lines++
		f.takeField()
		return
	}
	switch {
	case f.lines == 0:
		// Empty lines before a request are skipped.
	case f.chunked:
		f.phase = inChunkSize
	case f.length > 0:
		f.phase, f.left = inBody, f.length
	default:
		f.beginHead()
	}
}

// takeField takes the framing of the body from the field on the current line.
func (f *framing) takeField() {
	if f.lineBytes > maxLineStart {
		return
	}
	name, value, _ := strings.Cut(string(f.line), ":")
	value = strings.TrimSpace(value)
	switch {
	case strings.EqualFold(name, "Content-Length"):
		// The HTTP server refuses a malformed length.
		if n, err := strconv.ParseInt(value, 10, 64); err == nil {
			f.length = max(f.length, n)
		}
	case strings.EqualFold(name, "Transfer-Encoding"):
		f.chunked = f.chunked || strings.EqualFold(value, "chunked")
	}
}

func (f *framing) endChunkSize() {
	text, _, _ := strings.Cut(string(f.line), ";")
	n, err := strconv.ParseInt(strings.TrimSpace(text), 16, 64)
	switch {
	case err != nil || n < 0:
		f.phase = isLost
	case n == 0:
		f.phase, f.lines, f.bytes = inTrailer, 0, 0
	default:
		f.phase, f.left = inChunkData, n
	}
}

// check records the memory of the header section and whether a bound is exceeded.
func (f *framing) check() {
	if f.phase == inChunkSize || f.phase == inChunkEnd {
		return
	}
	f.peak = max(f.peak, f.need())
	l := f.limits
	switch {
	case f.refusal != "":
	case l.MaxFields > 0 && f.lines > l.MaxFields, l.MaxHeaderBytes > 0 && f.bytes > l.MaxHeaderBytes:
		f.refusal, f.kind = refuseFields, KindFields
	case l.MaxBodyBytes > 0 && f.length > l.MaxBodyBytes:
		f.refusal, f.kind = refuseBody, KindBody
	}
}

// need returns the memory of the current header section.
func (f *framing) need() int64 {
	return int64(f.bytes + fieldBytes*f.lines)
}

// resetPeak forgets the header sections of requests that have ended.
func (f *framing) resetPeak() {
	f.peak = 0
	if f.phase == inHead {
		f.peak = f.need()
	}
}
