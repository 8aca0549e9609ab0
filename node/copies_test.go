package node

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/avail"
	"currantstile/fleet"
	"currantstile/peer"
	"currantstile/poison"
	"currantstile/proxy"
)

// newLonelyScreen returns the screen of an instance that is registered with two others, at an address.
func newLonelyScreen(addr netip.AddrPort) *screen {
	n := &Node{
		Settings: Settings{
			Name: "a",
		},
		registry: fleet.NewRegistry(),
	}
	n.registry.SetInstance(fleet.Instance{
		Name: "a",
	})
	for _, name := range []string{"b", "c"} {
		n.registry.SetInstance(fleet.Instance{
			Name:  name,
			Peers: addr,
		})
	}
	n.registry.Publish()
	n.router = &proxy.Router{
		Self:     "a",
		Registry: n.registry,
		Peers:    &peer.Pool{},
	}
	return newScreen(n)
}

// check checks a copy of a request that may wait for some time.
func check(s *screen, request, id string, wait time.Duration) poison.Decision {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return s.Check(ctx, time.Now(), id, []poison.Feature{poison.SameRequest(nil, request)})
}

// requestsOf returns a request whose copies others decide about, and one whose copies this instance does.
func requestsOf(t *testing.T, s *screen) (others, own string) {
	for i := 0; others == "" || own == ""; i++ {
		request := fmt.Sprint(i)
		holders := avail.LimitHolders(s.node.registry.View(), string(poison.SameRequest(nil, request)))
		require.NotEmpty(t, holders)
		if !slices.Contains(holders, s.node.Settings.Name) {
			others = request
		} else if holders[0] == s.node.Settings.Name {
			own = request
		}
	}
	return others, own
}

// Guards against copies of a request that crashes targets that are all sent at the ends of their time limits, or
// because the instances that decide about their turns respond late.
func TestCopyIsNotSentWithoutItsTurn(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	s := newLonelyScreen(ln.Addr().(*net.TCPAddr).AddrPort())
	others, _ := requestsOf(t, s)
	for _, wait := range []time.Duration{0, 100 * time.Millisecond, time.Second} {
		require.IsType(t, poison.Blocked{}, check(s, others, "1", wait), wait)
	}
}

// Guards against an instance that sends no request any more once it reaches no other instance, and against one that
// then sends all copies at the same time.
func TestCopiesAtInstanceThatIsCutOff(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := ln.Addr().(*net.TCPAddr).AddrPort()
	require.NoError(t, ln.Close())
	s := newLonelyScreen(addr)
	others, own := requestsOf(t, s)
	begun := time.Now()
	require.Eventually(t, func() bool {
		// Its own decisions don't show that others can be reached.
		require.IsType(t, poison.Allowed{}, check(s, own, "1", 100*time.Millisecond))
		_, allowed := check(s, others, "1", 100*time.Millisecond).(poison.Allowed)
		return allowed
	}, 2*poison.CopyPatience, time.Millisecond)
	require.GreaterOrEqual(t, time.Since(begun), poison.CopyPatience)
	require.IsType(t, poison.Blocked{}, check(s, others, "2", 500*time.Millisecond))
	s.endCopy("1", []poison.Feature{poison.SameRequest(nil, others)}, true)
	require.Eventually(t, func() bool {
		_, allowed := check(s, others, "3", 10*time.Millisecond).(poison.Allowed)
		return allowed
	}, 2*time.Second, 20*time.Millisecond)
}
