package watch

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"currantstile/clock"
	"currantstile/errs"
	"currantstile/store"
)

const (
	// gapCheckInterval is the interval between two checks for missing changes.
	gapCheckInterval = 30 * time.Millisecond
	// minCatchUpInterval is the interval at which an instance that gets neither messages nor
	// responses of the store asks others for their state. It doubles up to
	// maxCatchUpInterval while none of those that it asks is up to date.
	minCatchUpInterval = 250 * time.Millisecond
	maxCatchUpInterval = 2 * time.Second
	// catchUpDelay is for how long no message must have arrived before an instance asks.
	catchUpDelay = takeoverDelay
	// rememberInterval is the interval at which the listed instances are recorded, and
	// rememberPeriod how long one is asked after it was listed last.
	rememberInterval = 500 * time.Millisecond
	rememberPeriod   = 5 * time.Minute
	// fetchTimeout limits one request for state, which may be a large configuration.
	fetchTimeout = time.Second
	// catchUpChoices is the number of instances that are asked at once, as long as none is known
	// to be up to date.
	catchUpChoices = 3
)

// Position is how far an instance knows a prefix.
type Position struct {
	Prefix string
	After  store.Revision
}

// FetchArgs asks an instance for what it knows of some prefixes beyond the given positions.
type FetchArgs struct {
	Positions []Position
}

// FetchReply carries what an instance knows, with the evidence for it.
type FetchReply struct {
	// Current is set if the instance is up to date with the store, as of Age ago, and has been
	// for Calm without interruption.
	Current bool
	Age     time.Duration
	Calm    time.Duration
	// Updates hold one part for each prefix that the instance knows further, and if it is
	// current its position in the others.
	Updates []PrefixUpdate
}

// Changes returns what this instance knows beyond the positions of another one.
func (h *Hub) Changes(now time.Time, args FetchArgs) FetchReply {
	at, current := h.upToDateAt(now)
	reply := FetchReply{
		Current: current,
	}
	if current {
		reply.Age, reply.Calm = now.Sub(at), now.Sub(h.LastOutage())
	}
	for _, f := range h.Followers {
		i := slices.IndexFunc(args.Positions, func(p Position) bool {
			return p.Prefix == f.Prefix
		})
		if i < 0 {
			continue
		}
		if p, ok := f.changesAfter(args.Positions[i].After); ok {
			reply.Updates = append(reply.Updates, p)
		} else if p, ok := f.position(); ok && current {
			reply.Updates = append(reply.Updates, p)
		}
	}
	m := Message{
		Parts: reply.Updates,
	}
	if err := m.pack(); err != nil {
		h.Log.Error().Err(err).Msg("feed: changes not compressed; sending them as they are")
	}
	reply.Updates = m.Parts
	return reply
}

// upToDateAt returns the last time up to which this instance is known to have received all changes, from the
// store or from another instance, and whether that is recent.
func (h *Hub) upToDateAt(now time.Time) (time.Time, bool) {
	at := h.provenAt()
	h.mu.Lock()
	if h.toldAt.After(at) {
		at = h.toldAt
	}
	h.mu.Unlock()
	return at, now.Sub(at) < readerTimeout && !h.behindEra()
}

// Evidence returns how long ago this instance is known to have been up to date with the store, by its
// own reading or by another instance, and whether that counts as up to date.
func (h *Hub) Evidence(now time.Time) (time.Duration, bool) {
	at, current := h.upToDateAt(now)
	return now.Sub(at), current
}

// Current reports whether all changes until at most readerTimeout ago are known to have been received.
func (h *Hub) Current(now time.Time) bool {
	_, current := h.upToDateAt(now)
	return current
}

// UpToDate reports whether all changes are known that must be in force by now: those until storeTimeout ago.
func (h *Hub) UpToDate(now time.Time) bool {
	at, _ := h.upToDateAt(now)
	return now.Sub(at) < storeTimeout && !h.behindEra()
}

// fillGaps asks other instances for missing changes until ctx is done.
func (h *Hub) fillGaps(ctx context.Context) {
	for clock.Sleep(ctx, gapCheckInterval) {
		errs.Contain(&h.Log, "Hub.fillGaps", func() {
			h.askForGaps(ctx)
		})
	}
}

// askForGaps asks other instances for the changes that are missing now.
func (h *Hub) askForGaps(ctx context.Context) {
	for _, f := range h.Followers {
		source, after, ok := f.missingFrom(time.Now())
		if !ok {
			continue
		}
		for _, p := range h.Peers() {
			if p.Name == source {
				h.goContained("Hub.fetch", func() {
					h.fetch(ctx, p, []Position{
						{
							Prefix: f.Prefix,
							After:  after,
						},
					})
				})
			}
		}
	}
}

// catchUp asks other instances for their state while this one gets no messages and the store does
// not respond to it, until ctx is done. An instance whose key has expired gets no messages,
// though others may reach it.
func (h *Hub) catchUp(ctx context.Context) {
	interval := minCatchUpInterval
	source := ""
	for clock.Sleep(ctx, interval) {
		errs.Contain(&h.Log, "Hub.catchUp", func() {
			now := time.Now()
			h.rememberPeers(now)
			if !h.mustCatchUp(now) {
				interval, source = minCatchUpInterval, ""
				return
			}
			if source = h.fetchAll(ctx, h.catchUpPeers(source)); source != "" {
				interval = minCatchUpInterval
			} else {
				interval = min(2*interval, maxCatchUpInterval)
			}
		})
	}
}

// mustCatchUp reports whether neither messages nor the store keep this instance up to date.
func (h *Hub) mustCatchUp(now time.Time) bool {
	h.mu.Lock()
	silent := now.Sub(h.lastPushAt) >= catchUpDelay && now.Sub(h.startedAt) >= catchUpDelay
	h.mu.Unlock()
	at, _ := h.upToDateAt(now)
	return silent && (h.Health.Unavailable() || now.Sub(at) >= storeTimeout)
}

// rememberPeers records the instances that are listed. An instance that gets no messages may have
// learned last that the keys of all others had expired.
func (h *Hub) rememberPeers(now time.Time) {
	peers := h.Peers()
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.rememberedAt) < rememberInterval {
		return
	}
	h.rememberedAt = now
	if h.remembered == nil {
		h.remembered = make(map[string]rememberedPeer)
	}
	for _, p := range peers {
		h.remembered[p.Name] = rememberedPeer{
			peer: p,
			at:   now,
		}
	}
	for name, r := range h.remembered {
		if now.Sub(r.at) > rememberPeriod {
			delete(h.remembered, name)
		}
	}
}

// rememberedPeer is an instance that was listed at a time.
type rememberedPeer struct {
	peer Peer
	at   time.Time
}

// formerAndPresentPeers returns the instances that are listed, those that were, and those that are recorded.
func (h *Hub) formerAndPresentPeers() []Peer {
	peers := slices.Clone(h.Peers())
	known := make(map[string]bool, len(peers))
	for _, p := range peers {
		known[p.Name] = true
	}
	add := func(p Peer) {
		if !known[p.Name] {
			known[p.Name] = true
			peers = append(peers, p)
		}
	}
	h.mu.Lock()
	for _, r := range h.remembered {
		add(r.peer)
	}
	h.mu.Unlock()
	if h.Recorded != nil {
		for _, p := range h.Recorded() {
			add(p)
		}
	}
	return peers
}

// catchUpPeers returns the instances to ask: the source, which has shown to be up to date, or some
// at random if it is empty or gone.
func (h *Hub) catchUpPeers(source string) []Peer {
	var peers []Peer
	for _, p := range h.formerAndPresentPeers() {
		switch p.Name {
		case h.Self:
		case source:
			return []Peer{p}
		default:
			peers = append(peers, p)
		}
	}
	rand.Shuffle(len(peers), func(i, j int) {
		peers[i], peers[j] = peers[j], peers[i]
	})
	return peers[:min(len(peers), catchUpChoices)]
}

// fetchAll asks some instances for their state, and returns the name of one that is up to date, or
// an empty string.
func (h *Hub) fetchAll(ctx context.Context, peers []Peer) string {
	var wg sync.WaitGroup
	current := make([]bool, len(peers))
	for i, p := range peers {
		wg.Go(func() {
			errs.Contain(&h.Log, "Hub.fetch", func() {
				current[i] = h.fetch(ctx, p, h.positions())
			})
		})
	}
	wg.Wait()
	if i := slices.Index(current, true); i >= 0 {
		return peers[i].Name
	}
	return ""
}

// positions returns how far this instance knows each prefix.
func (h *Hub) positions() []Position {
	positions := make([]Position, 0, len(h.Followers))
	for _, f := range h.Followers {
		positions = append(positions, Position{
			Prefix: f.Prefix,
			After:  f.revision(),
		})
	}
	return positions
}

// fetch asks an instance for what it knows beyond some positions and applies that. It reports
// whether the instance is up to date with the store.
func (h *Hub) fetch(ctx context.Context, p Peer, positions []Position) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := h.Fetch(ctx, p, FetchArgs{
		Positions: positions,
	})
	if err != nil {
		h.Log.Info().Err(err).Str("instance", p.Name).Msg("feed: an instance did not say what it knows; asking again later")
		return false
	}
	now := time.Now()
	current, at := reply.Current && h.isCurrentEra(reply.Updates), now.Add(-reply.Age)
	if current {
		h.recordEvidence(now, at, p.Name, reply.Calm)
	}
	if h.receiveUpdates(now, reply.Updates, p.Name) && current {
		h.recordProof(at)
	}
	return current
}
