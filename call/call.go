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

// Call is one request of a caller. It is not changed once it is admitted.
type Call struct {
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
	// Parts are the parts of the prompt, in order; the last one is the caller's
	// own.
	Parts []Part
	// LastEvent is the event after which a resumed stream goes on; empty for a
	// new one.
	LastEvent string
}

// Part is a part of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int64
}

// Tokens is what the request counts as against a limit in tokens.
func (c *Call) Tokens() int64 {
	return c.PromptTokens + c.OutputTokens
}

// Left is how long the caller still waits.
func (c *Call) Left(now time.Time) time.Duration {
	return c.Deadline.Sub(now)
}

// AdapterName is MODEL/NAME, or empty where the request needs no adapter.
func (c *Call) AdapterName() string {
	if c.Adapter == "" {
		return ""
	}
	return c.Model + "/" + c.Adapter
}

// Addressing is what a request says to the one target that it is sent to.
type Addressing struct {
	// Target is the ID of the only target that may run the request.
	Target string
	// Organisation is the caller's organisation; empty on public routes.
	Organisation string
	// Left is how long the target may work on it.
	Left time.Duration
	// Priority is from 0 (first) to 9, and used where HasPriority is set.
	Priority    int
	HasPriority bool
	// Version is the only adapter version that may run; 0 accepts any.
	Version uint64
	// LastEvent is the event after which the stream goes on; empty for all.
	LastEvent string
}

// Answer is what a target's answer says of itself besides status and body.
type Answer struct {
	// ID is the request that the answer belongs to, if it says so.
	ID string
	// NotRun means that the target ran nothing of the request and never will.
	NotRun bool
	// Misdirected means that another target, another version or no such adapter
	// is there.
	Misdirected bool
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
