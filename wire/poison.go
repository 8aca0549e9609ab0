package wire

import (
	"time"

	"currantstile/poison"
)

// Methods by which instances find out whether a feature of requests crashes targets.
const (
	// ServicePoison is the name under which the methods are registered with net/rpc.
	ServicePoison     = "Poison"
	MethodLastAnswers = "Poison.Answers"
	// MethodCopy asks for the turn of a copy of a request, or says how it ended.
	MethodCopy = "Poison.Copy"
)

// CopyArgs is about one copy of a request.
type CopyArgs struct {
	Feature poison.Feature
	// ID names the copy. Answered is set once it was answered, and Unsent if it was not sent.
	ID       string
	Answered bool
	Unsent   bool
}

// CopyReply is the reply to CopyArgs.
type CopyReply struct {
	// Wait is how long the copy has to wait; zero if it may be sent.
	Wait time.Duration
}

// LastAnswersArgs asks when an instance last saw complete answers to requests.
type LastAnswersArgs struct {
	Features []poison.Feature
}

// LastAnswersReply is the reply to LastAnswersArgs.
type LastAnswersReply struct {
	// Ages holds for each feature how long ago the last answer ended; negative for none.
	Ages []time.Duration
}
