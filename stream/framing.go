package stream

import "net/http"

// Framing is how a message marks the end of its body.
type Framing int

const (
	// FramedByLength means that the length was stated; a body that may not exist has length 0.
	FramedByLength Framing = iota + 1
	// FramedByChunks means that the last chunk marks the end.
	FramedByChunks
	// FramedByClose means that the body ends with its connection, which also ends when the
	// sender does.
	FramedByClose
)

// String implements fmt.Stringer; the words are those of the logs.
func (f Framing) String() string {
	switch f {
	case FramedByLength:
		return "length"
	case FramedByChunks:
		return "chunks"
	case FramedByClose:
		return "close"
	default:
		return ""
	}
}

// statesEnd reports whether the message itself states where its body ends.
func (f Framing) statesEnd() bool {
	return f == FramedByLength || f == FramedByChunks
}

// FramingOf returns the framing of a response's body.
func FramingOf(resp *http.Response) Framing {
	switch {
	case resp.ContentLength >= 0:
		return FramedByLength
	case len(resp.TransferEncoding) > 0:
		return FramedByChunks
	default:
		return FramedByClose
	}
}
