package proxy

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"currantstile/call"
	"currantstile/config"
	"currantstile/memory"
	"currantstile/origin"
	"currantstile/stream"
)

const (
	// smallBody is the size in bytes of the largest body that is always kept until its request ends.
	smallBody = 64 << 10
	// maxNoAnswer is how many bytes are read of the body of a response that won't be relayed: enough for the
	// connection to be used again after a usual one.
	maxNoAnswer = 64 << 10
	// noRoomRetryAfter is the retry delay for a request whose body finds no room.
	noRoomRetryAfter = 300 * time.Millisecond
	// reasonNoRoom is the reason of refusals of requests whose body finds no room.
	reasonNoRoom = "no-room"
)

// heldBytes is what an exchange holds of the memory of the instance.
type heldBytes struct {
	body requestBody
	// answer is for the heads and bodies of answers, and event for the event that is not whole yet.
	// answered is the part of answer that an earlier attempt's response takes.
	answer   memory.Holder
	answered int64
	event    memory.Holder
	// copied is for the copy of an answer that is sent to a caller of HTTP/1.0 as a whole.
	copied memory.Holder
}

// requestBody is the body of a request. It may be dropped once it is written.
type requestBody struct {
	mu      sync.Mutex
	bytes   []byte
	held    memory.Holder
	pool    *memory.Pool
	sending bool
	dropped bool
}

// beginSend returns the body for an attempt to send it.
func (b *requestBody) beginSend() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sending = true
	return b.bytes
}

// size returns the number of bytes of the body.
func (b *requestBody) size() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int64(len(b.bytes))
}

// endSend records that the target has begun to answer, or failed to: the body is dropped before or not at all.
func (b *requestBody) endSend() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sending = false
}

// dropWritten drops the body that was written, if others need the room.
func (b *requestBody) dropWritten() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sending && len(b.bytes) > smallBody && b.pool.Crowded() {
		b.bytes, b.dropped = nil, true
		b.held.Release()
	}
}

// isDropped reports whether the body is gone, so that the request can't be sent again.
func (b *requestBody) isDropped() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dropped
}

// release ends the use of the body.
func (b *requestBody) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytes = nil
	b.held.Release()
}

// useBudget makes the exchange account for what it holds.
func (x *Exchange) useBudget(b *memory.Budget) {
	if b == nil {
		return
	}
	x.held.body.pool, x.held.body.held = b.Bodies, b.Bodies.Holder()
	x.held.answer, x.held.event, x.held.copied = b.Answers.Holder(), b.Answers.Holder(), b.Answers.Holder()
}

// releaseHeld gives back all that the exchange holds.
func (x *Exchange) releaseHeld() {
	x.held.body.release()
	x.held.answer.Release()
	x.held.event.Release()
	x.held.copied.Release()
}

// holdBody keeps the body of a request that was read. It returns the refusal of one that was not.
func (x *Exchange) holdBody(body []byte, err error) *Refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, memory.ErrNoRoom):
		return &Refusal{
			Status:     http.StatusServiceUnavailable,
			Reason:     reasonNoRoom,
			RetryAfter: noRoomRetryAfter,
		}
	case errors.As(err, &tooLarge), errors.Is(err, stream.ErrTooLarge):
		return newRefusal(http.StatusRequestEntityTooLarge, "body-too-large")
	case errors.Is(err, errBodyTooSlow):
		return newRefusal(http.StatusRequestTimeout, "body-too-slow")
	case err != nil && x.gate.ending != nil && x.gate.ending.Err() != nil:
		return newRefusal(http.StatusServiceUnavailable, "instance-ends")
	case err != nil:
		return newRefusal(http.StatusBadRequest, "body-not-read")
	}
	x.held.body.bytes = body
	return nil
}

// discardBody reads the rest of a body that finds no room: a caller that still writes when its connection ends
// would lose the refusal. One that waits to be asked for the body is not asked.
func (x *Exchange) discardBody(r *http.Request, body io.Reader) {
	x.held.body.held.Release()
	if r.Header.Get("Expect") == "" {
		// If that fails, the connection is closed.
		_, _ = io.Copy(io.Discard, body)
	}
}

// maySendAgain reports whether the request may be sent to another target although the first one may have run it.
func (x *Exchange) maySendAgain() bool {
	return x.Route.Repeatable() || x.Route.Resumable && x.Route.Kind == config.KindStream
}

// beginAnswer gives back what the answer of the last attempt took, unless it may still be written.
func (x *Exchange) beginAnswer() {
	x.held.answer.Set(x.held.answered)
	x.held.event.Release()
}

// onWritten returns what is called once the body of an attempt is written; nil if it has to be kept.
func (x *Exchange) onWritten() func() {
	if x.maySendAgain() {
		return nil
	}
	return x.held.body.dropWritten
}

// mayBeAnswer reports whether a response may be relayed if its body is complete.
func mayBeAnswer(resp *origin.Response, info call.ResponseInfo) bool {
	if resp.Header.Get("Content-Encoding") != "" || promisesNotExecuted(resp.StatusCode) {
		return false
	}
	return info.Signed || resp.StatusCode >= http.StatusInternalServerError
}

// readAnswer reads the body of a response that is buffered. It reports false if the body is larger than allowed
// or finds no room.
func (x *Exchange) readAnswer(resp *origin.Response, info call.ResponseInfo) (body []byte, ok bool, err error) {
	length := resp.ContentLength
	if x.Request.Method == http.MethodHead || resp.StatusCode == http.StatusNotModified {
		// It is that of another answer.
		length = 0
	}
	limit := int64(maxBufferedBody)
	if !mayBeAnswer(resp, info) {
		limit = maxNoAnswer
	}
	body, err = stream.ReadHeld(resp.Body, length, limit, &x.held.answer)
	// The events of a body are checked in a copy.
	if err == nil && stream.IsEventStream(resp.Header, false) && !x.held.event.Set(int64(len(body))) {
		err = memory.ErrNoRoom
	}
	if errors.Is(err, memory.ErrNoRoom) || errors.Is(err, stream.ErrTooLarge) {
		x.logAnswerEnded(err)
		return nil, false, err
	}
	return body, true, err
}

// holdEvent takes the room for the event of a stream that is not whole yet.
func (x *Exchange) holdEvent() error {
	if x.held.event.Set(int64(x.events.HeldBytes())) {
		return nil
	}
	x.logAnswerEnded(memory.ErrNoRoom)
	return memory.ErrNoRoom
}

// logAnswerEnded logs that an answer is ended for its size.
func (x *Exchange) logAnswerEnded(err error) {
	x.gate.Log.Warn().Str("request", x.Request.ID).Str("target", x.Target).Int64("held", x.held.answer.Bytes()+x.held.event.Bytes()).Err(err).
		Msg("gate: answer is ended by its size")
}
