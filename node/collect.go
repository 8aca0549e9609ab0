package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantstile/duty"
	"currantstile/errs"
	"currantstile/fleet"
	"currantstile/scale"
	"currantstile/usage"
	"currantstile/wire"
)

// source identifies this process.
func (d *duties) source() usage.Source {
	return usage.Source{
		Instance: d.node.Settings.Name,
		Started:  d.node.started.UnixMilli(),
	}
}

// answerUsage answers the holder of the reports.
func (d *duties) answerUsage(now time.Time, args wire.UsageArgs) wire.UsageReply {
	if args.Now != 0 {
		d.clock.Record(now, time.Unix(0, args.Now))
	}
	reply := wire.UsageReply{
		Source: d.source(),
		Wall:   d.clock.Wall(now).UnixNano(),
	}
	if args.Length <= 0 {
		return reply
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, number := range args.Windows {
		w := usage.Window{
			Number: number,
			Length: args.Length,
		}
		reply.Parts = append(reply.Parts, usage.Part{
			Source: reply.Source,
			Window: number,
			Counts: d.counter.Counts(d.clock, w),
		})
		reply.Parts = append(reply.Parts, d.handed.Parts(number)...)
	}
	return reply
}

// answerLoad answers a holder of scaling.
func (d *duties) answerLoad(args wire.LoadArgs) wire.LoadReply {
	source := d.source()
	reply := wire.LoadReply{
		Source: scale.Source(source),
	}
	asked := make(map[string]bool)
	for _, s := range args.Subjects {
		service := s.Service
		if asked[service] {
			continue
		}
		asked[service] = true
		zones := d.zonesOf(service)
		for _, l := range d.node.router.Loads(service) {
			// Requests that wait at an instance whose data centre has no targets count for one of those that have.
			if _, ok := slices.BinarySearch(zones, l.Zone); !ok && len(zones) > 0 {
				l.Zone = zones[xxhash.Sum64String(source.Instance)%uint64(len(zones))]
			}
			if slices.Contains(args.Subjects, duty.Subject{Service: service, Zone: l.Zone}) {
				reply.Loads = append(reply.Loads, l)
			}
		}
	}
	return reply
}

// receive keeps the counts that another instance handed over.
func (d *duties) receive(now time.Time, parts []usage.Part) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range parts {
		d.handed.Add(p)
	}
	if length := d.node.Settings.Duties.UsageWindow; length > 0 {
		oldest := usage.WindowAt(d.clock.True(now).Add(-2*d.node.Settings.Duties.UsageLateness), length)
		d.handed.Prune(oldest.Number - 1)
	}
}

// peers returns the other instances, with those that were registered lately.
func (d *duties) peers(now time.Time) []formerInstance {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, i := range d.node.registry.View().Instances() {
		if i.Name != d.node.Settings.Name {
			d.former[i.Name] = formerInstance{
				instance: i,
				seenAt:   now,
			}
		}
	}
	list := make([]formerInstance, 0, len(d.former))
	for name, f := range d.former {
		if now.Sub(f.seenAt) > formerTime {
			delete(d.former, name)
			continue
		}
		list = append(list, f)
	}
	return list
}

// askAll asks all other instances at once, and returns how many of those that are registered did not answer. ask must
// be safe for concurrent use.
func (d *duties) askAll(ctx context.Context, ask func(ctx context.Context, i fleet.Instance) error) int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	missing := 0
	turns := make(chan struct{}, maxCollectCalls)
	now := time.Now()
	for _, f := range d.peers(now) {
		turns <- struct{}{}
		wg.Go(func() {
			defer func() {
				<-turns
			}()
			answered := false
			errs.Contain(&d.node.Log, "duties.askAll", func() {
				callCtx, cancel := context.WithTimeout(ctx, collectTimeout)
				defer cancel()
				answered = ask(callCtx, f.instance) == nil
			})
			if !answered && f.seenAt.Equal(now) {
				mu.Lock()
				defer mu.Unlock()
				missing++
			}
		})
	}
	wg.Wait()
	return missing
}

// collectUsage asks all instances for their counts of windows, and sets the clock to the median of theirs.
func (d *duties) collectUsage(ctx context.Context, windows []usage.Window) duty.Collected {
	args := wire.UsageArgs{
		Length: d.node.Settings.Duties.UsageWindow,
	}
	for _, w := range windows {
		args.Windows = append(args.Windows, w.Number)
	}
	now := time.Now()
	own := d.answerUsage(now, args)
	collected := duty.Collected{
		Parts:   own.Parts,
		Sources: []usage.Source{own.Source},
	}
	votes := []usage.Vote{{
		Sent:     now,
		Received: now,
		Wall:     time.Unix(0, own.Wall),
	}}
	var mu sync.Mutex
	collected.Missing = d.askAll(ctx, func(ctx context.Context, i fleet.Instance) error {
		args := args
		sent := time.Now()
		if d.clock.Synchronised() {
			args.Now = d.clock.True(sent).UnixNano()
		}
		var reply wire.UsageReply
		if err := d.node.pool.Call(ctx, i.Peers, wire.MethodCollectUsage, args, &reply); err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		collected.Parts = append(collected.Parts, reply.Parts...)
		collected.Sources = append(collected.Sources, reply.Source)
		votes = append(votes, usage.Vote{
			Sent:     sent,
			Received: time.Now(),
			Wall:     time.Unix(0, reply.Wall),
		})
		return nil
	})
	if offset, ok := usage.MedianOffset(d.clock, votes); ok {
		now = time.Now()
		d.clock.Record(now, d.clock.Wall(now).Add(offset))
	}
	return collected
}

// collectLoads asks all instances for the demand of subjects.
func (d *duties) collectLoads(ctx context.Context, subjects []duty.Subject) map[duty.Subject]map[scale.Source]scale.Load {
	args := wire.LoadArgs{
		Subjects: subjects,
	}
	var mu sync.Mutex
	loads := make(map[duty.Subject]map[scale.Source]scale.Load)
	add := func(reply wire.LoadReply) {
		mu.Lock()
		defer mu.Unlock()
		for _, l := range reply.Loads {
			s := duty.Subject{
				Service: l.Service,
				Zone:    l.Zone,
			}
			if loads[s] == nil {
				loads[s] = make(map[scale.Source]scale.Load)
			}
			// An instance whose data centre has no targets may name another one twice.
			loads[s][reply.Source] = loads[s][reply.Source].Add(l)
		}
	}
	add(d.answerLoad(args))
	d.askAll(ctx, func(ctx context.Context, i fleet.Instance) error {
		var reply wire.LoadReply
		err := d.node.pool.Call(ctx, i.Peers, wire.MethodCollectLoad, args, &reply)
		if err == nil {
			add(reply)
		}
		return err
	})
	return loads
}
