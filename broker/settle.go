package broker

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"currantstile/errs"
	"currantstile/model"
	"currantstile/store"
	"currantstile/wire"
)

const (
	// settleTime is how long after the record listed a new instance every holder has stopped using
	// a share of an earlier record: such a holder was last confirmed at most activationDelay after it.
	settleTime = EvenShareTTL + activationDelay
	// askTimeout bounds one call that asks a holder for the record that it applies.
	askTimeout = 150 * time.Millisecond
)

// joining is since when and from which revision on an instance is known to be listed without a share.
type joining struct {
	at       time.Time
	revision store.Revision
}

// mayHold reports whether an instance that joins may have its share: each holder applies a record
// that lists it, as its acknowledgement shows, or can no longer use a share of an earlier one.
func mayHold(now time.Time, j joining, holders []string, acknowledged map[string]store.Revision) bool {
	return now.Sub(j.at) >= settleTime || !slices.ContainsFunc(holders, func(name string) bool {
		return acknowledged[name] < j.revision
	})
}

// settled returns the instances of a record that may use their shares.
func (r membershipRecord) settled() []string {
	if len(r.Pending) == 0 {
		return r.Instances
	}
	return slices.DeleteFunc(slices.Clone(r.Instances), func(name string) bool {
		return slices.Contains(r.Pending, name)
	})
}

// mayUse reports whether the record gives the instance a share.
func (r membershipRecord) mayUse(name string) bool {
	return slices.Contains(r.Instances, name) && !slices.Contains(r.Pending, name) && !slices.Contains(r.Released, name)
}

// otherHolders returns the settled instances other than this one that have not released their shares. The caller holds mu.
func (e *EvenAllocator) otherHolders() []string {
	return slices.DeleteFunc(slices.Clone(e.record.settled()), func(name string) bool {
		return name == e.Self || slices.Contains(e.record.Released, name)
	})
}

// noteJoining records since when instances are listed without a share. The caller holds mu.
func (e *EvenAllocator) noteJoining(now time.Time) {
	next := make(map[string]joining, len(e.record.Pending))
	for _, name := range e.record.Pending {
		j, ok := e.joining[name]
		if !ok {
			j = joining{
				at:       now,
				revision: e.revision,
			}
		}
		next[name] = j
	}
	e.joining = next
	for name := range e.acknowledged {
		if !slices.Contains(e.record.Instances, name) {
			delete(e.acknowledged, name)
		}
	}
}

// settles reports whether this instance decides who of the pending ones gets a share: the maintainer
// does, and a pending instance that has waited for it. The caller holds mu.
func (e *EvenAllocator) settles(now time.Time, maintainer bool) bool {
	j, pending := e.joining[e.Self]
	return maintainer || pending && now.Sub(j.at) >= joinDelay
}

// question is a question to a holder for the record that it applies.
type question struct {
	name string
	addr netip.AddrPort
	args wire.ShareRecordArgs
}

// questions returns the questions to the holders whose acknowledgement is missing. A holder that was
// asked before gets the record with the question. The caller holds mu.
func (e *EvenAllocator) questions(now time.Time, alive map[string]netip.AddrPort) []question {
	if len(e.joining) == 0 || !e.settles(now, e.isMaintainer(alive)) {
		return nil
	}
	wanted := store.Revision(0)
	for _, j := range e.joining {
		wanted = max(wanted, j.revision)
	}
	var list []question
	for _, name := range e.otherHolders() {
		addr, ok := alive[name]
		if !ok {
			addr, ok = e.record.Addrs[name]
		}
		if !ok || e.acknowledged[name] >= wanted {
			continue
		}
		q := question{
			name: name,
			addr: addr,
		}
		if e.askedFor[name] == e.revision {
			q.args.Revision, q.args.Record = e.revision, e.value
		}
		e.askedFor[name] = e.revision
		list = append(list, q)
	}
	return list
}

// ask asks all questions at once and records the acknowledgements.
func (e *EvenAllocator) ask(ctx context.Context, list []question) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, q := range list {
		wg.Go(func() {
			errs.Contain(&e.Log, "EvenAllocator.ask", func() {
				e.askHolder(ctx, q)
			})
		})
	}
	wg.Wait()
}

// askHolder asks one instance and records its answer.
func (e *EvenAllocator) askHolder(ctx context.Context, q question) {
	reply, err := e.Ask(ctx, q.addr, q.args)
	if err != nil {
		e.Log.Debug().Err(err).Str("holder", q.name).Msg("share: holder did not say which record it applies; asking again")
		return
	}
	if reply.Name != q.name {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.acknowledged[q.name] = max(e.acknowledged[q.name], reply.Revision)
}

// Acknowledge applies the record that comes with a question, and says which record this instance applies.
func (e *EvenAllocator) Acknowledge(now time.Time, args wire.ShareRecordArgs) wire.ShareRecordReply {
	if len(args.Record) > 0 {
		e.Apply(now, store.Entry{
			Key:      e.RecordKey,
			Value:    args.Record,
			Revision: args.Revision,
		})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return wire.ShareRecordReply{
		Name:     e.Self,
		Revision: e.revision,
	}
}

// CanTake reports whether this instance waits for its share and may take tokens of other holders.
func (e *EvenAllocator) CanTake() bool {
	e.mu.Lock()
	waits := slices.Contains(e.record.Pending, e.Self) || slices.Contains(e.record.Released, e.Self)
	e.mu.Unlock()
	return waits && len(e.Holders(model.OrgID(""))) > 0
}
