// Package avail decides which targets an instance may send requests to, from what the store says
// and what the targets' own answers said. It reads and writes nothing by itself, and each decision
// takes the current time as an argument. docs/design/closed-targets.md says how the sources join.
//
// # Usage
//
//	b := &avail.Book{Self: "entry-0"}
//	news := b.Record(now, avail.Notice{Target: t.ID, Started: t.Started, Addr: t.Addr, Leaving: true})
//	switch s := b.State(now, view, t).(type) {
//	case avail.Open: // may be sent to
//	case avail.Draining, avail.ZoneDisabled: // by the store or its operator
//	case avail.Leaving: // by an answer; until another process takes its place
//	case avail.PushedBack: // until s.Until
//	}
package avail
