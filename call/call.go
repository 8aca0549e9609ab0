// Package call holds one caller's request as the pipeline sees it, whichever
// interface it came in by, and what a target's answer says of itself.
//
// # Usage
//
//	c := &call.Call{ID: id, Method: "POST", Path: "/notes/2f", Arrived: now, Deadline: now.Add(5 * time.Second)}
//	left := c.Left(now)
package call

import (
	"net/http"
	"time"
)

// Request is one request of a caller. It is not changed once it is admitted.
type Request struct {
	// ID is the caller's name for this attempt.
	ID     string
	Method string
	Host   string
	// URI is the path with the query, byte for byte as the caller sent it, and
	// Path is the path alone.
	URI  string
	Path string
	// Key is what the caller presents; empty if nothing.
	Key string
	// Header holds what is passed on unchanged.
	Header http.Header
	Body   []byte
	// Arrived is when the request was read, and Deadline until when its caller
	// waits.
	Arrived  time.Time
	Deadline time.Time

	// Model and Adapter name what the request runs on; both are empty for a
	// plain service, Adapter also for the base model alone.
	Model   string
	Adapter string
	// PromptTokens and OutputTokens are the prompt's tokens and the bound on
	// generated ones.
	PromptTokens int64
	OutputTokens int64
	// PromptParts are the parts of the prompt, in order; the last one is the caller's
	// own.
	PromptParts []PromptPart
	// LastEventID is the event after which a resumed stream goes on; empty for a
	// new one.
	LastEventID string
}

// PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int64
}

// TotalTokens is what the request counts as against a limit in tokens.
func (c *Request) TotalTokens() int64 {
	return c.PromptTokens + c.OutputTokens
}

// Remaining is how long the caller still waits.
func (c *Request) Remaining(now time.Time) time.Duration {
	return c.Deadline.Sub(now)
}

// AdapterName is MODEL/NAME, or empty where the request needs no adapter.
func (c *Request) AdapterName() string {
	if c.Adapter == "" {
		return ""
	}
	return c.Model + "/" + c.Adapter
}

// ForwardOptions is what a request says to the one target that it is sent to.
type ForwardOptions struct {
	// Target is the ID of the only target that may run the request.
	Target string
	// Organisation is the caller's organisation; empty on public routes.
	Organisation string
	// Timeout is how long the target may work on it.
	Timeout time.Duration
	// Priority is from 0 (first) to 9, and used where HasPriority is set.
	Priority    int
	HasPriority bool
	// Version is the only adapter version that may run; 0 accepts any.
	Version uint64
	// LastEventID is the event after which the stream goes on; empty for all.
	LastEventID string
}

// ResponseInfo is what a target's answer says of itself besides status and body.
type ResponseInfo struct {
	// RequestID is the request that the answer belongs to, if it says so.
	RequestID string
	// NotExecuted means that the target ran nothing of the request and never will.
	NotExecuted bool
	// WrongTarget means that another target, another version or no such adapter
	// is there.
	WrongTarget bool
	// Signed means that the answer bears the target's signature.
	Signed bool
	// Running, Waiting and Slots are the target's load where HasLoad is set.
	HasLoad bool
	Running int
	Waiting int
	Slots   int
	// RetryAfter is the target's own wish; zero for none.
	RetryAfter time.Duration
}
