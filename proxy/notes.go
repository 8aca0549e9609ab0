package proxy

import (
	"context"
	"time"

	"currantstile/clock"
	"currantstile/sched"
	"currantstile/wire"
)

// note queues a note for a place's manager.
func (r *Router) note(p *Place, kind sched.ProgressKind, sent time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	byTarget, ok := r.notes[p.manager]
	if !ok {
		byTarget = make(map[string][]sched.ProgressUpdate)
		r.notes[p.manager] = byTarget
	}
	byTarget[p.Target.ID] = append(byTarget[p.Target.ID], sched.ProgressUpdate{
		ID:      p.id,
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
		if !clock.Sleep(ctx, noteTime) {
			return
		}
		r.sendNotes(ctx)
		r.balancer.Prune(time.Now().Add(-forgetTime))
	}
}

// sendNotes sends each manager its notes in one call.
func (r *Router) sendNotes(ctx context.Context) {
	r.mu.Lock()
	notes := r.notes
	r.notes = make(map[string]map[string][]sched.ProgressUpdate)
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
			ctx, cancel := context.WithTimeout(ctx, noteTimeout)
			defer cancel()
			// A manager that misses a note forgets the grant at its deadline.
			if err := r.Peers.Call(ctx, in.Peers, wire.MethodNotes, args, &wire.Empty{}); err != nil {
				r.Log.Debug().Err(err).Str("instance", instance).Msg("gate: notes not sent")
				return
			}
			r.noteHeard(time.Now(), instance)
		}()
	}
}
