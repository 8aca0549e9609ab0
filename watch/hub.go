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
	// pingTime is how often a reader shows that it is there.
	pingTime = 250 * time.Millisecond
	// silentTime is how long nothing has to be heard of a reader until the next
	// instance reads, and rankTime is added for each one before it. Together
	// with freshTime they stay below the two seconds in which a change has to be
	// in force.
	silentTime = 600 * time.Millisecond
	rankTime   = 100 * time.Millisecond
	// maxRank instances may read for the others. All further ones read for
	// themselves while they hear of no reader, and tell nobody: many that told
	// all others would keep the whole fleet busy.
	maxRank = 8
	// freshTime is how recently a reader must have reached the store.
	freshTime = 700 * time.Millisecond
	// answerTime is how long the store may give no answer without being away: each
	// instance renews its lease more often, and entries lapse after longer.
	answerTime = 1800 * time.Millisecond
	// roleTime is how often an instance that listens looks whether to read.
	roleTime = 100 * time.Millisecond
	// sendTimeout bounds one message to another instance.
	sendTimeout = 400 * time.Millisecond
)

// Part is what is told of one prefix.
type Part struct {
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
	Parts []Part
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
	// begun is when Run began, and heard when a reader was heard last.
	begun time.Time
	heard time.Time
	// outage is when it was last not known what the store holds.
	outage time.Time
	// from is who read last, for the log.
	from    string
	reading bool
	queue   chan Part
}

// Run follows all prefixes until ctx ends.
func (h *Hub) Run(ctx context.Context) {
	h.mu.Lock()
	h.begun = time.Now()
	h.queue = make(chan Part, 256)
	h.mu.Unlock()
	var wg sync.WaitGroup
	for _, f := range h.Followers {
		f.hub = h
		wg.Go(func() {
			h.follow(ctx, f)
		})
	}
	wg.Go(func() {
		h.tell(ctx)
	})
	wg.Go(func() {
		h.watchOutages(ctx)
	})
	wg.Wait()
}

// watchOutages notes when it is not known what the store holds.
func (h *Hub) watchOutages(ctx context.Context) {
	for clock.Sleep(ctx, roleTime) {
		h.Health.SetPatient(!h.tells())
		h.noteOutage(time.Now())
	}
}

// noteOutage notes an outage if no reader is heard and the store does not answer
// this instance. A pause between answers, in which nothing was asked or nothing has
// changed, is none.
func (h *Hub) noteOutage(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.heard) < currentTime || !h.Health.Away() && now.Sub(h.Health.LastReached()) < answerTime {
		return
	}
	h.outage = now
}

// LastOutage is when it was last not known what the store holds, as far as the
// instances together can tell.
func (h *Hub) LastOutage() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.outage
}

// follow reads one prefix while this instance is to read.
func (h *Hub) follow(ctx context.Context, f *Follower) {
	for ctx.Err() == nil {
		now := time.Now()
		if !h.mayRead(now, f.Readers) && !f.needsStore() || !h.Health.MayAsk(now) {
			clock.Sleep(ctx, roleTime)
			continue
		}
		clock.Sleep(ctx, f.step(ctx))
	}
}

// mayRead reports whether this instance is one of so many readers now, or one at
// least.
func (h *Hub) mayRead(now time.Time, readers int) bool {
	rank := h.rank()
	h.mu.Lock()
	defer h.mu.Unlock()
	wait := silentTime + time.Duration(min(rank, maxRank))*rankTime
	if rank > 0 && rank < readers {
		return true
	}
	// An instance that has just started has listed all, and may soon hear of a
	// reader.
	reading := rank == 0 || now.Sub(h.heard) > wait && now.Sub(h.begun) > wait
	if reading != h.reading {
		h.reading = reading
		h.Log.Info().Bool("reading", reading).Int("rank", rank).Str("heard-from", h.from).Msg("feed: role changed")
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

// push queues what was read for the other instances. A part that finds the queue
// full is missed by them, which the next one shows.
func (h *Hub) push(p Part) {
	if !h.tells() {
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

// tell sends what was read, and shows now and then that this instance reads.
func (h *Hub) tell(ctx context.Context) {
	t := time.NewTicker(pingTime)
	defer t.Stop()
	for {
		select {
		case p := <-h.queue:
			m := Message{
				From:  h.Self,
				Parts: []Part{p},
			}
			for more := true; more; {
				select {
				case p := <-h.queue:
					m.Parts = append(m.Parts, p)
				default:
					more = false
				}
			}
			h.send(ctx, m)
		case now := <-t.C:
			if h.tells() && h.fresh(now) {
				h.send(ctx, h.ping())
			}
		case <-ctx.Done():
			return
		}
	}
}

// tells reports whether this instance is one of those that read for the others.
func (h *Hub) tells() bool {
	return h.rank() < maxRank
}

// fresh reports whether this instance reads and has reached the store lately.
func (h *Hub) fresh(now time.Time) bool {
	return h.mayRead(now, 1) && !h.Health.Away() && now.Sub(h.Health.LastReached()) < freshTime
}

func (h *Hub) ping() Message {
	m := Message{
		From: h.Self,
	}
	for _, f := range h.Followers {
		if p := f.mark(); f.Listed() {
			m.Parts = append(m.Parts, p)
		}
	}
	return m
}

func (h *Hub) send(ctx context.Context, m Message) {
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
	if now.Sub(h.heard) >= currentTime {
		h.Health.Returned()
	}
	h.heard = now
	h.from = m.From
	if calm := now.Add(-m.Calm); calm.Before(h.outage) {
		// It was only this instance that the store, or everybody, did not reach.
		h.outage = calm
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

// currentTime is how recently a reader must have been heard.
const currentTime = 1200 * time.Millisecond

// Current reports whether the feed is up to date: a reader was heard lately, or
// this instance reads and reaches the store.
func (h *Hub) Current(now time.Time) bool {
	h.mu.Lock()
	heard := h.heard
	h.mu.Unlock()
	return now.Sub(heard) < currentTime || h.fresh(now)
}
