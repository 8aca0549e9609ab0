// Package clock provides a sleep that a context can cancel, and a lock for as long as something
// takes.
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

// Turn is taken by one after another. Those that wait for it are seen to wait, as those that wait for
// a Mutex are not, by testing/synctest: it may be held while time passes. The zero value is not
// ready for use; NewTurn returns one.
type Turn chan struct{}

// NewTurn returns a turn that is not taken.
func NewTurn() Turn {
	return make(Turn, 1)
}

// Take waits for the turn.
func (t Turn) Take() {
	t <- struct{}{}
}

// Pass ends the turn.
func (t Turn) Pass() {
	<-t
}

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
