package watch

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a start at which each of many instances takes itself for the store reader
// because it knows no others yet: an instance that has not joined is none, and reads only
// after it has waited for messages.
func TestInstanceIsNoReaderBeforeItJoins(t *testing.T) {
	h := newTestHub("a")
	joined := false
	h.Joined = func() bool {
		return joined
	}
	h.startedAt = testStart
	require.False(t, h.mayRead(testStart.Add(takeoverDelay), 1))
	require.True(t, h.mayRead(testStart.Add(takeoverDelay+(maxRank+1)*rankDelay), 1))
	joined = true
	require.True(t, h.mayRead(testStart, 1))
}

// The hub asks for the rank while a follower applies changes, so the state of the listing
// must be readable then.
func TestListingIsKnownWhileChangesAreApplied(t *testing.T) {
	p := newFollowerPair(t)
	p.hub.Joined = p.reader.ListedOnce
	p.putAndWatch(t, "a/1", "x")
	require.Len(t, p.queuedUpdates(), 1)
}

// Guards against a reader with a narrow link: in a large fleet the writes of all targets
// exceed it, so wide links come first, and narrow ones only where there are too few.
func TestReadersHaveWideLinks(t *testing.T) {
	var peers []Peer
	for i := range 40 {
		p := Peer{
			Name:     fmt.Sprint("n", i),
			LinkMbit: 20,
		}
		if i%8 == 0 {
			p.LinkMbit = 200
		}
		peers = append(peers, p)
	}
	order := readerOrder(peers)
	require.Len(t, order, maxRank)
	for i, p := range order {
		require.Equal(t, i < 5, p.LinkMbit == 200, "rank %d", i)
	}
}
