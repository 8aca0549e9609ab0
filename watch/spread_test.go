package watch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// meshFleet is a fleet of hubs whose messages pass through memory.
type meshFleet struct {
	mu    sync.Mutex
	hubs  map[string]*Hub
	peers []Peer
	// down are instances that respond to nothing, and cut reports whether two data
	// centres cannot reach each other.
	down map[string]bool
	cut  func(a, b string) bool
	// sends counts the messages that each instance sent, and got those that arrived.
	sends map[string]int
	got   map[string]int
}

func newMeshFleet(zones, perZone int) *meshFleet {
	f := &meshFleet{
		hubs:  make(map[string]*Hub),
		down:  make(map[string]bool),
		sends: make(map[string]int),
		got:   make(map[string]int),
	}
	f.cut = func(string, string) bool {
		return false
	}
	for z := range zones {
		for i := range perZone {
			f.peers = append(f.peers, Peer{
				Name: fmt.Sprintf("n-%d-%d", z, i),
				Zone: fmt.Sprintf("z%d", z),
			})
		}
	}
	for _, p := range f.peers {
		f.hubs[p.Name] = &Hub{
			Self:   p.Name,
			Zone:   p.Zone,
			Health: &Health{},
			Log:    discardLogger,
			Peers: func() []Peer {
				return f.peers
			},
			Send: func(ctx context.Context, to Peer, m Message) error {
				return f.send(ctx, p, to, m)
			},
		}
	}
	return f
}

// send delivers a message unless the receiver is down or cut off, in which case the call
// ends with its time limit.
func (f *meshFleet) send(ctx context.Context, from, to Peer, m Message) error {
	f.mu.Lock()
	f.sends[from.Name]++
	lost := f.down[to.Name] || f.cut(from.Zone, to.Zone)
	if !lost {
		f.got[to.Name]++
	}
	f.mu.Unlock()
	if lost {
		<-ctx.Done()
		return errors.New("no response")
	}
	f.hubs[to.Name].Receive(time.Now(), m)
	return nil
}

func (f *meshFleet) setCut(cut func(a, b string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
}

// broadcast sends a message from the first instance and returns the names of the live
// instances that did not receive it within a time.
func (f *meshFleet) broadcast(ctx context.Context, within time.Duration) []string {
	f.mu.Lock()
	clear(f.got)
	clear(f.sends)
	f.mu.Unlock()
	for _, h := range f.hubs {
		h.mu.Lock()
		h.ctx = ctx
		h.mu.Unlock()
	}
	f.hubs[f.peers[0].Name].broadcast(ctx, Message{From: f.peers[0].Name})
	time.Sleep(within)
	f.mu.Lock()
	defer f.mu.Unlock()
	var missed []string
	for _, p := range f.peers[1:] {
		if f.got[p.Name] == 0 && !f.down[p.Name] {
			missed = append(missed, p.Name)
		}
	}
	return missed
}

// A change reaches each instance, and no instance sends more messages in a fleet of 300
// than in one of 30: one to each other data centre and fanout within its own.
func TestBroadcastReachesAllWithBoundedSends(t *testing.T) {
	for _, perZone := range []int{5, 50, 72} {
		t.Run(fmt.Sprint(perZone), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const zones = 6
				f := newMeshFleet(zones, perZone)
				require.Empty(t, f.broadcast(t.Context(), time.Millisecond))
				for name, n := range f.sends {
					require.LessOrEqual(t, n, zones-1+fanout, name)
				}
				for name, n := range f.got {
					require.Equal(t, 1, n, "%s received the message more than once", name)
				}
			})
		})
	}
}

// An instance that dies while it passes a change on must not keep it from the others
// beyond the time limits of two calls, and the next message avoids it at once.
func TestDeadInstancesArePassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMeshFleet(3, 40)
		for i, p := range f.peers {
			f.down[p.Name] = i%7 == 3
		}
		require.Empty(t, f.broadcast(t.Context(), 4*sendTimeout))
		require.Empty(t, f.broadcast(t.Context(), sendTimeout/2), "instances found dead are not asked to pass on")
	})
}

// Two data centres that cannot reach each other exchange changes through a third one:
// each pair of three is cut in turn.
func TestCutDataCentresAreReachedThroughThird(t *testing.T) {
	for _, pair := range [][2]string{{"z0", "z1"}, {"z0", "z2"}, {"z1", "z2"}} {
		t.Run(pair[0]+pair[1], func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newMeshFleet(3, 20)
				f.setCut(func(a, b string) bool {
					return a == pair[0] && b == pair[1] || a == pair[1] && b == pair[0]
				})
				require.Empty(t, f.broadcast(t.Context(), (maxHeads+1)*sendTimeout))
				require.Empty(t, f.broadcast(t.Context(), sendTimeout/2), "the cut is remembered")
				f.setCut(func(string, string) bool {
					return false
				})
				time.Sleep(suspicionPeriod)
				require.Empty(t, f.broadcast(t.Context(), sendTimeout/2))
				require.LessOrEqual(t, f.sends["n-0-0"], 2+fanout, "healed: sent directly again")
			})
		})
	}
}

// An instance that only the receiver of a range knows gets the message as well: the parts
// of a range leave no hole.
func TestRangesCoverUnknownInstances(t *testing.T) {
	f := newMeshFleet(1, 30)
	known := f.peers[:20]
	within := wholeZone("z0")
	parts := splitRange(within, membersOf(within, known, nil), fanout)
	for _, p := range f.peers {
		n := 0
		for _, b := range parts {
			n += len(membersOf(b.within, []Peer{p}, nil))
		}
		require.Equal(t, 1, n, p.Name)
	}
}
