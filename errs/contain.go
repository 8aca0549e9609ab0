package errs

import (
	"fmt"
	"runtime/debug"
	"sync"

	"github.com/phuslu/log"
)

// panics counts the recovered panics of the process by step.
var panics struct {
	mu     sync.Mutex
	byStep map[string]int64
}

func countPanic(step string) {
	panics.mu.Lock()
	defer panics.mu.Unlock()
	if panics.byStep == nil {
		panics.byStep = make(map[string]int64)
	}
	panics.byStep[step]++
}

// EachPanic calls f with each step that has panicked and how often, since the start of the process.
func EachPanic(f func(step string, count int64)) {
	panics.mu.Lock()
	defer panics.mu.Unlock()
	for step, n := range panics.byStep {
		f(step, n)
	}
}

// Contain calls f, which is a step of a loop or all of a goroutine, and logs a panic of f with its
// stack: it must not end the process, which owes answers. Locks of f must be released by defer.
func Contain(l *log.Logger, step string, f func()) {
	defer func() {
		if v := recover(); v != nil {
			countPanic(step)
			l.Error().Str("step", step).Str("panic", fmt.Sprint(v)).Str("stack", string(debug.Stack())).Msg("panic: a step was given up; going on")
		}
	}()
	f()
}
