// Package shed decides which connections an instance closes when it runs short of descriptors or memory, and
// which ones are too slow. It performs no I/O; the time is an argument.
//
// # Usage
//
//	if i, ok := shed.First(time.Now(), conns); ok {
//		conns[i].Close()
//	}
package shed

import "time"

// State is what a connection is used for.
type State int

const (
	// Idle means that no byte of a request was received since the last response.
	Idle State = iota
	// Receiving means that a request is being received.
	Receiving
	// Working means that a request was received completely: its caller is owed a response.
	Working
)

// String returns the name of the state for logs.
func (s State) String() string {
	return [...]string{"idle", "receiving", "working"}[s]
}

// Conn is what is known of a connection.
type Conn struct {
	State State
	// Authenticated is set once a request on the connection had a valid key.
	Authenticated bool
	// Held is the memory that the connection takes, in bytes.
	Held int64
	// Since is when the connection got into its state.
	Since time.Time
	// BlockedSince is since when its peer has taken nothing of what is written; zero if nothing waits.
	BlockedSince time.Time
	// Used is set once a request was received completely.
	Used bool
	// Received is the number of bytes received of the current request.
	Received int64
}

const (
	// MinRate is the lowest rate in bytes per second at which a request is received: a quarter of a link of
	// 1 Mbit/s.
	MinRate = 32 << 10
	// Patience is how long the peer of an unauthenticated connection may take nothing of a response before the
	// connection may be closed in favour of others.
	Patience = 3 * time.Second
)

// class returns the rank of a connection: those of lower rank are closed first. It reports false for one that
// must not be closed, as a response is owed and is being read.
func class(now time.Time, c Conn) (int, bool) {
	switch c.State {
	case Idle:
		return 0, true
	case Receiving:
		return 1, true
	default:
		return 2, !c.Authenticated && !c.BlockedSince.IsZero() && now.Sub(c.BlockedSince) >= Patience
	}
}

// before reports whether a is closed before b, both of the same class: unauthenticated ones, then the largest
// holders, then the oldest in their state.
func before(a, b Conn) bool {
	switch {
	case a.Authenticated != b.Authenticated:
		return !a.Authenticated
	case a.Held != b.Held:
		return a.Held > b.Held
	default:
		return a.Since.Before(b.Since)
	}
}

// First returns the index of the connection to close first: idle ones before those that receive a request,
// and these before those whose peer does not read its response. It reports false if none may be closed.
func First(now time.Time, conns []Conn) (int, bool) {
	first, lowest := -1, 0
	for i, c := range conns {
		rank, ok := class(now, c)
		if !ok {
			continue
		}
		if first < 0 || rank < lowest || rank == lowest && before(c, conns[first]) {
			first, lowest = i, rank
		}
	}
	return first, first >= 0
}

// ReceiveUntil returns until when the given number of bytes of a request have to be followed by more: each
// request has a grace, and the time that its bytes take at MinRate.
func ReceiveUntil(since time.Time, grace time.Duration, received int64) time.Time {
	return since.Add(grace + time.Duration(received)*time.Second/MinRate)
}

// Limits are the longest times of a connection. A limit that is zero is not enforced.
type Limits struct {
	// Idle is the limit without a request, and Grace the one for receiving a request, to which the time that its
	// bytes take at MinRate is added.
	Idle, Grace time.Duration
	// Unused is the limit without a request before the first one; zero is Idle.
	Unused time.Duration
}

// IsOverdue reports whether a connection has exceeded its limits.
func IsOverdue(now time.Time, c Conn, l Limits) bool {
	switch {
	case c.State == Idle && !c.Used && l.Unused > 0:
		return now.Sub(c.Since) >= l.Unused
	case c.State == Idle && l.Idle > 0:
		return now.Sub(c.Since) >= l.Idle
	case c.State == Receiving && l.Grace > 0:
		return now.After(ReceiveUntil(c.Since, l.Grace, c.Received))
	default:
		return false
	}
}
