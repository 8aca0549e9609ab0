package model

// Outcome is what is known of one attempt to run a request. It is one of
// NotRun, Complete, Failed and Unknown.
type Outcome interface {
	// Label is the outcome as callers see it in "outcome".
	Label() string
	outcome()
}

// NotRun means that it is proven that no target ran any of the request.
type NotRun struct{}

// Complete means that the whole answer was received.
type Complete struct {
	// PromptTokens and GeneratedTokens are what the target counted.
	PromptTokens    int64
	GeneratedTokens int64
}

// Failed means that a target ran the request or a part of it, and said that it
// failed or cut the answer off.
type Failed struct {
	Err error
}

// Unknown means that the request may have run, in whole or in part.
type Unknown struct {
	Err error
}

// Label implements Outcome.
func (NotRun) Label() string { return "not-run" }

// Label implements Outcome.
func (Complete) Label() string { return "complete" }

// Label implements Outcome.
func (Failed) Label() string { return "failed" }

// Label implements Outcome.
func (Unknown) Label() string { return "unknown" }

func (NotRun) outcome()   {}
func (Complete) outcome() {}
func (Failed) outcome()   {}
func (Unknown) outcome()  {}
