// Package errs gives every error that crosses a process boundary the step at
// which it arose and the peer that was being talked to.
//
// # Usage
//
//	if err != nil {
//		return errs.At(err, "Client.Get", addr)
//	}
//
// The wrapped cause stays reachable with errors.Is and errors.As.
package errs

import (
	"net/netip"

	"github.com/pkg/errors"
)

// OpError is an error with the step and the peer at which it arose.
type OpError struct {
	// Op names the operation as Type.Method.
	Op string
	// Peer is the address of the other process; the zero value means that no
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

// WithPeer wraps err with a step and a peer. It returns nil for a nil err.
func WithPeer(err error, step string, peer netip.AddrPort) error {
	if err == nil {
		return nil
	}
	return &OpError{
		Op:   step,
		Peer: peer,
		Err:  err,
	}
}

// WithOp wraps err with a step that involves no other process. It returns nil
// for a nil err.
func WithOp(err error, step string) error {
	return WithPeer(err, step, netip.AddrPort{})
}

// New returns an error with a message, raised at a step.
func New(step, message string) error {
	return WithOp(errors.New(message), step)
}
