package judge

import (
	"time"
)

// Tolerances of the users' rules, beyond the bounds of a deployment.
const (
	// maxWrongAttempts is how many requests may run on more targets than they may.
	maxWrongAttempts = 3
	// deadlineSlack is by how much more time than is left a target may be given.
	deadlineSlack = 500 * time.Millisecond
	// maxLongDeadlines is how many requests may be given too much time.
	maxLongDeadlines = 20
	// maxLateCrashes is how many repeats of a request that crashed three targets may reach
	// others later than the stable window.
	maxLateCrashes  = 3
	crashesOfReport = 3
	// limitWindow is the span in which requests to a target that names a rate limit are counted;
	// limitOvershoot times what the limit allows in it, and limitSlack more, may come. limitTold is
	// when an instance that has passed on such an answer counts.
	limitWindow    = 4 * time.Second
	limitOvershoot = 1.5
	limitSlack     = 5
	limitTold      = 500 * time.Millisecond
	// pushbackSettles is when a pushback is in force, and maxInPushback how many requests may
	// reach the target from then on, from one instance.
	pushbackSettles = 500 * time.Millisecond
	maxInPushback   = 2
	// leftSettles is when the end of a caller is in force, and maxAfterLeft how many requests
	// may reach targets later.
	leftSettles  = 500 * time.Millisecond
	maxAfterLeft = 3
	// maxDenied and deniedShare are how many proper requests may be answered with an error of the
	// caller's: a number, and one in so many.
	maxDenied   = 5
	deniedShare = 500
	// maxLost is how many kept connections may be closed under a request that was passed on.
	maxLost = 3
	// atLimit is how long before its time limit the answer to a request counts as one at the limit.
	atLimit = 100 * time.Millisecond
	// lateAnswer is by when a request is answered whose time limit is over.
	lateAnswer = 500 * time.Millisecond
	// coldOvershoot and coldSlack are how far the requests of a cold target may be exceeded.
	coldOvershoot = 1.5
	coldSlack     = 5
	// servedShare is the share of the requests that are served once the fleet has recovered.
	servedShare = 0.25
	// minServed is the number of requests from which servedShare counts.
	minServed = 8
)

var rules = []rule{
	{
		name:   "mixed",
		decide: decideMixed,
	},
	{
		name:   "order",
		decide: decideOrder,
	},
	{
		name:   "unasked",
		decide: decideUnasked,
	},
	{
		name:   "twice",
		decide: decideTwice,
	},
	{
		name:   "refused",
		decide: decideRefused,
	},
	{
		name:   "denied",
		decide: decideDenied,
	},
	{
		name:   "attempts",
		decide: decideAttempts,
	},
	{
		name:   "deadline",
		decide: decideDeadline,
	},
	{
		name:   "crash",
		decide: decideCrash,
	},
	{
		name:   "retries",
		decide: decideRetries,
	},
	{
		name:   "pushback",
		decide: decidePushback,
	},
	{
		name:   "target-limit",
		decide: decideTargetLimit,
	},
	{
		name:   "gone",
		decide: decideGone,
	},
	{
		name:   "lost",
		decide: decideLost,
	},
	{
		name:   "unanswered",
		decide: decideUnanswered,
	},
	{
		name:   "time-limit",
		decide: decideTimeLimit,
	},
	{
		name:   "route",
		decide: decideRoute,
	},
	{
		name:   "in-force",
		decide: decideInForce,
	},
	{
		name:   "withdrawn",
		decide: decideWithdrawn,
	},
	{
		name:   "drain",
		decide: decideDrain,
	},
	{
		name:   "leaving",
		decide: decideLeaving,
	},
	{
		name:   "evacuated",
		decide: decideEvacuated,
	},
	{
		name:   "quota",
		decide: decideQuota,
	},
	{
		name:   "cold",
		decide: decideCold,
	},
	{
		name:   "one",
		decide: decideOne,
	},
	{
		name:   "places",
		decide: decidePlaces,
	},
	{
		name:   "recover",
		decide: decideRecover,
	},
}
