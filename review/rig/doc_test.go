//go:build review

// Package rig runs the scripted cases of the review: it starts instances as processes of their own,
// with the command of the deploy file, and stands in for the platform's store, its workers, its
// load balancer and its clients, on loopback addresses and the real clock. It is built by
// review/build.sh only:
//
//	go test -c -tags review -o target/review-rig ./review/rig
//	target/review-rig CASE FOLDER
//
// The exit status is 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package rig
