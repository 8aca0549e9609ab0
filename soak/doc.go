// Package soak runs instances as separate processes against stand-ins of the
// platform, injects faults from outside, and checks from what callers and targets see
// that the promises hold meanwhile. All of it is in test files.
//
// The faults come in series and overlap: instances are killed, stopped, paused and told
// to read their settings again; the store is away, silent, forgets its history or loses
// answers; links to the store and to targets are slow, reset or silent in one direction;
// targets restart empty, break off answers, run nothing, lose orders' answers and leave;
// keys are withdrawn. Calls between instances are disturbed by pauses and kills only:
// instances tell each other the addresses that they listen on.
//
// # Usage
//
//	go test ./soak -count 1 -seed 7 -for 20s
//	go test ./soak -count 1 -seeds 50 -timeout 30m
package soak
