package allot

import (
	"fmt"
	"net/netip"
	"time"

	"currantstile/model"
)

// process is a simulated process with an Allocation, a clock that drifts by at most one
// part in a thousand, and the state that the caller of an Allocation keeps.
type process struct {
	alloc    *Allocation
	drift    float64
	alive    bool
	instance model.InstanceID
	// members is the result of the last read of the list.
	members Members
	// read is a read of the table in transit.
	read *tableRead
	// write is a write whose outcome is unknown.
	write         *tableWrite
	revision      int
	unplannedRead bool
	// lent is the weight of the last loan, and lentUntil when it may be in use at the
	// latest.
	lent      int64
	lentUntil time.Duration
}

type tableRead struct {
	sentAt   time.Time
	table    Table
	revision int
}

type tableWrite struct {
	expect int
	next   Table
}

// listVersion is the content of the list from a point in time.
type listVersion struct {
	at   time.Duration
	list map[netip.AddrPort]model.InstanceID
}

// allocationModel simulates a store, a list that lags, and processes. Its field real is the
// true time since the start, from which the clocks of the processes drift.
type allocationModel struct {
	real        time.Duration
	table       Table
	revision    int
	processes   []*process
	lists       []listVersion
	listedSince map[netip.AddrPort]time.Duration
	holders     int
	// hostsReachable lets the hosts of dead processes refuse connections.
	hostsReachable bool
}

func (p *process) clock(at time.Duration) time.Time {
	return start.Add(at + time.Duration(p.drift*float64(at)/1000))
}

func (m *allocationModel) start(slot int, drift float64) *process {
	m.holders++
	instance := model.InstanceID(fmt.Sprintf("entry-%d", slot))
	p := &process{
		drift:    drift,
		alive:    true,
		instance: instance,
		alloc: &Allocation{
			Total: total,
			Self: Share{
				Holder:   Holder(fmt.Sprintf("%s/%d", instance, m.holders)),
				Instance: instance,
				Addr:     slotAddr(slot),
			},
		},
	}
	p.members.Eligible = map[model.InstanceID]bool{"entry-0": true, "entry-1": true, "entry-2": true}
	return p
}

func slotAddr(slot int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(8000+slot))
}

// dropFromList removes a slot from the list if it has been listed for at least
// MinListDwell.
func (m *allocationModel) dropFromList(slot int) {
	if m.real-m.listedSince[slotAddr(slot)] < MinListDwell {
		return
	}
	m.updateList(func(l map[netip.AddrPort]model.InstanceID) {
		delete(l, slotAddr(slot))
	})
}

// showOnList adds a slot to the list.
func (m *allocationModel) showOnList(slot int, id model.InstanceID) {
	m.updateList(func(l map[netip.AddrPort]model.InstanceID) {
		if l[slotAddr(slot)] == "" {
			m.listedSince[slotAddr(slot)] = m.real
		}
		l[slotAddr(slot)] = id
	})
}

func (m *allocationModel) updateList(f func(map[netip.AddrPort]model.InstanceID)) {
	next := make(map[netip.AddrPort]model.InstanceID)
	if n := len(m.lists); n > 0 {
		for a, id := range m.lists[n-1].list {
			next[a] = id
		}
	}
	f(next)
	m.lists = append(m.lists, listVersion{
		at:   m.real,
		list: next,
	})
}

// listAt returns the list as a reader sees it after a lag.
func (m *allocationModel) listAt(lag time.Duration) map[netip.AddrPort]model.InstanceID {
	for i := len(m.lists) - 1; i > 0; i-- {
		if m.lists[i].at+lag <= m.real {
			return m.lists[i].list
		}
	}
	return m.lists[0].list
}

func (m *allocationModel) readList(p *process, lag time.Duration) {
	now := p.clock(m.real)
	p.members.Listed = m.listAt(lag)
	p.members.ReadAt = now
	p.members.Refused = m.refused()
	if p.members.Listed[p.alloc.Self.Addr] == p.instance {
		p.alloc.ConfirmListed(now)
	}
}

// refused returns the addresses of dead processes whose hosts are still reachable.
func (m *allocationModel) refused() map[netip.AddrPort]bool {
	if !m.hostsReachable {
		return nil
	}
	addrs := make(map[netip.AddrPort]bool)
	for _, p := range m.processes {
		addrs[p.alloc.Self.Addr] = true
	}
	for _, p := range m.processes {
		if p.alive {
			delete(addrs, p.alloc.Self.Addr)
		}
	}
	return addrs
}

func (m *allocationModel) startRead(p *process) {
	p.read = &tableRead{
		sentAt:   p.clock(m.real),
		table:    m.table,
		revision: m.revision,
	}
}

// completeRead processes a read as the caller of an Allocation must: it ignores a read that
// could predate the process's own write.
func (m *allocationModel) completeRead(p *process) {
	r := p.read
	p.read = nil
	if r == nil || r.revision < p.revision || (p.write != nil && r.revision == p.write.expect) {
		return
	}
	p.write = nil
	p.revision = r.revision
	p.unplannedRead = true
	if r.revision > 0 {
		p.alloc.Observe(p.clock(m.real), r.sentAt, r.table)
	}
}

func (m *allocationModel) plan(p *process) {
	if !p.unplannedRead || p.write != nil {
		return
	}
	p.members.Lent = 0
	if m.real < p.lentUntil {
		p.members.Lent = p.lent
	}
	if next, ok := p.alloc.Plan(p.clock(m.real), p.members, p.revision > 0); ok {
		p.write = &tableWrite{
			expect: p.revision,
			next:   next,
		}
		p.unplannedRead = false
	}
}

// apply lets a write reach the store. If its response is lost, the write stays pending, so
// that it is sent again.
func (m *allocationModel) apply(p *process, lost bool) {
	w := p.write
	if w == nil {
		return
	}
	if w.expect == m.revision {
		m.table = w.next
		m.revision++
	}
	if !lost {
		m.startRead(p)
		m.completeRead(p)
	}
}

// lend grants a loan of all usable weight.
func (m *allocationModel) lend(p *process) {
	if n := p.alloc.Usable(p.clock(m.real)); n > 0 && (m.real >= p.lentUntil || n >= p.lent) {
		p.lent = n
		p.lentUntil = m.real + LoanDuration + LoanDuration/1000
	}
}

// inUse returns the weight that all processes and loans may use now.
func (m *allocationModel) inUse() int64 {
	sum := int64(0)
	for _, p := range m.processes {
		n := int64(0)
		if p.alive {
			n = p.alloc.Usable(p.clock(m.real))
		}
		if m.real < p.lentUntil {
			n = max(n, p.lent)
		}
		sum += n
	}
	return sum
}

// runRoundExcept runs one round of all live processes except one slot.
func (m *allocationModel) runRoundExcept(slots []*process, except int) {
	for j, p := range slots {
		if j != except && p.alive {
			m.readList(p, 0)
			m.startRead(p)
			m.completeRead(p)
			m.plan(p)
			m.apply(p, false)
		}
	}
}
