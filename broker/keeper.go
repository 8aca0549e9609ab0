// Package broker gives an instance its share of the contracts: a Keeper holds its
// part of the whole by the table in the store, and a Broker borrows from other
// instances and sees to the loans. What may be held and lent is decided by the
// packages allot and quota.
//
// # Usage
//
//	k := &broker.Keeper{Self: part, KV: kv, Ledger: ledger, Members: members.View}
//	go k.Run(ctx)
//	b := &broker.Broker{Self: holder, Ledger: ledger, Peers: pool, Lenders: k}
//	go b.Run(ctx)
//	b.Gather(ctx, org, limits, short.Want)
//	// at a shutdown:
//	k.Leave(ctx)
package broker

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"currantstile/allot"
	"currantstile/clock"
	"currantstile/member"
	"currantstile/model"
	"currantstile/quota"
	"currantstile/route"
	"currantstile/store"
)

const (
	// tableKey is where the table lies in the store.
	tableKey = "quota/table"
	// stepInterval is how often the part is looked at.
	stepInterval = 500 * time.Millisecond
	// readInterval is how often the table is read while all is quiet, and
	// busyInterval while parts move.
	readInterval = 5 * time.Second
	busyInterval = 500 * time.Millisecond
	// busyTime is how long after a change of the list parts may move.
	busyTime = 10 * time.Second
	// listSilence is how long the list may go unread before the table is read as
	// often, so that one of the two always keeps the part in use.
	listSilence = 2 * time.Second
	// probeTimeout bounds the wait for a host's word.
	probeTimeout = 100 * time.Millisecond
	// homeSize is how many instances hold parts at most; all others borrow.
	homeSize = 16
	// maxRounds bounds the writes of one step.
	maxRounds = 16
)

// Keeper holds an instance's part of every contract. Its exported fields are set
// before Run.
type Keeper struct {
	Self    allot.Part
	KV      store.KV
	Ledger  *quota.Ledger
	Members func() *member.View
	// Version asks another instance which version of the table it has seen last.
	Version func(ctx context.Context, addr netip.AddrPort) (uint64, error)
	Log     log.Logger

	// seen is the table as last read, for whoever must not wait for a step.
	seen     atomic.Pointer[allot.Table]
	mu       sync.Mutex
	right    *allot.Right
	revision store.Revision
	pending  *pendingWrite
	nextRead time.Time
	lastRead time.Time
	busy     time.Time
	listed   map[netip.AddrPort]model.InstanceID
	leaving  bool
}

// pendingWrite is a write whose fate is not known.
type pendingWrite struct {
	expect store.Revision
	value  []byte
}

// Run keeps the part until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		k.step(ctx)
		clock.Sleep(ctx, stepInterval)
	}
}

// Leave gives the part up, so that the others have it at once and not only after
// this instance is found gone. It reports false where ctx ended first.
func (k *Keeper) Leave(ctx context.Context) bool {
	k.mu.Lock()
	k.leaving = true
	k.mu.Unlock()
	for {
		k.step(ctx)
		k.mu.Lock()
		t, ok := k.table()
		_, holds := t.Find(k.Self.Holder)
		k.mu.Unlock()
		if ok && (!holds || len(t.Parts) == 1) {
			return true
		}
		if !clock.Sleep(ctx, stepInterval/10) {
			return false
		}
	}
}

// Table returns the table as last read. It never waits for the store.
func (k *Keeper) Table() (allot.Table, bool) {
	t := k.seen.Load()
	if t == nil {
		return allot.Table{}, false
	}
	return *t, true
}

// Holders implements Lenders.
func (k *Keeper) Holders() map[quota.Peer]netip.AddrPort {
	t, _ := k.Table()
	list := make(map[quota.Peer]netip.AddrPort, len(t.Parts))
	for _, p := range t.Parts {
		if p.Holder != k.Self.Holder {
			list[quota.Peer(p.Holder)] = p.Addr
		}
	}
	return list
}

// Seen is the last version of the table that was seen, or zero.
func (k *Keeper) Seen() uint64 {
	t, _ := k.Table()
	return t.Version
}

func (k *Keeper) table() (allot.Table, bool) {
	if k.right == nil {
		return allot.Table{}, false
	}
	return k.right.Table()
}

// Usable is how much of the whole this instance may use now.
func (k *Keeper) Usable(now time.Time) int64 {
	return k.Ledger.Base(now)
}

// CanAdmit reports whether requests can be admitted: this instance may use a part,
// or there are so many holders that it is not to have one and only borrows. A
// holder whose part has not come yet would refuse the first requests.
func (k *Keeper) CanAdmit(now time.Time) bool {
	if k.Usable(now) > 0 {
		return true
	}
	t, _ := k.Table()
	_, joined := t.Find(k.Self.Holder)
	return !joined && len(t.Parts) >= homeSize
}

// step looks at the list and, when it is time, at the table, and writes what has
// to be written.
func (k *Keeper) step(ctx context.Context) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.right == nil {
		k.right = &allot.Right{
			Self:  k.Self,
			Whole: quota.Whole,
		}
	}
	members := k.look(time.Now())
	k.setBase()
	now := time.Now()
	if now.Sub(members.Read) > listSilence {
		k.nextRead = earlier(k.nextRead, k.lastRead.Add(listSilence))
	}
	if now.Before(k.nextRead) && k.pending == nil && !k.leaving {
		return
	}
	for range maxRounds {
		if !k.read(ctx) {
			return
		}
		k.setBase()
		if !k.write(ctx, members) {
			return
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// look takes in the list of members.
func (k *Keeper) look(now time.Time) allot.Members {
	v := k.Members()
	m := allot.Members{
		Read:    v.Asked,
		Listed:  make(map[netip.AddrPort]model.InstanceID, len(v.Entries)),
		Home:    make(map[model.InstanceID]bool, homeSize),
		Leaving: k.leaving,
	}
	for _, e := range v.Entries {
		m.Listed[e.Addr] = model.InstanceID(e.ID)
	}
	home := route.Top(tableKey, v.Entries, homeSize, func(*model.Member) bool {
		return true
	})
	for _, e := range home {
		m.Home[model.InstanceID(e.ID)] = true
	}
	m.Refused = k.probe(m)
	if m.Listed[k.Self.Addr] == k.Self.Instance {
		k.right.Sighted(v.Asked)
	}
	if !sameList(m.Listed, k.listed) {
		k.listed = m.Listed
		k.busy = now.Add(busyTime)
		k.nextRead = now
	}
	return m
}

// probe asks the hosts of the holders that are not listed whether anybody listens
// at their addresses.
func (k *Keeper) probe(m allot.Members) map[netip.AddrPort]bool {
	t, _ := k.table()
	refused := make(map[netip.AddrPort]bool)
	for _, p := range t.Parts {
		if _, listed := m.Listed[p.Addr]; listed || len(m.Listed) == 0 {
			continue
		}
		c, err := net.DialTimeout("tcp", p.Addr.String(), probeTimeout)
		if err == nil {
			// Whoever listens there is not told anything.
			_ = c.Close()
		}
		refused[p.Addr] = errors.Is(err, syscall.ECONNREFUSED)
	}
	return refused
}

func sameList(a, b map[netip.AddrPort]model.InstanceID) bool {
	if len(a) != len(b) {
		return false
	}
	for addr, id := range a {
		if b[addr] != id {
			return false
		}
	}
	return true
}

func (k *Keeper) setBase() {
	now := time.Now()
	k.Ledger.SetBase(now, k.right.Usable(now), k.right.FencedAt())
}

// read reads the table. It reports false where nothing may be planned on what it
// read.
func (k *Keeper) read(ctx context.Context) bool {
	asked := time.Now()
	k.lastRead = asked
	e, err := k.KV.Get(ctx, tableKey)
	now := time.Now()
	k.nextRead = now.Add(readInterval)
	if now.Before(k.busy) {
		k.nextRead = now.Add(busyInterval)
	}
	absent := errors.Is(err, store.ErrNotFound)
	if err != nil && !absent {
		return false
	}
	if !k.resend(ctx, e.Revision) {
		return false
	}
	k.revision = e.Revision
	var t allot.Table
	if err := json.Unmarshal(e.Value, &t); err != nil && !absent {
		k.Log.Error().Err(err).Msg("share: table cannot be read")
		return false
	}
	if last, known := k.table(); known && t.Version < last.Version {
		return k.restore(ctx, last)
	}
	if absent {
		return k.mayCreate(ctx)
	}
	if err := t.Validate(); err != nil {
		k.Log.Error().Err(err).Msg("share: table is faulty")
		return false
	}
	k.right.Observe(now, asked, t)
	k.seen.Store(&t)
	k.followParts(now, t)
	return true
}

// restore writes the last table over an older state that the store has come back
// with, so that nobody acts on parts that have moved since.
func (k *Keeper) restore(ctx context.Context, last allot.Table) bool {
	k.Log.Warn().Msgf("share: store came back without version %d of the table; writing it again", last.Version)
	value, err := json.Marshal(last.Again())
	if err != nil {
		return false
	}
	k.pending = &pendingWrite{
		expect: k.revision,
		value:  value,
	}
	return k.put(ctx)
}

// mayCreate reports whether a table that does not exist may be created: no other
// instance has seen one, so that the store has not lost it. An instance that does
// not answer may have.
func (k *Keeper) mayCreate(ctx context.Context) bool {
	for addr, id := range k.listed {
		if addr == k.Self.Addr {
			continue
		}
		version, err := k.Version(ctx, addr)
		if err != nil || version > 0 {
			k.Log.Info().Msgf("share: not creating a table: %s has one or did not answer", id)
			return false
		}
	}
	return true
}

// followParts reads often while parts are uneven or marked.
func (k *Keeper) followParts(now time.Time, t allot.Table) {
	for _, p := range t.Parts {
		if p.Intent != "" || p.Weight == 0 {
			k.busy = now.Add(busyTime)
			k.nextRead = now.Add(busyInterval)
		}
	}
}

// resend deals with a write whose fate is unknown. While the table is still the
// one that the write replaces, it may yet take effect, so that it is sent again;
// once the table is another one, it cannot.
func (k *Keeper) resend(ctx context.Context, revision store.Revision) bool {
	if k.pending == nil {
		return true
	}
	if k.pending.expect == revision {
		k.put(ctx)
		return false
	}
	k.pending = nil
	return true
}

// write plans and writes the next change. It reports whether the table should be
// read again.
func (k *Keeper) write(ctx context.Context, members allot.Members) bool {
	members.Lent = k.Ledger.MaxLent(time.Now())
	next, ok := k.right.Plan(time.Now(), members, k.revision > 0)
	if !ok {
		return false
	}
	// What is given away is given up here before it is written. A loan that was
	// made since the plan may keep it here after all; whoever leaves gives it up
	// even so, because what a leaver had is used by others only after its loans.
	k.setBase()
	if lent := k.Ledger.MaxLent(time.Now()); !k.leaving && lent > members.Lent && lent > k.right.Usable(time.Now()) {
		k.right.Cancel()
		return false
	}
	value, err := json.Marshal(next)
	if err != nil {
		k.right.Cancel()
		return false
	}
	k.pending = &pendingWrite{
		expect: k.revision,
		value:  value,
	}
	return k.put(ctx)
}

// put sends the pending write. It reports whether its fate is known.
func (k *Keeper) put(ctx context.Context) bool {
	w := k.pending
	_, err := store.PutOwned(ctx, k.KV, store.Write{
		Key:    tableKey,
		Value:  w.value,
		Expect: w.expect,
	}, func(e store.Entry) bool {
		return bytes.Equal(e.Value, w.value)
	})
	switch {
	case err == nil, store.IsConflict(err):
		// Another table is in force now, which the next read brings.
		k.pending = nil
		return true
	case store.Refused(err):
		k.pending = nil
		k.right.Cancel()
		return false
	default:
		k.Log.Warn().Err(err).Msg("share: fate of a write to the table is unknown; sending it again")
		return false
	}
}
