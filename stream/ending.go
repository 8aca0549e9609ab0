package stream

import (
	"cmp"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// Reasons of BrokenOff other than the error of a connection.
var (
	// ErrSenderEnded means that the sender's process ended with a connection that alone
	// marks the end of the body.
	ErrSenderEnded = errors.New("body ended when its sender did")
	// ErrInsideEvent means that the body ended inside an event or a line.
	ErrInsideEvent = errors.New("stream ended inside an event")
	// ErrNoEvents means that a run of a stream ended without an event that was due.
	ErrNoEvents = errors.New("stream ended without an event that was due")
	// ErrEncoded means that the body of a stream is encoded, so that it is not its sender's.
	ErrEncoded = errors.New("body of the stream is encoded")
	// ErrOtherAnswer means that the answer to a resumed request is not of the kind of the
	// stream that it should resume.
	ErrOtherAnswer = errors.New("answer does not continue the stream")
)

// eventStream is the media type of a stream of events.
const eventStream = "text/event-stream"

// Head is what the head of a run's answer says about its body.
type Head struct {
	Status int
	// Media is the media type in lower case, without parameters; undeclared is eventStream.
	Media string
	// Encoded is set if the body is encoded.
	Encoded bool
}

// HeadOf returns the head of a response.
func HeadOf(resp *http.Response) Head {
	return Head{
		Status:  resp.StatusCode,
		Media:   cmp.Or(mediaType(resp.Header), eventStream),
		Encoded: resp.Header.Get("Content-Encoding") != "",
	}
}

// JudgeHead decides whether the body behind a head can be relayed as the first run of a stream, or
// as one that resumes the stream that began with the head first. Its framing is no evidence: the
// rest of a stream may be so short that its length is known. Complete says only that nothing is
// known against it.
func JudgeHead(first *Head, h Head) Verdict {
	switch {
	case h.Encoded:
		return BrokenOff{
			Reason: ErrEncoded,
		}
	case first != nil && h != *first:
		return BrokenOff{
			Reason: ErrOtherAnswer,
		}
	default:
		return Complete{}
	}
}

// Ending is what is known about the end of a body.
type Ending struct {
	Framing Framing
	// Err is the error that ended the reading; io.EOF is the end that the framing marks.
	Err error
	// HasEvents is set for a body that consists of events.
	HasEvents bool
	// Events is the number of whole events of this run, and EarlierEvents that of the runs of
	// the same stream before it.
	Events        int
	EarlierEvents int
	// Unfinished is set if the body ends inside an event or a line.
	Unfinished bool
	// EventDue is set if the run before broke off inside an event, which has to follow.
	EventDue bool
	// SenderEnded is set if the sender's process was found to have ended.
	SenderEnded bool
}

// Verdict is the result of Judge. It is one of Complete and BrokenOff.
type Verdict interface {
	isVerdict()
}

// Complete means that the body is whole, as far as anyone but its sender can know.
type Complete struct{}

// BrokenOff means that something is missing.
type BrokenOff struct {
	Reason error
}

func (Complete) isVerdict()  {}
func (BrokenOff) isVerdict() {}

// Judge decides whether a body is complete.
func Judge(e Ending) Verdict {
	switch {
	case e.Err != io.EOF:
		return BrokenOff{
			Reason: e.Err,
		}
	case !e.Framing.statesEnd() && e.SenderEnded:
		return BrokenOff{
			Reason: ErrSenderEnded,
		}
	case e.HasEvents && e.Unfinished:
		return BrokenOff{
			Reason: ErrInsideEvent,
		}
	case e.HasEvents && e.Events == 0 && e.needsEvent():
		return BrokenOff{
			Reason: ErrNoEvents,
		}
	default:
		return Complete{}
	}
}

// needsEvent reports whether a run without an event can't be whole. Only one that resumes a
// stream between two events, and states its end, may have nothing to add.
func (e Ending) needsEvent() bool {
	return e.EarlierEvents == 0 || e.EventDue || !e.Framing.statesEnd()
}

// DependsOnSender reports whether the body is complete only if its sender did not end with
// it, so that SenderEnded has to be found out.
func (e Ending) DependsOnSender() bool {
	if _, ok := Judge(e).(Complete); !ok {
		return false
	}
	e.SenderEnded = true
	_, ok := Judge(e).(BrokenOff)
	return ok
}

// IsEventStream reports whether a header declares a stream of events. A header without a media
// type declares what undeclared says.
func IsEventStream(h http.Header, undeclared bool) bool {
	media := mediaType(h)
	if media == "" {
		return undeclared
	}
	return media == eventStream
}

// mediaType returns the media type of a header in lower case, without parameters.
func mediaType(h http.Header) string {
	media, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(media))
}
