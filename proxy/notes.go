package proxy

import (
	"context"
	"time"

	"currantstile/clock"
	"currantstile/sched"
	"currantstile/wire"
)

// queueUpdate queues a note for a place's manager.
func (r *Router) queueUpdate(p *Placement, kind sched.ProgressKind, sent time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	byTarget, ok := r.updates[p.manager]
	if !ok {
		byTarget = make(map[string][]sched.ProgressUpdate)
		r.updates[p.manager] = byTarget
	}
	byTarget[p.Target.ID] = append(byTarget[p.Target.ID], sched.ProgressUpdate{
		ID:      p.grantID,
		Kind:    kind,
		Elapsed: time.Since(sent),
	})
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run sends notes until ctx ends.
func (r *Router) Run(ctx context.Context) {
	r.init()
	for {
		select {
		case <-r.wake:
		case <-ctx.Done():
			return
		}
		if !clock.Sleep(ctx, updateBatchInterval) {
			return
		}
		r.sendUpdates(ctx)
		r.balancer.Prune(time.Now().Add(-balancerRetention))
	}
}

// sendUpdates sends each manager its notes in one call.
func (r *Router) sendUpdates(ctx context.Context) {
	r.mu.Lock()
	notes := r.updates
	r.updates = make(map[string]map[string][]sched.ProgressUpdate)
	r.mu.Unlock()
	view := r.Book.View()
	for instance, byTarget := range notes {
		var args wire.NotesArgs
		for target, list := range byTarget {
			args.Targets = append(args.Targets, wire.TargetNotes{
				Target: target,
				Notes:  list,
			})
		}
		if instance == r.Self {
			r.Manager.RecordProgress(args)
			continue
		}
		in, ok := view.Instance(instance)
		if !ok {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, updateTimeout)
			defer cancel()
			// A manager that misses a note forgets the grant at its deadline.
			if err := r.Peers.Call(ctx, in.Peers, wire.MethodNotes, args, &wire.Empty{}); err != nil {
				r.Log.Debug().Err(err).Str("instance", instance).Msg("gate: notes not sent")
				return
			}
			r.markHeard(time.Now(), instance)
		}()
	}
}
