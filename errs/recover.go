package errs

import (
	"runtime/debug"

	"github.com/pkg/errors"
)

// Recover turns a panic into an error with the step at which it arose and its stack. It is
// deferred by functions that process a message from outside, so that one message cannot
// end the process:
//
//	func (s *Service) Ask(args Args, reply *Reply) (err error) {
//		defer errs.Recover("Service.Ask", &err)
func Recover(op string, err *error) {
	if v := recover(); v != nil {
		countPanic(op)
		*err = WithOp(errors.Errorf("panic: %v\n%s", v, debug.Stack()), op)
	}
}
