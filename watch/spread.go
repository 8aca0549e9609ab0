package watch

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantstile/errs"
)

const (
	// fanout is the number of instances to which an instance sends a message within
	// one data centre. Each of them passes it on to a part of the others, so that no
	// instance sends more when the fleet grows.
	fanout = 6
	// maxHeads is the number of instances of a range that are tried in turn until one
	// confirms the message.
	maxHeads = 3
	// suspicionPeriod is how long an instance that did not confirm a message gets no
	// message that it would have to pass on, and how long a data centre in which no
	// instance did is reached through another one.
	suspicionPeriod = 2 * time.Second
)

// Range is the part of a data centre's instances to which a message still has to be
// sent: those whose position lies between From and To.
type Range struct {
	Zone string
	From uint64
	To   uint64
	// Via is set if the sender cannot reach the data centre and the receiver, which is
	// in another one, sends the message there.
	Via bool
}

// wholeZone returns the range of all instances of a data centre.
func wholeZone(zone string) Range {
	return Range{
		Zone: zone,
		From: 0,
		To:   math.MaxUint64,
	}
}

// positionOf returns an instance's place in the order in which messages are spread.
func positionOf(name string) uint64 {
	return xxhash.Sum64String(name)
}

// branch is a range with the known instances in it.
type branch struct {
	within  Range
	members []Peer
}

// membersOf returns the instances in a range by position, without those on the path of a
// message, which have it already.
func membersOf(within Range, peers []Peer, path []string) []Peer {
	var members []Peer
	for _, p := range peers {
		if at := positionOf(p.Name); p.Zone == within.Zone && at >= within.From && at <= within.To && !slices.Contains(path, p.Name) {
			members = append(members, p)
		}
	}
	slices.SortFunc(members, func(a, b Peer) int {
		return cmp.Compare(positionOf(a.Name), positionOf(b.Name))
	})
	return members
}

// splitRange divides a range into at most n parts with about as many of the members
// each. The parts cover the whole range, so that an instance that only a later sender
// knows is reached as well.
func splitRange(within Range, members []Peer, n int) []branch {
	n = min(n, len(members))
	parts := make([]branch, 0, n)
	from := within.From
	for i := range n {
		part := members[i*len(members)/n : (i+1)*len(members)/n]
		to := within.To
		if i < n-1 {
			to = positionOf(part[len(part)-1].Name)
		}
		parts = append(parts, branch{
			within: Range{
				Zone: within.Zone,
				From: from,
				To:   to,
			},
			members: part,
		})
		from = to + 1
	}
	return parts
}

// headOrder returns the members in the order in which they are tried as the one that
// passes a message on: those that have confirmed their last message come first.
func headOrder(members []Peer, suspected func(Peer) bool) []Peer {
	order := make([]Peer, 0, len(members))
	for _, want := range []bool{false, true} {
		for _, p := range members {
			if suspected(p) == want {
				order = append(order, p)
			}
		}
	}
	return order[:min(len(order), maxHeads)]
}

// helperFor returns an instance that may reach a data centre which this instance does
// not reach: the first one that is in neither of the two and is not suspected.
func helperFor(zone, own string, peers []Peer, suspected func(Peer) bool) (Peer, bool) {
	for _, p := range peers {
		if p.Zone != zone && p.Zone != own && !suspected(p) {
			return p, true
		}
	}
	return Peer{}, false
}

// goContained runs a step in a goroutine of its own.
func (h *Hub) goContained(step string, f func()) {
	go errs.Contain(&h.Log, step, f)
}

// broadcast sends a message to all other instances without waiting for the deliveries.
func (h *Hub) broadcast(ctx context.Context, m Message) {
	m.Calm = time.Since(h.LastOutage())
	m.Path = []string{h.Self}
	if h.Announce != nil {
		m.Announced = h.Announce()
	}
	if err := m.pack(); err != nil {
		h.Log.Error().Err(err).Msg("feed: message not compressed; sending it as it is")
	}
	zones := make(map[string]bool)
	for _, p := range h.Peers() {
		zones[p.Zone] = true
	}
	for zone := range zones {
		h.goContained("Hub.sendToZone", func() {
			h.sendToZone(ctx, m, wholeZone(zone))
		})
	}
}

// sendToZone sends a message to a data centre: within this instance's own, to several
// instances that pass it on; to another one, to a single instance. If none there confirms
// it, an instance of a third data centre is asked to send it there.
func (h *Hub) sendToZone(ctx context.Context, m Message, within Range) {
	if within.Zone == h.Zone {
		for _, b := range splitRange(within, membersOf(within, h.Peers(), m.Path), fanout) {
			h.goContained("Hub.sendToBranch", func() {
				h.sendToBranch(ctx, m, b)
			})
		}
		return
	}
	if !h.isCutOff(time.Now(), within.Zone) {
		members := membersOf(within, h.Peers(), m.Path)
		if len(members) == 0 || h.sendToBranch(ctx, m, branch{within: within, members: members}) {
			return
		}
		h.markCutOff(time.Now(), within.Zone)
	}
	if within.Via {
		return
	}
	now := time.Now()
	helper, ok := helperFor(within.Zone, h.Zone, h.Peers(), func(p Peer) bool {
		return h.isSuspected(now, p.Name) || h.isCutOff(now, p.Zone)
	})
	if !ok {
		return
	}
	within.Via = true
	h.sendTo(ctx, helper, m, within)
}

// sendToBranch sends a message to one member of a branch, which passes it on to the
// others. It reports whether one of the members confirmed it.
func (h *Hub) sendToBranch(ctx context.Context, m Message, b branch) bool {
	now := time.Now()
	heads := headOrder(b.members, func(p Peer) bool {
		return h.isSuspected(now, p.Name)
	})
	for _, p := range heads {
		if h.sendTo(ctx, p, m, b.within) {
			return true
		}
	}
	return false
}

// sendTo sends a message to an instance, which passes it on within the range. It reports
// whether the instance confirmed it.
func (h *Hub) sendTo(ctx context.Context, p Peer, m Message, within Range) bool {
	ctx, cancel := context.WithTimeout(ctx, m.sendTime())
	defer cancel()
	m.Within = within
	err := h.Send(ctx, p, m)
	h.recordSend(time.Now(), p.Name, err == nil)
	if err != nil && ctx.Err() == nil {
		h.Log.Debug().Err(err).Str("instance", p.Name).Msg("feed: sending a message to an instance failed")
	}
	return err == nil
}

// passOn sends a received message to the instances for which the sender made this one
// responsible.
func (h *Hub) passOn(m Message) {
	h.mu.Lock()
	ctx := h.ctx
	h.mu.Unlock()
	if ctx == nil || m.Within.Zone == "" {
		return
	}
	m.Path = append(slices.Clone(m.Path), h.Self)
	h.sendToZone(ctx, m, m.Within)
}

// recordSend records whether an instance confirmed a message.
func (h *Hub) recordSend(now time.Time, name string, confirmed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if confirmed {
		delete(h.suspectedUntil, name)
		return
	}
	if h.suspectedUntil == nil {
		h.suspectedUntil = make(map[string]time.Time)
	}
	for other, until := range h.suspectedUntil {
		if now.After(until) {
			delete(h.suspectedUntil, other)
		}
	}
	h.suspectedUntil[name] = now.Add(suspicionPeriod)
}

// isSuspected reports whether an instance did not confirm a recent message.
func (h *Hub) isSuspected(now time.Time, name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Before(h.suspectedUntil[name])
}

// markCutOff records that no instance of a data centre confirmed a message.
func (h *Hub) markCutOff(now time.Time, zone string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cutOffUntil == nil {
		h.cutOffUntil = make(map[string]time.Time)
	}
	h.cutOffUntil[zone] = now.Add(suspicionPeriod)
	h.Log.Info().Str("data-centre", zone).Msg("feed: no instance of a data centre confirmed a message; sending through another data centre")
}

// isCutOff reports whether a data centre is reached only through another one.
func (h *Hub) isCutOff(now time.Time, zone string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Before(h.cutOffUntil[zone])
}
