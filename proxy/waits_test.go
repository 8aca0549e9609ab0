package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/sched"
	"currantstile/wire"
)

// Guards against a log that does not tell what a late request waited for.
func TestWaitsByCause(t *testing.T) {
	var w waits
	require.Empty(t, w.String())
	w.record(400*time.Millisecond, &wire.AdmissionReply{
		Reason: sched.ReasonAdapterSlots,
		Waits: wire.AdmissionWaits{
			LoadSlot: 390 * time.Millisecond,
		},
	})
	w.record(3*time.Millisecond, &wire.AdmissionReply{})
	w.addPause(60 * time.Millisecond)
	w.first = sched.ReasonAdapterSlots
	w.addPause(60 * time.Millisecond)
	w.record(130*time.Millisecond, &wire.AdmissionReply{
		Granted: true,
		Waits: wire.AdmissionWaits{
			Prompts: 120 * time.Millisecond,
			Orders:  8 * time.Millisecond,
		},
	})
	w.add("load", 250*time.Millisecond)
	require.Equal(t, "load-slot=390 load=250 prompts=120 no-adapter-slot=70 no-manager=63 orders=8", w.String())
}
