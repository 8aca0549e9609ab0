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
	// maxEventBytes limits the size of an event, of a single document and of an error body.
	maxEventBytes = 1 << 20
)

var (
	dataPrefix = []byte("data: ")
	doneEvent  = []byte("data: [DONE]")
	idPrefix   = []byte(`data: {"id":"`)
	usageField = []byte(`"usage":{`)
)

// Stream is an engine's response. It is not safe for concurrent use.
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

// IsEventStream reports whether the response is an event stream and not a single document.
func (s *Stream) IsEventStream() bool {
	return s.eventStream
}

// responseEnvelope holds the members of an engine's documents and events that are checked or
// recorded.
type responseEnvelope struct {
	ID    string `json:"id"`
	Usage *struct {
		PromptTokens    int64 `json:"prompt_tokens"`
		GeneratedTokens int64 `json:"completion_tokens"`
	} `json:"usage"`
}

// Next returns the next event unchanged, including its blank line, or io.EOF after the end marker.
// The slice is valid until the next call. ErrTruncated means that the response ended early or is
// malformed, ErrResponseMismatch that it belongs to another request.
func (s *Stream) Next() ([]byte, error) {
	if s.done {
		return nil, io.EOF
	}
	s.event = s.event[:0]
	for {
		line, err := s.r.ReadSlice('\n')
		s.event = append(s.event, line...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, errs.WithPeer(errors.Wrap(ErrTruncated, err.Error()), "Stream.Next", s.addr)
		}
		if len(s.event) > maxEventBytes {
			return nil, errs.WithPeer(errors.Wrap(ErrTruncated, "event exceeds the maximum size"), "Stream.Next", s.addr)
		}
		if err == nil && len(bytes.TrimRight(line, "\r\n")) == 0 {
			break
		}
	}
	return s.event, errs.WithPeer(s.validateEvent(), "Stream.Next", s.addr)
}

// validateEvent checks that the current event belongs to the request and records the token usage
// and the end marker. The ID of an event that begins as idPrefix and has no usage is compared
// without parsing the JSON.
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

// validateDocument checks that a JSON document belongs to the request and records its token usage.
func (s *Stream) validateDocument(document []byte) error {
	var envelope responseEnvelope
	if err := json.Unmarshal(document, &envelope); err != nil {
		return errors.Wrap(ErrTruncated, err.Error())
	}
	if envelope.ID != string(s.requestID) {
		return ErrResponseMismatch
	}
	if envelope.Usage != nil {
		s.usage = model.Complete{
			PromptTokens:    envelope.Usage.PromptTokens,
			GeneratedTokens: envelope.Usage.GeneratedTokens,
		}
	}
	return nil
}

// Buffered reports whether more of the response has already been received. A writer can then
// postpone its flush.
func (s *Stream) Buffered() bool {
	return s.r.Buffered() > 0
}

// Document reads and validates a response that is a single document.
func (s *Stream) Document() ([]byte, error) {
	document, err := io.ReadAll(io.LimitReader(s.r, maxEventBytes))
	if err != nil {
		return nil, errs.WithPeer(errors.Wrap(ErrTruncated, err.Error()), "Stream.Document", s.addr)
	}
	if err := s.validateDocument(document); err != nil {
		return nil, errs.WithPeer(err, "Stream.Document", s.addr)
	}
	s.done = true
	return document, nil
}

// Usage returns the token counts that the engine reported, and whether the end marker was reached.
func (s *Stream) Usage() (model.Complete, bool) {
	return s.usage, s.done
}

// drainTimeout is the maximum wait for the end of a body after its end marker.
const drainTimeout = time.Second

// Close ends the stream. Before the end marker it closes the connection, which cancels the request
// at the engine. After the end marker it reads the rest of the body, so that the connection can be
// reused.
func (s *Stream) Close() error {
	if !s.done {
		return s.body.Close()
	}
	timer := time.AfterFunc(drainTimeout, func() {
		// The error is ignored: the Copy or the Close below reports it.
		_ = s.body.Close()
	})
	defer timer.Stop()
	if _, err := io.Copy(io.Discard, io.LimitReader(s.r, streamBufferBytes)); err != nil {
		return errs.WithPeer(err, "Stream.Close", s.addr)
	}
	return s.body.Close()
}
