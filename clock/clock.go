// Package clock provides a sleep that a context can cancel.
//
// # Usage
//
//	if !clock.Sleep(ctx, 250*time.Millisecond) {
//		return ctx.Err()
//	}
package clock

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx ends. It reports whether the full time passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
