package drill

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"currantstile/judge"
	"currantstile/memnet"
	"currantstile/platform/fake"
)

const (
	// adapterLoadTime is how long a target takes to load an adapter.
	adapterLoadTime = 250 * time.Millisecond
	// hostLoadTime is how long it takes for one that it has held before, as the users' pages say.
	hostLoadTime = adapterLoadTime / 10
	// plainSlots and engineSlots are how many requests a target runs at once; as many wait.
	plainSlots  = 6
	engineSlots = 64
	// Work of a run: a plain one, the first event of a stream, and each further event.
	plainWork  = 20 * time.Millisecond
	promptWork = 60 * time.Millisecond
	eventWork  = 25 * time.Millisecond
	// streamEvents is the number of events of a whole stream.
	streamEvents = 6
	// endlessByte is what a target without an end writes, and endlessPiece how many at once.
	endlessByte  = "x"
	endlessPiece = 4 << 10
	// maxEndlessBody is more than the body of any answer.
	maxEndlessBody = 1 << 12
	// unregisterDelay is when the entry of a target that ended is gone: three heartbeats later.
	unregisterDelay = 2500 * time.Millisecond
	// coldTime is for how long a target is cold after its start.
	coldTime = 3 * time.Second
)

// place is a machine for a target: an address, at which one process follows the other.
type place struct {
	service string
	zone    string
	addr    netip.AddrPort
	number  int

	mu sync.Mutex
	// run is the process that is there; nil if none is. runs counts them.
	run  *process
	runs int
	// darkUntil is when the place was last cut off from the instances.
	darkUntil time.Time
}

// heldUp reports whether a request may have arrived late since the place was cut off.
func (pl *place) heldUp(now time.Time) bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return now.Sub(pl.darkUntil) < stableWindow
}

// process is one run of a target.
type process struct {
	p      *player
	place  *place
	id     string
	name   string
	born   time.Time
	worker *fake.Worker
	host   *memnet.Host
	slots  chan struct{}
	queue  chan struct{}
	ctx    context.Context
	end    context.CancelFunc

	mu        sync.Mutex
	leaving   bool
	pushUntil time.Time
	coldUntil time.Time
	slowBy    time.Duration
	grey      bool
	ended     bool
	// limit is the rate limit that the answers name; empty for none.
	limit string
}

// startTarget starts a process at a place. An empty id draws a new one.
func (p *player) startTarget(ctx context.Context, pl *place, id string, cold bool) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.runs++
	if id == "" {
		id = fmt.Sprintf("%s-%d-%d", pl.service, pl.number, pl.runs)
	}
	now := time.Now()
	x := &process{
		p:      p,
		place:  pl,
		id:     id,
		name:   fmt.Sprintf("%s/%d", id, pl.runs),
		born:   now,
		worker: fake.NewDetachedWorker(id, now),
		host:   p.net.Host(pl.addr.Addr()),
	}
	x.worker.Zone, x.worker.LoadTime, x.worker.HostLoadTime = pl.zone, adapterLoadTime, hostLoadTime
	x.recordOrders()
	slots := plainSlots
	if pl.service == modelService {
		slots = engineSlots
	}
	x.slots, x.queue = make(chan struct{}, slots), make(chan struct{}, 2*slots)
	if cold {
		x.worker.Cold, x.coldUntil = coldTime, now.Add(coldTime)
	}
	x.ctx, x.end = context.WithCancel(ctx)
	ln, err := x.host.Listen(pl.addr)
	if err != nil {
		// The process before it still holds the port.
		return
	}
	pl.run = x
	p.record(judge.TargetStarted{
		Time:    p.now(),
		Target:  x.name,
		Service: pl.service,
		Zone:    pl.zone,
	})
	go x.accept(ln)
	x.register("ready")
}

// recordOrders records the orders that the target accepts. They are told one after the other, so that the
// events are in the order of the target.
func (x *process) recordOrders() {
	x.worker.OnOrder = func(holder string, token uint64) {
		x.p.record(judge.Ordered{
			Time:     x.p.now(),
			Target:   x.name,
			Instance: holder,
			Fence:    token,
			Accepted: true,
		})
	}
}

// register writes the target's entry into the store.
func (x *process) register(state string) {
	x.p.store.Write(fake.WorkerPrefix+x.id, x.worker.Entry(x.place.service, state, x.place.addr.String()))
}

// stop ends the process. by is the request that ended it. The port is open for portAfter longer.
func (x *process) stop(by string, portAfter time.Duration) {
	x.mu.Lock()
	ended := x.ended
	x.ended = true
	x.mu.Unlock()
	if ended {
		return
	}
	x.p.record(judge.TargetEnded{
		Time:     x.p.now(),
		Target:   x.name,
		By:       by,
		PortOpen: portAfter,
	})
	x.end()
	x.host.CloseConns()
	if portAfter <= 0 {
		x.host.Kill()
		return
	}
	time.AfterFunc(portAfter, x.host.Kill)
}

// restart ends the process and starts the next one under its ID in the same moment.
func (x *process) restart() {
	x.p.record(judge.TargetEnded{
		Time:     x.p.now(),
		Target:   x.name,
		PortOpen: coldTime,
	})
	x.set(func() { x.ended = true })
	x.end()
	x.host.Kill()
	x.p.startTarget(x.p.ctx, x.place, x.id, false)
}

func (x *process) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		if x.ctx.Err() != nil {
			// The port is still open, but nothing answers on it.
			continue
		}
		go x.serve(c)
	}
}

func (x *process) workOf(a fake.Arrival) time.Duration {
	if a.Model != "" {
		return promptWork
	}
	return plainWork
}

// soundReply returns the reply of a target that does as it should.
func (x *process) soundReply(a fake.Arrival, leaving bool) fake.Reply {
	r := fake.Reply{
		Status:      http.StatusOK,
		ID:          a.ID,
		Signature:   "sig-" + x.name,
		Leaving:     leaving,
		Limit:       x.currentLimit(),
		ContentType: "text/plain",
		Framing:     fake.Length,
		Body:        fmt.Sprintf("answer of %s to %s\n", x.name, a.ID),
	}
	if a.Model != "" {
		r.ContentType, r.Framing, r.Body = "text/event-stream", fake.Chunks, ""
		for i := a.LastEvent; i < streamEvents; i++ {
			r.Body += event(a.ID, i+1)
		}
	}
	return r
}

// event returns an event of the stream that answers a request.
func event(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", number, id, number)
}
