//go:build !race

package soak

// underDetector reports whether the tests run under the race detector.
const underDetector = false
