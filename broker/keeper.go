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
	// idleReadInterval is how often the table is read while all is quiet, and
	// busyInterval while parts move.
	idleReadInterval      = 5 * time.Second
	rebalanceReadInterval = 500 * time.Millisecond
	// rebalanceTime is how long after a change of the list parts may move.
	rebalanceTime = 10 * time.Second
	// maxMembersAge is how long the list may go unread before the table is read as
	// often, so that one of the two always keeps the part in use.
	maxMembersAge = 2 * time.Second
	// probeTimeout bounds the wait for a host's word.
	probeTimeout = 100 * time.Millisecond
	// maxTableHolders is how many instances hold parts at most; all others borrow.
	maxTableHolders = 16
	// maxStepWrites bounds the writes of one step.
	maxStepWrites = 16
)

// TableAllocator holds an instance's part of every contract. Its exported fields are set
// before Run.
type TableAllocator struct {
	Self    allot.Part
	KV      store.KV
	Ledger  *quota.Ledger
	Members func() *member.View
	// TableVersion asks another instance which version of the table it has seen last.
	TableVersion func(ctx context.Context, addr netip.AddrPort) (uint64, error)
	Log          log.Logger

	// lastTable is the table as last read, for whoever must not wait for a step.
	lastTable      atomic.Pointer[allot.Table]
	mu             sync.Mutex
	right          *allot.Right
	revision       store.Revision
	pending        *pendingWrite
	nextRead       time.Time
	lastRead       time.Time
	rebalanceUntil time.Time
	lastListed     map[netip.AddrPort]model.InstanceID
	leaving        bool
}

// pendingWrite is a write whose fate is not known.
type pendingWrite struct {
	expect store.Revision
	value  []byte
}

// Run keeps the part until ctx ends.
func (k *TableAllocator) Run(ctx context.Context) {
	for ctx.Err() == nil {
		k.step(ctx)
		clock.Sleep(ctx, stepInterval)
	}
}

// Leave gives the part up, so that the others have it at once and not only after
// this instance is found gone. It reports false where ctx ended first.
func (k *TableAllocator) Leave(ctx context.Context) bool {
	k.mu.Lock()
	k.leaving = true
	k.mu.Unlock()
	for {
		k.step(ctx)
		k.mu.Lock()
		t, ok := k.knownTable()
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
func (k *TableAllocator) Table() (allot.Table, bool) {
	t := k.lastTable.Load()
	if t == nil {
		return allot.Table{}, false
	}
	return *t, true
}

// Holders implements Lenders.
func (k *TableAllocator) Holders() map[quota.Peer]netip.AddrPort {
	t, _ := k.Table()
	list := make(map[quota.Peer]netip.AddrPort, len(t.Parts))
	for _, p := range t.Parts {
		if p.Holder != k.Self.Holder {
			list[quota.Peer(p.Holder)] = p.Addr
		}
	}
	return list
}

// LastVersion is the last version of the table that was seen, or zero.
func (k *TableAllocator) LastVersion() uint64 {
	t, _ := k.Table()
	return t.Version
}

func (k *TableAllocator) knownTable() (allot.Table, bool) {
	if k.right == nil {
		return allot.Table{}, false
	}
	return k.right.Table()
}

// UsableShare is how much of the whole this instance may use now.
func (k *TableAllocator) UsableShare(now time.Time) int64 {
	return k.Ledger.Base(now)
}

// CanAdmit reports whether requests can be admitted: this instance may use a part,
// or there are so many holders that it is not to have one and only borrows. A
// holder whose part has not come yet would refuse the first requests.
func (k *TableAllocator) CanAdmit(now time.Time) bool {
	if k.UsableShare(now) > 0 {
		return true
	}
	t, _ := k.Table()
	_, joined := t.Find(k.Self.Holder)
	return !joined && len(t.Parts) >= maxTableHolders
}

// step looks at the list and, when it is time, at the table, and writes what has
// to be written.
func (k *TableAllocator) step(ctx context.Context) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.right == nil {
		k.right = &allot.Right{
			Self:  k.Self,
			Whole: quota.Whole,
		}
	}
	members := k.refreshMembers(time.Now())
	k.updateBase()
	now := time.Now()
	if now.Sub(members.Read) > maxMembersAge {
		k.nextRead = earlier(k.nextRead, k.lastRead.Add(maxMembersAge))
	}
	if now.Before(k.nextRead) && k.pending == nil && !k.leaving {
		return
	}
	for range maxStepWrites {
		if !k.readTable(ctx) {
			return
		}
		k.updateBase()
		if !k.writeNext(ctx, members) {
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

// refreshMembers takes in the list of members.
func (k *TableAllocator) refreshMembers(now time.Time) allot.Members {
	v := k.Members()
	m := allot.Members{
		Read:    v.Asked,
		Listed:  make(map[netip.AddrPort]model.InstanceID, len(v.Entries)),
		Home:    make(map[model.InstanceID]bool, maxTableHolders),
		Leaving: k.leaving,
	}
	for _, e := range v.Entries {
		m.Listed[e.Addr] = model.InstanceID(e.ID)
	}
	home := route.Top(tableKey, v.Entries, maxTableHolders, func(*model.Member) bool {
		return true
	})
	for _, e := range home {
		m.Home[model.InstanceID(e.ID)] = true
	}
	m.Refused = k.probeHolders(m)
	if m.Listed[k.Self.Addr] == k.Self.Instance {
		k.right.Sighted(v.Asked)
	}
	if !sameMembers(m.Listed, k.lastListed) {
		k.lastListed = m.Listed
		k.rebalanceUntil = now.Add(rebalanceTime)
		k.nextRead = now
	}
	return m
}

// probeHolders asks the hosts of the holders that are not listed whether anybody listens
// at their addresses.
func (k *TableAllocator) probeHolders(m allot.Members) map[netip.AddrPort]bool {
	t, _ := k.knownTable()
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

func sameMembers(a, b map[netip.AddrPort]model.InstanceID) bool {
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

func (k *TableAllocator) updateBase() {
	now := time.Now()
	k.Ledger.SetBase(now, k.right.Usable(now), k.right.FencedAt())
}

// readTable reads the table. It reports false where nothing may be planned on what it
// read.
func (k *TableAllocator) readTable(ctx context.Context) bool {
	asked := time.Now()
	k.lastRead = asked
	e, err := k.KV.Get(ctx, tableKey)
	now := time.Now()
	k.nextRead = now.Add(idleReadInterval)
	if now.Before(k.rebalanceUntil) {
		k.nextRead = now.Add(rebalanceReadInterval)
	}
	absent := errors.Is(err, store.ErrNotFound)
	if err != nil && !absent {
		return false
	}
	if !k.resolvePending(ctx, e.Revision) {
		return false
	}
	k.revision = e.Revision
	var t allot.Table
	if err := json.Unmarshal(e.Value, &t); err != nil && !absent {
		k.Log.Error().Err(err).Msg("share: table cannot be read")
		return false
	}
	if last, known := k.knownTable(); known && t.Version < last.Version {
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
	k.lastTable.Store(&t)
	k.pollWhileRebalancing(now, t)
	return true
}

// restore writes the last table over an older state that the store has come back
// with, so that nobody acts on parts that have moved since.
func (k *TableAllocator) restore(ctx context.Context, last allot.Table) bool {
	k.Log.Warn().Msgf("share: store came back without version %d of the table; writing it again", last.Version)
	value, err := json.Marshal(last.Again())
	if err != nil {
		return false
	}
	k.pending = &pendingWrite{
		expect: k.revision,
		value:  value,
	}
	return k.putPending(ctx)
}

// mayCreate reports whether a table that does not exist may be created: no other
// instance has seen one, so that the store has not lost it. An instance that does
// not answer may have.
func (k *TableAllocator) mayCreate(ctx context.Context) bool {
	for addr, id := range k.lastListed {
		if addr == k.Self.Addr {
			continue
		}
		version, err := k.TableVersion(ctx, addr)
		if err != nil || version > 0 {
			k.Log.Info().Msgf("share: not creating a table: %s has one or did not answer", id)
			return false
		}
	}
	return true
}

// pollWhileRebalancing reads often while parts are uneven or marked.
func (k *TableAllocator) pollWhileRebalancing(now time.Time, t allot.Table) {
	for _, p := range t.Parts {
		if p.Intent != "" || p.Weight == 0 {
			k.rebalanceUntil = now.Add(rebalanceTime)
			k.nextRead = now.Add(rebalanceReadInterval)
		}
	}
}

// resolvePending deals with a write whose fate is unknown. While the table is still the
// one that the write replaces, it may yet take effect, so that it is sent again;
// once the table is another one, it cannot.
func (k *TableAllocator) resolvePending(ctx context.Context, revision store.Revision) bool {
	if k.pending == nil {
		return true
	}
	if k.pending.expect == revision {
		k.putPending(ctx)
		return false
	}
	k.pending = nil
	return true
}

// writeNext plans and writes the next change. It reports whether the table should be
// read again.
func (k *TableAllocator) writeNext(ctx context.Context, members allot.Members) bool {
	members.Lent = k.Ledger.MaxLent(time.Now())
	next, ok := k.right.Plan(time.Now(), members, k.revision > 0)
	if !ok {
		return false
	}
	// What is given away is given up here before it is written. A loan that was
	// made since the plan may keep it here after all; whoever leaves gives it up
	// even so, because what a leaver had is used by others only after its loans.
	k.updateBase()
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
	return k.putPending(ctx)
}

// putPending sends the pending write. It reports whether its fate is known.
func (k *TableAllocator) putPending(ctx context.Context) bool {
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
