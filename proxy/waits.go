package proxy

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"currantstile/sched"
	"currantstile/wire"
)

// minLoggedWait is the shortest wait that is logged.
const minLoggedWait = 5 * time.Millisecond

// noManager is the cause of a wait for a target whose manager did not reply.
const noManager = "no-manager"

// waits is how long a request waited to be sent, by cause: the reason for which a target
// declined it, or what its manager waited for.
type waits struct {
	causes []wait
	// first is the last reason of the target that comes first in the request's order.
	first sched.Reason
}

type wait struct {
	cause string
	d     time.Duration
}

// add adds time to a cause.
func (w *waits) add(cause string, d time.Duration) {
	for i := range w.causes {
		if w.causes[i].cause == cause {
			w.causes[i].d += d
			return
		}
	}
	w.causes = append(w.causes, wait{
		cause: cause,
		d:     d,
	})
}

// record adds the time of one admission request.
func (w *waits) record(took time.Duration, reply *wire.AdmissionReply) {
	w.add("prompts", reply.Waits.Prompts)
	w.add("load-slot", reply.Waits.LoadSlot)
	w.add("orders", reply.Waits.Orders)
	rest := took - reply.Waits.Prompts - reply.Waits.LoadSlot - reply.Waits.Orders
	switch {
	case reply.Granted:
		w.add("answer", rest)
	case reply.Reason != "":
		w.add(string(reply.Reason), rest)
	default:
		w.add(noManager, rest)
	}
}

// addPause adds the time between two attempts to what kept the first target from admitting
// the request.
func (w *waits) addPause(d time.Duration) {
	w.add(cmp.Or(string(w.first), noManager), d)
}

// EachWait calls visit with each cause for which the request waited before it was sent, or
// refused, and for how long.
func (x *Exchange) EachWait(visit func(cause string, d time.Duration)) {
	for _, c := range x.waits.causes {
		visit(c.cause, c.d)
	}
}

// String lists the causes with their milliseconds, the longest first.
func (w *waits) String() string {
	slices.SortStableFunc(w.causes, func(a, b wait) int {
		return int(b.d - a.d)
	})
	var b strings.Builder
	for _, c := range w.causes {
		if c.d >= minLoggedWait {
			fmt.Fprintf(&b, "%s=%d ", c.cause, c.d.Milliseconds())
		}
	}
	return strings.TrimSpace(b.String())
}
