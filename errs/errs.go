// Package errs annotates errors that cross a process boundary with the operation
// that failed and the address of the peer.
//
// # Usage
//
//	if err != nil {
//		return errs.WithPeer(err, "Client.Get", addr)
//	}
//
// errors.Is and errors.As find the wrapped cause.
package errs

import (
	"net/netip"

	"github.com/pkg/errors"
)

// OpError is an error with the operation that failed and the peer involved.
type OpError struct {
	// Op is the operation that failed, as Type.Method.
	Op string
	// Peer is the address of the remote process; the zero value means that no
	// other process was involved.
	Peer netip.AddrPort
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *OpError) Error() string {
	if !e.Peer.IsValid() {
		return e.Op + ": " + e.Err.Error()
	}
	return e.Op + " (" + e.Peer.String() + "): " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *OpError) Unwrap() error {
	return e.Err
}

// WithPeer wraps err with an operation and a peer. It returns nil if err is nil.
func WithPeer(err error, op string, peer netip.AddrPort) error {
	if err == nil {
		return nil
	}
	return &OpError{
		Op:   op,
		Peer: peer,
		Err:  err,
	}
}

// WithOp wraps err with an operation that involves no other process. It returns
// nil if err is nil.
func WithOp(err error, op string) error {
	return WithPeer(err, op, netip.AddrPort{})
}

// New returns an error with a message that occurred in an operation.
func New(op, message string) error {
	return WithOp(errors.New(message), op)
}
