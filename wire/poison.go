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
)

// LastAnswersArgs asks when an instance last saw complete answers to requests.
type LastAnswersArgs struct {
	Features []poison.Feature
}

// LastAnswersReply is the reply to LastAnswersArgs.
type LastAnswersReply struct {
	// Ages holds for each feature how long ago the last answer ended; negative for none.
	Ages []time.Duration
}
