// Package soak runs instances as separate processes against a fake of the users' platform,
// injects faults from outside, and checks from the observations of callers and targets that
// the guarantees hold meanwhile: at most one execution of unrepeatable requests, complete
// responses, the rate limits, fencing of orders, and recovery. All code is in test files.
//
// Faults are injected one after another and overlap. Instances are killed, terminated,
// suspended and told by SIGHUP to check their settings file. The store is unavailable, does
// not respond, compacts its history or aborts calls. Links to the store and to targets are
// slow, reset or blocked in one direction. Targets restart empty, break off responses at any byte and in any framing, crash on a part of prompts, reject
// requests without execution, drop responses to orders, drain, and say in their answers that they leave or
// want no requests. Calls between instances are
// disturbed only by suspended and killed processes: instances advertise the addresses on which
// they listen, so that no proxy can be put between them. After the faults, a key is withdrawn
// and a target drained.
//
// Planned work goes on beside the faults, and alone afterwards: stops, SIGHUP in series and while an
// instance stops, other limits of idle connections, and readers of the log that end. A request that
// has reached a target while nothing else disturbed its instance must be answered.
//
// Instances are built with the race detector if the soak runs under it, or with -race-built;
// each report of the runtime in the log of an instance is a violation.
//
// # Usage
//
//	go test ./soak -count 1 -seed 7 -for 20s
//	go test ./soak -count 1 -seeds 50 -timeout 30m
package soak
