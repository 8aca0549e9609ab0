package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"

	"currantstile/errs"
	"currantstile/model"
)

const (
	streamBufferBytes = 16 << 10
	maxEventBytes     = 1 << 20
)

var (
	dataPrefix = []byte("data: ")
	doneEvent  = []byte("data: [DONE]")
	idPrefix   = []byte(`data: {"id":"`)
	usageField = []byte(`"usage":{`)
)

// Stream is an engine's answer. One goroutine reads it.
type Stream struct {
	body        io.ReadCloser
	r           *bufio.Reader
	requestID   []byte
	addr        netip.AddrPort
	eventStream bool
	event       []byte
	usage       model.Complete
	done        bool
}

func newStream(resp *http.Response, requestID string, addr netip.AddrPort) *Stream {
	return &Stream{
		body:        resp.Body,
		r:           bufio.NewReaderSize(resp.Body, streamBufferBytes),
		requestID:   []byte(requestID),
		addr:        addr,
		eventStream: strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"),
	}
}

// IsEventStream reports whether the answer is a stream of events and not one document.
func (s *Stream) IsEventStream() bool {
	return s.eventStream
}

// responseEnvelope is what is looked at in an engine's documents and events.
type responseEnvelope struct {
	ID    string `json:"id"`
	Usage *struct {
		PromptTokens    int64 `json:"prompt_tokens"`
		GeneratedTokens int64 `json:"completion_tokens"`
	} `json:"usage"`
}

// Next returns the next event as it came, its blank line included, or io.EOF
// after the end marker. The slice is valid until the next call. ErrCut means
// that the answer ended early, ErrCrossed that it is another request's.
func (s *Stream) Next() ([]byte, error) {
	if s.done {
		return nil, io.EOF
	}
	s.event = s.event[:0]
	for {
		line, err := s.r.ReadSlice('\n')
		s.event = append(s.event, line...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, errs.At(errors.Wrap(ErrTruncated, err.Error()), "Stream.Next", s.addr)
		}
		if len(s.event) > maxEventBytes {
			return nil, errs.At(errors.Wrap(ErrTruncated, "event is too large"), "Stream.Next", s.addr)
		}
		if err == nil && len(bytes.TrimRight(line, "\r\n")) == 0 {
			break
		}
	}
	return s.event, errs.At(s.validateEvent(), "Stream.Next", s.addr)
}

// validateEvent verifies that the current event belongs to the request and notes the
// usage and the end.
func (s *Stream) validateEvent() error {
	if !bytes.HasPrefix(s.event, dataPrefix) {
		return nil
	}
	if bytes.HasPrefix(s.event, doneEvent) {
		s.done = true
		return nil
	}
	if rest, ok := bytes.CutPrefix(s.event, idPrefix); ok && !bytes.Contains(s.event, usageField) {
		if rest, ok = bytes.CutPrefix(rest, s.requestID); ok && len(rest) > 0 && rest[0] == '"' {
			return nil
		}
		return ErrResponseMismatch
	}
	return s.validateDocument(bytes.TrimPrefix(s.event, dataPrefix))
}

func (s *Stream) validateDocument(document []byte) error {
	var head responseEnvelope
	if err := json.Unmarshal(document, &head); err != nil {
		return errors.Wrap(ErrTruncated, err.Error())
	}
	if head.ID != string(s.requestID) {
		return ErrResponseMismatch
	}
	if head.Usage != nil {
		s.usage = model.Complete{
			PromptTokens:    head.Usage.PromptTokens,
			GeneratedTokens: head.Usage.GeneratedTokens,
		}
	}
	return nil
}

// Buffered reports whether more of the answer has come already, so that a
// writer can wait with its flush.
func (s *Stream) Buffered() bool {
	return s.r.Buffered() > 0
}

// Document reads an answer that is one document, whole and checked.
func (s *Stream) Document() ([]byte, error) {
	document, err := io.ReadAll(io.LimitReader(s.r, maxEventBytes))
	if err != nil {
		return nil, errs.At(errors.Wrap(ErrTruncated, err.Error()), "Stream.Document", s.addr)
	}
	if err := s.validateDocument(document); err != nil {
		return nil, errs.At(err, "Stream.Document", s.addr)
	}
	s.done = true
	return document, nil
}

// Usage returns what the engine counted, and whether the end was reached.
func (s *Stream) Usage() (model.Complete, bool) {
	return s.usage, s.done
}

// drainTimeout bounds the wait for the end of a body whose end marker was seen.
const drainTimeout = time.Second

// Close ends the stream. Closing before the end cancels the request at the
// engine, because the connection closes with it; after the end the connection
// is read to its next request boundary, so that it can be used again.
func (s *Stream) Close() error {
	if !s.done {
		return s.body.Close()
	}
	timer := time.AfterFunc(drainTimeout, func() {
		// The second Close below reports what matters.
		_ = s.body.Close()
	})
	defer timer.Stop()
	if _, err := io.Copy(io.Discard, io.LimitReader(s.r, streamBufferBytes)); err != nil {
		return errs.At(err, "Stream.Close", s.addr)
	}
	return s.body.Close()
}
