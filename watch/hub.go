package watch

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/phuslu/log"

	"currantstile/clock"
	"currantstile/errs"
	"currantstile/route"
	"currantstile/store"
)

const (
	// pingInterval is the interval at which a store reader announces that it is active.
	pingInterval = 250 * time.Millisecond
	// takeoverDelay is how long no message of a store reader must have arrived before
	// another instance takes over; rankDelay is added for each instance that ranks before it.
	// It takes over after readerTimeout as well, if messages arrive that prove nothing more recent.
	// Both stay below the two seconds within which a change must be in force.
	takeoverDelay = 600 * time.Millisecond
	rankDelay     = 100 * time.Millisecond
	// maxRank is the number of designated readers, which broadcast what they read.
	// All other instances read only for themselves while no reader sends messages: many
	// instances broadcasting to all others would overload the fleet.
	maxRank = 8
	// wideLinkShare is the fraction of the widest link in the fleet from which a link is
	// wide.
	wideLinkShare = 0.5
	// storeTimeout is how long the store may be without a response before that counts
	// as an outage. It is longer than the lease renewal interval of an instance, so
	// that a response is due within it, and shorter than the lifetime of entries.
	storeTimeout = 1800 * time.Millisecond
	// roleCheckInterval is how often an instance checks whether it has to read the store.
	roleCheckInterval = 100 * time.Millisecond
	// deferralInterval is how often an instance checks whether a deferred listing may
	// begin.
	deferralInterval = 20 * time.Millisecond
	// sendTimeout limits the delivery of one message to another instance.
	sendTimeout = 400 * time.Millisecond
)

// PrefixUpdate carries the changes of one prefix. Without entries it announces the
// revision that the store reader has reached.
type PrefixUpdate struct {
	Prefix string
	// Before is the revision of the preceding change. A receiver that has not reached
	// it has missed a change.
	Before store.Revision
	// UpTo is the revision that the prefix reaches with this update.
	UpTo    store.Revision
	Entries store.Entries
	// Packed holds the entries in compressed form instead.
	Packed []byte
	// Complete is set if the entries are all of the prefix, whatever the receiver knows.
	Complete bool
	// Listed is set if the store reader has listed the prefix, of which it knew Known before.
	Listed bool
	Known  store.Revision
}

// Message is sent by a store reader to the other instances.
type Message struct {
	From string
	// Calm is how long the store reader has been in sync with the store without
	// interruption.
	Calm time.Duration
	// Proof is set in pings, and Age is the age of the proof that the positions are all that the store had.
	Proof bool
	Age   time.Duration
	// Parts are the updates, or the positions of all listed prefixes in a ping.
	Parts []PrefixUpdate
	// Announced is the newest configuration that the sender has seen; 0 from earlier versions.
	Announced uint64
	// Path lists the instances through which the message came, the store reader first,
	// and Within the instances to which the receiver passes it on.
	Path   []string
	Within Range
}

// sender returns the instance from which the receiver has the message.
func (m *Message) sender() string {
	if len(m.Path) == 0 {
		return m.From
	}
	return m.Path[len(m.Path)-1]
}

// Peer identifies an instance of the fleet and its address.
type Peer struct {
	Name string
	Zone string
	Addr netip.AddrPort
	// LinkMbit is the bandwidth of the instance's link in Mbit/s; zero means unknown.
	LinkMbit float64
}

// Hub decides which instances read the store, and exchanges changes between
// instances. Its exported fields must be set before Run.
type Hub struct {
	Self string
	// Zone is this instance's data centre.
	Zone      string
	Followers []*Follower
	// Peers returns all known instances, including this one if it is registered.
	Peers func() []Peer
	// Recorded returns instances that may run though they are not listed, such as those that a process before this
	// one knew. They are asked while no other is a source of changes. Nil means none.
	Recorded func() []Peer
	// Joined reports whether this instance is registered and has listed the others since.
	// Before that it is no designated reader, because it does not know its rank. Nil means
	// that it has joined.
	Joined func() bool
	// Send delivers a message to another instance.
	Send func(ctx context.Context, to Peer, m Message) error
	// Fetch asks another instance for what this one does not know.
	Fetch func(ctx context.Context, from Peer, args FetchArgs) (FetchReply, error)
	// Announce returns the newest configuration that this instance has seen, and Announced is told of that
	// of a store reader, with the instances that may have it; either may be nil.
	Announce  func() uint64
	Announced func(version uint64, sources []string)
	Health    *Health
	Log       log.Logger

	mu sync.Mutex
	// startedAt is when Run began, and lastPushAt when the last message of a store reader was
	// received. lastMessageAt is also moved by replies of instances that were asked.
	startedAt     time.Time
	lastPushAt    time.Time
	lastMessageAt time.Time
	// toldAt is a time up to which another instance has shown this one all changes, and coverage is what this
	// instance has received from the store itself.
	toldAt   time.Time
	coverage coverage
	// covering is set while the coverage is kept complete, and observedAt is when the store was last asked for
	// its revision. Both belong to checkCoverage.
	covering   bool
	observedAt time.Time
	// lastOutage is the last time at which this instance was out of sync with the store.
	lastOutage time.Time
	// era is the highest era of the store that is known, once eraKnown is set, and eraChanges counts its
	// changes.
	era        store.Era
	eraKnown   bool
	eraChanges int64
	// lastReader is the sender of the last message, for the log.
	lastReader string
	reading    bool
	// remembered are instances that are or were listed, recorded at rememberedAt.
	remembered   map[string]rememberedPeer
	rememberedAt time.Time
	// current is the last logged result of Current, and synced that of inSync.
	current bool
	synced  bool
	queue   chan PrefixUpdate
	// ctx is that of Run.
	ctx context.Context
	// suspectedUntil and cutOffUntil are until when instances and data centres that did
	// not confirm a message count as unreachable.
	suspectedUntil map[string]time.Time
	cutOffUntil    map[string]time.Time
}

// Run follows all prefixes until ctx is done.
func (h *Hub) Run(ctx context.Context) {
	h.mu.Lock()
	h.startedAt = time.Now()
	h.ctx = ctx
	h.queue = make(chan PrefixUpdate, 256)
	h.mu.Unlock()
	var wg sync.WaitGroup
	for _, f := range h.Followers {
		f.hub = h
		wg.Go(func() {
			h.follow(ctx, f)
		})
	}
	wg.Go(func() {
		h.runBroadcast(ctx)
	})
	wg.Go(func() {
		h.monitorOutages(ctx)
	})
	wg.Go(func() {
		for clock.Sleep(ctx, coverageInterval) {
			errs.Contain(&h.Log, "Hub.checkCoverage", func() {
				h.checkCoverage(ctx, time.Now())
			})
		}
	})
	wg.Go(func() {
		h.fillGaps(ctx)
	})
	wg.Go(func() {
		h.catchUp(ctx)
	})
	wg.Wait()
}

// monitorOutages periodically records outages and updates the role in Health.
func (h *Hub) monitorOutages(ctx context.Context) {
	for clock.Sleep(ctx, roleCheckInterval) {
		// An instance that has not joined gets no messages.
		errs.Contain(&h.Log, "Hub.monitorOutages", func() {
			h.Health.SetStarting(!h.hasJoined())
			h.Health.SetListener(!h.isDesignatedReader())
			now := time.Now()
			h.recordOutage(now)
			h.logCurrency(now)
		})
	}
}

// logCurrency logs when this instance becomes current or ceases to be, and when it begins or
// ceases to announce itself as a store reader in sync, with the age of the evidence for it.
func (h *Hub) logCurrency(now time.Time) {
	current, synced := h.Current(now), h.isDesignatedReader() && h.inSync(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	if current == h.current && synced == h.synced {
		return
	}
	h.current, h.synced = current, synced
	h.Log.Info().Bool("current", current).Bool("reader-in-sync", synced).Bool("store-unavailable", h.Health.Unavailable()).
		Dur("response-age", age(now, h.Health.LastSuccess())).Dur("message-age", age(now, h.lastMessageAt)).
		Dur("told-age", age(now, h.toldAt)).Dur("proof-age", age(now, h.coverage.provenAt)).Uint64("through", uint64(h.coverage.through)).
		Uint64("observed", uint64(h.coverage.latest.revision)).
		Str("heard-from", h.lastReader).Msg("feed: state changed")
}

// age returns the time since at, or -1 if at is unknown.
func age(now, at time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at)
}

// recordOutage records an outage if no messages of a store reader arrive and the store does
// not respond to this instance. An interval without a call or without a change does not
// count as an outage.
func (h *Hub) recordOutage(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.lastMessageAt) < readerTimeout ||
		!h.Health.Unavailable() && now.Sub(h.Health.LastSuccess()) < storeTimeout {
		return
	}
	h.lastOutage = now
}

// LastOutage returns the last time at which this instance was out of sync with the
// store. Messages of store readers that stayed in sync move it back.
func (h *Hub) LastOutage() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastOutage
}

// follow polls one prefix while this instance is a store reader of it or the follower
// needs the store.
func (h *Hub) follow(ctx context.Context, f *Follower) {
	for ctx.Err() == nil {
		wait := roleCheckInterval
		errs.Contain(&h.Log, "Hub.follow", func() {
			wait = h.followOnce(ctx, f)
		})
		clock.Sleep(ctx, wait)
	}
}

// followOnce polls a prefix if that is this instance's to do. It returns the time until the next look.
func (h *Hub) followOnce(ctx context.Context, f *Follower) time.Duration {
	now := time.Now()
	if f.Deferred != nil && !f.Listed() && f.Deferred() {
		return deferralInterval
	}
	if !h.mayRead(now, f.Readers) && !f.needsStore(now) || !h.Health.AllowCall(now) {
		return roleCheckInterval
	}
	return f.poll(ctx)
}

// mayRead reports whether this instance is a store reader now. The given number of
// instances, and at least one, read at the same time; the others take over, in the order
// of their ranks, when no messages of a store reader arrive.
func (h *Hub) mayRead(now time.Time, readers int) bool {
	rank := h.rank()
	h.mu.Lock()
	defer h.mu.Unlock()
	wait := takeoverDelay + time.Duration(min(rank, maxRank))*rankDelay
	if rank > 0 && rank < readers {
		return true
	}
	// A new instance waits as well: it lists all prefixes itself, and a message of a store
	// reader may arrive soon.
	unheard := now.Sub(h.lastMessageAt) > wait
	unproven := now.Sub(h.toldAt) > readerTimeout+time.Duration(min(rank, maxRank))*rankDelay
	reading := rank == 0 || (unheard || unproven) && now.Sub(h.startedAt) > wait
	if reading != h.reading {
		h.reading = reading
		h.Log.Info().Bool("reading", reading).Int("rank", rank).Str("heard-from", h.lastReader).Msg("feed: role changed")
	}
	return reading
}

// hasJoined reports whether this instance knows its rank.
func (h *Hub) hasJoined() bool {
	return h.Joined == nil || h.Joined()
}

// readerOrder returns the designated readers by rank. Those with a wide link come first:
// a reader receives each write of each target, which exceeds a narrow link in a large
// fleet.
func readerOrder(peers []Peer) []Peer {
	widest := 0.0
	for _, p := range peers {
		widest = max(widest, p.LinkMbit)
	}
	top := func(wide bool, n int) []Peer {
		return route.TopBy("reader", peers, func(p *Peer) string {
			return p.Name
		}, n, func(p *Peer) bool {
			return wide == (p.LinkMbit >= wideLinkShare*widest)
		})
	}
	order := top(true, maxRank)
	return append(order, top(false, maxRank-len(order))...)
}

// rank returns this instance's position in the order of store readers, or maxRank if
// it is not a designated reader.
func (h *Hub) rank() int {
	if !h.hasJoined() {
		return maxRank
	}
	peers := h.Peers()
	order := readerOrder(peers)
	for i, p := range order {
		if p.Name == h.Self {
			return i
		}
	}
	if len(peers) == 0 {
		return 0
	}
	return maxRank
}

// enqueue queues an update for the other instances. If the queue is full the update is
// dropped; receivers detect the gap by the Before revision of the next one.
func (h *Hub) enqueue(p PrefixUpdate) {
	if !h.isDesignatedReader() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.queue == nil {
		return
	}
	select {
	case h.queue <- p:
	default:
		h.Log.Warn().Msgf("feed: send queue is full; dropping an update of %s", p.Prefix)
	}
}

// runBroadcast sends queued updates in batches, and a ping at each pingInterval while
// this instance is a store reader in sync.
func (h *Hub) runBroadcast(ctx context.Context) {
	t := time.NewTicker(pingInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		// Receivers notice a message that is given up by the positions of the next one.
		errs.Contain(&h.Log, "Hub.runBroadcast", func() {
			h.broadcastNext(ctx, t.C)
		})
	}
}

// broadcastNext waits for updates or the next tick, and sends what is due.
func (h *Hub) broadcastNext(ctx context.Context, ticks <-chan time.Time) {
	select {
	case p := <-h.queue:
		m := Message{
			From:  h.Self,
			Parts: []PrefixUpdate{p},
		}
		for more := true; more; {
			select {
			case p := <-h.queue:
				m.Parts = append(m.Parts, p)
			default:
				more = false
			}
		}
		h.broadcast(ctx, m)
	case now := <-ticks:
		if h.isDesignatedReader() && h.inSync(now) {
			h.broadcast(ctx, h.pingMessage(now))
		}
	case <-ctx.Done():
	}
}

// isDesignatedReader reports whether this instance broadcasts what it reads.
func (h *Hub) isDesignatedReader() bool {
	return h.rank() < maxRank
}

// inSync reports whether this instance is a store reader and has received all changes until at most maxProofAge
// ago.
func (h *Hub) inSync(now time.Time) bool {
	return h.mayRead(now, 1) && !h.behindEra() && now.Sub(h.provenAt()) < maxProofAge
}

// pingMessage returns a message with the positions of all listed prefixes.
func (h *Hub) pingMessage(now time.Time) Message {
	m := Message{
		From:  h.Self,
		Proof: true,
		Age:   now.Sub(h.provenAt()),
	}
	for _, f := range h.Followers {
		if p, ok := f.position(); ok {
			m.Parts = append(m.Parts, p)
		}
	}
	return m
}

// Receive applies a message of a store reader.
func (h *Hub) Receive(now time.Time, m Message) {
	currentEra := h.isCurrentEra(m.Parts)
	if currentEra {
		h.mu.Lock()
		h.lastPushAt = now
		h.mu.Unlock()
		h.recordEvidence(now, now, m.From, m.Calm)
	}
	if h.Announced != nil && m.Announced > 0 {
		h.Announced(m.Announced, []string{m.sender(), m.From})
	}
	// The sender has only passed the message on and may lack earlier ones itself.
	if h.receiveUpdates(now, m.Parts, m.sender(), m.From) && currentEra && m.Proof {
		h.recordProof(now.Add(-m.Age))
	}
	h.goContained("Hub.passOn", func() {
		h.passOn(m)
	})
}

// recordEvidence records that another instance was up to date with the store at a time, and for
// how long it had been without interruption.
func (h *Hub) recordEvidence(now, at time.Time, from string, calm time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.lastMessageAt) >= readerTimeout {
		h.Health.ResetBackoff()
	}
	if at.After(h.lastMessageAt) {
		h.lastMessageAt = at
		h.lastReader = from
	}
	if syncedSince := at.Add(-calm); syncedSince.Before(h.lastOutage) {
		// Only this instance was cut off, from the store or from all other instances.
		h.lastOutage = syncedSince
	}
}

// recordProof records that another instance has shown this one all changes until a time.
func (h *Hub) recordProof(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at.After(h.toldAt) {
		h.toldAt = at
	}
}

// receiveUpdates applies updates from another instance. It reports whether each prefix is known up to what they
// say of it.
func (h *Hub) receiveUpdates(now time.Time, updates []PrefixUpdate, sources ...string) bool {
	known := make(map[string]bool, len(h.Followers))
	for _, p := range updates {
		p, err := p.unpacked()
		if err != nil {
			// The position of the next ping shows the gap.
			h.Log.Warn().Err(err).Strs("instances", sources).Msg("feed: invalid update; ignoring it")
			continue
		}
		for _, f := range h.Followers {
			if f.Prefix == p.Prefix && f.receive(now, p, sources...) {
				known[p.Prefix] = true
			}
		}
	}
	return len(known) == len(h.Followers)
}

// readerTimeout is the maximum time since the last message of a store reader.
const readerTimeout = 1200 * time.Millisecond
