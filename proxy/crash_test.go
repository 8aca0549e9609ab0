package proxy

import (
	"bytes"
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"currantstile/call"
	"currantstile/fleet"
)

// syncBuffer is a buffer for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

func interrupted(id string, events int, parts ...string) interruption {
	r := &call.Request{
		ID:      id,
		Model:   "m0",
		Adapter: "a1",
	}
	for _, p := range parts {
		r.PromptParts = append(r.PromptParts, call.PromptPart{
			ID: p,
		})
	}
	return interruption{
		request: r,
		events:  events,
	}
}

// Guards against logs that do not tell which requests a target was about to answer when
// its process ended, or whether it ended at all.
func TestInterruptedRequestsAreLoggedByTarget(t *testing.T) {
	var out syncBuffer
	ended := netip.MustParseAddrPort("127.0.0.1:1")
	d := crashDetector{
		refuses: func(_ context.Context, addr netip.AddrPort) bool {
			return addr == ended
		},
		log: log.Logger{
			Writer: &log.IOWriter{
				Writer: &out,
			},
		},
	}
	dead := fleet.Target{
		ID:   "t1",
		Addr: ended,
	}
	d.add(dead, interrupted("r1", 0, "common", "shared", "own1"))
	d.add(dead, interrupted("r2", 40, "common", "own2"))
	d.add(fleet.Target{
		ID:   "t2",
		Addr: netip.MustParseAddrPort("127.0.0.1:2"),
	}, interrupted("r3", 1, "own3"))
	require.Eventually(t, func() bool {
		return bytes.Count([]byte(out.String()), []byte("\n")) == 2
	}, 2*time.Second, 5*time.Millisecond)
	require.Contains(t, out.String(), `"target":"t1","ended":true,"requests":2,"starting":"r1","parts":"common,shared","adapters":"m0/a1"`)
	require.Contains(t, out.String(), `"target":"t2","ended":false,"requests":1,"starting":"r3"`)
}
