// Package broker gives an instance its share of the contracts. A TableAllocator holds
// the instance's share as recorded in the share table in the store, and a Broker borrows
// from other instances, lends to them, and extends and returns loans. An EvenAllocator
// divides the limits equally instead, and a TokenAcquirer takes tokens from its own and
// other instances' shares. The packages allot and quota decide what may be held and lent.
//
// # Usage
//
//	a := &broker.TableAllocator{Self: share, KV: kv, Ledger: ledger, Members: members.View}
//	go a.Run(ctx)
//	b := &broker.Broker{Self: holder, Ledger: ledger, Peers: pool, Lenders: a}
//	go b.Run(ctx)
//	b.ExecutePlan(ctx, org, limits, insufficient.Plan)
//	// at shutdown:
//	a.Leave(ctx)
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
	// tableKey is the store key of the share table.
	tableKey = "quota/table"
	// stepInterval is the interval between checks of the members and the share.
	stepInterval = 500 * time.Millisecond
	// idleReadInterval is the interval between reads of the table while shares are
	// stable, and rebalanceReadInterval while they move.
	idleReadInterval      = 5 * time.Second
	rebalanceReadInterval = 500 * time.Millisecond
	// rebalanceTime is how long shares may move after a change of the member list.
	rebalanceTime = 10 * time.Second
	// maxMembersAge is the age beyond which the member list no longer suffices to keep
	// the share usable. The table is then read at this interval, so that one of the two
	// always extends the share's validity.
	maxMembersAge = 2 * time.Second
	// probeTimeout bounds an attempt to connect to an unlisted holder.
	probeTimeout = 100 * time.Millisecond
	// maxTableHolders is the maximum number of instances with shares; all others borrow.
	maxTableHolders = 16
	// maxStepWrites bounds the writes to the table in one step.
	maxStepWrites = 16
)

// TableAllocator holds an instance's share of every contract, as recorded in the share
// table. Its exported fields are set before Run.
type TableAllocator struct {
	Self    allot.Share
	KV      store.KV
	Ledger  *quota.Ledger
	Members func() *member.View
	// TableVersion returns the version of the table that another instance read last.
	TableVersion func(ctx context.Context, addr netip.AddrPort) (uint64, error)
	Log          log.Logger

	// lastTable is the table as last read, for callers that must not wait for a step.
	lastTable      atomic.Pointer[allot.Table]
	mu             sync.Mutex
	allocation     *allot.Allocation
	revision       store.Revision
	pending        *pendingWrite
	nextRead       time.Time
	lastRead       time.Time
	rebalanceUntil time.Time
	// lastListed are the listed instances as of the last step.
	lastListed map[netip.AddrPort]model.InstanceID
	leaving    bool
}

// pendingWrite is a write to the table whose outcome is not known.
type pendingWrite struct {
	expect store.Revision
	value  []byte
}

// Run maintains the share until ctx ends.
func (a *TableAllocator) Run(ctx context.Context) {
	for ctx.Err() == nil {
		a.step(ctx)
		clock.Sleep(ctx, stepInterval)
	}
}

// Leave removes this instance from the share table, so that the other holders gain its
// share without waiting for ReclaimDelay. The last holder keeps its share. Leave reports
// false if ctx ended first.
func (a *TableAllocator) Leave(ctx context.Context) bool {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	for {
		a.step(ctx)
		a.mu.Lock()
		t, ok := a.knownTable()
		_, listed := t.Find(a.Self.Holder)
		a.mu.Unlock()
		if ok && (!listed || len(t.Shares) == 1) {
			return true
		}
		if !clock.Sleep(ctx, stepInterval/10) {
			return false
		}
	}
}

// Table returns the table as last read. It never waits for the store.
func (a *TableAllocator) Table() (allot.Table, bool) {
	t := a.lastTable.Load()
	if t == nil {
		return allot.Table{}, false
	}
	return *t, true
}

// Holders implements Lenders.
func (a *TableAllocator) Holders() map[quota.Peer]netip.AddrPort {
	t, _ := a.Table()
	list := make(map[quota.Peer]netip.AddrPort, len(t.Shares))
	for _, s := range t.Shares {
		if s.Holder != a.Self.Holder {
			list[quota.Peer(s.Holder)] = s.Addr
		}
	}
	return list
}

// LastVersion returns the version of the table last read, or zero.
func (a *TableAllocator) LastVersion() uint64 {
	t, _ := a.Table()
	return t.Version
}

// knownTable returns the table last read, if any. The caller holds mu.
func (a *TableAllocator) knownTable() (allot.Table, bool) {
	if a.allocation == nil {
		return allot.Table{}, false
	}
	return a.allocation.Table()
}

// UsableShare returns the share of every contract that this instance may use now, in
// millionths.
func (a *TableAllocator) UsableShare(now time.Time) int64 {
	return a.Ledger.BaseShare(now)
}

// CanAdmit reports whether requests can be admitted: this instance has a usable share,
// or the table is full without it, so that it only borrows. A holder that is still
// waiting for its share would refuse the first requests.
func (a *TableAllocator) CanAdmit(now time.Time) bool {
	if a.UsableShare(now) > 0 {
		return true
	}
	t, _ := a.Table()
	_, listed := t.Find(a.Self.Holder)
	return !listed && len(t.Shares) >= maxTableHolders
}

// step refreshes the members and, when a read is due, reads the table and writes the
// changes that this instance should make.
func (a *TableAllocator) step(ctx context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.allocation == nil {
		a.allocation = &allot.Allocation{
			Self:  a.Self,
			Total: quota.TotalWeight,
		}
	}
	members := a.refreshMembers(time.Now())
	a.updateBaseShare()
	now := time.Now()
	if now.Sub(members.ReadAt) > maxMembersAge {
		a.nextRead = earlier(a.nextRead, a.lastRead.Add(maxMembersAge))
	}
	if now.Before(a.nextRead) && a.pending == nil && !a.leaving {
		return
	}
	for range maxStepWrites {
		if !a.readTable(ctx) {
			return
		}
		a.updateBaseShare()
		if !a.writeNext(ctx, members) {
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

// refreshMembers reads the member list, probes unlisted holders and schedules a read of
// the table if the list has changed.
func (a *TableAllocator) refreshMembers(now time.Time) allot.Members {
	v := a.Members()
	m := allot.Members{
		ReadAt:   v.RequestedAt,
		Listed:   make(map[netip.AddrPort]model.InstanceID, len(v.Entries)),
		Eligible: make(map[model.InstanceID]bool, maxTableHolders),
		Leaving:  a.leaving,
	}
	for _, e := range v.Entries {
		m.Listed[e.Addr] = model.InstanceID(e.ID)
	}
	top := route.Top(tableKey, v.Entries, maxTableHolders, func(*model.Member) bool {
		return true
	})
	for _, e := range top {
		m.Eligible[model.InstanceID(e.ID)] = true
	}
	m.Refused = a.probeHolders(m)
	if m.Listed[a.Self.Addr] == a.Self.Instance {
		a.allocation.ConfirmListed(v.RequestedAt)
	}
	if !sameMembers(m.Listed, a.lastListed) {
		a.lastListed = m.Listed
		a.rebalanceUntil = now.Add(rebalanceTime)
		a.nextRead = now
	}
	return m
}

// probeHolders connects to the addresses of the holders that are not listed, and returns
// which of them refused the connection because no process listens there.
func (a *TableAllocator) probeHolders(m allot.Members) map[netip.AddrPort]bool {
	t, _ := a.knownTable()
	refused := make(map[netip.AddrPort]bool)
	for _, s := range t.Shares {
		if _, listed := m.Listed[s.Addr]; listed || len(m.Listed) == 0 {
			continue
		}
		c, err := net.DialTimeout("tcp", s.Addr.String(), probeTimeout)
		if err == nil {
			// The probe sends nothing to the listener.
			_ = c.Close()
		}
		refused[s.Addr] = errors.Is(err, syscall.ECONNREFUSED)
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

// updateBaseShare sets the ledger's base share to the usable weight. The caller holds mu.
func (a *TableAllocator) updateBaseShare() {
	now := time.Now()
	a.Ledger.SetBaseShare(now, a.allocation.Usable(now), a.allocation.ExpiresAt())
}

// readTable reads the table and observes it. It reports false if no change may be planned
// on the result.
func (a *TableAllocator) readTable(ctx context.Context) bool {
	sent := time.Now()
	a.lastRead = sent
	e, err := a.KV.Get(ctx, tableKey)
	now := time.Now()
	a.nextRead = now.Add(idleReadInterval)
	if now.Before(a.rebalanceUntil) {
		a.nextRead = now.Add(rebalanceReadInterval)
	}
	absent := errors.Is(err, store.ErrNotFound)
	if err != nil && !absent {
		return false
	}
	if !a.resolvePending(ctx, e.Revision) {
		return false
	}
	a.revision = e.Revision
	var t allot.Table
	if err := json.Unmarshal(e.Value, &t); err != nil && !absent {
		a.Log.Error().Err(err).Msg("share: cannot decode share table; ignoring it")
		return false
	}
	if last, known := a.knownTable(); known && t.Version < last.Version {
		return a.restore(ctx, last)
	}
	if absent {
		return a.mayCreate(ctx)
	}
	if err := t.Validate(); err != nil {
		a.Log.Error().Err(err).Msg("share: share table is invalid; ignoring it")
		return false
	}
	a.allocation.Observe(now, sent, t)
	a.lastTable.Store(&t)
	a.pollWhileRebalancing(now, t)
	return true
}

// restore writes the last known table over an older state to which the store has been
// rolled back, so that no instance acts on shares that have moved since.
func (a *TableAllocator) restore(ctx context.Context, last allot.Table) bool {
	a.Log.Warn().Msgf("share: store has lost version %d of the share table; restoring it", last.Version)
	value, err := json.Marshal(last.NextVersion())
	if err != nil {
		return false
	}
	a.pending = &pendingWrite{
		expect: a.revision,
		value:  value,
	}
	return a.putPending(ctx)
}

// mayCreate reports whether an absent table may be created. It may not if another listed
// instance has read one, because then the store has lost it; an instance that does not
// respond may have read one.
func (a *TableAllocator) mayCreate(ctx context.Context) bool {
	for addr, id := range a.lastListed {
		if addr == a.Self.Addr {
			continue
		}
		version, err := a.TableVersion(ctx, addr)
		if err != nil || version > 0 {
			a.Log.Info().Msgf("share: share table not created: instance %s has read one or did not respond", id)
			return false
		}
	}
	return true
}

// pollWhileRebalancing shortens the read interval while a holder has no weight yet or
// its share is marked to be reclaimed.
func (a *TableAllocator) pollWhileRebalancing(now time.Time, t allot.Table) {
	for _, s := range t.Shares {
		if s.Intent != "" || s.Weight == 0 {
			a.rebalanceUntil = now.Add(rebalanceTime)
			a.nextRead = now.Add(rebalanceReadInterval)
		}
	}
}

// resolvePending resolves a write whose outcome is unknown. While the table still has
// the revision that the write replaces, the write may yet take effect and is sent again;
// once the revision differs, it no longer can. It reports whether no write is pending.
func (a *TableAllocator) resolvePending(ctx context.Context, revision store.Revision) bool {
	if a.pending == nil {
		return true
	}
	if a.pending.expect == revision {
		a.putPending(ctx)
		return false
	}
	a.pending = nil
	return true
}

// writeNext plans and writes the next change of the table. It reports whether the table
// should be read again.
func (a *TableAllocator) writeNext(ctx context.Context, members allot.Members) bool {
	members.Lent = a.Ledger.MaxLent(time.Now())
	next, ok := a.allocation.Plan(time.Now(), members, a.revision > 0)
	if !ok {
		return false
	}
	// Weight that is transferred must be unusable here before the write. A loan made
	// since the plan may still need that weight, which cancels the write; an instance
	// that is leaving writes regardless, because others use its share only after its
	// loans have ended.
	a.updateBaseShare()
	if lent := a.Ledger.MaxLent(time.Now()); !a.leaving && lent > members.Lent && lent > a.allocation.Usable(time.Now()) {
		a.allocation.CancelWrite()
		return false
	}
	value, err := json.Marshal(next)
	if err != nil {
		a.allocation.CancelWrite()
		return false
	}
	a.pending = &pendingWrite{
		expect: a.revision,
		value:  value,
	}
	return a.putPending(ctx)
}

// putPending sends the pending write. It reports whether the table should be read again:
// the write took effect or lost to another one.
func (a *TableAllocator) putPending(ctx context.Context) bool {
	w := a.pending
	_, err := store.PutIdempotent(ctx, a.KV, store.Write{
		Key:    tableKey,
		Value:  w.value,
		Expect: w.expect,
	}, func(e store.Entry) bool {
		return bytes.Equal(e.Value, w.value)
	})
	switch {
	case err == nil, store.IsConflict(err):
		// The table has changed; the next read returns the new one.
		a.pending = nil
		return true
	case store.IsRefused(err):
		a.pending = nil
		a.allocation.CancelWrite()
		return false
	default:
		a.Log.Warn().Err(err).Msg("share: outcome of a write to the share table is unknown; sending it again")
		return false
	}
}
