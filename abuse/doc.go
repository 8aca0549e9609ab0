// Package abuse tests instances against callers that the operators do not control. Each test starts the
// program in a process of its own with lowered limits, lets a crowd of connections misuse one listener in one
// way, and checks from outside that the process lives, that its memory and its descriptors stay within bounds
// that follow from these limits, and that an ordinary request is answered afterwards. It checks no times.
//
// # Usage
//
//	go test ./abuse -run TestNode
//	go test ./abuse -run 'TestServe/callers'
package abuse
