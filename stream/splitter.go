package stream

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

// MaxEventBytes bounds one event of a stream.
const MaxEventBytes = 1 << 20

var (
	// ErrEventTooLarge ends a stream whose event does not end within MaxEventBytes.
	ErrEventTooLarge = errors.New("event of the stream is too large")
	// ErrRepeated ends a run that repeats events of the run that it should resume.
	ErrRepeated = errors.New("resumed run repeats an earlier event")
	// ErrNoID ends a run that resumes a stream with an event without an ID like those before:
	// only its ID shows that an event belongs to the stream.
	ErrNoID = errors.New("resumed run has an event without an ID of the stream")
)

// Splitter splits a stream, in one or more runs, into blocks that end in a blank line. A block
// with a line that is neither a comment nor a retry delay is an event. Its zero value is ready
// for use.
type Splitter struct {
	// rest are the bytes after the last whole block, of which the first lines bytes are whole
	// lines.
	rest  []byte
	lines int
	// current describes the block that rest begins.
	current block
	// last is the last event.
	last    block
	events  int
	earlier int
	due     bool
}

// block is what matters of a block of lines.
type block struct {
	isEvent bool
	hasID   bool
	id      string
}

// Add appends bytes of the current run and returns the blocks that are now whole. With an
// error it returns the blocks before the one that is at fault.
func (s *Splitter) Add(b []byte) ([]byte, error) {
	s.rest = append(s.rest, b...)
	end := 0
	for {
		i := bytes.IndexByte(s.rest[s.lines:], '\n')
		if i < 0 {
			break
		}
		line := bytes.TrimSuffix(s.rest[s.lines:s.lines+i], []byte("\r"))
		s.lines += i + 1
		if len(line) > 0 {
			s.current.add(line)
			continue
		}
		if err := s.checkResumed(); err != nil {
			return s.take(end), err
		}
		s.endBlock()
		end = s.lines
	}
	blocks := s.take(end)
	if len(s.rest) > MaxEventBytes {
		return blocks, ErrEventTooLarge
	}
	return blocks, nil
}

// HeldBytes returns the number of bytes that are held for the block that is not whole yet.
func (s *Splitter) HeldBytes() int {
	return cap(s.rest)
}

// take removes and returns the first n bytes of rest.
func (s *Splitter) take(n int) []byte {
	if n == 0 {
		return nil
	}
	taken := bytes.Clone(s.rest[:n])
	s.rest = append(s.rest[:0], s.rest[n:]...)
	s.lines -= n
	return taken
}

// endBlock ends the current block.
func (s *Splitter) endBlock() {
	if s.current.isEvent {
		s.events++
		s.last = s.current
	}
	s.current = block{}
}

// checkResumed returns an error if the current block is an event of a resumed run and does not
// come after the event before it.
func (s *Splitter) checkResumed() error {
	if !s.current.isEvent || s.earlier == 0 {
		return nil
	}
	if s.current.id == "" {
		return ErrNoID
	}
	id, err := strconv.ParseUint(s.current.id, 10, 64)
	last, lastErr := strconv.ParseUint(s.last.id, 10, 64)
	switch {
	case err == nil && lastErr == nil && id <= last, s.current.id == s.last.id:
		return ErrRepeated
	case (err == nil) != (lastErr == nil):
		return ErrNoID
	}
	return nil
}

// add records a line.
func (b *block) add(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "", "retry":
		return
	case "id":
		b.hasID, b.id = true, string(bytes.TrimSpace(value))
	}
	b.isEvent = true
}

// Remainder removes and returns the data after the last whole block. At the end of a complete
// stream these are comments, which belong to the response as well.
func (s *Splitter) Remainder() []byte {
	remainder := s.rest
	s.rest, s.lines, s.current = nil, 0, block{}
	return remainder
}

// BeginRun begins another run, which resumes the stream after the last whole event. Data of an
// unfinished event is discarded.
func (s *Splitter) BeginRun() {
	s.due = s.due && s.events == 0 || s.insideEvent()
	s.earlier += s.events
	s.events = 0
	s.rest, s.lines, s.current = s.rest[:0], 0, block{}
}

// unfinished reports whether rest belongs to an event or a line that did not end.
func (s *Splitter) unfinished() bool {
	return s.current.isEvent || len(s.rest) > s.lines
}

// insideEvent reports whether rest has a part of an event.
func (s *Splitter) insideEvent() bool {
	line := bytes.TrimRight(s.rest[s.lines:], "\r")
	return s.current.isEvent || len(line) > 0 && line[0] != ':'
}

// Events returns the number of whole events of the current run.
func (s *Splitter) Events() int {
	return s.events
}

// AllEvents returns the number of whole events of all runs.
func (s *Splitter) AllEvents() int {
	return s.earlier + s.events
}

// ResumeID returns the ID of the last event, after which the stream can be resumed; it is empty
// before the first event. It reports false if the last event has none.
func (s *Splitter) ResumeID() (string, bool) {
	return s.last.id, s.AllEvents() == 0 || s.last.hasID && s.last.id != ""
}

// Ending returns what the data says about the end of the current run. It leaves SenderEnded
// unset.
func (s *Splitter) Ending(framing Framing, hasEvents bool, err error) Ending {
	return Ending{
		Framing:       framing,
		Err:           err,
		HasEvents:     hasEvents,
		Events:        s.events,
		EarlierEvents: s.earlier,
		Unfinished:    s.unfinished(),
		EventDue:      s.due,
	}
}
