// Package call defines the protocol-independent form of a caller's request, the
// options for forwarding it to a target, and the metadata of a target's response.
//
// # Usage
//
//	r := &call.Request{ID: id, Method: "POST", Path: "/notes/2f", Arrived: now, Deadline: now.Add(5 * time.Second)}
//	remaining := r.Remaining(now)
package call

import (
	"net/http"
	"strings"
	"time"
)

// Request is a request from a caller. It is immutable once admitted.
type Request struct {
	// ID is the request ID that the caller chose for this attempt.
	ID     string
	Method string
	Host   string
	// URI is the path and query, byte for byte as the caller sent them; Path is
	// the path without the query.
	URI  string
	Path string
	// Key is the API key that the caller presented; empty if none.
	Key string
	// Header holds the header fields that are forwarded unchanged.
	Header http.Header
	// Arrived is when the head of the request was read; Deadline is when the
	// caller stops waiting.
	Arrived  time.Time
	Deadline time.Time

	// Model and Adapter are the base model and the LoRA adapter to run. Both are
	// empty for a plain service; Adapter is empty for the base model alone.
	Model   string
	Adapter string
	// PromptTokens is the number of prompt tokens; OutputTokens is the maximum
	// number of generated tokens.
	PromptTokens int64
	OutputTokens int64
	// PromptParts lists the parts of the prompt in order; the last one is
	// specific to the caller.
	PromptParts []PromptPart
	// LastEventID is the ID of the event after which a resumed stream continues;
	// empty for a new stream.
	LastEventID string
}

// PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int64
}

// TotalTokens returns the number of tokens charged to a token limit: the prompt
// plus the maximum output.
func (r *Request) TotalTokens() int64 {
	return r.PromptTokens + r.OutputTokens
}

// Remaining returns the time until the deadline of the caller.
func (r *Request) Remaining(now time.Time) time.Duration {
	return r.Deadline.Sub(now)
}

// SharedParts returns the parts of the prompt that other requests may share: all but the
// last one.
func (r *Request) SharedParts() []PromptPart {
	return r.PromptParts[:max(len(r.PromptParts)-1, 0)]
}

// PartNames returns the IDs of the shared parts of the prompt, separated by commas, for
// the log.
func (r *Request) PartNames() string {
	var b strings.Builder
	for i, p := range r.SharedParts() {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(p.ID)
	}
	return b.String()
}

// AdapterName returns MODEL/NAME, or an empty string if the request needs no
// adapter.
func (r *Request) AdapterName() string {
	if r.Adapter == "" {
		return ""
	}
	return r.Model + "/" + r.Adapter
}

// ForwardOptions are the parts of a forwarded request that depend on its target.
type ForwardOptions struct {
	// Target is the ID of the only target that may execute the request.
	Target string
	// Organisation is the caller's organisation; empty if the caller was not
	// authenticated, as on public routes.
	Organisation string
	// Timeout is how long the target may work on the request.
	Timeout time.Duration
	// Priority ranges from 0 (most urgent) to 9; it is valid if HasPriority is
	// set.
	Priority    int
	HasPriority bool
	// Version is the required adapter version; 0 accepts any.
	Version uint64
	// LastEventID is the ID of the event after which the stream continues; empty
	// for the whole stream.
	LastEventID string
}

// RateLimit is how many requests a second a target takes from all instances together. The zero
// value is no limit.
type RateLimit struct {
	Named     bool
	PerSecond float64
}

// ResponseInfo is the metadata in the header of a target's response.
type ResponseInfo struct {
	// RequestID is the ID of the request that the response belongs to; empty if
	// the target does not state it.
	RequestID string
	// NotExecuted reports that the target has not executed any part of the
	// request and never will.
	NotExecuted bool
	// WrongTarget reports that the address belongs to another target, or that
	// the target holds another version of the adapter or does not hold it.
	WrongTarget bool
	// Signed reports whether the response carries the target's signature.
	Signed bool
	// Running, Waiting and Slots describe the target's load; they are valid if
	// HasLoad is set.
	HasLoad bool
	Running int
	Waiting int
	Slots   int
	// Slowdown is how long work takes on the target's machine at present, as a factor of the usual time;
	// 0 if the target does not state it.
	Slowdown float64
	// RetryAfter is the retry delay that the target states; zero if none. With status 503 it
	// asks the instance to send nothing meanwhile.
	RetryAfter time.Duration
	// Leaving reports that the target's process is about to end.
	Leaving bool
	// Limit is the rate limit that the target names, over all instances; nil if the field has
	// no valid value, so that nothing is known.
	Limit *RateLimit
	// Malformed lists the names of fields that have no valid value and were ignored.
	Malformed []string
}
