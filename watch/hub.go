package watch

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/phuslu/log"

	"currantstile/clock"
	"currantstile/route"
	"currantstile/store"
)

const (
	// pingInterval is how often a reader shows that it is there.
	pingInterval = 250 * time.Millisecond
	// takeoverDelay is how long nothing has to be heard of a reader until the next
	// instance reads, and rankTime is added for each one before it. Together
	// with freshTime they stay below the two seconds in which a change has to be
	// in force.
	takeoverDelay = 600 * time.Millisecond
	rankDelay     = 100 * time.Millisecond
	// maxRank instances may read for the others. All further ones read for
	// themselves while they hear of no reader, and tell nobody: many that told
	// all others would keep the whole fleet busy.
	maxRank = 8
	// maxReadAge is how recently a reader must have reached the store.
	maxReadAge = 700 * time.Millisecond
	// storeTimeout is how long the store may give no answer without being away: each
	// instance renews its lease more often, and entries lapse after longer.
	storeTimeout = 1800 * time.Millisecond
	// roleCheckInterval is how often an instance that listens looks whether to read.
	roleCheckInterval = 100 * time.Millisecond
	// sendTimeout bounds one message to another instance.
	sendTimeout = 400 * time.Millisecond
)

// PrefixUpdate is what is told of one prefix.
type PrefixUpdate struct {
	Prefix string
	// Before is the revision of the change that was told before; whoever has not
	// seen that one has missed something.
	Before store.Revision
	// UpTo is the revision up to which the prefix is known with this part.
	UpTo    store.Revision
	Entries store.Entries
}

// Message is what a reader tells the other instances.
type Message struct {
	From string
	// Calm is for how long the reader has known without a gap what the store
	// holds.
	Calm  time.Duration
	Parts []PrefixUpdate
}

// Peer is another instance.
type Peer struct {
	Name string
	Addr netip.AddrPort
}

// Hub decides who reads the store, and carries changes between instances. Its
// exported fields are set before Run.
type Hub struct {
	Self      string
	Followers []*Follower
	// Peers lists all instances, this one included if it is known.
	Peers func() []Peer
	// Send brings a message to another instance.
	Send   func(ctx context.Context, to Peer, m Message) error
	Health *Health
	Log    log.Logger

	mu sync.Mutex
	// started is when Run began, and heard when a reader was heard last.
	started   time.Time
	lastHeard time.Time
	// lastOutage is when it was last not known what the store holds.
	lastOutage time.Time
	// lastReader is who read last, for the log.
	lastReader string
	reading    bool
	queue      chan PrefixUpdate
}

// Run follows all prefixes until ctx ends.
func (h *Hub) Run(ctx context.Context) {
	h.mu.Lock()
	h.started = time.Now()
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
	wg.Wait()
}

// monitorOutages notes when it is not known what the store holds.
func (h *Hub) monitorOutages(ctx context.Context) {
	for clock.Sleep(ctx, roleCheckInterval) {
		h.Health.SetListener(!h.isDesignatedReader())
		h.recordOutage(time.Now())
	}
}

// recordOutage notes an outage if no reader is heard and the store does not answer
// this instance. A pause between answers, in which nothing was asked or nothing has
// changed, is none.
func (h *Hub) recordOutage(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.lastHeard) < readerTimeout || !h.Health.Unavailable() && now.Sub(h.Health.LastSuccess()) < storeTimeout {
		return
	}
	h.lastOutage = now
}

// LastOutage is when it was last not known what the store holds, as far as the
// instances together can tell.
func (h *Hub) LastOutage() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastOutage
}

// follow reads one prefix while this instance is to read.
func (h *Hub) follow(ctx context.Context, f *Follower) {
	for ctx.Err() == nil {
		now := time.Now()
		if !h.mayRead(now, f.Readers) && !f.needsStore() || !h.Health.AllowCall(now) {
			clock.Sleep(ctx, roleCheckInterval)
			continue
		}
		clock.Sleep(ctx, f.poll(ctx))
	}
}

// mayRead reports whether this instance is one of so many readers now, or one at
// least.
func (h *Hub) mayRead(now time.Time, readers int) bool {
	rank := h.rank()
	h.mu.Lock()
	defer h.mu.Unlock()
	wait := takeoverDelay + time.Duration(min(rank, maxRank))*rankDelay
	if rank > 0 && rank < readers {
		return true
	}
	// An instance that has just started has listed all, and may soon hear of a
	// reader.
	reading := rank == 0 || now.Sub(h.lastHeard) > wait && now.Sub(h.started) > wait
	if reading != h.reading {
		h.reading = reading
		h.Log.Info().Bool("reading", reading).Int("rank", rank).Str("heard-from", h.lastReader).Msg("feed: role changed")
	}
	return reading
}

// rank is this instance's place in the order of readers.
func (h *Hub) rank() int {
	peers := h.Peers()
	order := route.TopBy("reader", peers, func(p *Peer) string {
		return p.Name
	}, maxRank, func(*Peer) bool {
		return true
	})
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

// enqueue queues what was read for the other instances. A part that finds the queue
// full is missed by them, which the next one shows.
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
		h.Log.Warn().Msgf("feed: too much is queued; a change of %s is not passed on", p.Prefix)
	}
}

// runBroadcast sends what was read, and shows now and then that this instance reads.
func (h *Hub) runBroadcast(ctx context.Context) {
	t := time.NewTicker(pingInterval)
	defer t.Stop()
	for {
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
		case now := <-t.C:
			if h.isDesignatedReader() && h.inSync(now) {
				h.broadcast(ctx, h.pingMessage())
			}
		case <-ctx.Done():
			return
		}
	}
}

// isDesignatedReader reports whether this instance is one of those that read for the others.
func (h *Hub) isDesignatedReader() bool {
	return h.rank() < maxRank
}

// inSync reports whether this instance reads and has reached the store lately.
func (h *Hub) inSync(now time.Time) bool {
	return h.mayRead(now, 1) && !h.Health.Unavailable() && now.Sub(h.Health.LastSuccess()) < maxReadAge
}

func (h *Hub) pingMessage() Message {
	m := Message{
		From: h.Self,
	}
	for _, f := range h.Followers {
		if p := f.position(); f.Listed() {
			m.Parts = append(m.Parts, p)
		}
	}
	return m
}

func (h *Hub) broadcast(ctx context.Context, m Message) {
	m.Calm = time.Since(h.LastOutage())
	for _, p := range h.Peers() {
		if p.Name == h.Self {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, sendTimeout)
			defer cancel()
			if err := h.Send(ctx, p, m); err != nil {
				h.Log.Debug().Err(err).Str("instance", p.Name).Msg("feed: change not passed on")
			}
		}()
	}
}

// Receive takes in a reader's message.
func (h *Hub) Receive(now time.Time, m Message) {
	h.mu.Lock()
	if now.Sub(h.lastHeard) >= readerTimeout {
		h.Health.ResetBackoff()
	}
	h.lastHeard = now
	h.lastReader = m.From
	if calm := now.Add(-m.Calm); calm.Before(h.lastOutage) {
		// It was only this instance that the store, or everybody, did not reach.
		h.lastOutage = calm
	}
	h.mu.Unlock()
	for _, p := range m.Parts {
		for _, f := range h.Followers {
			if f.Prefix == p.Prefix {
				f.receive(p)
			}
		}
	}
}

// readerTimeout is how recently a reader must have been heard.
const readerTimeout = 1200 * time.Millisecond

// Current reports whether the feed is up to date: a reader was heard lately, or
// this instance reads and reaches the store.
func (h *Hub) Current(now time.Time) bool {
	h.mu.Lock()
	heard := h.lastHeard
	h.mu.Unlock()
	return now.Sub(heard) < readerTimeout || h.inSync(now)
}
