package node

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/fleet"
	"currantstile/peer"
	"currantstile/poison"
	"currantstile/proxy"
)

// newLonelyScreen returns the screen of an instance whose copies are decided by two others, at an address.
func newLonelyScreen(addr netip.AddrPort) *screen {
	n := &Node{
		Settings: Settings{
			Name: "a",
		},
		registry: fleet.NewRegistry(),
	}
	for _, name := range []string{"b", "c"} {
		n.registry.SetInstance(fleet.Instance{
			Name:  name,
			Peers: addr,
		})
	}
	n.router = &proxy.Router{
		Self:     "a",
		Registry: n.registry,
		Peers:    &peer.Pool{},
	}
	return newScreen(n)
}

// check checks a copy that may wait for some time.
func check(s *screen, id string, wait time.Duration) poison.Decision {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return s.Check(ctx, time.Now(), id, []poison.Feature{poison.SameRequest(nil, "x")})
}

// Guards against copies of a request that crashes targets that are all sent at the ends of their time limits, or
// because the instances that decide about their turns respond late.
func TestCopyIsNotSentWithoutItsTurn(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	s := newLonelyScreen(ln.Addr().(*net.TCPAddr).AddrPort())
	for _, wait := range []time.Duration{0, 100 * time.Millisecond, time.Second} {
		require.IsType(t, poison.Blocked{}, check(s, "1", wait), wait)
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
	begun := time.Now()
	require.Eventually(t, func() bool {
		_, allowed := check(s, "1", 100*time.Millisecond).(poison.Allowed)
		return allowed
	}, 2*poison.CopyPatience, time.Millisecond)
	require.GreaterOrEqual(t, time.Since(begun), poison.CopyPatience)
	require.IsType(t, poison.Blocked{}, check(s, "2", 500*time.Millisecond))
	s.endCopy("1", []poison.Feature{poison.SameRequest(nil, "x")}, true)
	require.Eventually(t, func() bool {
		_, allowed := check(s, "3", 10*time.Millisecond).(poison.Allowed)
		return allowed
	}, 2*time.Second, 20*time.Millisecond)
}
