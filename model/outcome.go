package model

// Outcome is the known result of one attempt to run a request. It is one of
// NotRun, Complete, Failed and Unknown.
type Outcome interface {
	// Label returns the value that callers receive in the "outcome" field.
	Label() string
	outcome()
}

// NotRun means that no target ran any part of the request; this is certain.
type NotRun struct{}

// Complete means that the entire response was received.
type Complete struct {
	// PromptTokens and GeneratedTokens are the counts reported by the target.
	PromptTokens    int64
	GeneratedTokens int64
}

// Failed means that a target ran at least a part of the request, and reported an
// error or cut off its response.
type Failed struct {
	Err error
}

// Unknown means that the request may have run, fully or partially.
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
