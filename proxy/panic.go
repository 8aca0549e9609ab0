package proxy

import (
	"fmt"
	"net/http"
	"runtime/debug"
)

// recoverPanic answers a request whose handler panicked, or aborts its connection if the answer has begun.
// A target may have executed the request, so nothing is promised.
func (x *Exchange) recoverPanic() {
	v := recover()
	if v == nil {
		return
	}
	if v == http.ErrAbortHandler {
		panic(v)
	}
	x.logPanic(v)
	x.Reason = "panic"
	if x.statusWritten {
		x.abort()
	}
	x.refuse(Refusal{
		Status: http.StatusBadGateway,
		Reason: "panic",
	})
}

// recoverAfterAnswer logs a panic after the answer was written, which net/http has yet to send. Without an
// answer it aborts the connection: net/http answers with 200 for a handler that returns.
func (x *Exchange) recoverAfterAnswer() {
	v := recover()
	if v == nil {
		return
	}
	if v != http.ErrAbortHandler {
		x.logPanic(v)
	}
	if !x.answered {
		panic(http.ErrAbortHandler)
	}
}

// logPanic logs a recovered panic with its stack.
func (x *Exchange) logPanic(v any) {
	id := ""
	if x.Request != nil {
		id = x.Request.ID
	}
	x.gate.Log.Error().Str("request", id).Str("caller", x.caller).Str("panic", fmt.Sprint(v)).Str("stack", string(debug.Stack())).Msg("gate: handler panicked")
}
